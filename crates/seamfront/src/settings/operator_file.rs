//! Reads the operators' INI file. Unknown sections and keys are refused, since they are most likely
//! misspelled.

use super::{invalid, SettingsError};
use ini::Ini;
use seamfront_core::types::{Micros, Tuning};

const RETRY_LIMIT_MAX: u32 = 1_000;

/// Reads the operators' file. Settings that it does not contain keep their defaults.
pub(super) fn parse(text: &str) -> Result<Tuning, SettingsError> {
    let file = Ini::load_from_str(text).map_err(SettingsError::MalformedOperatorFile)?;
    let mut tuning = Tuning::default();
    for (section, properties) in &file {
        for (key, value) in properties {
            let setting = Setting {
                name: format!("{}.{key}", section.unwrap_or("")),
                value,
            };
            setting.apply(&mut tuning)?;
        }
    }
    Ok(tuning)
}

/// A setting in the file: `section.key` and its value.
struct Setting<'a> {
    name: String,
    value: &'a str,
}

impl Setting<'_> {
    fn apply(&self, tuning: &mut Tuning) -> Result<(), SettingsError> {
        match self.name.as_str() {
            "claims.ttl_s" => tuning.claim_ttl = self.seconds(1.0, 60.0)?,
            "shares.move_every_s" => tuning.release_request_interval = self.seconds(0.25, 600.0)?,
            "fleet.idle_keep_s" => tuning.idle_timeout = self.seconds(0.0, 86_400.0)?,
            "gangs.retry_limit" => tuning.gang_retry_limit = self.retry_limit()?,
            "duties.on" => tuning.duties = self.flag()?,
            _ => return Err(invalid(self.field(), "unknown setting")),
        }
        Ok(())
    }

    fn seconds(&self, min: f64, max: f64) -> Result<Micros, SettingsError> {
        match self.value.trim().parse::<f64>() {
            Ok(seconds) if (min..=max).contains(&seconds) => Ok(Micros::from_secs_decimal(seconds)),
            _ => Err(self.invalid(&format!("must be a number of seconds from {min} to {max}"))),
        }
    }

    fn retry_limit(&self) -> Result<u32, SettingsError> {
        match self.value.trim().parse() {
            Ok(limit @ 1..=RETRY_LIMIT_MAX) => Ok(limit),
            _ => Err(self.invalid(&format!(
                "must be a whole number from 1 to {RETRY_LIMIT_MAX}"
            ))),
        }
    }

    fn flag(&self) -> Result<bool, SettingsError> {
        match self.value.trim() {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(self.invalid("must be yes or no")),
        }
    }

    fn invalid(&self, reason: &str) -> SettingsError {
        invalid(self.field(), format!("`{}` {reason}", self.value))
    }

    /// The setting as errors name it.
    fn field(&self) -> String {
        format!("seamfront.ini: {}", self.name)
    }
}
