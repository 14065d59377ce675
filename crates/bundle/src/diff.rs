//! Lists the changes between two bundles. Changes of budgets come first.

use crate::model::Bundle;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A difference between two bundles.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// The key path of the changed part.
    pub path: String,
    /// A description of the change.
    pub what: String,
    /// Whether a bundle with this change must be rejected.
    pub refused: bool,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.refused { "REFUSED " } else { "" };
        write!(formatter, "{mark}{}: {}", self.path, self.what)
    }
}

/// Lists the changes from `old` to `new`.
pub fn diff(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let mut changes = vec![];
    for (team, content) in &new.teams {
        for (budget, new_budget) in &content.budgets {
            let path = format!("teams.{team}.budgets.{budget}");
            let old_budget = old.teams.get(team).and_then(|team| team.budgets.get(budget));
            for credit in &new_budget.credits {
                let before = old_budget
                    .and_then(|old_budget| old_budget.credits.iter().find(|one| one.id == credit.id));
                match before {
                    None => changes.push(Change {
                        path: path.clone(),
                        what: format!("credit {} adds {} tokens", credit.id, credit.tokens),
                        refused: false,
                    }),
                    Some(before) if before.tokens != credit.tokens => changes.push(Change {
                        path: path.clone(),
                        what: format!(
                            "credit {} would change from {} to {} tokens; add a new credit instead",
                            credit.id, before.tokens, credit.tokens
                        ),
                        refused: true,
                    }),
                    Some(_) => {}
                }
            }
        }
    }
    compare("teams", &old.teams, &new.teams, &mut changes);
    compare("upstreams", &old.upstreams, &new.upstreams, &mut changes);
    let is_evacuated = |bundle: &Bundle| -> BTreeMap<String, ()> {
        bundle.evacuated.iter().map(|data_centre| (data_centre.clone(), ())).collect()
    };
    compare("evacuated", &is_evacuated(old), &is_evacuated(new), &mut changes);
    compare("models", &old.models, &new.models, &mut changes);
    compare("services", &old.services, &new.services, &mut changes);
    if old.limits != new.limits {
        changes.push(Change { path: "limits".to_owned(), what: "changes".to_owned(), refused: false });
    }
    changes
}

fn compare<T: PartialEq>(
    section: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    changes: &mut Vec<Change>,
) {
    let mut push = |name: &str, what: &str| {
        let path = format!("{section}.{name}");
        changes.push(Change { path, what: what.to_owned(), refused: false });
    };
    for (name, content) in new {
        match old.get(name) {
            None => push(name, "is added"),
            Some(before) if before != content => push(name, "changes"),
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        push(name, "is removed");
    }
}
