//! Metrics of the calls to the store: their number, their time, and the bytes of the rows.

use crate::metrics::Metrics;
use prometheus::{Histogram, IntCounterVec};
use std::time::Instant;
use store::rows::{Change, Commit, Feed, FeedQuery, Page, Progress, Rows};
use store::{Error, Fault};

/// A store that updates the metrics with each call.
#[derive(Clone, Debug)]
pub(crate) struct MeteredRows<S> {
    rows: S,
    calls: IntCounterVec,
    bytes: IntCounterVec,
    seconds: Histogram,
}

impl<S: Rows> MeteredRows<S> {
    pub(crate) fn new(rows: S, metrics: &Metrics) -> MeteredRows<S> {
        MeteredRows {
            rows,
            calls: metrics.store_calls.clone(),
            bytes: metrics.store_bytes.clone(),
            seconds: metrics.store_time.clone(),
        }
    }

    fn count<T>(&self, step: &str, table: &str, result: &Result<T, Error>, outcome: fn(&T) -> &'static str) {
        let outcome = match result {
            Ok(value) => outcome(value),
            Err(error) if error.fault == Fault::NotApplied => "refused",
            Err(_) => "unknown",
        };
        self.calls.with_label_values(&[step, table, outcome]).inc();
    }

    /// Counts the bytes of the keys and values of rows, before the store encodes them.
    fn count_bytes(&self, step: &str, table: &str, bytes: usize) {
        self.bytes.with_label_values(&[step, table]).inc_by(bytes as u64);
    }
}

/// The bytes of the keys and values of a page.
fn page_bytes(page: &Page) -> usize {
    page.records.iter().map(|row| row.name.len() + row.value.as_ref().map_or(0, Vec::len)).sum()
}

impl<S: Rows> Rows for MeteredRows<S> {
    async fn commit(&self, change: &Change) -> Result<Commit, Error> {
        let began = Instant::now();
        let result = self.rows.commit(change).await;
        self.seconds.observe(began.elapsed().as_secs_f64());
        let mut written = change.puts.iter().map(|(key, _)| key).chain(&change.drops);
        let table = written.next().map_or("-", |key| key.table.as_str());
        let bytes = change.puts.iter().map(|(key, value)| key.name.len() + value.len()).sum();
        self.count_bytes("commit", table, bytes);
        self.count("commit", table, &result, |commit| match commit {
            Commit::Applied(_) => "applied",
            Commit::Conflict(_) => "conflict",
        });
        result
    }

    async fn list(&self, table: &str, part: &str) -> Result<Page, Error> {
        let began = Instant::now();
        let result = self.rows.list(table, part).await;
        self.seconds.observe(began.elapsed().as_secs_f64());
        self.count_bytes("list", table, result.as_ref().map_or(0, page_bytes));
        self.count("list", table, &result, |_| "read");
        result
    }

    async fn feed(&self, table: &str, since: FeedQuery) -> Result<Feed, Error> {
        let result = self.rows.feed(table, since).await;
        let bytes = match &result {
            Ok(Feed::Changes(page)) => page_bytes(page),
            _ => 0,
        };
        self.count_bytes("feed", table, bytes);
        self.count("feed", table, &result, |feed| match feed {
            Feed::Changes(_) => "read",
            Feed::Lost => "history-lost",
            Feed::Long => "too-long",
        });
        result
    }

    fn with_progress(&self, progress: &Progress) -> MeteredRows<S> {
        MeteredRows { rows: self.rows.with_progress(progress), ..self.clone() }
    }
}
