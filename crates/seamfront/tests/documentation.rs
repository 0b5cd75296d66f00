//! Checks that the modules, functions, files and log lines named in the documentation exist in the repository.

mod sources;

use sources::{collect_rust_files, words};
use std::fs;
use std::path::{Path, PathBuf};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The text of a page, by its path from the repository root.
fn page(name: &str) -> String {
    let path = repository_root().join(name);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The concatenated text of all Rust files below `src` folders, which excludes integration tests.
fn sources() -> String {
    let mut files = Vec::new();
    collect_rust_files(&repository_root().join("crates"), &mut files);
    let sources = files
        .iter()
        .filter(|path| path.components().any(|part| part.as_os_str() == "src"));
    sources
        .map(|path| fs::read_to_string(path).unwrap())
        .collect()
}

/// The inline code spans of a Markdown text, without those in fenced code blocks.
fn code_spans(text: &str) -> Vec<&str> {
    let outside = text.split("```").step_by(2);
    outside
        .flat_map(|part| part.split('`').skip(1).step_by(2))
        .collect()
}

/// The cells in the first column of the table whose header line begins with `header`.
fn first_column<'a>(text: &'a str, header: &str) -> Vec<&'a str> {
    let mut lines = text.lines().skip_while(|line| !line.starts_with(header));
    assert!(
        lines.next().is_some(),
        "no table with the header {header:?}"
    );
    let rows = lines.skip(1).take_while(|line| line.starts_with('|'));
    rows.filter_map(|row| row.split('|').nth(1)).collect()
}

/// Whether a code span is a Rust path with at least two segments, such as `Engine::step`.
fn is_rust_path(span: &str) -> bool {
    let segment =
        |s: &str| !s.is_empty() && s.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    span.contains("::") && span.split("::").all(segment)
}

/// Whether the sources contain what a search term stands for: a message (`some text`), a field (`field=`,
/// `field=value`) or the text of a `why` field (`why=some text`).
fn is_logged(line: &str, sources: &str) -> bool {
    let message = line.strip_prefix("why=").unwrap_or(line);
    let field = message.split_once('=').map(|(field, _)| field);
    sources.contains(message) || field.is_some_and(|field| words(sources).contains(field))
}

#[test]
fn log_lines_that_operators_search_for_exist() {
    let sources = sources();
    let pages = [
        ("docs/operating.md", "| search for |"),
        ("docs/operating-duties.md", "| line |"),
    ];
    for (name, header) in pages {
        let text = page(name);
        for cell in first_column(&text, header) {
            // Job ids such as `j-000412` are examples of search terms, not log lines.
            for line in code_spans(cell)
                .into_iter()
                .filter(|line| !line.starts_with("j-"))
            {
                assert!(
                    is_logged(line, &sources),
                    "{name}: the sources log no line {line:?}"
                );
            }
        }
    }
}

#[test]
fn renamed_log_lines_exist_under_their_new_names() {
    let sources = sources();
    let text = page("docs/operating.md");
    let rows = text
        .lines()
        .skip_while(|line| !line.starts_with("| old line |"))
        .skip(2);
    let rows: Vec<&str> = rows.take_while(|line| line.starts_with('|')).collect();
    assert!(
        rows.len() > 50,
        "only {} renamed log lines in the table",
        rows.len()
    );
    for row in rows {
        let new = row.split('|').nth(2).unwrap_or_default();
        // The first code span is the log line; later ones describe its fields.
        let line = code_spans(new)[0];
        assert!(
            is_logged(line, &sources),
            "the sources log no line {line:?}"
        );
    }
}

#[test]
fn rust_paths_in_the_architecture_and_design_pages_exist() {
    let sources = sources();
    let known = words(&sources);
    for name in ["docs/architecture.md", "docs/design.md"] {
        let text = page(name);
        for span in code_spans(&text)
            .into_iter()
            .filter(|span| is_rust_path(span))
        {
            for segment in span.split("::") {
                assert!(
                    known.contains(segment),
                    "{name}: `{segment}` of `{span}` is not in the sources"
                );
            }
        }
    }
}

#[test]
fn files_named_in_the_pages_exist() {
    let pages = [
        "README.md",
        "CONTRIBUTING.md",
        "docs/architecture.md",
        "docs/glossary.md",
    ];
    for name in pages {
        let text = page(name);
        let paths = code_spans(&text).into_iter().filter(|span| {
            let prefixes = [
                "crates/",
                "docs/",
                "scripts/",
                "deploy/",
                "tests/days",
                "journal/",
            ];
            prefixes.iter().any(|prefix| span.starts_with(prefix))
                && !span.contains([' ', '<', '{'])
        });
        for path in paths {
            assert!(
                repository_root().join(path).exists(),
                "{name}: {path} does not exist"
            );
        }
    }
}
