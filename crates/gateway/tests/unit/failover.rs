//! Calls to the store by way of another gateway.

use super::*;
use crate::store_health::{HELPER_BACKOFF, MAX_FAILED_HELPERS, MAX_REFUSALS};
use net::{Handle, Limits};
use standin::{Link, Proxy, TableRows};
use store::rows::Key;

/// What lies between a gateway and the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Open,
    /// Nothing is answered.
    Silent,
    /// Everything is refused.
    Busy,
    /// Answers take half as long again as a read is waited for.
    Slow,
    /// Answers come over the gateway's link.
    Linked,
}

/// Bytes that pass the link one after another.
const PIECE: usize = 16 * 1024;

/// The store as one gateway reaches it.
#[derive(Clone)]
struct Path {
    rows: TableRows,
    way: Arc<Mutex<Way>>,
    link: Arc<Link>,
    progress: Progress,
}

impl Path {
    fn new(rows: &TableRows) -> Path {
        let link = Arc::new(Link::new(LINK_BYTES_PER_S));
        Path { rows: rows.clone(), way: Arc::new(Mutex::new(Way::Open)), link, progress: Progress::default() }
    }

    fn set(&self, way: Way) {
        *self.way.lock().expect("the way") = way;
    }

    fn way(&self) -> Way {
        *self.way.lock().expect("the way")
    }

    /// Brings an answer over the link.
    async fn bring(&self, page: Page) -> Page {
        if self.way() == Way::Linked {
            let bytes: usize =
                page.records.iter().filter_map(|record| record.value.as_ref()).map(Vec::len).sum();
            for _ in 0..bytes.div_ceil(PIECE) {
                self.link.carry(PIECE).await;
                self.progress.add(PIECE);
            }
        }
        page
    }

    async fn pass(&self) -> Result<(), Error> {
        match self.way() {
            Way::Open | Way::Linked => Ok(()),
            Way::Silent => std::future::pending().await,
            Way::Slow => {
                exec::sleep(Duration::from_millis(1_000)).await;
                Ok(())
            }
            Way::Busy => Err(Error {
                step: "call",
                peer: "test".to_owned(),
                fault: Fault::NotApplied,
                reason: "busy".to_owned(),
            }),
        }
    }
}

impl Rows for Path {
    async fn commit(&self, change: &Change) -> Result<Commit, Error> {
        self.pass().await?;
        self.rows.commit(change).await
    }

    async fn list(&self, table: &str, part: &str) -> Result<Page, Error> {
        self.pass().await?;
        Ok(self.bring(self.rows.list(table, part).await?).await)
    }

    async fn feed(&self, table: &str, since: FeedQuery) -> Result<Feed, Error> {
        self.pass().await?;
        self.rows.feed(table, since).await
    }

    fn with_progress(&self, progress: &Progress) -> Path {
        Path { progress: progress.clone(), ..self.clone() }
    }
}

/// A link of which prompts leave a third of 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 417_000.0;
/// A configuration of nearly 1 MB.
const LARGE: usize = 900_000;

/// A gateway that reaches the store, and makes calls for others.
async fn helper(path: &Path) -> (Failover<Path>, Handle) {
    let failover = Failover::new(path.clone());
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
fn calls_go_by_another_gateway_while_the_store_is_silent() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        let (open, cut) = (Path::new(&rows), Path::new(&rows));
        let (_other, handle) = helper(&open).await;
        let failover = Failover::new(cut.clone());
        failover.set_peers(&[handle.address()]);
        assert!(failover.list("things", "").await.is_ok());

        cut.set(Way::Silent);
        let began = Instant::now();
        assert!(failover.list("things", "").await.is_ok(), "a read is made again by way of the other");
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
        let began = Instant::now();
        assert!(matches!(failover.commit(&put("one")).await, Ok(Commit::Applied(_))));
        assert!(began.elapsed() < Duration::from_millis(200), "known to be away: {:?}", began.elapsed());
        assert!(rows.get("things", "", "one").is_some());
        let since = FeedQuery { after: 0, wait_ms: 10, most: usize::MAX };
        assert!(matches!(failover.feed("things", since).await, Ok(Feed::Changes(_))));

        cut.set(Way::Open);
        exec::sleep(3 * PROBE).await;
        assert!(!failover.lock().is_unreachable(), "the direct way is taken again");
    });
}

#[test]
fn a_write_whose_fate_is_not_known_is_not_made_again() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        let (open, cut) = (Path::new(&rows), Path::new(&rows));
        let (_other, handle) = helper(&open).await;
        let failover = Failover::new(cut.clone());
        failover.set_peers(&[handle.address()]);
        cut.set(Way::Silent);
        let error = failover.commit(&put("one")).await.expect_err("no answer came");
        assert_eq!(error.fault, Fault::Unknown);
        assert!(rows.get("things", "", "one").is_none(), "it may still be on its way to the store");
    });
}

#[test]
fn refusals_in_a_row_lead_to_another_gateway_and_one_does_not() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        let (open, cut) = (Path::new(&rows), Path::new(&rows));
        let (_other, handle) = helper(&open).await;
        let failover = Failover::new(cut.clone());
        failover.set_peers(&[handle.address()]);
        cut.set(Way::Busy);
        for _ in 1..MAX_REFUSALS {
            let error = failover.commit(&put("one")).await.expect_err("it is refused");
            assert_eq!(error.fault, Fault::NotApplied);
        }
        assert!(matches!(failover.commit(&put("one")).await, Ok(Commit::Applied(_))));
    });
}

