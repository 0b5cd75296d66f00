//! The real program as child processes.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// A controller; it ends with its handle.
pub struct Controller(Child);

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An address on loopback that nobody listens at.
pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// The program under test. Only the tests of its own package know where cargo has put it.
#[derive(Clone, Copy)]
pub struct Program {
    path: &'static str,
}

impl Program {
    /// The program at this path, usually `env!("CARGO_BIN_EXE_seamfront")`.
    pub const fn at(path: &'static str) -> Program {
        Program { path }
    }

    /// A command that runs it.
    pub fn command(self) -> Command {
        Command::new(self.path)
    }

    /// Starts a controller with these settings.
    pub fn start(self, dir: &Path, settings: &str, args: &[&str]) -> Controller {
        let path = dir.join("settings.toml");
        std::fs::write(&path, settings).unwrap();
        let mut command = self.command();
        command.args(args).arg("--config").arg(path);
        Controller(command.env("LOG_LEVEL", "warn").spawn().unwrap())
    }
}

/// Waits for what must come; only a run that hangs fails by the clock.
pub fn eventually<T>(what: &str, mut f: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_mins(1);
    while Instant::now() < end {
        if let Some(t) = f() {
            return t;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("never happened: {what}");
}
