//! Metrics of a gateway: counters, gauges and histograms.

use prometheus::core::Collector;
use prometheus::proto::MetricFamily;
use prometheus::{
    Counter, Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use route::reach::Status;

/// The upper bounds of the latency histograms, in seconds. Most of them are around the target latencies of
/// interactive requests.
const SECONDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 15.0];

/// The upper bounds of the histogram of the times after which callers are asked to return, in seconds. A cause
/// is expected to last for at most four seconds, and the queue for four more.
const RETRY_SECONDS: [f64; 10] = [0.2, 0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 15.0];

/// The metrics of a gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Finished requests, by route and outcome.
    pub requests: IntCounterVec,
    /// The time to the first answer, by route.
    pub first_answer_time: HistogramVec,
    /// The time to the end of the answer, by route.
    pub whole_answer_time: HistogramVec,
    /// Dispatches after the first one of a request, by service and reason.
    pub repeats: IntCounterVec,
    /// The times after which callers of refused requests are asked to return, by cause.
    pub retry_after: HistogramVec,
    /// Calls to the store, by step, table and outcome.
    pub store_calls: IntCounterVec,
    /// Streams that callers take up, by outcome.
    pub resumptions: IntCounterVec,
    pub located: IntCounterVec,
    pub barriers: IntCounterVec,
    /// The number of streams whose origin is known.
    pub origins: IntGauge,
    /// Streams whose software version was written to the store.
    pub origins_written: IntCounter,
    /// Bytes of rows read from and written to the store, by step and table.
    pub store_bytes: IntCounterVec,
    /// The time of a call to the store.
    pub store_time: Histogram,
    /// The version of the manifest in force.
    pub manifest_version: IntGauge,
    /// Budget tokens, by team and state.
    pub budget_tokens: IntGaugeVec,
    /// The number of teams whose tokens this gateway holds although others own their budgets.
    pub budgets_held: IntGauge,
    /// Attempts to connect to upstreams, by outcome.
    pub connection_attempts: IntCounterVec,
    /// Upstreams that this gateway ejected.
    pub ejections: IntCounter,
    /// Probes of upstreams from which nothing arrived, by result.
    pub silent_upstreams: IntCounterVec,
    /// How this gateway reaches the upstreams.
    pub reach: IntGauge,
    /// Tunnels to upstreams that this gateway serves for others.
    pub tunnels: IntGauge,
    /// Open requests of this gateway, by upstream.
    pub upstream_open_requests: IntGaugeVec,
    /// The number of listed upstreams.
    pub upstreams: IntGauge,
    /// The number of gateways that are considered alive.
    pub fleet_gateways: IntGauge,
    /// The number of data centres that operators have evacuated, whose upstreams get no requests.
    pub data_centres_evacuated: IntGauge,
    /// Entries in the list of upstreams that could not be decoded.
    pub entries_unfit: IntCounter,
    /// Upstreams that announced in an answer that they are leaving.
    pub upstreams_leaving: IntCounter,
    /// Refusals in which upstreams asked for a back-off.
    pub upstream_rests: IntCounter,
    /// Upstream answers with a valid request limit.
    pub limits_named: IntCounter,
    /// Answers of upstreams with a header that can't be decoded.
    pub unreadable_answers: IntCounter,
    /// Answers of upstreams that are not passed on, by reason.
    pub rejected_answers: IntCounterVec,
    /// Runs of streams that were closed before their end, by who closed the connection last.
    pub closed_runs: IntCounterVec,
    /// Runs that broke because their upstream terminated.
    pub runs_lost: IntCounter,
    /// The memory of the bodies that callers are sending, in bytes.
    pub receiving_bytes: IntGauge,
    /// Connections and requests of callers that were given up because of their pace, by direction.
    pub slow_callers: IntCounterVec,
    /// The number of requests that are denied because they crash upstreams.
    pub quarantined: IntGauge,
    /// Bytes of bodies that were accepted for pacing and sent.
    pub paced_bytes: IntCounter,
    /// The time for which bodies waited for their turn on the link.
    pub pacing_time: Histogram,
    /// How long streams that callers take up waited until their earlier runs were over, in seconds.
    pub release_time: Histogram,
    /// Datagrams of other gateways that were accepted, by kind.
    pub hints_accepted: IntCounterVec,
    /// Datagrams of other gateways that were dropped, by reason.
    pub hints_dropped: IntCounterVec,
    /// The time in which this gateway took no new connections because it was overloaded, in seconds.
    pub unready_time: Counter,
    /// The average utilization of the link, as a share; 0 if its capacity is not known.
    pub link_utilization: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let seconds = |name: &str, help: &str| HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let family = IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid");
            registry.register(Box::new(family.clone())).expect("the name is not registered yet");
            family
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let family = IntGaugeVec::new(Opts::new(name, help), labels).expect("the name is valid");
            registry.register(Box::new(family.clone())).expect("the name is not registered yet");
            family
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry.register(Box::new(gauge.clone())).expect("the name is not registered yet");
            gauge
        };
        let histograms = |name: &str, help: &str| {
            let family = HistogramVec::new(seconds(name, help), &["route"]).expect("the name is valid");
            registry.register(Box::new(family.clone())).expect("the name is not registered yet");
            family
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the name is valid");
            registry.register(Box::new(counter.clone())).expect("the name is not registered yet");
            counter
        };
        let retry_after = HistogramVec::new(
            HistogramOpts::new(
                "tallypaddle_retry_after_seconds",
                "Time after which callers of refused requests are asked to return, by cause.",
            )
            .buckets(RETRY_SECONDS.to_vec()),
            &["cause"],
        )
        .expect("the name is valid");
        registry.register(Box::new(retry_after.clone())).expect("the name is not registered yet");
        let store_time =
            Histogram::with_opts(seconds("tallypaddle_store_seconds", "Time of a call to the store."))
                .expect("the name is valid");
        registry.register(Box::new(store_time.clone())).expect("the name is not registered yet");
        let pacing_time = Histogram::with_opts(seconds(
            "tallypaddle_pacing_seconds",
            "Time for which a body waited for its turn on the link.",
        ))
        .expect("the name is valid");
        registry.register(Box::new(pacing_time.clone())).expect("the name is not registered yet");
        let release_time = Histogram::with_opts(seconds(
            "tallypaddle_release_seconds",
            "Time for which a stream that its caller takes up waited for the end of its earlier runs.",
        ))
        .expect("the name is valid");
        registry.register(Box::new(release_time.clone())).expect("the name is not registered yet");
        let unready_time = Counter::new(
            "tallypaddle_unready_seconds_total",
            "Time without new connections because of overload.",
        )
        .expect("the name is valid");
        registry.register(Box::new(unready_time.clone())).expect("the name is not registered yet");
        let link_utilization =
            Gauge::new("tallypaddle_link_utilization", "Average utilization of the link, as a share.")
                .expect("the name is valid");
        registry.register(Box::new(link_utilization.clone())).expect("the name is not registered yet");
        Metrics {
            requests: counters(
                "tallypaddle_requests_total",
                "Requests that ended, by route and outcome.",
                &["route", "outcome"],
            ),
            first_answer_time: histograms(
                "tallypaddle_first_answer_seconds",
                "Time to the first answer, by route.",
            ),
            whole_answer_time: histograms(
                "tallypaddle_whole_answer_seconds",
                "Time to the end of the answer, by route.",
            ),
            repeats: counters(
                "tallypaddle_repeats_total",
                "Dispatches beyond the first of a request, by service and reason.",
                &["service", "reason"],
            ),
            retry_after,
            resumptions: counters(
                "tallypaddle_resumptions_total",
                "Streams that callers take up, by whether the software version that began them is known.",
                &["outcome"],
            ),
            located: counters(
                "tallypaddle_located_streams_total",
                "What the software version of a stream that its caller takes up was found by.",
                &["basis"],
            ),
            barriers: counters(
                "tallypaddle_barriers_total",
                "Reads of the store that bring the list of upstreams up to the present, by outcome.",
                &["outcome"],
            ),
            origins: gauge(
                "tallypaddle_origins",
                "Streams of which this gateway knows the software version that began them.",
            ),
            origins_written: counter(
                "tallypaddle_origins_written_total",
                "Streams whose software version was written to the store.",
            ),
            data_centres_evacuated: gauge(
                "tallypaddle_data_centres_evacuated",
                "Data centres whose upstreams get nothing.",
            ),
            entries_unfit: counter(
                "tallypaddle_entries_unfit_total",
                "Entries in the list of upstreams that name none.",
            ),
            upstreams_leaving: counter(
                "tallypaddle_upstreams_leaving_total",
                "Upstreams that said in an answer that they leave.",
            ),
            upstream_rests: counter(
                "tallypaddle_upstream_rests_total",
                "Refusals of upstreams that asked for rest.",
            ),
            limits_named: counter(
                "tallypaddle_upstream_limits_named_total",
                "Answers in which upstreams named a request limit.",
            ),
            unreadable_answers: counter(
                "tallypaddle_upstream_answers_unreadable_total",
                "Answers of upstreams with a header that can't be read, which is ignored, or with too large an event.",
            ),
            rejected_answers: counters(
                "tallypaddle_upstream_answers_rejected_total",
                "Answers that are none to the request for which they came, or whose status is a false promise.",
                &["reason"],
            ),
            closed_runs: counters(
                "tallypaddle_closed_runs_total",
                "Runs of resumable streams that were closed before their end, by whether the upstream closed its end.",
                &["by"],
            ),
            runs_lost: counter(
                "tallypaddle_runs_lost_total",
                "Runs that broke off because their upstream ended.",
            ),
            paced_bytes: counter(
                "tallypaddle_paced_bytes_total",
                "Bytes of bodies whose turn on the link came.",
            ),
            pacing_time,
            release_time,
            hints_accepted: counters(
                "tallypaddle_hints_accepted_total",
                "Datagrams of other gateways that were applied, by kind.",
                &["kind"],
            ),
            hints_dropped: counters(
                "tallypaddle_hints_dropped_total",
                "Datagrams between gateways that changed nothing.",
                &["reason"],
            ),
            store_bytes: counters(
                "tallypaddle_store_bytes_total",
                "Bytes of rows read from and written to the store.",
                &["step", "table"],
            ),
            store_calls: counters(
                "tallypaddle_store_calls_total",
                "Calls to the store, by step, table and outcome.",
                &["step", "table", "outcome"],
            ),
            store_time,
            manifest_version: gauge("tallypaddle_manifest_version", "Version of the manifest in force."),
            budget_tokens: gauges(
                "tallypaddle_budget_tokens",
                "Tokens by team and state: available and in use here, free in the pool.",
                &["team", "state"],
            ),
            budgets_held: gauge(
                "tallypaddle_budgets_held",
                "Teams whose tokens are held here though other gateways own their budgets.",
            ),
            connection_attempts: counters(
                "tallypaddle_connection_attempts_total",
                "Attempts to connect to upstreams, by outcome.",
                &["outcome"],
            ),
            silent_upstreams: counters(
                "tallypaddle_silent_upstreams_total",
                "Probes of upstreams from which nothing arrived, by result.",
                &["address"],
            ),
            ejections: counter(
                "tallypaddle_ejections_total",
                "Upstreams that this gateway ejected, because it could not reach them or they broke off requests.",
            ),
            reach: gauge(
                "tallypaddle_upstreams_reach",
                "How the upstreams are reached: 0 directly, 1 through other gateways, 2 not at all.",
            ),
            tunnels: gauge("tallypaddle_tunnels", "Tunnels to upstreams that are served for other gateways."),
            upstream_open_requests: gauges(
                "tallypaddle_upstream_open_requests",
                "Requests of this gateway at an upstream.",
                &["upstream"],
            ),
            upstreams: gauge("tallypaddle_upstreams", "Upstreams listed."),
            receiving_bytes: gauge(
                "tallypaddle_receiving_bytes",
                "Memory of the request bodies that callers are sending.",
            ),
            slow_callers: counters(
                "tallypaddle_slow_callers_total",
                "Callers that were given up because they sent or read too slowly.",
                &["direction"],
            ),
            quarantined: gauge(
                "tallypaddle_quarantined",
                "Requests that are denied since they end upstreams.",
            ),
            fleet_gateways: gauge("tallypaddle_fleet_gateways", "Gateways that are thought to be alive."),
            unready_time,
            link_utilization,
            registry,
        }
    }

    /// Sets the number of open requests of the upstreams that have any. The others have no gauge: in a large
    /// fleet nearly all are idle, and those that are gone would stay for good.
    pub(crate) fn set_open_requests<'a>(&self, open_requests: impl Iterator<Item = (&'a str, u32)>) {
        self.upstream_open_requests.reset();
        for (upstream, open_requests) in open_requests {
            self.upstream_open_requests.with_label_values(&[upstream]).set(i64::from(open_requests));
        }
    }

    /// Sets how this gateway reaches the upstreams.
    pub(crate) fn set_reach(&self, status: Status) {
        self.reach.set(match status {
            Status::Direct => 0,
            Status::Relayed => 1,
            Status::Isolated => 2,
        });
    }

    /// The counts of calls to the store, formatted as one line.
    pub(crate) fn store_calls_line(&self) -> String {
        format_counters(&self.store_calls, &["step", "table", "outcome"])
    }

    /// The counts of bytes read from and written to the store, formatted as one line.
    pub(crate) fn store_bytes_line(&self) -> String {
        format_counters(&self.store_bytes, &["step", "table"])
    }

    /// Encodes all metrics in the text format of Prometheus. The families with the fewest samples come first:
    /// some collectors keep only the beginning, and the totals should be in it.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut families = self.registry.gather();
        families.sort_by_key(sample_count);
        let mut text = vec![];
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::error!("metrics: event=not-encoded error={error}");
        }
        text
    }
}

/// The number of lines that a family takes in the text format.
fn sample_count(family: &MetricFamily) -> usize {
    family.get_metric().iter().map(|metric| 1 + metric.get_histogram().get_bucket().len()).sum()
}

/// Formats counters as one line, each preceded by the values of these labels.
fn format_counters(counters: &IntCounterVec, labels: &[&str]) -> String {
    let count = |metric: &prometheus::proto::Metric| {
        let values: Vec<&str> = labels
            .iter()
            .filter_map(|name| metric.get_label().iter().find(|label| label.name() == *name))
            .map(|label| label.value())
            .collect();
        format!("{}={}", values.join("/"), metric.get_counter().get_value())
    };
    let families = counters.collect();
    let mut counts: Vec<String> = families.iter().flat_map(|family| family.get_metric()).map(count).collect();
    counts.sort();
    counts.join(" ")
}
