//! Calls to the store through another gateway.

use super::*;
use crate::store_health::{HELPER_BACKOFF, MAX_FAILED_HELPERS, MAX_REFUSALS};
use net::{Handle, Limits};
use standin::{Link, Proxy, TableRows};
use store::rows::{Key, Record};

/// How the store behaves towards a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Behaviour {
    Responsive,
    /// It does not answer.
    Silent,
    /// It refuses all calls.
    Refusing,
    /// It takes one and a half times as long as the time-out of a read.
    Slow,
    /// Its answers pass over the gateway's link.
    OverLink,
}

/// The bytes that pass over the link at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// The store as seen by one gateway.
#[derive(Clone)]
struct TestStore {
    rows: TableRows,
    behaviour: Arc<Mutex<Behaviour>>,
    link: Arc<Link>,
    progress: Progress,
}

impl TestStore {
    fn new(rows: &TableRows) -> TestStore {
        let link = Arc::new(Link::new(LINK_BYTES_PER_S));
        TestStore {
            rows: rows.clone(),
            behaviour: Arc::new(Mutex::new(Behaviour::Responsive)),
            link,
            progress: Progress::default(),
        }
    }

    fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("the lock is not poisoned") = behaviour;
    }

    fn behaviour(&self) -> Behaviour {
        *self.behaviour.lock().expect("the lock is not poisoned")
    }

    /// Sends an answer over the link, if it has to pass over it.
    async fn transfer(&self, page: Page) -> Page {
        if self.behaviour() == Behaviour::OverLink {
            let bytes: usize =
                page.records.iter().filter_map(|record| record.value.as_ref()).map(Vec::len).sum();
            for _ in 0..bytes.div_ceil(CHUNK_BYTES) {
                self.link.transmit(CHUNK_BYTES).await;
                self.progress.add(CHUNK_BYTES);
            }
        }
        page
    }

    /// Delays or fails a call as the current behaviour requires.
    async fn respond(&self) -> Result<(), Error> {
        match self.behaviour() {
            Behaviour::Responsive | Behaviour::OverLink => Ok(()),
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Slow => {
                exec::sleep(Duration::from_millis(1_000)).await;
                Ok(())
            }
            Behaviour::Refusing => Err(Error {
                step: "call",
                peer: "test".to_owned(),
                fault: Fault::NotApplied,
                reason: "busy".to_owned(),
            }),
        }
    }
}

impl Rows for TestStore {
    async fn commit(&self, change: &Change) -> Result<Commit, Error> {
        self.respond().await?;
        self.rows.commit(change).await
    }

    async fn list(&self, table: &str, part: &str) -> Result<Page, Error> {
        self.respond().await?;
        Ok(self.transfer(self.rows.list(table, part).await?).await)
    }

    async fn feed(&self, table: &str, since: FeedQuery) -> Result<Feed, Error> {
        self.respond().await?;
        self.rows.feed(table, since).await
    }

    fn with_progress(&self, progress: &Progress) -> TestStore {
        TestStore { progress: progress.clone(), ..self.clone() }
    }
}

/// The bandwidth that is left for answers: a third of a link of 10 Mbit/s, of which prompts take the rest.
const LINK_BYTES_PER_S: f64 = 417_000.0;
/// The size of a large answer: a configuration of nearly 1 MB.
const LARGE_BYTES: usize = 900_000;

/// A gateway that serves the calls of others.
async fn helper(store: &TestStore) -> (Failover<TestStore>, Handle) {
    let failover = Failover::new(store.clone());
    let serving = failover.clone();
    let handle =
        net::serve(standin::loopback(), Limits::default(), move |request| serving.clone().answer(request))
            .await
            .expect("a listener");
    (failover, handle)
}

fn put(name: &str) -> Change {
    Change { puts: vec![(Key::new("things", name), b"here".to_vec())], ..Change::default() }
}

