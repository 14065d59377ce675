//! A node whose store is in memory, and whose wire format is plain text.

use crate::manifest::{Manifest, Route, RouteKind, Team};
use crate::node::Node;
use crate::notes::{Recovery, RecoveryProgress};
use crate::ports::{Ask, Dispatch, Listing, Malformed, Wire};
use crate::settings::{Bounds, Listen, Settings};
use http::{HeaderMap, HeaderName, request, response};
use route::answer::{Claims, Status, Subject};
use smallvec::SmallVec;
use standin::TableRows;
use std::sync::Arc;

/// A wire format in which the row of an upstream is "service address [leaving] [started=N] [warmup=N]". Other
/// rows are malformed.
pub(crate) struct PlainTextWire;

impl Wire for PlainTextWire {
    fn manifest_row(&self) -> (&str, &str) {
        ("operator", "manifest")
    }

    fn evacuated_data_centre<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix("evacuated ")
    }

    fn upstreams_table(&self) -> &str {
        "upstreams"
    }

    fn decode_manifest(&self, bytes: &[u8]) -> Result<Manifest, Malformed> {
        let text = String::from_utf8_lossy(bytes);
        let version = text.parse().map_err(|_| Malformed { step: "manifest", reason: text.to_string() })?;
        Ok(Manifest { version, ..Manifest::default() })
    }

    fn decode_listing(&self, bytes: &[u8]) -> Result<Listing, Malformed> {
        let text = String::from_utf8_lossy(bytes);
        let words: Vec<&str> = text.split(' ').collect();
        Ok(Listing {
            service: words[0].to_owned(),
            address: words
                .get(1)
                .and_then(|word| word.parse().ok())
                .ok_or(Malformed { step: "listing", reason: text.to_string() })?,
            data_centre: "here".to_owned(),
            version: "v1".to_owned(),
            warmup_ms: words.iter().find_map(|word| word.strip_prefix("warmup=")?.parse().ok()).unwrap_or(0),
            slots: 4,
            leaving: words.contains(&"leaving"),
            started: words.iter().find_map(|word| word.strip_prefix("started=")?.parse().ok()),
        })
    }

    fn decode_request(&self, _: &request::Parts) -> Result<Ask, Malformed> {
        Ok(Ask::default())
    }

    fn dispatch_headers(&self, caller: &HeaderMap, _: &Dispatch<'_>) -> HeaderMap {
        caller.clone()
    }

    fn is_end_to_end(&self, _: &HeaderName) -> bool {
        false
    }

    fn identifiers<'a>(&self, _: &'a HeaderMap) -> SmallVec<[&'a [u8]; 1]> {
        SmallVec::new()
    }

    fn answered_request<'a>(&self, _: &'a response::Parts) -> Option<&'a str> {
        None
    }

    fn read_claims(&self, _: &response::Parts, _: &HeaderMap, _: &str) -> Claims {
        Claims {
            subject: Subject::Request,
            status: Status::Success,
            not_run: false,
            other_upstream: false,
            signed: true,
        }
    }

    fn is_leaving(&self, _: &response::Parts) -> bool {
        false
    }

    fn retry_after_ms(&self, _: &response::Parts) -> Result<Option<u64>, Malformed> {
        Ok(None)
    }

    fn warmup_ms(&self, _: &response::Parts) -> Result<Option<u64>, Malformed> {
        Ok(None)
    }

    fn limit_per_s(&self, _: &response::Parts) -> Result<Option<f64>, Malformed> {
        Ok(None)
    }

    fn tolerated_rejections_per_s(&self, _: &response::Parts) -> Result<Option<f64>, Malformed> {
        Ok(None)
    }

    fn add_request_id(&self, _: &str, _: &mut HeaderMap) {}
}

/// A node without background tasks, whose link's capacity is not known.
pub(crate) fn node(name: &str, incarnation: u64, rows: &TableRows) -> Arc<Node<PlainTextWire, TableRows>> {
    node_with_link(name, incarnation, rows, None)
}

/// A node without background tasks, with a link of this capacity.
pub(crate) fn node_with_link(
    name: &str,
    incarnation: u64,
    rows: &TableRows,
    link_mbps: Option<f64>,
) -> Arc<Node<PlainTextWire, TableRows>> {
    net::exec::start(2);
    let address = standin::loopback();
    let settings = Settings {
        name: name.to_owned(),
        data_centre: "here".to_owned(),
        region: String::new(),
        listen: Listen { callers: address, readiness: address, peers: address, metrics: address },
        store: address,
        store_writes_per_s: 600,
        threads: 1,
        cpu_share: 1.0,
        memory_mb: None,
        link_mbps,
        record_ms: 200,
        first_start: true,
        upstream_heartbeat_ms: 1_200,
        bounds: Bounds::default(),
    };
    let (note_requests, _) = async_channel::bounded(1);
    Arc::new(Node::new(settings, incarnation, PlainTextWire, rows.clone(), note_requests))
}

/// A manifest with these teams and their prepaid tokens.
pub(crate) fn manifest(version: u64, teams: &[(&str, u64)]) -> Manifest {
    let team = |(name, tokens): &(&str, u64)| {
        let team = Team { name: (*name).to_owned(), priority: 0, reserved: Some(*tokens) };
        ((*name).to_owned(), Arc::new(team))
    };
    Manifest { version, teams: teams.iter().map(team).collect(), ..Manifest::default() }
}

/// A route for paths with this prefix.
pub(crate) fn route(prefix: &str, timeout_ms: u64) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms,
        target_ms: 100,
        gap_ms: 400,
        priority: 0,
        split: vec![],
        attempts: 1,
        anonymous: true,
    }
}

/// Closes the accounts that the previous note names, then the others, until the store fails.
pub(crate) async fn recover_all(
    recovery: &mut Recovery,
    node: &Node<PlainTextWire, TableRows>,
    manifest: &Manifest,
) -> Result<(), store::Error> {
    recovery.close_noted(node, manifest).await?;
    while let RecoveryProgress::Closed = recovery.close_next(node, manifest).await? {}
    Ok(())
}
