//! Notes of use: what this router used of each budget, and how much more it may use before the next note.
//!
//! A note is a row of this VM alone, written under the condition that it is as last seen. When the VM starts
//! again, the new process reads it and gives back what the old one can't have used.

use crate::closing::{Exposure, Noted, close_accounts};
use crate::manifest::{Manifest, Team};
use crate::node::Node;
use crate::ports::Wire;
use crate::purse::Purse;
use crate::settle::pause;
use crate::table::{NOTE, NOTES, decode, encode};
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
const PERIOD_MS: u64 = 200;
/// The part of the store's writes that the whole fleet's notes take at most. An old note costs tokens at a death, and room
/// in an outage.
const NOTES_PART: f64 = 0.125;
/// The pause between two teams whose accounts are closed although no note names them, for each gateway of the fleet, in
/// milliseconds: all gateways together read 50 teams a second at most.
const REST_SHARE_MS: u64 = 20;
/// The pause after a call failed.
const AGAIN: Duration = Duration::from_millis(200);
/// The weight of a shorter time in the time that a note takes; a longer one counts at once.
const SHORTER: f64 = 0.3;
/// The pause before the first manifest is looked for again.
const FIRST: Duration = Duration::from_millis(20);

/// What a router noted.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Note {
    /// A moment not after the note was sent, in milliseconds of the store's clock.
    at: u64,
    /// The schedules by team and account: a router's accounts have the same name in each team's partition.
    budgets: BTreeMap<String, BTreeMap<String, Schedule>>,
}

/// What the earlier life of this VM's process noted.
struct Last {
    note: Note,
    /// A moment after its death, in milliseconds of the store's clock.
    dead_at: u64,
}

impl Last {
    fn age_ms(&self) -> u64 {
        self.dead_at.saturating_sub(self.note.at)
    }

    fn schedule(&self, team: &str, account: &str) -> Option<&Schedule> {
        self.note.budgets.get(team)?.get(account)
    }
}

impl Exposure for Last {
    fn exposed(&self, team: &str, account: &str, line: &Line) -> u64 {
        match self.schedule(team, account) {
            Some(schedule) => schedule.exposed(line, self.age_ms()),
            // It had not noted anything yet, so nothing bounded it.
            None => line.exposed,
        }
    }

    fn noted(&self, team: &str, account: &str) -> Option<Noted> {
        let schedule = self.schedule(team, account)?;
        let age_ms = self.age_ms();
        let Schedule { used, charged, .. } = *schedule;
        Some(Noted { age_ms, used, charged, limit: schedule.limit(age_ms) })
    }
}

/// Closes what earlier lives of this VM's process left, then keeps this life's notes.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>, kicked: Receiver<()>) {
    let manifest = first_manifest(&node).await;
    let mut recovery = Recovery::default();
    let mut failures = 0;
    let mut version = loop {
        match recovery.close_noted(&node, &manifest).await {
            Ok(version) => break Some(version),
            Err(error) => {
                log::warn!("budget: event=not-recovered closed={} {error}", recovery.closed.len());
                exec::sleep(pause(failures, node.owners.count())).await;
                failures += 1;
            }
        }
    };
    exec::spawn(close_rest(node.clone(), manifest, recovery)).detach();
    let mut takes = Takes::default();
    loop {
        let _ = exec::timeout(Duration::from_millis(period(&node)), kicked.recv()).await;
        let purses: Vec<Arc<Purse>> = node.purses().values().cloned().collect();
        if purses.is_empty() {
            continue;
        }
        match write(&node, &purses, &mut version, &mut takes).await {
            Ok(()) => {}
            Err(error) => {
                log::warn!("budget: event=not-noted {error}");
                exec::sleep(AGAIN).await;
            }
        }
    }
}

/// Closes what is left to close, slowly: a fleet that starts again would otherwise read each team's accounts in each
/// gateway at once.
async fn close_rest<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    manifest: Arc<Manifest>,
    mut recovery: Recovery,
) {
    loop {
        exec::sleep(Duration::from_millis(node.fleet_size() * REST_SHARE_MS)).await;
        match recovery.close_next(&node, &manifest).await {
            Ok(Next::Closed) => {}
            Ok(Next::Done) => return,
            Err(error) => {
                log::warn!("budget: event=not-recovered closed={} {error}", recovery.closed.len());
                exec::sleep(AGAIN).await;
            }
        }
    }
}

/// Time between two notes, in milliseconds: only gateways that own a budget write them all the time.
fn period<W: Wire, S: Rows>(node: &Node<W, S>) -> u64 {
    let per_s = node.settings.store_writes_per_s as f64 * NOTES_PART;
    PERIOD_MS.max((node.owners.count() as f64 * 1_000.0 / per_s) as u64)
}

