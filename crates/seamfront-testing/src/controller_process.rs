//! Runs the controller binary as child processes of a test.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Upper limit for one condition of a test. It only ends a test that hangs: no test asserts how long anything takes.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_mins(1);
const EVENTUALLY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running controller. It is killed when this is dropped.
pub struct ControllerProcess(Child);

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A loopback address that was not in use when it was chosen.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// The controller binary. Cargo tells its path only to the tests of its own package, so they pass it in.
#[derive(Clone, Copy)]
pub struct ControllerBinary {
    path: &'static str,
}

impl ControllerBinary {
    /// The binary at this path, usually `env!("CARGO_BIN_EXE_seamfront")`.
    pub const fn at(path: &'static str) -> ControllerBinary {
        ControllerBinary { path }
    }

    /// A command that runs the binary, without any arguments yet.
    pub fn command(self) -> Command {
        Command::new(self.path)
    }

    /// Writes the settings to `settings.toml` in `dir`, then starts a controller with them.
    pub fn start(self, dir: &Path, settings: &str, args: &[&str]) -> ControllerProcess {
        let path = dir.join("settings.toml");
        std::fs::write(&path, settings).unwrap();
        let mut command = self.command();
        command.args(args).arg("--config").arg(path);
        ControllerProcess(command.env("LOG_LEVEL", "warn").spawn().unwrap())
    }
}

/// Polls until `condition` returns a value, and panics if it doesn't within [`EVENTUALLY_TIMEOUT`].
pub fn eventually<T>(description: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + EVENTUALLY_TIMEOUT;
    while Instant::now() < end {
        if let Some(value) = condition() {
            return value;
        }
        std::thread::sleep(EVENTUALLY_POLL_INTERVAL);
    }
    panic!("condition not met within {EVENTUALLY_TIMEOUT:?}: {description}");
}
