//! Bundle updates: learning the accepted sequence, fetching the changed parts, and putting the bundle in
//! force.

use crate::clock::Clock;
use crate::membership;
use crate::node::{Access, ActiveBundle, Node};
use crate::ports::Ports;
use crate::settings::millis;
use bundle::{Bundle, Manifest, SignedManifest};
use net::exec;
use peer::{Heartbeat, LinkClient};
use roll::{Accepted, HEAD_KEY, object_key};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use store::{ObjectStore, Table};

/// The maximum number of reads per second of the head row by all routers together.
const FLEET_HEAD_READS_PER_S: u64 = 400;

/// The reason why a bundle was not put in force.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A part could not be fetched.
    #[error("{0}")]
    Fetch(String),
    /// The bundle is invalid.
    #[error("{0}")]
    Bundle(#[from] bundle::Error),
    /// The signed manifest belongs at another position in the history.
    #[error("replayed manifest: its parent is sequence {parent}, so it can't be sequence {sequence}")]
    Replayed {
        /// The sequence of its parent.
        parent: u64,
        /// The sequence under which it was offered.
        sequence: u64,
    },
    /// The digest of the signed manifest differs from the accepted one.
    #[error("the digest of the manifest differs from the accepted one")]
    Digest,
}

/// Polls the platform's head row until the router has stopped.
pub(crate) async fn run<W: Ports>(node: Arc<Node<W>>) {
    membership::join_fleet(&node).await;
    while !node.is_stopped() {
        match node.platform.read(&[HEAD_KEY.to_owned()]).await {
            Ok(rows) => {
                let head = rows.into_iter().next().flatten();
                if let Some(head) = head.and_then(|row| row.decode::<Accepted>().ok()) {
                    let source = Source::Platform;
                    adopt(&node, head.sequence, &head.manifest, source).await;
                }
            }
            Err(error) => log::debug!("bundle: {error}"),
        }
        let pause = node.settings.limits.poll_ms.max(node.fleet_size() * 1_000 / FLEET_HEAD_READS_PER_S);
        exec::sleep(millis(pause)).await;
    }
}

/// Adopts the bundle that a peer has in force, if it is later than the current one.
pub(crate) async fn adopt_from_peer<W: Ports>(node: &Arc<Node<W>>, heartbeat: &Heartbeat) {
    adopt(node, heartbeat.sequence, &heartbeat.manifest, Source::Peer(heartbeat.address)).await;
}

/// The source from which parts are fetched.
#[derive(Clone, Copy, Debug)]
enum Source {
    Platform,
    Peer(SocketAddr),
}

async fn adopt<W: Ports>(node: &Arc<Node<W>>, sequence: u64, manifest: &str, source: Source) {
    let current = node.bundle();
    if sequence <= current.sequence {
        return;
    }
    match fetch_bundle(node, &current, sequence, manifest, source).await {
        Ok(next) => {
            if node.activate_bundle(next) {
                log::info!("bundle: sequence {sequence} is in force, from {source:?}");
            }
        }
        Err(Error::Fetch(reason)) => log::warn!("bundle: fetching sequence {sequence} failed: {reason}"),
        Err(error) => {
            node.metrics.rejected.inc();
            log::error!("bundle: sequence {sequence} from {source:?} is rejected: {error}");
        }
    }
}

async fn fetch_bundle<W: Ports>(
    node: &Arc<Node<W>>,
    current: &ActiveBundle,
    sequence: u64,
    digest: &str,
    source: Source,
) -> Result<ActiveBundle, Error> {
    let fetched = fetch_parts(node, &[digest.to_owned()], source).await?;
    let text = fetched.get(digest).ok_or_else(|| Error::Fetch("the manifest was not found".to_owned()))?;
    let signed: SignedManifest = serde_json::from_str(text)
        .map_err(|error| bundle::Error::Unreadable("signed manifest".to_owned(), error.to_string()))?;
    if signed.digest() != digest {
        return Err(Error::Digest);
    }
    let trust = &node.settings.trust;
    let manifest: Manifest = bundle::verify(&signed, &trust.keys, trust.needed)?;
    if manifest.parent + 1 != sequence {
        return Err(Error::Replayed { parent: manifest.parent, sequence });
    }

    let mut parts = HashMap::new();
    collect_parts(node, current, manifest.sections.values(), source, &mut parts).await?;
    let teams = bundle::team_digests(&manifest, |digest| parts.get(digest).map(String::as_str))?;
    collect_parts(node, current, teams.values(), source, &mut parts).await?;
    parts.insert(digest.to_owned(), text.clone());
    let find = |digest: &str| parts.get(digest).map(String::as_str);
    let content = bundle::join(&manifest, find, |digest| current.teams.get(digest).cloned())?;
    let teams = teams
        .into_iter()
        .filter_map(|(name, digest)| content.teams.get(&name).map(|team| (digest, team.clone())))
        .collect();
    let keys = access_keys(&content);
    let since = node.clock.now();
    Ok(ActiveBundle { sequence, manifest: digest.to_owned(), parts, teams, content, keys, since })
}

/// Collects parts. Those of the bundle in force are reused; the others are fetched.
async fn collect_parts<W: Ports>(
    node: &Arc<Node<W>>,
    current: &ActiveBundle,
    digests: impl Iterator<Item = &String>,
    source: Source,
    parts: &mut HashMap<String, String>,
) -> Result<(), Error> {
    let mut missing = vec![];
    for digest in digests {
        match current.parts.get(digest) {
            Some(part) => {
                parts.insert(digest.clone(), part.clone());
            }
            None => missing.push(digest.clone()),
        }
    }
    parts.extend(fetch_parts(node, &missing, source).await?);
    Ok(())
}

async fn fetch_parts<W: Ports>(
    node: &Node<W>,
    digests: &[String],
    source: Source,
) -> Result<HashMap<String, String>, Error> {
    let mut found = HashMap::new();
    match source {
        Source::Platform => {
            for digest in digests {
                let bytes = node.platform.load(&object_key(digest)).await;
                let bytes = bytes.map_err(|error| Error::Fetch(error.to_string()))?;
                let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
                found.extend(text.map(|text| (digest.clone(), text)));
            }
        }
        Source::Peer(address) => {
            let asked = digests.to_vec();
            let call = |client: LinkClient, context| async move { client.fetch(context, asked).await };
            let parts = node.peers.call("fetch", address, call).await;
            let parts = parts.map_err(|error| Error::Fetch(error.to_string()))?;
            let pairs = digests.iter().cloned().zip(parts);
            found.extend(pairs.filter_map(|(digest, part)| part.map(|part| (digest, part))));
        }
    }
    Ok(found)
}

/// The access keys by hash.
fn access_keys(bundle: &Bundle) -> HashMap<String, Access> {
    let mut keys = HashMap::new();
    for (name, team) in &bundle.teams {
        for key in &team.keys {
            let access = Access { team: name.clone(), budget: format!("{name}/{}", key.budget) };
            keys.insert(key.hash.clone(), access);
        }
    }
    keys
}
