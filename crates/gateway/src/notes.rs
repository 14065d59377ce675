//! Usage notes: how much this gateway has used of each budget, and how much more it may use before its next
//! note.
//!
//! A note is a row that only this VM writes, under the condition that it is as last seen. When the VM's
//! gateway restarts, the new process reads the note and returns what the old process can't have used.

use crate::closing::{Exposure, NoteSummary, close_accounts};
use crate::manifest::{Manifest, Team};
use crate::node::Node;
use crate::ports::Wire;
use crate::settle::retry_delay;
use crate::table::{NOTE, NOTES, decode, encode};
use crate::team_budget::TeamBudget;
use async_channel::Receiver;
use budget::exposure::Schedule;
use budget::ledger::{Exposed, Line};
use net::exec;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use store::rows::{Change, Commit, Key, Rows};
use store::{Error, Fault};

/// The interval between two notes in a small fleet, in milliseconds. What a process may have used since its
/// last note is lost when it dies, and a note is a single small write.
const MIN_INTERVAL_MS: u64 = 200;
/// The largest fraction of the store's writes that the notes of the whole fleet take. The older a note is,
/// the more tokens are lost when its process dies, and the less may still be used during an outage.
const NOTE_WRITES_RATIO: f64 = 0.125;
/// The delay before closing the accounts of each team that the previous note does not name, for each gateway
/// of the fleet, in milliseconds. All gateways together read at most 50 teams per second.
const CLOSE_DELAY_PER_GATEWAY_MS: u64 = 20;
/// The delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The weight of a shorter duration in the average duration of a write; a longer one replaces the average.
const DECREASE_WEIGHT: f64 = 0.3;
/// The interval at which a starting gateway checks whether it has a manifest.
const MANIFEST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A usage note.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Note {
    /// A time no later than when the note was sent, in milliseconds of the store's clock.
    at: u64,
    /// The schedules by team and account: the accounts of a gateway have the same name in the partition of
    /// each team.
    budgets: BTreeMap<String, BTreeMap<String, Schedule>>,
}

/// The last usage note of the previous process on this VM.
struct PreviousNote {
    note: Note,
    /// A time at which that process was certainly dead, in milliseconds of the store's clock.
    dead_by_ms: u64,
}

impl PreviousNote {
    fn age_ms(&self) -> u64 {
        self.dead_by_ms.saturating_sub(self.note.at)
    }

    fn schedule(&self, team: &str, account: &str) -> Option<&Schedule> {
        self.note.budgets.get(team)?.get(account)
    }
}

impl Exposure for PreviousNote {
    fn exposed(&self, team: &str, account: &str, line: &Line) -> Exposed {
        match self.schedule(team, account) {
            Some(schedule) => schedule.exposed(line, self.age_ms()),
            // The process died before it noted this account, so only the account's line limited its use.
            None => Exposed { charged: 0, at_most: line.exposed },
        }
    }

    fn note_summary(&self, team: &str, account: &str) -> Option<NoteSummary> {
        let schedule = self.schedule(team, account)?;
        let age_ms = self.age_ms();
        let Schedule { used, charged, .. } = *schedule;
        Some(NoteSummary { age_ms, used, charged, limit: schedule.limit(age_ms) })
    }
}

