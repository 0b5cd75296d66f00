//! The real binary.

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

pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

pub fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_seamfront"))
}

pub fn start(dir: &Path, text: &str, args: &[&str]) -> Controller {
    let path = dir.join("settings.toml");
    std::fs::write(&path, text).unwrap();
    Controller(
        program()
            .args(args)
            .arg("--config")
            .arg(path)
            .env("LOG_LEVEL", "warn")
            .spawn()
            .unwrap(),
    )
}

/// Waits for what must come; only a run that hangs fails by the clock.
pub fn eventually<T>(what: &str, mut f: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end {
        if let Some(t) = f() {
            return t;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("never happened: {what}");
}