#[test]
fn calls_go_through_another_gateway_while_the_store_does_not_answer() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        let (reachable, cut_off) = (TestStore::new(&rows), TestStore::new(&rows));
        let (_other, handle) = helper(&reachable).await;
        let failover = Failover::new(cut_off.clone());
        failover.set_peers(&[handle.address()]);
        assert!(failover.list("things", "").await.is_ok());

        cut_off.set(Behaviour::Silent);
        let began = Instant::now();
        assert!(failover.list("things", "").await.is_ok(), "a read is repeated through the other gateway");
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
        let began = Instant::now();
        assert!(matches!(failover.commit(&put("one")).await, Ok(Commit::Applied(_))));
        assert!(
            began.elapsed() < Duration::from_millis(200),
            "the store is known to be unreachable: {:?}",
            began.elapsed()
        );
        assert!(rows.get("things", "", "one").is_some());
        let since = FeedQuery { after: 0, wait_ms: 10, most: usize::MAX };
        assert!(matches!(failover.feed("things", since).await, Ok(Feed::Changes(_))));

        cut_off.set(Behaviour::Responsive);
        exec::sleep(3 * PROBE_INTERVAL).await;
        assert!(!failover.lock().is_unreachable(), "calls are made directly again");
    });
}

#[test]
fn a_write_with_an_unknown_outcome_is_not_repeated() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        let (reachable, cut_off) = (TestStore::new(&rows), TestStore::new(&rows));
        let (_other, handle) = helper(&reachable).await;
        let failover = Failover::new(cut_off.clone());
        failover.set_peers(&[handle.address()]);
        cut_off.set(Behaviour::Silent);
        let error = failover.commit(&put("one")).await.expect_err("there is no answer");
        assert_eq!(error.fault, Fault::Unknown);
        assert!(rows.get("things", "", "one").is_none(), "the first write may still reach the store");
    });
}

#[test]
fn only_consecutive_refusals_lead_to_another_gateway() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        let (reachable, cut_off) = (TestStore::new(&rows), TestStore::new(&rows));
        let (_other, handle) = helper(&reachable).await;
        let failover = Failover::new(cut_off.clone());
        failover.set_peers(&[handle.address()]);
        cut_off.set(Behaviour::Refusing);
        for _ in 1..MAX_REFUSALS {
            let error = failover.commit(&put("one")).await.expect_err("it is refused");
            assert_eq!(error.fault, Fault::NotApplied);
        }
        assert!(matches!(failover.commit(&put("one")).await, Ok(Commit::Applied(_))));
    });
}

#[test]
fn a_gateway_that_has_lost_the_store_too_does_not_delay_calls_much() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        let (first, second) = (TestStore::new(&rows), TestStore::new(&rows));
        let (other, handle) = helper(&first).await;
        let failover = Failover::new(second.clone());
        failover.set_peers(&[handle.address()]);
        first.set(Behaviour::Silent);
        second.set(Behaviour::Silent);
        assert!(other.list("things", "").await.is_err());
        let began = Instant::now();
        assert!(failover.list("things", "").await.is_err());
        assert!(failover.list("things", "").await.is_err());
        assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
        first.set(Behaviour::Responsive);
        exec::sleep(3 * PROBE_INTERVAL + HELPER_BACKOFF).await;
        assert!(
            failover.list("things", "").await.is_ok(),
            "the other gateway helps once it reaches the store"
        );
    });
}

#[test]
fn gateways_that_lose_the_store_together_ask_different_helpers() {
    let peers: Vec<SocketAddr> = (1..=200).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    let asked = |_| {
        let failover = Failover::new(TestStore::new(&TableRows::default()));
        failover.set_peers(&peers);
        failover.lock().helpers()
    };
    let mut counts = std::collections::HashMap::new();
    for peer in (0..200).flat_map(asked) {
        *counts.entry(peer).or_insert(0) += 1;
    }
    let most = counts.values().max();
    assert!(most < Some(&15), "one of 200 gateways is asked by {most:?}");
}

#[test]
fn the_concurrent_calls_for_other_gateways_are_limited() {
    net::exec::start(2);
    exec::block_on(async {
        let store = TestStore::new(&TableRows::default());
        let (helping, _handle) = helper(&store).await;
        let slots: Vec<CallSlot<'_>> =
            (0..MAX_FORWARDED_CALLS).map(|_| CallSlot::take(&helping.forwarded)).collect();
        let call = || helping.make_for_peer("list", &"things", store.list("things", ""));
        let answer = async |response: Response<Body>| {
            let bytes =
                http_body_util::BodyExt::collect(response.into_body()).await.expect("a body").to_bytes();
            bincode::deserialize::<Answer<Page>>(&bytes).expect("an answer")
        };
        assert!(matches!(answer(call().await).await, Answer::Away));
        drop(slots);
        assert!(matches!(answer(call().await).await, Answer::Done(_)));
    });
}

