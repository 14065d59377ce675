//! What a run that broke off says of its upstream and of its request.

use crate::job::{Admitted, Job};
use crate::node::Node;
use crate::ports::Wire;
use net::{Reach, exec};
use route::Millis;
use route::quarantine::Fingerprint;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;
use store::rows::Rows;

/// How long the address of an upstream is asked for a connection: some round trips within a region.
const PROBE_LIMIT: Duration = Duration::from_millis(300);

/// A run that broke off before its end.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    pub upstream: String,
    pub request: String,
    pub fingerprint: Fingerprint,
    /// The time since its first answer, in milliseconds; `None` if there was none.
    pub begun_ms: Option<Millis>,
}

impl Admitted {
    /// The request's fingerprint. A digest that is hard to invert, so that nobody can craft a request that looks like another
    /// caller's.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let caller = self.team.as_ref().map_or("", |team| team.name.as_str());
        let mut digest = Sha256::new();
        for part in [self.ask.host.as_bytes(), path.as_bytes(), caller.as_bytes(), &self.body] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let mut first = [0; 16];
        first.copy_from_slice(&digest.finalize()[..16]);
        Fingerprint::new(first)
    }
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Looks, beside other work, whether a run of this request broke off because its upstream ended.
    pub(crate) fn inspect(&self, upstream: &str, begun_ms: Option<Millis>) {
        let lost = LostRun {
            upstream: upstream.to_owned(),
            request: self.request.ask.id.clone(),
            fingerprint: self.request.fingerprint(),
            begun_ms,
        };
        exec::spawn(inspect(self.node.clone(), lost)).detach();
    }
}

/// Asks the upstream's address for a connection: a process that has ended refuses, a broken connection says nothing.
async fn inspect<W: Wire, S: Rows>(node: Arc<Node<W, S>>, lost: LostRun) {
    let Some(address) = node.listings().get(&lost.upstream).map(|listing| listing.address) else { return };
    let reach = net::probe(address, PROBE_LIMIT).await;
    let LostRun { upstream, request, fingerprint, begun_ms } = &lost;
    log::warn!(
        "upstream: event=run-lost upstream={upstream} address={} request={request} fingerprint={fingerprint} begun-ms={begun_ms:?}",
        reach.name()
    );
    if reach == Reach::Refuses {
        node.metrics.runs_lost.inc();
    }
}