/// Closes the accounts of earlier processes of this VM, then writes the usage notes of this one.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>, requests: Receiver<()>) {
    let manifest = first_manifest(&node).await;
    let mut recovery = Recovery::default();
    let mut failures = 0;
    let mut version = loop {
        match recovery.close_noted(&node, &manifest).await {
            Ok(version) => break Some(version),
            Err(error) => {
                log::warn!("budget: event=not-recovered closed={} {error}", recovery.closed.len());
                exec::sleep(retry_delay(failures, node.owners.total_owners())).await;
                failures += 1;
            }
        }
    };
    exec::spawn(close_remaining(node.clone(), manifest, recovery)).detach();
    let mut latency = WriteLatency::default();
    loop {
        let _ = exec::timeout(Duration::from_millis(interval_ms(&node)), requests.recv()).await;
        let open_budgets: Vec<Arc<TeamBudget>> = node.budgets().values().cloned().collect();
        if open_budgets.is_empty() {
            continue;
        }
        match write(&node, &open_budgets, &mut version, &mut latency).await {
            Ok(()) => {}
            Err(error) => {
                log::warn!("budget: event=not-noted {error}");
                exec::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Closes the remaining accounts slowly: otherwise each gateway of a restarting fleet would read the accounts
/// of every team at the same time.
async fn close_remaining<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    manifest: Arc<Manifest>,
    mut recovery: Recovery,
) {
    loop {
        exec::sleep(Duration::from_millis(node.fleet_size() * CLOSE_DELAY_PER_GATEWAY_MS)).await;
        match recovery.close_next(&node, &manifest).await {
            Ok(RecoveryProgress::Closed) => {}
            Ok(RecoveryProgress::Done) => return,
            Err(error) => {
                log::warn!("budget: event=not-recovered closed={} {error}", recovery.closed.len());
                exec::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// The interval between two notes, in milliseconds. It depends on the number of owners, which write notes all
/// the time. Gateways that hold tokens beside the owners write notes too and are not counted.
fn interval_ms<W: Wire, S: Rows>(node: &Node<W, S>) -> u64 {
    let per_s = node.settings.store_writes_per_s as f64 * NOTE_WRITES_RATIO;
    MIN_INTERVAL_MS.max((node.owners.total_owners() as f64 * 1_000.0 / per_s) as u64)
}

/// Closes the accounts of earlier processes of this VM, which are certainly dead, and opens the budgets that
/// these used: their teams are expected to send further requests, perhaps during a network partition.
#[derive(Default)]
pub(crate) struct Recovery {
    /// The previous note, and the version of its row.
    previous: Option<(PreviousNote, u64)>,
    /// The teams whose accounts are closed. While a whole fleet restarts, the store refuses many calls; a
    /// retry skips these teams.
    closed: HashSet<String>,
}

/// The progress of a recovery.
pub(crate) enum RecoveryProgress {
    /// The accounts of one more team are closed.
    Closed,
    /// No accounts are left to close.
    Done,
}

impl Recovery {
    /// Closes the accounts of the teams that the previous note names, which hold nearly all tokens of the
    /// earlier processes. After an error, a further call continues with the teams that are left. Returns the
    /// version of the note's row.
    ///
    /// # Errors
    /// Fails if the store does.
    pub(crate) async fn close_noted<W: Wire, S: Rows>(
        &mut self,
        node: &Node<W, S>,
        manifest: &Manifest,
    ) -> Result<u64, Error> {
        let (previous, version) = self.previous(node).await?;
        let noted: Vec<String> = previous.note.budgets.keys().cloned().collect();
        let version = *version;
        while let RecoveryProgress::Closed =
            self.close_one(node, manifest, |team| noted.iter().any(|noted| noted == team)).await?
        {}
        Ok(version)
    }

    /// Closes the accounts of one more team. The earlier processes may have drawn on it but died before they
    /// noted it.
    ///
    /// # Errors
    /// Fails if the store does.
    pub(crate) async fn close_next<W: Wire, S: Rows>(
        &mut self,
        node: &Node<W, S>,
        manifest: &Manifest,
    ) -> Result<RecoveryProgress, Error> {
        self.close_one(node, manifest, |_| true).await
    }

    async fn previous<W: Wire, S: Rows>(
        &mut self,
        node: &Node<W, S>,
    ) -> Result<&mut (PreviousNote, u64), Error> {
        match &mut self.previous {
            Some(known) => Ok(known),
            unread => Ok(unread.insert(read_previous(node).await?)),
        }
    }

    /// Closes the accounts of one team out of those that are selected and not closed yet.
    async fn close_one<W: Wire, S: Rows>(
        &mut self,
        node: &Node<W, S>,
        manifest: &Manifest,
        is_selected: impl Fn(&str) -> bool,
    ) -> Result<RecoveryProgress, Error> {
        let is_due = |team: &&Arc<Team>| {
            team.reserved.is_some() && is_selected(&team.name) && !self.closed.contains(&team.name)
        };
        let due: Vec<Arc<Team>> = manifest.teams.values().filter(is_due).cloned().collect();
        // A random one, so that the gateways of a restarting fleet do not all start with the same team.
        let Some(team) = due.choose(&mut rand::thread_rng()) else { return Ok(RecoveryProgress::Done) };
        let own = format!("{}#", node.settings.name);
        let current = format!("{}.", node.holder);
        let is_earlier = |holder: &str| holder.starts_with(&own) && !holder.starts_with(&current);
        let writers = node.owners.total_owners();
        let (previous, _) = self.previous(node).await?;
        let spent = close_accounts(&node.rows, &team.name, is_earlier, previous, writers).await?;
        self.closed.insert(team.name.clone());
        let Some(spent) = spent else { return Ok(RecoveryProgress::Closed) };
        if let Some(budget) = node.budget(manifest, team) {
            budget.set_earlier_use(spent);
        }
        Ok(RecoveryProgress::Closed)
    }
}

/// Reads the last usage note of the previous process.
async fn read_previous<W: Wire, S: Rows>(node: &Node<W, S>) -> Result<(PreviousNote, u64), Error> {
    // The previous process was dead when this one started, at least this long before the store answers.
    let uptime = node.now();
    let page = node.rows.list(NOTES, &node.settings.name).await?;
    let row = page.records.iter().find(|record| record.name == NOTE);
    let note = row.and_then(decode::<Note>).unwrap_or_default();
    let previous = PreviousNote { note, dead_by_ms: page.now_ms.saturating_sub(uptime) };
    Ok((previous, row.map_or(0, |row| row.version)))
}

/// Writes a usage note of all open budgets.
async fn write<W: Wire, S: Rows>(
    node: &Node<W, S>,
    open_budgets: &[Arc<TeamBudget>],
    version: &mut Option<u64>,
    latency: &mut WriteLatency,
) -> Result<(), Error> {
    let known = match *version {
        Some(version) => version,
        None => {
            let page = node.rows.list(NOTES, &node.settings.name).await?;
            page.records.iter().find(|record| record.name == NOTE).map_or(0, |record| record.version)
        }
    };
    *version = Some(known);
    let at = node.store_now();
    let began = node.now_exact();
    let begun: Vec<(&Arc<TeamBudget>, u64, Schedule)> = open_budgets
        .iter()
        .map(|budget| {
            let (generation, schedule) =
                budget.begin_note(latency.ms as u64, budget_owners(node, &budget.team));
            (budget, generation, schedule)
        })
        .collect();
    let account = |budget: &TeamBudget, generation, schedule| {
        BTreeMap::from([(budget.account_name(generation), schedule)])
    };
    let budgets = begun
        .iter()
        .map(|(budget, generation, schedule)| (budget.team.clone(), account(budget, *generation, *schedule)))
        .collect();
    let key = Key::new(NOTES, NOTE);
    let change = Change {
        part: node.settings.name.clone(),
        checks: vec![(key.clone(), known)],
        puts: vec![(key, encode(&Note { at, budgets }))],
        drops: vec![],
    };
    let result = node.rows.commit(&change).await;
    latency.record(node.now_exact() - began);
    let took_effect = match &result {
        Ok(Commit::Applied(applied)) => {
            *version = Some(*applied);
            Some(true)
        }
        Ok(Commit::Conflict(records)) => {
            *version = records.iter().find(|record| record.name == NOTE).map(|record| record.version);
            Some(false)
        }
        Err(error) if error.fault == Fault::NotApplied => Some(false),
        Err(_) => {
            *version = None;
            None
        }
    };
    for (budget, generation, _) in &begun {
        budget.end_note(*generation, took_effect);
    }
    result.map(|_| ())
}

/// The number of gateways that share a budget, as its notes assume it: one if this gateway knows no other,
/// and the whole fleet if this gateway draws on the budget without owning it.
fn budget_owners<W: Wire, S: Rows>(node: &Node<W, S>, team: &str) -> u64 {
    match node.owners.owner_count(team) {
        None => 1,
        Some(0) => node.fleet_size(),
        Some(owners) => owners,
    }
}

/// The average time until a note is acknowledged or has failed, in milliseconds.
#[derive(Debug, Default)]
struct WriteLatency {
    ms: f64,
}

impl WriteLatency {
    fn record(&mut self, ms: f64) {
        self.ms = if ms > self.ms { ms } else { self.ms + DECREASE_WEIGHT * (ms - self.ms) };
    }
}

async fn first_manifest<W: Wire, S: Rows>(node: &Node<W, S>) -> Arc<Manifest> {
    loop {
        if let Some(manifest) = node.manifest() {
            return manifest;
        }
        exec::sleep(MANIFEST_POLL_INTERVAL).await;
    }
}

#[cfg(test)]
#[path = "../tests/unit/notes.rs"]
mod tests;
