//! Every name that leaves the process stands in the sources as a name or a literal. A rename that changes a wire form, a
//! stored record, a setting, a flag, a searched log line or the id of a simulated run fails here.

mod sources;

use sources::{collect_rust_files, words};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

fn crates() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The code of all files below folders of these names, without the lines that are comments.
fn code_in(folders: &[&str]) -> String {
    let mut files = Vec::new();
    collect_rust_files(&crates(), &mut files);
    let mut code = String::new();
    for file in files {
        let in_folder = |part: std::path::Component| {
            folders
                .iter()
                .any(|folder| part.as_os_str() == std::ffi::OsStr::new(folder))
        };
        if !file.components().any(in_folder) || file.ends_with("tests/external_names.rs") {
            continue;
        }
        let text = fs::read_to_string(&file).expect("a readable source file");
        for line in text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"))
        {
            code.push_str(line);
            code.push('\n');
        }
    }
    code
}

/// The names of each section, by the first word of its heading.
fn sections(text: &str) -> BTreeMap<&str, Vec<&str>> {
    let mut sections = BTreeMap::new();
    let mut heading = "";
    for line in text.lines().filter(|line| !line.is_empty()) {
        if let Some(title) = line.strip_prefix("# ") {
            heading = title.split([' ', ':']).next().unwrap_or_default();
        } else {
            sections.entry(heading).or_insert_with(Vec::new).push(line);
        }
    }
    sections
}

/// The names of a section that `stands` does not find.
fn missing<'n>(names: &[&'n str], stands: impl Fn(&str) -> bool) -> Vec<&'n str> {
    names.iter().copied().filter(|name| !stands(name)).collect()
}

#[test]
fn names_that_leave_the_process_stand_in_the_sources() {
    let sources = code_in(&["src", "examples", "build.rs"]);
    let everything = code_in(&["src", "examples", "build.rs", "tests"]);
    let known = words(&sources);
    let quoted = |code: &str, name: &str| code.contains(&format!("\"{name}\""));
    let list = sections(include_str!("external_names.txt"));
    let mut absent = Vec::new();
    for (heading, names) in &list {
        absent.extend(match *heading {
            "serialized" => missing(names, |name| known.contains(name)),
            "literals" => missing(names, |name| sources.contains(&format!("\"{name}"))),
            "environment" => missing(names, |name| quoted(&sources, name)),
            "flags" => missing(names, |name| {
                known.contains(name.trim_start_matches("--").replace('-', "_").as_str())
            }),
            "gRPC" => missing(names, |name| {
                name.split('.').all(|segment| known.contains(segment))
            }),
            "scenarios" | "coverage" => missing(names, |name| quoted(&everything, name)),
            "log" => missing(names, |name| sources.contains(name)),
            other => panic!("external_names.txt: unknown section {other:?}"),
        });
    }
    assert_eq!(list.len(), 8, "sections of external_names.txt");
    assert!(absent.is_empty(), "not in the sources: {absent:#?}");
}
