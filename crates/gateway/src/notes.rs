//! Notes of use: what this router used of each budget, and how much more it may use before the next note.
//!
//! A note is a row of this VM alone, written under the condition that it is as last seen. When the VM starts
//! again, the new process reads it and gives back what the old one can't have used.

use crate::closing::{Exposure, NoteSummary, close_accounts};
use crate::manifest::{Manifest, Team};
use crate::node::Node;
use crate::ports::Wire;
use crate::settle::retry_delay;
use crate::table::{NOTE, NOTES, decode, encode};
use crate::team_budget::TeamBudget;
use async_channel::Receiver;
use budget::exposure::Schedule;
use budget::ledger::Line;
use net::exec;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use store::rows::{Change, Commit, Key, Rows};
use store::{Error, Fault};

/// Time between two notes in a small fleet: what is used meanwhile is lost with the process, and a note is one small write.
const MIN_INTERVAL_MS: u64 = 200;
/// The part of the store's writes that the whole fleet's notes take at most. An old note costs tokens at a death, and room
/// in an outage.
const NOTE_WRITES_RATIO: f64 = 0.125;
/// The pause between two teams whose accounts are closed although no note names them, for each gateway of the fleet, in
/// milliseconds: all gateways together read 50 teams a second at most.
const CLOSE_DELAY_PER_GATEWAY_MS: u64 = 20;
/// The pause after a call failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The weight of a shorter time in the time that a note takes; a longer one counts at once.
const DECREASE_WEIGHT: f64 = 0.3;
/// The pause before the first manifest is looked for again.
const MANIFEST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a router noted.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Note {
    /// A moment not after the note was sent, in milliseconds of the store's clock.
    at: u64,
    /// The schedules by team and account: a router's accounts have the same name in each team's partition.
    budgets: BTreeMap<String, BTreeMap<String, Schedule>>,
}

/// What the earlier generation of this VM's process noted.
struct PreviousNote {
    note: Note,
    /// A moment after its death, in milliseconds of the store's clock.
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
    fn exposed(&self, team: &str, account: &str, line: &Line) -> u64 {
        match self.schedule(team, account) {
            Some(schedule) => schedule.exposed(line, self.age_ms()),
            // It had not noted anything yet, so nothing bounded it.
            None => line.exposed,
        }
    }

    fn note_summary(&self, team: &str, account: &str) -> Option<NoteSummary> {
        let schedule = self.schedule(team, account)?;
        let age_ms = self.age_ms();
        let Schedule { used, charged, .. } = *schedule;
        Some(NoteSummary { age_ms, used, charged, limit: schedule.limit(age_ms) })
    }
}

