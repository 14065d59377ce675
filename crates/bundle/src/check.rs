//! Parses and validates a bundle, and reports all errors with their lines and key paths.

use crate::model::{Budget, Bundle, Team};
use std::collections::BTreeSet;
use std::sync::Arc;
use yaml::{ConfigError, Reader};

/// The number of hex digits in the hash of an access key.
const HASH_DIGITS: usize = 64;
/// The maximum weight of a team.
const MAX_WEIGHT: u32 = 1_000;
/// The top-level keys of a bundle, for error messages.
const KNOWN_KEYS: &str = "teams, upstreams, evacuated, models, services, limits";

/// Parses and validates a bundle.
///
/// # Errors
/// Returns all errors, sorted by line.
pub fn read(text: &str) -> Result<Bundle, Vec<ConfigError>> {
    yaml::read(text, |reader, mut root| {
        let bundle = Bundle {
            teams: reader
                .take_entries::<Team>(&mut root, "teams")
                .into_iter()
                .map(|(name, team)| (name, Arc::new(team)))
                .collect(),
            upstreams: reader.take_entries(&mut root, "upstreams"),
            evacuated: reader.take(&mut root, "evacuated").unwrap_or_default(),
            models: reader.take_entries(&mut root, "models"),
            services: reader.take_entries(&mut root, "services"),
            limits: reader.take(&mut root, "limits").unwrap_or_default(),
        };
        reader.finish(&root, KNOWN_KEYS);
        validate(reader, &bundle);
        bundle
    })
}

fn validate(reader: &mut Reader, bundle: &Bundle) {
    validate_teams(reader, bundle);
    for (name, upstream) in &bundle.upstreams {
        if upstream.slots == 0 {
            reader.add(&["upstreams", name, "slots"], "must be at least 1, not 0");
        }
        for (index, model) in upstream.models.iter().enumerate() {
            if !bundle.models.contains_key(model) {
                let index = index.to_string();
                let reason = format!("model {model} is not defined under models");
                reader.add(&["upstreams", name, "models", &index], reason);
            }
        }
    }
    for data_centre in &bundle.evacuated {
        if !bundle.upstreams.values().any(|upstream| upstream.data_centre == *data_centre) {
            reader.add(&["evacuated"], format!("no upstream is in the data centre {data_centre}"));
        }
    }
    for (name, model) in &bundle.models {
        if model.default_max_tokens == 0 || model.default_max_tokens > model.context {
            let reason = format!(
                "must be between 1 and the context of {}, not {}",
                model.context, model.default_max_tokens
            );
            reader.add(&["models", name, "default-max-tokens"], reason);
        }
    }
    for (name, service) in &bundle.services {
        if service.addresses.is_empty() {
            reader.add(&["services", name, "addresses"], "must contain at least one address");
        }
    }
    if !(0.0..=1.0).contains(&bundle.limits.retry_share) {
        let reason = format!("must be between 0 and 1, not {}", bundle.limits.retry_share);
        reader.add(&["limits", "retry-share"], reason);
    }
}

fn validate_teams(reader: &mut Reader, bundle: &Bundle) {
    let mut hashes = BTreeSet::new();
    for (name, team) in &bundle.teams {
        if team.weight == 0 || team.weight > MAX_WEIGHT {
            let reason = format!("must be between 1 and {MAX_WEIGHT}, not {}", team.weight);
            reader.add(&["teams", name, "weight"], reason);
        }
        for (index, key) in team.keys.iter().enumerate() {
            let index = index.to_string();
            let path = ["teams", name.as_str(), "keys", index.as_str()];
            let is_hex = key.hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
            if key.hash.len() != HASH_DIGITS || !is_hex {
                reader.add(&path, "hash must be the key's SHA-256 in 64 lower-case hex digits");
            }
            if !hashes.insert(key.hash.clone()) {
                reader.add(&path, "this key is listed more than once");
            }
            if !team.budgets.contains_key(&key.budget) {
                reader.add(&path, format!("budget {} is not defined under budgets", key.budget));
            }
        }
        for (budget, content) in &team.budgets {
            validate_budget(reader, name, budget, content);
        }
    }
}

fn validate_budget(reader: &mut Reader, team: &str, name: &str, budget: &Budget) {
    if !yaml::is_name(name) {
        reader.add(&["teams", team, "budgets", name], "a name has 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'");
    }
    let mut ids = BTreeSet::new();
    for (index, credit) in budget.credits.iter().enumerate() {
        if !ids.insert(&credit.id) {
            let index = index.to_string();
            let reason = format!("credit {} is listed more than once", credit.id);
            reader.add(&["teams", team, "budgets", name, "credits", &index], reason);
        }
    }
}
