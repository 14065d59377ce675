//! `tallypaddlectl explain`: a request's story from the gateways' logs.

use super::Error;
use crate::cmd::read_file;
use std::collections::BTreeMap;
use std::io::Read;
use std::path::PathBuf;

/// Beliefs that changed up to so many seconds before the request are part of its story.
const BEFORE_S: f64 = 5.0;
/// The log's parts whose lines say what a gateway believes.
const BELIEFS: [&str; 6] = ["manifest", "upstream", "store", "budget", "fleet", "gateway"];

/// The arguments of `explain`.
#[derive(Clone, Debug)]
pub struct Explain {
    /// The request's identifier.
    pub id: String,
    /// Log files of gateways; standard input if there are none.
    pub logs: Vec<PathBuf>,
}

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    time: f64,
    source: String,
    text: String,
}

impl Explain {
    /// Prints the request's lines in order of time, with what its gateways believed then and for how long.
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
        let story = story(lines, &self.id);
        if story.is_empty() {
            return Err(Error::Invalid(format!("no line of these logs names the request {}", self.id)));
        }
        story.iter().for_each(|line| println!("{line}"));
        Ok(())
    }
}

/// Reads the lines of a log; what a collector wrote before the time names the source.
fn parse<'a>(file: &'a str, text: &'a str) -> impl Iterator<Item = Line> + 'a {
    text.lines().filter_map(move |line| {
        let start = if line.starts_with("t=") { 0 } else { line.find(" t=")? + 1 };
        let (time, text) = line[start + "t=".len()..].split_once(' ')?;
        let before = line[..start].split_whitespace().last().unwrap_or(file);
        Some(Line { time: time.parse().ok()?, source: before.to_owned(), text: text.to_owned() })
    })
}

/// The value of a key in a line.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let key = format!("{key}=");
    text.split_whitespace().find_map(|word| word.strip_prefix(key.as_str()))
}

/// The lines of a request, among the beliefs that touch it.
fn story(mut lines: Vec<Line>, id: &str) -> Vec<String> {
    lines.sort_by(|left, right| left.time.total_cmp(&right.time));
    let own: Vec<&Line> = lines.iter().filter(|line| value(&line.text, "id") == Some(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return vec![] };
    let touches = |line: &Line| {
        own.iter().any(|own| {
            let same = |key| value(&own.text, key).is_some_and(|named| value(&line.text, key) == Some(named));
            own.source == line.source && (same("upstream") || same("team"))
        })
    };
    let is_general = |line: &Line| {
        let of_gateway = own.iter().any(|own| own.source == line.source);
        of_gateway && value(&line.text, "upstream").is_none() && value(&line.text, "team").is_none()
    };
    // Of each kind of belief the last one before the request counts, however old it is.
    let mut earlier: BTreeMap<(String, String), &Line> = BTreeMap::new();
    let mut told: Vec<(&Line, bool)> = own.iter().map(|line| (*line, true)).collect();
    for line in lines.iter().filter(|line| part(&line.text).is_some_and(|part| BELIEFS.contains(&part))) {
        if !(touches(line) || is_general(line)) || line.time > last.time {
            continue;
        }
        if line.time >= first.time - BEFORE_S {
            told.push((line, false));
        } else {
            let about = value(&line.text, "upstream").or(value(&line.text, "team")).unwrap_or_default();
            let kind = format!("{} {about}", part(&line.text).unwrap_or_default());
            earlier.insert((line.source.clone(), kind), line);
        }
    }
    told.extend(earlier.values().map(|line| (*line, false)));
    told.sort_by(|left, right| left.0.time.total_cmp(&right.0.time));
    told.iter()
        .map(|(line, is_own)| {
            let mark = if *is_own { ">" } else { " " };
            format!("{mark} {:+9.3} s {} {}", line.time - first.time, line.source, line.text)
        })
        .collect()
}

/// The part of the program that wrote a line: the word that ends in a colon.
fn part(text: &str) -> Option<&str> {
    text.split_whitespace().find_map(|word| word.strip_suffix(':'))
}
