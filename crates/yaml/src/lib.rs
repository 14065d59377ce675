//! Parses YAML and reports all errors at once, each with its line and key path.
//!
//! ```
//! let text = "port: no\nnode:\n  nane: x\n";
//! #[derive(Debug, Default, serde::Deserialize)]
//! struct Node { name: Option<String> }
//! let errors = yaml::read(text, |reader, mut root| {
//!     reader.take::<u16>(&mut root, "port");
//!     reader.take::<Node>(&mut root, "node");
//! })
//! .unwrap_err();
//! assert_eq!(errors[0].line, 1);
//! assert_eq!(errors[1].to_string(), "line 3: node.nane: unknown key");
//! ```

use marked_yaml::Node;
use serde::de::DeserializeOwned;
use serde_yaml_ng::{Mapping, Value};
use std::collections::BTreeMap;

/// An error in a YAML text.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, thiserror::Error)]
#[error("line {line}: {path}: {reason}")]
pub struct ConfigError {
    /// The line, starting at 1; 0 if it is unknown.
    pub line: usize,
    /// The key path, separated by dots.
    pub path: String,
    /// The error, and the allowed values.
    pub reason: String,
}

/// Parses `text` and passes the root mapping to `build`, which reads the values.
///
/// # Errors
/// Returns all errors, sorted by line.
pub fn read<T>(text: &str, build: impl FnOnce(&mut Reader, Mapping) -> T) -> Result<T, Vec<ConfigError>> {
    let root: Value = match serde_yaml_ng::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            let line = error.location().map_or(0, |location| location.line());
            return Err(vec![ConfigError { line, path: "(file)".to_owned(), reason: error.to_string() }]);
        }
    };
    let Value::Mapping(root) = root else {
        let reason = "must be a mapping".to_owned();
        return Err(vec![ConfigError { line: 1, path: "(file)".to_owned(), reason }]);
    };
    let mut reader = Reader { errors: vec![] };
    let built = build(&mut reader, root);
    if reader.errors.is_empty() {
        return Ok(built);
    }
    let marked = marked_yaml::parse_yaml(0, text).ok();
    let mut errors: Vec<ConfigError> = reader
        .errors
        .into_iter()
        .map(|(path, reason)| ConfigError {
            line: marked.as_ref().map_or(0, |root| line_of(root, &path)),
            path: path.join("."),
            reason,
        })
        .collect();
    errors.sort();
    Err(errors)
}

/// Returns the line of the deepest part of `path` that exists in the text.
fn line_of(root: &Node, path: &[String]) -> usize {
    let start = |node: &Node| node.span().start().map_or(0, |marker| marker.line());
    let mut node = root;
    let mut line = start(root);
    for key in path {
        let next = match node {
            Node::Mapping(mapping) => {
                let entry = mapping.iter().find(|(name, _)| name.as_str() == key);
                if let Some((name, _)) = entry {
                    line = name.span().start().map_or(line, |marker| marker.line());
                }
                entry.map(|(_, value)| value)
            }
            Node::Sequence(sequence) => key.parse().ok().and_then(|index| sequence.get_node(index)),
            Node::Scalar(_) => None,
        };
        let Some(next) = next else { return line };
        if !matches!(node, Node::Mapping(_)) {
            line = start(next).max(line);
        }
        node = next;
    }
    line
}

/// Reads values from a YAML mapping and collects the errors.
#[derive(Debug)]
pub struct Reader {
    errors: Vec<(Vec<String>, String)>,
}

impl Reader {
    /// Adds an error.
    pub fn add(&mut self, path: &[&str], reason: impl Into<String>) {
        self.errors.push((path.iter().map(|part| (*part).to_owned()).collect(), reason.into()));
    }

    /// Whether no error has been found so far.
    pub fn is_clean(&self) -> bool {
        self.errors.is_empty()
    }

    /// Removes the value of `key` from the root and parses it; returns `None` if it is absent or invalid.
    pub fn take<T: DeserializeOwned>(&mut self, root: &mut Mapping, key: &str) -> Option<T> {
        let value = root.remove(key)?;
        self.parse_entry(&[key], value)
    }

    /// Like [`Reader::take`], but adds an error if the key is absent.
    pub fn require<T: DeserializeOwned>(&mut self, root: &mut Mapping, key: &str) -> Option<T> {
        if !root.contains_key(key) {
            self.add(&[key], "is missing");
        }
        self.take(root, key)
    }

    /// Removes a mapping from names to `T` from the root and parses its entries. Entries that can't be parsed
    /// are left out.
    pub fn take_entries<T: DeserializeOwned>(
        &mut self,
        root: &mut Mapping,
        key: &str,
    ) -> BTreeMap<String, T> {
        root.remove(key).map(|value| self.parse_entries(key, value)).unwrap_or_default()
    }

    /// Adds an error for each key that is left in the root. `allowed` lists the allowed keys for the message.
    pub fn finish(&mut self, root: &Mapping, allowed: &str) {
        for key in root.keys() {
            self.add(&[key.as_str().unwrap_or("?")], format!("unknown key; allowed: {allowed}"));
        }
    }

    fn parse_entries<T: DeserializeOwned>(&mut self, section: &str, value: Value) -> BTreeMap<String, T> {
        let Value::Mapping(mapping) = value else {
            self.add(&[section], "must be a mapping with names as keys");
            return BTreeMap::new();
        };
        let mut entries = BTreeMap::new();
        for (name, value) in mapping {
            let Some(name) = name.as_str() else {
                self.add(&[section], "names must be strings");
                continue;
            };
            if !is_name(name) {
                self.add(&[section, name], "a name has 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'");
            }
            if let Some(entry) = self.parse_entry(&[section, name], value) {
                entries.insert(name.to_owned(), entry);
            }
        }
        entries
    }

    fn parse_entry<T: DeserializeOwned>(&mut self, path: &[&str], value: Value) -> Option<T> {
        let mut unknown = vec![];
        let mut track = serde_path_to_error::Track::new();
        let deserializer = serde_path_to_error::Deserializer::new(value, &mut track);
        let result: Result<T, _> =
            serde_ignored::deserialize(deserializer, |key| unknown.push(key.to_string()));
        for key in unknown {
            let mut path = path.to_vec();
            path.extend(key.split('.'));
            self.add(&path, "unknown key");
        }
        match result {
            Ok(entry) => Some(entry),
            Err(error) => {
                let inner = track.path().to_string().replace('[', ".").replace(']', "");
                let mut path = path.to_vec();
                path.extend(inner.split('.').filter(|part| !part.is_empty()));
                self.add(&path, error.to_string());
                None
            }
        }
    }
}

/// Whether `name` is a valid name of a team, an upstream, a model or a VM.
pub fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    (1..=64).contains(&name.len()) && name.bytes().all(allowed)
}
