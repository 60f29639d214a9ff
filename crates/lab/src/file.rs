//! Scenario files: TOML, checked as a whole. A fault names the file, the line and the key.

use std::path::{Path, PathBuf};

use linestack_world::Scenario;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum Fault {
    #[error("{}: {why}", path.display())]
    Unreadable { path: PathBuf, why: std::io::Error },
    #[error("{}:{line}: {why}", path.display())]
    Malformed { path: PathBuf, line: usize, why: String },
    /// One line for each fault.
    #[error("{0}")]
    Impossible(String),
}

/// Reads a scenario and checks it.
///
/// # Errors
///
/// What stands in its way, with the place in the file.
pub fn read(path: &Path) -> Result<Scenario, Fault> {
    let text =
        std::fs::read_to_string(path).map_err(|why| Fault::Unreadable { path: path.to_owned(), why })?;
    parse(&text, path)
}

/// Reads the text of a scenario; `path` is for the messages.
///
/// # Errors
///
/// As [`read`].
pub fn parse(text: &str, path: &Path) -> Result<Scenario, Fault> {
    let scenario: Scenario = toml::from_str(text).map_err(|fault| {
        let at = fault.span().map_or(0, |s| s.start);
        let line = text[..at.min(text.len())].lines().count().max(1);
        // At a line's first column the lines before it are all that was counted.
        let line = if text[..at.min(text.len())].ends_with('\n') { line + 1 } else { line };
        let why = fault.message().replace('\n', "; ");
        Fault::Malformed { path: path.to_owned(), line, why }
    })?;
    scenario.validate().map_err(|faults| {
        let place = |fault: &str| {
            let key = fault.split(':').next().unwrap_or("");
            let line = line_of(text, key).map_or(String::new(), |l| format!("{l}:"));
            format!("{}:{line} {fault}", path.display())
        };
        Fault::Impossible(faults.lines().map(place).collect::<Vec<_>>().join("\n"))
    })?;
    Ok(scenario)
}

/// The line on which a key such as `executors[1].slots` stands, as far as it is written out.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let (table, last) = key.rsplit_once('.').map_or(("", key), |(t, l)| (t, l));
    let (name, number) = match table.split_once('[') {
        Some((name, number)) => (name, number.trim_end_matches(']').parse::<usize>().ok()?),
        None => (table, 0),
    };
    let last = last.split('[').next().unwrap_or(last);
    let (mut present, mut seen) = (String::new(), 0);
    let mut header = None;
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            present = line.trim_matches(['[', ']']).to_owned();
            if present == name {
                seen += 1;
                if seen == number + 1 {
                    header = Some(i + 1);
                }
            }
            if present == last && table.is_empty() {
                return Some(i + 1);
            }
        } else if line.split('=').next().is_some_and(|k| k.trim() == last) {
            let here = present == name && (name.is_empty() || seen == number + 1);
            if here {
                return Some(i + 1);
            }
        }
    }
    header
}
