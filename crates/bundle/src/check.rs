//! Reading a bundle: every mistake at once, each with its line and key path.

use crate::model::{Budget, Bundle, Team};
use std::collections::BTreeSet;
use std::sync::Arc;
use yaml::{Mistake, Reader};

/// Hex digits of a key's hash.
const HASH_DIGITS: usize = 64;
/// The largest weight of a team.
const WEIGHT_MOST: u32 = 1_000;
/// The keys of a bundle.
const KEYS: &str = "teams, upstreams, evacuated, models, services, limits";

/// Reads and checks a bundle.
///
/// # Errors
/// Returns every mistake, in the order of the lines.
pub fn read(text: &str) -> Result<Bundle, Vec<Mistake>> {
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
        reader.finish(&root, KEYS);
        check(reader, &bundle);
        bundle
    })
}

fn check(reader: &mut Reader, bundle: &Bundle) {
    check_teams(reader, bundle);
    for (name, upstream) in &bundle.upstreams {
        if upstream.slots == 0 {
            reader.add(&["upstreams", name, "slots"], "0 is not allowed; at least 1");
        }
        for (index, model) in upstream.models.iter().enumerate() {
            if !bundle.models.contains_key(model) {
                let index = index.to_string();
                let reason = format!("model {model} is not described under models");
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
            let reason =
                format!("{} is not allowed; 1 to the context's {}", model.default_max_tokens, model.context);
            reader.add(&["models", name, "default-max-tokens"], reason);
        }
    }
    for (name, service) in &bundle.services {
        if service.addresses.is_empty() {
            reader.add(&["services", name, "addresses"], "at least one address is needed");
        }
    }
    if !(0.0..=1.0).contains(&bundle.limits.retry_share) {
        let reason = format!("{} is not allowed; 0 to 1", bundle.limits.retry_share);
        reader.add(&["limits", "retry-share"], reason);
    }
}

fn check_teams(reader: &mut Reader, bundle: &Bundle) {
    let mut hashes = BTreeSet::new();
    for (name, team) in &bundle.teams {
        if team.weight == 0 || team.weight > WEIGHT_MOST {
            let reason = format!("{} is not allowed; 1 to {WEIGHT_MOST}", team.weight);
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
                reader.add(&path, "this key is given twice");
            }
            if !team.budgets.contains_key(&key.budget) {
                reader.add(&path, format!("budget {} is not described under budgets", key.budget));
            }
        }
        for (budget, content) in &team.budgets {
            check_budget(reader, name, budget, content);
        }
    }
}

fn check_budget(reader: &mut Reader, team: &str, name: &str, budget: &Budget) {
    if !yaml::is_name(name) {
        reader.add(&["teams", team, "budgets", name], "a name has 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'");
    }
    let mut ids = BTreeSet::new();
    for (index, credit) in budget.credits.iter().enumerate() {
        if !ids.insert(&credit.id) {
            let index = index.to_string();
            let reason = format!("credit {} is given twice", credit.id);
            reader.add(&["teams", team, "budgets", name, "credits", &index], reason);
        }
    }
}
