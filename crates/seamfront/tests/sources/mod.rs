//! Reads the sources of the workspace, for tests that check names in them.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Collects the Rust files below a folder, without those of build directories.
pub fn collect_rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() && path.file_name().is_some_and(|name| name != "target") {
            collect_rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// The words of a text: sequences of letters, digits and underscores.
pub fn words(code: &str) -> BTreeSet<&str> {
    code.split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .collect()
}
