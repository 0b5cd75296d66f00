//! The command that repeats a failed simulated run with its log.

/// Prints that command if it is dropped while its test panics.
pub(super) struct ReplayHint {
    seed: u64,
}

impl ReplayHint {
    pub(super) fn new(seed: u64) -> Self {
        ReplayHint { seed }
    }

    fn command(&self) -> String {
        let program = std::env::current_exe().unwrap_or_default();
        let program = program
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        // Cargo appends a hash to the name of the test binary.
        let target = program
            .rsplit_once('-')
            .map_or(program.as_str(), |(target, _)| target);
        let thread = std::thread::current();
        // With a single thread, tests run on the main thread, which does not have their name.
        let test = thread
            .name()
            .filter(|name| *name != "main")
            .unwrap_or_default();
        let seed = self.seed;
        format!("SEED={seed} LOG_LEVEL=debug cargo test --workspace --test {target} {test} -- --nocapture")
    }
}

impl Drop for ReplayHint {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("repeat with log: {}", self.command());
        }
    }
}
