//! Reads scenario files and validates them. An error names the file, the line and the key.

use std::path::{Path, PathBuf};

use linestack_world::Scenario;
use thiserror::Error;

/// Why a scenario file was rejected.
#[derive(Debug, Error)]
pub enum ScenarioFileError {
    /// The file could not be read.
    #[error("{}: {why}", path.display())]
    Unreadable { path: PathBuf, why: std::io::Error },
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error("{}:{line}: {why}", path.display())]
    Malformed { path: PathBuf, line: usize, why: String },
    /// Values that are out of range or contradict each other: one line for each error, with its place in the file.
    #[error("{0}")]
    Invalid(String),
}

/// Reads a scenario file and validates it.
///
/// # Errors
///
/// The file cannot be read, is malformed, or is invalid.
pub fn read(path: &Path) -> Result<Scenario, ScenarioFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|why| ScenarioFileError::Unreadable { path: path.to_owned(), why })?;
    parse(&text, path)
}

/// Parses the text of a scenario and validates it; `path` is named in the errors.
///
/// # Errors
///
/// The text is malformed or invalid.
pub fn parse(text: &str, path: &Path) -> Result<Scenario, ScenarioFileError> {
    let scenario: Scenario = toml::from_str(text).map_err(|error| {
        let at = error.span().map_or(0, |s| s.start);
        let line = text[..at.min(text.len())].lines().count().max(1);
        // Where the error is in the first column, only the lines before it were counted.
        let line = if text[..at.min(text.len())].ends_with('\n') { line + 1 } else { line };
        let why = error.message().replace('\n', "; ");
        ScenarioFileError::Malformed { path: path.to_owned(), line, why }
    })?;
    scenario.validate().map_err(|errors| {
        let with_place = |error: &str| {
            let key = error.split(':').next().unwrap_or("");
            let line = line_of_key(text, key).map_or(String::new(), |l| format!("{l}:"));
            format!("{}:{line} {error}", path.display())
        };
        ScenarioFileError::Invalid(errors.lines().map(with_place).collect::<Vec<_>>().join("\n"))
    })?;
    Ok(scenario)
}

/// Returns the line number of a key such as `executors[1].slots`. If the key is missing, returns that of its
/// table, if there is one.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let (table, last) = key.rsplit_once('.').map_or(("", key), |(t, l)| (t, l));
    let (name, index) = match table.split_once('[') {
        Some((name, index)) => (name, index.trim_end_matches(']').parse::<usize>().ok()?),
        None => (table, 0),
    };
    let last = last.split('[').next().unwrap_or(last);
    let (mut current, mut tables_seen) = (String::new(), 0);
    let mut header = None;
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            current = line.trim_matches(['[', ']']).to_owned();
            if current == name {
                tables_seen += 1;
                if tables_seen == index + 1 {
                    header = Some(i + 1);
                }
            }
            if current == last && table.is_empty() {
                return Some(i + 1);
            }
        } else if line.split('=').next().is_some_and(|k| k.trim() == last) {
            let in_table = current == name && (name.is_empty() || tables_seen == index + 1);
            if in_table {
                return Some(i + 1);
            }
        }
    }
    header
}
