//! The router's metrics. The book documents each name with its unit and meaning.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// The bucket bounds of the time to the first token, in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.69, 1.0, 3.0, 10.0];

/// The metrics of a router.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Ended requests by outcome.
    pub answers: IntCounterVec,
    /// Routing decisions by reason.
    pub decisions: IntCounterVec,
    /// Refused requests by code.
    pub refusals: IntCounterVec,
    /// Tokens charged.
    pub charged: IntCounter,
    /// Tokens consumed by runs whose answer nobody received; they are not charged.
    pub wasted: IntCounter,
    /// Tokens held for runs whose outcome is unknown.
    pub unknown: IntGauge,
    /// Tokens that upstreams reported above the reservation; they are not charged.
    pub excess: IntCounter,
    /// Attempts after the first.
    pub retries: IntCounter,
    /// Resumed streams.
    pub resumes: IntCounter,
    /// Calls to the platform by step and outcome.
    pub platform: IntCounterVec,
    /// Tokens lent to peers.
    pub lent: IntCounter,
    /// Tokens borrowed from peers.
    pub borrowed: IntCounter,
    /// Loans whose answer was lost and is still being asked for.
    pub loans_open: IntGauge,
    /// Open requests.
    pub open: IntGauge,
    /// The sequence of the bundle in force.
    pub sequence: IntGauge,
    /// Rejected bundles.
    pub rejected: IntCounter,
    /// Ejections of upstreams.
    pub ejections: IntCounter,
    /// The time to the first token.
    pub first_token: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(format!("tallypaddle_{name}"), help).expect("a valid metric name");
            registry.register(Box::new(metric.clone())).expect("metric names are unique");
            metric
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let options = Opts::new(format!("tallypaddle_{name}"), help);
            let metric = IntCounterVec::new(options, labels).expect("a valid metric name");
            registry.register(Box::new(metric.clone())).expect("metric names are unique");
            metric
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(format!("tallypaddle_{name}"), help).expect("a valid metric name");
            registry.register(Box::new(metric.clone())).expect("metric names are unique");
            metric
        };
        let options = HistogramOpts::new("tallypaddle_first_token_seconds", "Time to the first token")
            .buckets(FIRST_TOKEN_BOUNDS.to_vec());
        let first_token = Histogram::with_opts(options).expect("a valid metric name");
        registry.register(Box::new(first_token.clone())).expect("metric names are unique");
        Metrics {
            answers: counters("answers_total", "Answers by outcome", &["outcome"]),
            decisions: counters("route_decisions_total", "Routing decisions by reason", &["reason"]),
            refusals: counters("refusals_total", "Requests refused by code", &["code"]),
            charged: counter("charged_tokens_total", "Tokens charged to budgets"),
            wasted: counter("wasted_tokens_total", "Tokens consumed by runs whose answer nobody got"),
            unknown: gauge("unknown_tokens", "Tokens held for runs whose end is not known"),
            excess: counter("excess_tokens_total", "Tokens that an upstream reported above a reservation"),
            retries: counter("retries_total", "Attempts after the first"),
            resumes: counter("resumes_total", "Streams taken up again at the same upstream"),
            platform: counters("platform_calls_total", "Calls to the platform", &["step", "outcome"]),
            lent: counter("lent_tokens_total", "Tokens handed to other routers"),
            borrowed: counter("borrowed_tokens_total", "Tokens taken over from other routers"),
            loans_open: gauge("loans_open", "Loans whose answer is still being asked for"),
            open: gauge("requests_open", "Requests in progress"),
            sequence: gauge("bundle_sequence", "The bundle sequence in force"),
            rejected: counter("bundles_rejected_total", "Bundles rejected"),
            ejections: counter("upstream_ejections_total", "Upstreams ejected for failures"),
            first_token,
            registry,
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