/// Closing the accounts of this VM's earlier processes, which are certainly dead, and opening the budgets that they used:
/// their teams will come again, maybe during a cut.
#[derive(Default)]
pub(crate) struct Recovery {
    /// The note, and its row's version.
    last: Option<(Last, u64)>,
    /// The teams whose accounts are closed: when a whole fleet starts again, the store refuses many calls, and what is
    /// done need not be done again.
    closed: HashSet<String>,
}

/// What is left of a recovery.
pub(crate) enum Next {
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
        while let Next::Closed =
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
    ) -> Result<Next, Error> {
        self.close_one(node, manifest, |_| true).await
    }

    async fn last<W: Wire, S: Rows>(&mut self, node: &Node<W, S>) -> Result<&mut (Last, u64), Error> {
        match &mut self.last {
            Some(known) => Ok(known),
            unread => Ok(unread.insert(read_last(node).await?)),
        }
    }

    /// Closes the accounts of one of the teams that are meant.
    async fn close_one<W: Wire, S: Rows>(
        &mut self,
        node: &Node<W, S>,
        manifest: &Manifest,
        is_meant: impl Fn(&str) -> bool,
    ) -> Result<Next, Error> {
        let is_due = |team: &&Arc<Team>| {
            team.reserved.is_some() && is_meant(&team.name) && !self.closed.contains(&team.name)
        };
        let due: Vec<Arc<Team>> = manifest.teams.values().filter(is_due).cloned().collect();
        // The gateways of a fleet that starts again shall not all close the accounts of the same team first.
        let Some(team) = due.choose(&mut rand::thread_rng()) else { return Ok(Next::Done) };
        let own = format!("{}#", node.settings.name);
        let current = format!("{}.", node.holder);
        let is_earlier = |holder: &str| holder.starts_with(&own) && !holder.starts_with(&current);
        let rivals = node.owners.count();
        let (last, _) = self.last(node).await?;
        let spent = close_accounts(&node.rows, &team.name, is_earlier, last, rivals).await?;
        self.closed.insert(team.name.clone());
        let Some(spent) = spent else { return Ok(Next::Closed) };
        if let Some(purse) = node.purse(manifest, team) {
            purse.set_earlier_use(spent);
        }
        Ok(Next::Closed)
    }
}

/// Reads what the earlier process noted.
async fn read_last<W: Wire, S: Rows>(node: &Node<W, S>) -> Result<(Last, u64), Error> {
    // The earlier process was dead when this one started, which was at least so long before the store answers.
    let uptime = node.now();
    let page = node.rows.list(NOTES, &node.settings.name).await?;
    let row = page.records.iter().find(|record| record.name == NOTE);
    let note = row.and_then(decode::<Note>).unwrap_or_default();
    let last = Last { note, dead_at: page.now_ms.saturating_sub(uptime) };
    Ok((last, row.map_or(0, |row| row.version)))
}

/// Writes a note of all budgets.
async fn write<W: Wire, S: Rows>(
    node: &Node<W, S>,
    purses: &[Arc<Purse>],
    version: &mut Option<u64>,
    takes: &mut Takes,
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
    let begun: Vec<(&Arc<Purse>, u64, Schedule)> = purses
        .iter()
        .map(|purse| {
            let (life, schedule) = purse.begin_note(takes.ms as u64, owners(node, &purse.team));
            (purse, life, schedule)
        })
        .collect();
    let account = |purse: &Purse, life, schedule| BTreeMap::from([(purse.account_name(life), schedule)]);
    let budgets = begun
        .iter()
        .map(|(purse, life, schedule)| (purse.team.clone(), account(purse, *life, *schedule)))
        .collect();
    let key = Key::new(NOTES, NOTE);
    let change = Change {
        part: node.settings.name.clone(),
        checks: vec![(key.clone(), known)],
        puts: vec![(key, encode(&Note { at, budgets }))],
        drops: vec![],
    };
    let result = node.rows.commit(&change).await;
    takes.learn(node.now_exact() - began);
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
    for (purse, life, _) in &begun {
        purse.end_note(*life, took_effect);
    }
    result.map(|_| ())
}

/// How many gateways own a budget, as its notes here take it: one that knows no other is alone, and those that draw without
/// owning it share it with all.
fn owners<W: Wire, S: Rows>(node: &Node<W, S>, team: &str) -> u64 {
    match node.owners.share(team) {
        None => 1,
        Some(0) => node.fleet_size(),
        Some(owners) => owners,
    }
}

/// How long a note takes to be acknowledged, or to fail, in milliseconds.
#[derive(Debug, Default)]
struct Takes {
    ms: f64,
}

impl Takes {
    fn learn(&mut self, ms: f64) {
        self.ms = if ms > self.ms { ms } else { self.ms + SHORTER * (ms - self.ms) };
    }
}

async fn first_manifest<W: Wire, S: Rows>(node: &Node<W, S>) -> Arc<Manifest> {
    loop {
        if let Some(manifest) = node.manifest() {
            return manifest;
        }
        exec::sleep(FIRST).await;
    }
}

#[cfg(test)]
#[path = "../tests/unit/notes.rs"]
mod tests;
