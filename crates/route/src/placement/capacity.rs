//! What upstreams report about what they accept, and whether they accept one more request of this gateway.

use super::upstream::Upstream;
use super::{Placer, UpstreamInfo};
use crate::Millis;
use crate::brittle;
use crate::limit::LimitUpdate;
use crate::warmup::WarmupState;

/// An upstream as a place for requests.
pub(super) fn place<'a>(name: &'a str, upstream: &'a Upstream) -> brittle::Place<'a> {
    let UpstreamInfo { service, slots, .. } = &upstream.info;
    brittle::Place { upstream: name, service, slots: *slots, open: upstream.open }
}

impl Placer {
    /// Records that an upstream signalled that it is leaving. Returns whether this is new.
    pub fn mark_leaving(&mut self, name: &str, now: Millis) -> bool {
        self.signals.mark_leaving(name, now)
    }

    /// Records that an upstream asked to get no requests for `ms` milliseconds. Returns the time that it is
    /// granted.
    pub fn back_off(&mut self, name: &str, ms: Millis, now: Millis) -> Millis {
        self.signals.back_off(name, ms, now)
    }

    /// Whether an upstream accepts requests, according to the list, its own signals and the operators.
    pub fn admits(&self, name: &str, now: Millis) -> bool {
        let is_listed = |upstream: &Upstream| !upstream.leaving && !self.is_evacuated(upstream);
        self.upstreams.get(name).is_some_and(is_listed) && self.signals.admits(name, now)
    }

    /// Records that an upstream warms up for `ms` milliseconds from now on.
    pub fn warm_up(&mut self, name: &str, ms: Millis, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.warmup.start(ms, now);
        }
    }

    /// Records the request limit that an upstream's answer names, in requests per second from all gateways
    /// together; `None` if it names none. The answered request was dispatched at `dispatched`.
    pub fn update_limit(
        &mut self,
        name: &str,
        per_s: Option<f64>,
        dispatched: Millis,
        now: Millis,
    ) -> LimitUpdate {
        let sent = self.upstreams.get(name).map(|upstream| upstream.warmup.sent(now)).unwrap_or_default();
        self.signals.update_limit(name, per_s, dispatched, &sent, now)
    }

    /// Records what another gateway reports about an upstream's request limit. Returns whether the limit
    /// begins or ends.
    pub fn record_limit_hint(&mut self, name: &str, per_s: Option<f64>, now: Millis) -> bool {
        let sent = self.upstreams.get(name).map(|upstream| upstream.warmup.sent(now)).unwrap_or_default();
        self.signals.record_limit_hint(name, per_s, &sent, now)
    }

    /// The request limit of an upstream, in requests per second from all gateways together, if it named one.
    pub fn limit_per_s(&self, name: &str) -> Option<f64> {
        self.signals.limit_per_s(name)
    }

    /// Records that an answer of an upstream says that the upstreams of its service are brittle: each falls over if it
    /// has to reject more than so many requests in a second. Returns the service if the other gateways are to be told.
    pub fn observe_brittle(&mut self, name: &str, tolerated_per_s: f64, now: Millis) -> Option<&str> {
        let service = &self.upstreams.get(name)?.info.service;
        self.brittleness.observe(service, tolerated_per_s, now).then_some(service)
    }

    /// Records that another gateway says that the upstreams of a service are brittle. Returns whether this is new.
    pub fn record_brittle_hint(&mut self, service: &str, tolerated_per_s: f64, now: Millis) -> bool {
        self.brittleness.record_hint(service, tolerated_per_s, now)
    }

    /// Whether the upstreams of a service are brittle.
    pub fn is_brittle(&self, service: &str, now: Millis) -> bool {
        self.brittleness.is_brittle(service, now)
    }

    /// Records that an upstream rejected a request for want of room, which still counts as open. Returns whether the
    /// gateways that share its places are to be told.
    pub fn record_rejection(&mut self, name: &str, now: Millis) -> bool {
        let Some(upstream) = self.upstreams.get(name) else { return false };
        self.brittleness.record_rejection(&place(name, upstream), &self.roster, now)
    }

    /// Records that an upstream rejected a request of another gateway.
    pub fn record_rejection_hint(&mut self, name: &str, now: Millis) {
        if let Some(upstream) = self.upstreams.get(name) {
            self.brittleness.record_full(&place(name, upstream), &self.roster, now);
        }
    }

    /// Whether another gateway has a part of an upstream's places.
    pub fn shares_places(&self, name: &str, gateway: &str) -> bool {
        let places = |upstream| brittle::places(&place(name, upstream));
        self.upstreams.get(name).is_some_and(|upstream| self.roster.has_part(gateway, name, places(upstream)))
    }

    /// Whether an upstream accepts one more dispatch of this gateway now; a warm-up or a request limit may
    /// prevent it.
    pub fn has_room(&self, name: &str, now: Millis) -> bool {
        self.upstreams
            .get(name)
            .is_none_or(|upstream| self.has_capacity(name, upstream, WarmupState::WarmingUp, now))
    }

    /// Whether an upstream accepts one more dispatch of this gateway now. Upstreams that are at least as cold
    /// as `limited_from` count as warming up.
    pub(super) fn has_capacity(
        &self,
        name: &str,
        upstream: &Upstream,
        limited_from: WarmupState,
        now: Millis,
    ) -> bool {
        if self.signals.limit_wait_ms(name, &self.roster, now) > 0
            || self.brittleness.wait_ms(&place(name, upstream), &self.roster, now) > 0
        {
            return false;
        }
        match upstream.warmup.state(now) {
            WarmupState::Warm => return true,
            WarmupState::Uncertain if limited_from == WarmupState::WarmingUp => return true,
            WarmupState::Uncertain | WarmupState::WarmingUp => {}
        }
        let warmup = self.warmups.get(&upstream.info.service).copied();
        upstream.warmup.admits(name, warmup, &self.roster, now)
    }

    /// Whether an upstream is leaving, according to the list or its own signal, or is no longer listed. Such
    /// an upstream terminates of its own accord.
    pub fn is_leaving(&self, name: &str) -> bool {
        !self.upstreams.contains_key(name) || self.has_announced_leaving(name)
    }

    /// Whether an upstream is leaving, according to the list or its own signal. The signal is remembered after the
    /// upstream was removed from the list.
    pub fn has_announced_leaving(&self, name: &str) -> bool {
        self.upstreams.get(name).is_some_and(|upstream| upstream.leaving) || self.signals.is_leaving(name)
    }

    /// The time until the first upstream of a service accepts requests again, in milliseconds, if all of them
    /// have asked to get none, have reached their limits, or are brittle and full; `None` if one accepts requests now, or none is
    /// left.
    pub fn wait_ms(&self, service: &str, now: Millis) -> Option<Millis> {
        let is_staying = |(name, upstream): &(&String, &Upstream)| {
            upstream.info.service == service
                && !upstream.leaving
                && !self.is_evacuated(upstream)
                && !self.signals.is_leaving(name)
        };
        let staying = self.upstreams.iter().filter(is_staying);
        let wait_ms = |(name, upstream): (&String, &Upstream)| {
            let place_ms = self.brittleness.wait_ms(&place(name, upstream), &self.roster, now);
            let limit_ms = self.signals.limit_wait_ms(name, &self.roster, now);
            self.signals.backoff_ms(name, now).max(limit_ms).max(place_ms)
        };
        staying.map(wait_ms).min().filter(|ms| *ms > 0)
    }
}
