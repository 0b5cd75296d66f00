//! The settings of a process, from the platform's TOML and the operators' INI. Each field is checked
//! and named when it is wrong.

mod operator_file;
mod platform_file;
mod validate;

use platform_file::File;
use seamfront_core::types::{Settings, Tuning};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What is wrong with the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The platform's file is not TOML, or a field is missing or of another type.
    #[error("settings: {}", one_line(&.0.to_string()))]
    MalformedPlatformFile(#[source] Box<toml::de::Error>),
    /// The operators' file is not INI.
    #[error("seamfront.ini: {0}")]
    MalformedOperatorFile(#[source] ini::ParseError),
    /// Duties can't work with these settings.
    #[error("duties: {0}")]
    Duties(#[from] seamfront_lease::settings::SettingsError),
    /// A field has a value that it can't have.
    #[error("{field}: {reason}")]
    Invalid {
        /// The field.
        field: String,
        /// What it must be.
        reason: String,
    },
}

/// A parser's message of several lines as one line of the log.
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

/// Everything a process needs: the core's settings and the addresses that it connects to and serves.
#[derive(Clone, Debug)]
pub struct Service {
    /// Settings of the core.
    pub core: Settings,
    /// Where users, workers and health checks connect.
    pub bind: SocketAddr,
    /// Where the other controllers connect.
    pub mesh: SocketAddr,
    /// By member; this node's own is its mesh address.
    pub peers: Vec<SocketAddr>,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    pub state: SocketAddr,
    /// Sockets that the process may have open.
    pub sockets: usize,
}

impl Service {
    /// Turns duties on where they are wanted, and refuses settings with which they could not work.
    pub fn with_duties(mut self, wanted: bool) -> Result<Service, SettingsError> {
        self.core.tuning.duties |= wanted;
        if self.core.tuning.duties {
            let settings = seamfront_core::fleet_duties::lease_settings(&self.core);
            settings.validate()?;
        }
        Ok(self)
    }
}

/// Name of the operators' file, beside the platform's.
const OPERATOR_FILE: &str = "seamfront.ini";

/// Reads the platform's file, and the operators' beside it if there is one.
pub fn load(path: &Path) -> Result<Service, SettingsError> {
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

/// Reads settings from the texts of the two files.
pub fn parse(platform: &str, operator: Option<&str>) -> Result<Service, SettingsError> {
    let file: File =
        toml::from_str(platform).map_err(|e| SettingsError::MalformedPlatformFile(Box::new(e)))?;
    validate::service(&file, || {
        operator.map_or(Ok(Tuning::default()), operator_file::parse)
    })
}
