//! Reads and checks the settings of a controller from the platform's TOML file and the operators' INI
//! file. Errors name the field.

mod operator_file;
mod platform_file;
mod validate;

use platform_file::PlatformFile;
use seamfront_core::types::{Settings, Tuning};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("can't read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The platform's file is not TOML, or a field is missing or of another type.
    #[error("platform's settings: {}", one_line(&.0.to_string()))]
    MalformedPlatformFile(#[source] Box<toml::de::Error>),
    /// The operators' file is not INI.
    #[error("seamfront.ini: {0}")]
    MalformedOperatorFile(#[source] ini::ParseError),
    /// Duties are on, and can't work with these settings.
    #[error("duties can't be on with these settings: {0}")]
    Duties(#[from] seamfront_lease::settings::SettingsError),
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Invalid {
        /// The field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Joins the lines of a parser's message, so that it fits on one line.
fn one_line(message: &str) -> String {
    let lines: Vec<&str> = message
        .split('\n')
        .filter(|line| !line.trim().is_empty())
        .collect();
    lines.join(" | ")
}

fn invalid(field: impl Into<String>, reason: impl Into<String>) -> SettingsError {
    SettingsError::Invalid {
        field: field.into(),
        reason: reason.into(),
    }
}

/// The settings of a controller: those of the core, and the addresses that it listens on and connects
/// to.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Settings of the core.
    pub core: Settings,
    /// Address to listen on for users, agents and health checks.
    pub bind: SocketAddr,
    /// Address to listen on for the other controllers.
    pub mesh: SocketAddr,
    /// Addresses of the members for each other, in the order of `core.members`; this one's is `mesh`.
    pub peers: Vec<SocketAddr>,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Maximum number of open sockets of the process: its limit of file descriptors.
    pub sockets: usize,
}

impl ControllerSettings {
    /// Turns duties on if `wanted`. Refuses settings with which duties that are on can't work.
    pub fn with_duties(mut self, wanted: bool) -> Result<ControllerSettings, SettingsError> {
        self.core.tuning.duties |= wanted;
        if self.core.tuning.duties {
            let settings = seamfront_core::fleet_duties::lease_settings(&self.core);
            settings.validate()?;
        }
        Ok(self)
    }
}

/// Name of the operators' file, which is in the directory of the platform's file.
const OPERATOR_FILE: &str = "seamfront.ini";

/// Reads the platform's file, and the operators' file in the same directory if it exists.
pub fn load(path: &Path) -> Result<ControllerSettings, SettingsError> {
    let platform_text = read(path)?;
    let operator_text = match read(&path.with_file_name(OPERATOR_FILE)) {
        Ok(text) => Some(text),
        Err(SettingsError::Unreadable { source, .. })
            if source.kind() == std::io::ErrorKind::NotFound =>
        {
            None
        }
        Err(e) => return Err(e),
    };
    parse(&platform_text, operator_text.as_deref())
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Reads settings from the contents of the two files.
pub fn parse(platform: &str, operator: Option<&str>) -> Result<ControllerSettings, SettingsError> {
    let file: PlatformFile =
        toml::from_str(platform).map_err(|e| SettingsError::MalformedPlatformFile(Box::new(e)))?;
    validate::controller_settings(&file, || {
        operator.map_or(Ok(Tuning::default()), operator_file::parse)
    })
}
