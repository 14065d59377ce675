//! `tallypaddlectl quarantine list` and `quarantine lift`.

use super::Error;
use crate::cmd::read_gateway_settings;
use gateway::denials::{self, Denial, Selector};
use serde_json::json;
use std::path::{Path, PathBuf};

/// The arguments of `quarantine list`.
#[derive(Clone, Debug)]
pub struct ListDenials {
    /// A gateway's settings file.
    pub settings: PathBuf,
    /// Prints JSON.
    pub json: bool,
}

/// The arguments of `quarantine lift`.
#[derive(Clone, Debug)]
pub struct LiftDenials {
    /// A fingerprint, or `all`.
    pub which: String,
    /// A gateway's settings file.
    pub settings: PathBuf,
}

impl ListDenials {
    /// Lists the requests that are denied because upstreams crashed while running them.
    ///
    /// # Errors
    /// Fails if the store can't be read.
    pub fn execute(&self) -> Result<(), Error> {
        let rows = rows(&self.settings)?;
        for denial in net::exec::block_on(denials::list(&rows))? {
            println!("{}", if self.json { as_json(&denial) } else { as_text(&denial) });
        }
        Ok(())
    }
}

impl LiftDenials {
    /// Lifts denials. The gateways allow the requests again within seconds.
    ///
    /// # Errors
    /// Fails if the fingerprint is malformed, the request is not denied, or the store can't be read or
    /// written.
    pub fn execute(&self) -> Result<(), Error> {
        let selector = match self.which.as_str() {
            "all" => Selector::All,
            text => Selector::One(
                text.parse()
                    .map_err(|error| Error::Invalid(format!("{error}; use `all` to lift all denials")))?,
            ),
        };
        let rows = rows(&self.settings)?;
        let lifted = net::exec::block_on(denials::lift(&rows, selector))?;
        if lifted.is_empty() && selector != Selector::All {
            return Err(Error::Invalid(format!("{} is not denied", self.which)));
        }
        lifted.iter().for_each(|denial| println!("lifted {}", denial.fingerprint));
        Ok(())
    }
}

fn rows(settings: &Path) -> Result<::platform::HttpRows, Error> {
    Ok(::platform::HttpRows::new(read_gateway_settings(settings)?.store))
}

fn as_text(denial: &Denial) -> String {
    let Denial { fingerprint, parts, upstreams, left_ms, .. } = denial;
    let prompts = match parts.is_empty() {
        true => String::new(),
        false => format!("prompts with the parts {}; ", ids(parts).join(", ")),
    };
    let upstreams = upstreams.join(", ");
    format!("{fingerprint}: {prompts}crashed {upstreams}; denied for another {} s", left_ms / 1_000)
}

fn as_json(denial: &Denial) -> String {
    let Denial { fingerprint, parts, upstreams, left_ms, .. } = denial;
    let fingerprint = fingerprint.to_string();
    json!({"fingerprint": fingerprint, "parts": ids(parts), "upstreams": upstreams, "left-ms": left_ms})
        .to_string()
}

/// The identifiers of parts of prompts as callers send them.
fn ids(parts: &[u64]) -> Vec<String> {
    parts.iter().map(|part| format!("{part:x}")).collect()
}
