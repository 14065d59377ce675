//! What this router does with the calls of its peers.

use crate::clock::Clock;
use crate::node::Node;
use crate::ports::Ports;
use peer::{Beat, Borrow, Handler, Lent, SlotAsk, Standing, Whereabouts};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

/// Hints kept.
const HINTS_KEPT: usize = 50_000;

/// Where requests with a key run, as peers told; losing it costs only time.
#[derive(Debug, Default)]
pub(crate) struct Hints {
    state: Mutex<HintState>,
}

#[derive(Debug, Default)]
struct HintState {
    places: HashMap<String, Whereabouts>,
    order: VecDeque<String>,
}

impl Hints {
    pub(crate) fn note(&self, whereabouts: Whereabouts) {
        let mut state = self.state.lock().expect("the hints' lock");
        state.order.push_back(whereabouts.key.clone());
        state.places.insert(whereabouts.key.clone(), whereabouts);
        if state.order.len() > HINTS_KEPT
            && let Some(oldest) = state.order.pop_front()
        {
            state.places.remove(&oldest);
        }
    }

    pub(crate) fn find(&self, key: &str) -> Option<Whereabouts> {
        self.state.lock().expect("the hints' lock").places.get(key).cloned()
    }
}

/// The service that this router offers.
pub(crate) struct Service<W: Ports>(pub(crate) Arc<Node<W>>);

impl<W: Ports> Clone for Service<W> {
    fn clone(&self) -> Self {
        Service(self.0.clone())
    }
}

impl<W: Ports> Handler for Service<W> {
    fn beat(&self, beat: Beat) -> Beat {
        crate::membership::hear(&self.0, &beat);
        self.0.beat()
    }

    fn borrow(&self, ask: Borrow) -> Lent {
        let tokens = self.0.grants.lend(&ask.id, &ask.budget, ask.tokens);
        if tokens > 0 {
            self.0.metrics.lent.inc_by(tokens);
            log::info!("budget: lent {tokens} tokens of {} under {}", ask.budget, ask.id);
        }
        Lent { tokens }
    }

    fn fetch(&self, digests: &[String]) -> Vec<Option<String>> {
        let bundle = self.0.bundle();
        digests.iter().map(|digest| bundle.parts.get(digest).cloned()).collect()
    }

    fn announce(&self, whereabouts: Whereabouts) {
        self.0.hints.note(whereabouts);
    }

    fn locate(&self, key: &str) -> Option<Whereabouts> {
        self.0.hints.find(key)
    }

    async fn slot(&self, ask: SlotAsk) -> Option<String> {
        self.0.loans.lend(&self.0.schedule, self.0.clock.now(), ask).await
    }

    fn free(&self, id: &str, failed: bool) {
        self.0.loans.take_back(&self.0.schedule, id, failed);
    }

    fn hint_leaving(&self, upstream: &str, from: &str) {
        if self.0.schedule.hear_leaving(upstream) {
            log::info!("upstream: {upstream} leaves, it gets no new work, hints {from}");
        }
        // A hint ages; only this router's own look at the list makes it last.
        let _ = self.0.look.try_send(());
    }

    fn keep(&self, holder: &str) {
        self.0.keep.take_in(holder);
    }

    fn spare(&self, holder: &str) -> bool {
        self.0.keep.spare(holder)
    }

    fn standing(&self) -> Standing {
        let bundle = self.0.bundle();
        Standing {
            name: self.0.settings.name.clone(),
            sequence: bundle.sequence,
            in_force_ms: self.0.clock.now().saturating_sub(bundle.since),
        }
    }
}