/// Closes what earlier lives of this VM's process left, then keeps this generation's notes.
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
        let purses: Vec<Arc<TeamBudget>> = node.purses().values().cloned().collect();
        if purses.is_empty() {
            continue;
        }
        match write(&node, &purses, &mut version, &mut latency).await {
            Ok(()) => {}
            Err(error) => {
                log::warn!("budget: event=not-noted {error}");
                exec::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Closes what is left to close, slowly: a fleet that starts again would otherwise read each team's accounts in each
/// gateway at once.
async fn close_remaining<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    manifest: Arc<Manifest>,
    mut recovery: Recovery,
) {
    loop {
        exec::sleep(Duration::from_millis(node.fleet_size() * CLOSE_DELAY_PER_GATEWAY_MS)).await;
        match recovery.close_next(&node, &manifest).await {
            Ok(Progress::Closed) => {}
            Ok(Progress::Done) => return,
            Err(error) => {
                log::warn!("budget: event=not-recovered closed={} {error}", recovery.closed.len());
                exec::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Time between two notes, in milliseconds: only gateways that own a budget write them all the time.
fn interval_ms<W: Wire, S: Rows>(node: &Node<W, S>) -> u64 {
    let per_s = node.settings.store_writes_per_s as f64 * NOTE_WRITES_RATIO;
    MIN_INTERVAL_MS.max((node.owners.total_owners() as f64 * 1_000.0 / per_s) as u64)
}

/// Closing the accounts of this VM's earlier processes, which are certainly dead, and opening the budgets that they used:
/// their teams will come again, maybe during a cut.
#[derive(Default)]
pub(crate) struct Recovery {
    /// The note, and its row's version.
    last: Option<(PreviousNote, u64)>,
    /// The teams whose accounts are closed: when a whole fleet starts again, the store refuses many calls, and what is
    /// done need not be done again.
    closed: HashSet<String>,
}

/// What is left of a recovery.
pub(crate) enum Progress {
    /// One more team's accounts are closed.
    Closed,
    /// All are.
    Done,
}

impl Recovery {
    /// Closes the accounts of the teams that the last note names, going on where it failed; returns the version of the
    /// note's row once all is done. Nearly all that an earlier process held is in these.
    ///
    /// # Errors
    /// Fails if the store does.
    pub(crate) async fn close_noted<W: Wire, S: Rows>(
        &mut self,
        node: &Node<W, S>,
        manifest: &Manifest,
    ) -> Result<u64, Error> {
        let (last, version) = self.last(node).await?;
        let noted: Vec<String> = last.note.budgets.keys().cloned().collect();
        let version = *version;
        while let Progress::Closed =
            self.close_one(node, manifest, |team| noted.iter().any(|noted| noted == team)).await?
        {}
        Ok(version)
    }

    /// Closes the accounts of one more team: one that its process drew on and died before it noted it.
    ///
    /// # Errors
    /// Fails if the store does.
    pub(crate) async fn close_next<W: Wire, S: Rows>(
        &mut self,
        node: &Node<W, S>,
        manifest: &Manifest,
    ) -> Result<Progress, Error> {
        self.close_one(node, manifest, |_| true).await
    }

    async fn last<W: Wire, S: Rows>(&mut self, node: &Node<W, S>) -> Result<&mut (PreviousNote, u64), Error> {
        match &mut self.last {
            Some(known) => Ok(known),
            unread => Ok(unread.insert(read_previous(node).await?)),
        }
    }

    /// Closes the accounts of one of the teams that are meant.
    async fn close_one<W: Wire, S: Rows>(
        &mut self,
        node: &Node<W, S>,
        manifest: &Manifest,
        is_selected: impl Fn(&str) -> bool,
    ) -> Result<Progress, Error> {
        let is_due = |team: &&Arc<Team>| {
            team.reserved.is_some() && is_selected(&team.name) && !self.closed.contains(&team.name)
        };
        let due: Vec<Arc<Team>> = manifest.teams.values().filter(is_due).cloned().collect();
        // The gateways of a fleet that starts again shall not all close the accounts of the same team first.
        let Some(team) = due.choose(&mut rand::thread_rng()) else { return Ok(Progress::Done) };
        let own = format!("{}#", node.settings.name);
        let current = format!("{}.", node.holder);
        let is_earlier = |holder: &str| holder.starts_with(&own) && !holder.starts_with(&current);
        let writers = node.owners.total_owners();
        let (last, _) = self.last(node).await?;
        let spent = close_accounts(&node.rows, &team.name, is_earlier, last, writers).await?;
        self.closed.insert(team.name.clone());
        let Some(spent) = spent else { return Ok(Progress::Closed) };
        if let Some(budget) = node.purse(manifest, team) {
            budget.set_earlier_use(spent);
        }
        Ok(Progress::Closed)
    }
}

/// Reads what the earlier process noted.
async fn read_previous<W: Wire, S: Rows>(node: &Node<W, S>) -> Result<(PreviousNote, u64), Error> {
    // The earlier process was dead when this one started, which was at least so long before the store answers.
    let uptime = node.now();
    let page = node.rows.list(NOTES, &node.settings.name).await?;
    let row = page.records.iter().find(|record| record.name == NOTE);
    let note = row.and_then(decode::<Note>).unwrap_or_default();
    let last = PreviousNote { note, dead_by_ms: page.now_ms.saturating_sub(uptime) };
    Ok((last, row.map_or(0, |row| row.version)))
}

/// Writes a note of all budgets.
async fn write<W: Wire, S: Rows>(
    node: &Node<W, S>,
    purses: &[Arc<TeamBudget>],
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
    let begun: Vec<(&Arc<TeamBudget>, u64, Schedule)> = purses
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

/// How many gateways own a budget, as its notes here take it: one that knows no other is alone, and those that draw without
/// owning it share it with all.
fn budget_owners<W: Wire, S: Rows>(node: &Node<W, S>, team: &str) -> u64 {
    match node.owners.owner_count(team) {
        None => 1,
        Some(0) => node.fleet_size(),
        Some(owners) => owners,
    }
}

/// How long a note takes to be acknowledged, or to fail, in milliseconds.
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
