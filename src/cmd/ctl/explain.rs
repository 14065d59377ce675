//! `tallypaddlectl explain`: what happened to a request, from the gateways' logs.

use super::Error;
use crate::cmd::read_file;
use std::collections::BTreeMap;
use std::io::Read;
use std::path::PathBuf;

/// All state changes within this time before the request are printed, in seconds. Of older ones, only the
/// last of each kind is printed.
const CONTEXT_S: f64 = 5.0;
/// The components whose lines log the state of a gateway.
const STATE_COMPONENTS: [&str; 6] = ["manifest", "upstream", "store", "budget", "fleet", "gateway"];

/// The arguments of `explain`.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The request's identifier.
    pub id: String,
    /// Log files of gateways; if empty, standard input is read.
    pub logs: Vec<PathBuf>,
}

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    time: f64,
    source: String,
    text: String,
}

impl Explain {
    /// Prints the lines of the request in order of time, with those that show the state of its gateways. All
    /// times are relative to the request's first line.
    ///
    /// # Errors
    /// Fails if a log can't be read or no line names the request.
    pub fn execute(&self) -> Result<(), Error> {
        let mut lines = vec![];
        if self.logs.is_empty() {
            let mut text = String::new();
            std::io::stdin()
                .read_to_string(&mut text)
                .map_err(|source| Error::File { path: "standard input".to_owned(), source })?;
            lines.extend(parse("-", &text));
        }
        for path in &self.logs {
            lines.extend(parse(&path.display().to_string(), &read_file(path)?));
        }
        let timeline = timeline(lines, &self.id);
        if timeline.is_empty() {
            return Err(Error::Invalid(format!("no line in these logs mentions the request {}", self.id)));
        }
        timeline.iter().for_each(|line| println!("{line}"));
        Ok(())
    }
}

/// Parses the lines of a log. The word before the timestamp, which a log collector adds, is the source of a
/// line; without one it is the file.
fn parse<'a>(file: &'a str, text: &'a str) -> impl Iterator<Item = Line> + 'a {
    text.lines().filter_map(move |line| {
        let start = if line.starts_with("t=") { 0 } else { line.find(" t=")? + 1 };
        let (time, text) = line[start + "t=".len()..].split_once(' ')?;
        let before = line[..start].split_whitespace().last().unwrap_or(file);
        Some(Line { time: time.parse().ok()?, source: before.to_owned(), text: text.to_owned() })
    })
}

/// Returns the value of a key in a line.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let key = format!("{key}=");
    text.split_whitespace().find_map(|word| word.strip_prefix(key.as_str()))
}

/// Returns the lines of a request, and those that show the state of its gateways, upstreams and teams.
fn timeline(mut lines: Vec<Line>, id: &str) -> Vec<String> {
    lines.sort_by(|left, right| left.time.total_cmp(&right.time));
    let own: Vec<&Line> = lines.iter().filter(|line| value(&line.text, "id") == Some(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return vec![] };
    let is_related = |line: &Line| {
        own.iter().any(|own| {
            let same = |key| value(&own.text, key).is_some_and(|named| value(&line.text, key) == Some(named));
            own.source == line.source && (same("upstream") || same("team"))
        })
    };
    let is_general = |line: &Line| {
        let of_gateway = own.iter().any(|own| own.source == line.source);
        of_gateway && value(&line.text, "upstream").is_none() && value(&line.text, "team").is_none()
    };
    // Of older state, the last line of each component and upstream or team still applies, whatever its age.
    let mut earlier: BTreeMap<(String, String), &Line> = BTreeMap::new();
    let mut printed: Vec<(&Line, bool)> = own.iter().map(|line| (*line, true)).collect();
    for line in lines
        .iter()
        .filter(|line| component(&line.text).is_some_and(|component| STATE_COMPONENTS.contains(&component)))
    {
        if !(is_related(line) || is_general(line)) || line.time > last.time {
            continue;
        }
        if line.time >= first.time - CONTEXT_S {
            printed.push((line, false));
        } else {
            let about = value(&line.text, "upstream").or(value(&line.text, "team")).unwrap_or_default();
            let kind = format!("{} {about}", component(&line.text).unwrap_or_default());
            earlier.insert((line.source.clone(), kind), line);
        }
    }
    printed.extend(earlier.values().map(|line| (*line, false)));
    printed.sort_by(|left, right| left.0.time.total_cmp(&right.0.time));
    printed
        .iter()
        .map(|(line, is_own)| {
            let mark = if *is_own { ">" } else { " " };
            format!("{mark} {:+9.3} s {} {}", line.time - first.time, line.source, line.text)
        })
        .collect()
}

/// Returns the component that wrote a line: the first word that ends in a colon.
fn component(text: &str) -> Option<&str> {
    text.split_whitespace().find_map(|word| word.strip_suffix(':'))
}