#[test]
fn a_gateway_makes_no_calls_for_others_while_a_large_answer_occupies_its_link() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        rows.put("things", "", "large", vec![b'x'; LARGE_BYTES]);
        let store = TestStore::new(&rows);
        let (helping, handle) = helper(&store).await;
        store.set(Behaviour::OverLink);
        let reading = exec::spawn(async move { helping.list("things", "").await });
        exec::sleep(Duration::from_millis(500)).await;
        let cut_off = TestStore::new(&rows);
        cut_off.set(Behaviour::Silent);
        let failover = Failover::new(cut_off);
        failover.set_peers(&[handle.address()]);
        let began = Instant::now();
        assert!(failover.list("other", "").await.is_err(), "a gateway with a busy link made the call");
        assert!(reading.await.is_ok());
        failover.lock().peers[0].1 = began;
        assert!(failover.list("other", "").await.is_ok(), "it makes the call once its link is free");
    });
}

#[test]
fn a_late_read_is_not_restarted() {
    net::exec::start(2);
    exec::block_on(async {
        let store = TestStore::new(&TableRows::default());
        store.set(Behaviour::Slow);
        let failover = Failover::new(store);
        let began = Instant::now();
        assert!(failover.list("things", "").await.is_ok(), "the answer was not awaited");
        assert!(began.elapsed() >= Duration::from_millis(900), "{:?}", began.elapsed());
        assert!(!failover.lock().is_unreachable(), "the store did answer");
    });
}

#[test]
fn helpers_are_not_asked_for_a_while_if_none_of_them_reaches_the_store() {
    let peers: Vec<SocketAddr> = (1..=50).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    let failover = Failover::new(TestStore::new(&TableRows::default()));
    failover.set_peers(&peers);
    for _ in 0..MAX_FAILED_HELPERS {
        let asked = failover.lock().helpers();
        assert!(!asked.is_empty());
        failover.lock().back_off(asked[0]);
    }
    assert!(failover.lock().helpers().is_empty(), "none of the helpers reached the store");
    failover.lock().paused_until = Some(Instant::now());
    assert!(!failover.lock().helpers().is_empty(), "helpers are asked again after the pause");
}

#[test]
fn a_large_answer_that_is_arriving_is_not_requested_again_over_the_same_link() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        rows.put("things", "", "large", vec![b'x'; LARGE_BYTES]);
        let store = TestStore::new(&rows);
        let (_other, handle) = helper(&TestStore::new(&rows)).await;
        let by_other =
            Proxy::start_with_link(handle.address(), Some(store.link.clone())).await.expect("a proxy");
        let failover = Failover::new(store.clone());
        failover.set_peers(&[by_other.address()]);
        store.set(Behaviour::OverLink);
        let began = Instant::now();
        let answer = failover.list("things", "").await;
        assert!(answer.is_ok(), "{answer:?} after {:?}", began.elapsed());
        let copies = store.link.bytes() as f64 / LARGE_BYTES as f64;
        assert!((1.0..1.05).contains(&copies), "{copies} copies of the answer passed the link");
        assert_eq!(by_other.bytes_passed(), 0, "bytes that arrived a second time");
        assert!(!failover.lock().is_unreachable(), "the store counts as unreachable");
    });
}

/// An answer of unknown length ends with its connection, so that only the decoding tells whether it was cut off.
#[test]
fn a_message_between_gateways_that_is_cut_off_is_an_error() {
    fn check<T: DeserializeOwned + Serialize>(value: T) {
        let whole = bincode::serialize(&Answer::Done(value)).expect("bytes");
        for length in 0..whole.len() {
            assert!(
                bincode::deserialize::<Answer<T>>(&whole[..length]).is_err(),
                "{length} of {}",
                whole.len()
            );
        }
        bincode::deserialize::<Answer<T>>(&whole).expect("the whole message");
    }
    let record = |name: &str| Record {
        table: "things".to_owned(),
        name: name.to_owned(),
        version: 3,
        value: Some(b"value".to_vec()),
    };
    let page = Page { records: vec![record("one"), record("two")], version: 4, now_ms: 5 };
    check(page.clone());
    check(Feed::Changes(page.clone()));
    check(Commit::Conflict(page.records));
    check(Commit::Applied(4));
}