#[test]
fn a_gateway_that_is_cut_off_too_is_no_help_and_harms_nothing() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        let (first, second) = (Path::new(&rows), Path::new(&rows));
        let (other, handle) = helper(&first).await;
        let failover = Failover::new(second.clone());
        failover.set_peers(&[handle.address()]);
        first.set(Way::Silent);
        second.set(Way::Silent);
        assert!(other.list("things", "").await.is_err());
        let began = Instant::now();
        assert!(failover.list("things", "").await.is_err());
        assert!(failover.list("things", "").await.is_err());
        assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
        first.set(Way::Open);
        exec::sleep(3 * PROBE + HELPER_BACKOFF).await;
        assert!(failover.list("things", "").await.is_ok(), "the other helps once it can");
    });
}

#[test]
fn gateways_that_lose_the_store_together_ask_different_ones() {
    let peers: Vec<SocketAddr> = (1..=200).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    let asked = |_| {
        let failover = Failover::new(Path::new(&TableRows::default()));
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
fn a_gateway_makes_few_calls_of_others_at_the_same_time() {
    net::exec::start(2);
    exec::block_on(async {
        let path = Path::new(&TableRows::default());
        let (helping, _handle) = helper(&path).await;
        let places: Vec<Place<'_>> = (0..HELPED).map(|_| Place::take(&helping.helped)).collect();
        let call = || helping.make("list", &"things", path.list("things", ""));
        let answer = async |response: Response<Body>| {
            let bytes =
                http_body_util::BodyExt::collect(response.into_body()).await.expect("a body").to_bytes();
            bincode::deserialize::<Answer<Page>>(&bytes).expect("an answer")
        };
        assert!(matches!(answer(call().await).await, Answer::Away));
        drop(places);
        assert!(matches!(answer(call().await).await, Answer::Done(_)));
    });
}

#[test]
fn a_gateway_whose_link_a_large_answer_takes_makes_no_calls_of_others() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        rows.put("things", "", "large", vec![b'x'; LARGE]);
        let path = Path::new(&rows);
        let (helping, handle) = helper(&path).await;
        path.set(Way::Linked);
        let reading = exec::spawn(async move { helping.list("things", "").await });
        exec::sleep(Duration::from_millis(500)).await;
        let cut = Path::new(&rows);
        cut.set(Way::Silent);
        let failover = Failover::new(cut);
        failover.set_peers(&[handle.address()]);
        let began = Instant::now();
        assert!(failover.list("other", "").await.is_err(), "it was asked to help");
        assert!(reading.await.is_ok());
        failover.lock().peers[0].1 = began;
        assert!(failover.list("other", "").await.is_ok(), "it helps once its link is free");
    });
}

#[test]
fn a_read_that_is_late_is_not_made_anew() {
    net::exec::start(2);
    exec::block_on(async {
        let path = Path::new(&TableRows::default());
        path.set(Way::Slow);
        let failover = Failover::new(path);
        let began = Instant::now();
        assert!(failover.list("things", "").await.is_ok(), "a large answer was on its way");
        assert!(began.elapsed() >= Duration::from_millis(900), "{:?}", began.elapsed());
        assert!(!failover.lock().is_unreachable(), "it answered after all");
    });
}

#[test]
fn a_fleet_that_lost_the_store_together_stops_asking_each_other_for_a_while() {
    let peers: Vec<SocketAddr> = (1..=50).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    let failover = Failover::new(Path::new(&TableRows::default()));
    failover.set_peers(&peers);
    for _ in 0..MAX_FAILED_HELPERS {
        let asked = failover.lock().helpers();
        assert!(!asked.is_empty());
        failover.lock().back_off(asked[0]);
    }
    assert!(failover.lock().helpers().is_empty(), "none of those asked reaches the store");
    failover.lock().paused_until = Some(Instant::now());
    assert!(!failover.lock().helpers().is_empty(), "they are asked again later");
}

#[test]
fn a_large_answer_that_is_on_its_way_is_not_asked_for_again_over_the_same_link() {
    net::exec::start(2);
    exec::block_on(async {
        let rows = TableRows::default();
        rows.put("things", "", "large", vec![b'x'; LARGE]);
        let path = Path::new(&rows);
        let (_other, handle) = helper(&Path::new(&rows)).await;
        let by_other = Proxy::start_on(handle.address(), Some(path.link.clone())).await.expect("a proxy");
        let failover = Failover::new(path.clone());
        failover.set_peers(&[by_other.address()]);
        path.set(Way::Linked);
        let began = Instant::now();
        let answer = failover.list("things", "").await;
        let alone = Duration::from_secs_f64(LARGE as f64 / LINK_BYTES_PER_S);
        assert!(answer.is_ok(), "{answer:?} after {:?}", began.elapsed());
        assert!(began.elapsed() < alone.mul_f64(1.3), "{:?}, alone it takes {alone:?}", began.elapsed());
        assert_eq!(by_other.passed(), 0, "bytes that came a second time");
        assert!(!failover.lock().is_unreachable(), "the store is here");
    });
}
