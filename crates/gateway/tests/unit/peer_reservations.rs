//! Requests at one gateway whose tokens are reserved at another.

use super::*;
use crate::owners::Peer;
use crate::support::{PlainTextWire, manifest, node_with_link};
use crate::table::{BUDGETS, POOL};
use assert_matches::assert_matches;
use budget::ledger::Pool;
use net::Handle;
use route::reach::Distance;
use standin::{RowsFault, TableRows};

const TEAM: &str = "desk";
const TOTAL: u64 = 100_000;
const MAX_DURATION: Duration = Duration::from_secs(5);
/// Long, since a busy machine delays the owner's answer. No test passes because of it.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Two gateways: the one that owns the team's budget, with its listener, and another one.
struct Pair {
    rows: TableRows,
    owner: Arc<Node<PlainTextWire, TableRows>>,
    handle: Option<Handle>,
    other: Arc<Node<PlainTextWire, TableRows>>,
}

impl Pair {
    async fn start() -> Pair {
        Pair::start_with_link(Some(10.0)).await
    }

    async fn start_with_link(link_mbps: Option<f64>) -> Pair {
        net::exec::start(2);
        let rows = TableRows::default();
        let nodes = ["vm-1", "vm-2"].map(|name| node_with_link(name, 1, &rows, link_mbps));
        nodes.iter().for_each(|node| assert!(node.apply_manifest(manifest(1, &[(TEAM, TOTAL)]))));
        let [one, two] = nodes;
        let anywhere = "127.0.0.1:1".parse().expect("an address");
        let peer = |name: &str, address| Peer {
            name: name.to_owned(),
            address,
            cores: 1.0,
            distance: Distance::Region,
        };
        one.set_peers(&[peer("vm-2", anywhere)]);
        let (owner, other) = if one.owners.owner_of(TEAM) == Owner::Local { (one, two) } else { (two, one) };
        let shared = owner.clone();
        let handle = net::serve(standin::loopback(), net::Limits::default(), move |request| {
            answer(shared.clone(), request)
        });
        let handle = handle.await.expect("a listener");
        owner.set_peers(&[peer(&other.settings.name, anywhere)]);
        other.set_peers(&[peer(&owner.settings.name, handle.address())]);
        Pair { rows, owner, handle: Some(handle), other }
    }

    /// Stops the owner's listener, and waits until it is closed, which a task of its own does.
    async fn stop_owner(&mut self) {
        let handle = self.handle.take().expect("the owner listens");
        let address = handle.address();
        drop(handle);
        for _ in 0..1_000 {
            if std::net::TcpStream::connect(address).is_err() {
                return;
            }
            exec::sleep(Duration::from_millis(10)).await;
        }
        panic!("the owner still listens");
    }

    /// Reserves and charges tokens for requests of a heavy caller at the other gateway, until that gateway
    /// holds tokens itself. Returns how many requests that took.
    async fn become_holder(&self) -> usize {
        for round in 1..=500 {
            let reservation = self.reserve(10).await.expect("tokens").expect("a budget");
            if matches!(reservation, Reservation::Local(_)) {
                return round;
            }
            reservation.charge("r", 10);
            self.note_budgets();
            exec::sleep(Duration::from_millis(10)).await;
        }
        panic!("the gateway with the heavy caller still asks the owner");
    }

    /// Acknowledges a usage note of the other gateway's budgets, which its background task would write.
    fn note_budgets(&self) {
        for budget in self.other.budgets().values() {
            let (generation, _) = budget.begin_note(1, 1);
            budget.end_note(generation, Some(true));
        }
    }

    async fn reserve(&self, tokens: u64) -> Result<Option<Reservation>, Denial> {
        let manifest = self.other.manifest().expect("a manifest");
        let budget = || self.other.budget(&manifest, &manifest.teams[TEAM]);
        let level = Level { version: manifest.version, tokens: TOTAL };
        let cost = Cost { tokens, priority: 0 };
        reserve(&self.other, budget, TEAM, level, cost, RESERVE_TIMEOUT, MAX_DURATION).await
    }

    /// The tokens that are reserved at the owner.
    fn reserved_tokens(&self) -> u64 {
        let budget = self.owner.budgets().get(TEAM).cloned();
        budget.map_or(0, |budget| budget.lock().grant.reserved())
    }

    /// The tokens spent according to the store. Waits a few seconds for `tokens`.
    async fn spent(&self, tokens: u64) -> u64 {
        let mut spent = 0;
        for _ in 0..200 {
            let row = self.rows.get(BUDGETS, TEAM, POOL);
            let pool: Option<Pool> = row.map(|bytes| serde_json::from_slice(&bytes).expect("a pool"));
            spent = pool.map_or(0, |pool| pool.spent);
            if spent == tokens {
                break;
            }
            exec::sleep(Duration::from_millis(20)).await;
        }
        spent
    }
}

#[test]
fn the_owner_reserves_and_charges_tokens_for_another_gateway() {
    exec::block_on(async {
        let pair = Pair::start().await;
        let reservation = pair.reserve(10_000).await.expect("tokens").expect("a budget");
        assert_matches!(reservation, Reservation::Remote(_));
        assert_eq!(pair.reserved_tokens(), 10_000);
        reservation.charge("r-1", 4_000);
        assert_eq!(pair.spent(4_000).await, 4_000);
        assert_eq!(pair.reserved_tokens(), 0);
        assert!(pair.other.budgets().is_empty(), "the other gateway has opened no budget");
    });
}

#[test]
fn the_reservation_of_a_request_that_did_not_run_is_released() {
    exec::block_on(async {
        let pair = Pair::start().await;
        drop(pair.reserve(TOTAL).await.expect("tokens"));
        for _ in 0..100 {
            if pair.reserved_tokens() == 0 {
                break;
            }
            exec::sleep(Duration::from_millis(20)).await;
        }
        assert!(pair.reserve(TOTAL).await.is_ok());
    });
}

#[test]
fn a_denial_by_the_owner_is_final() {
    exec::block_on(async {
        let pair = Pair::start().await;
        let held = pair.reserve(TOTAL).await.expect("tokens");
        assert_matches!(pair.reserve(1).await, Err((DenialReason::Spent, _, _)));
        drop(held);
    });
}

#[test]
fn a_request_without_a_report_is_charged_at_its_worst_case() {
    exec::block_on(async {
        let pair = Pair::start().await;
        let reservation = pair.reserve(10_000).await.expect("tokens").expect("a budget");
        // As if the other gateway died: no report is sent.
        let Reservation::Remote(remote) = reservation else { panic!("the reservation is local") };
        remote.discard();
        for (_, until) in pair.owner.peer_reservations.held().open.values_mut() {
            *until = Instant::now();
        }
        pair.owner.peer_reservations.expire();
        assert_eq!(pair.spent(10_000).await, 10_000);
    });
}

#[test]
fn without_the_owner_tokens_are_drawn_locally() {
    exec::block_on(async {
        let mut pair = Pair::start().await;
        pair.stop_owner().await;
        let reservation = pair.reserve(10_000).await.expect("tokens").expect("a budget");
        assert_matches!(reservation, Reservation::Local(_));
        assert_eq!(pair.other.owners.owner_of(TEAM), Owner::Local, "the owner is skipped for a while");
    });
}

#[test]
fn the_owner_reserves_tokens_while_the_store_is_down() {
    exec::block_on(async {
        let pair = Pair::start().await;
        pair.reserve(10_000).await.expect("tokens").expect("a budget").charge("r-1", 10_000);
        assert_eq!(pair.spent(10_000).await, 10_000);
        pair.rows.set_fault(RowsFault::Down);
        let reservation = pair.reserve(2_000).await.expect("the owner holds tokens");
        assert_matches!(reservation, Some(Reservation::Remote(_)));
    });
}

#[test]
fn a_stopping_owner_accepts_no_reservations() {
    exec::block_on(async {
        let pair = Pair::start().await;
        pair.owner.set_phase(Phase::Leaving);
        let reservation = pair.reserve(10_000).await.expect("tokens").expect("a budget");
        assert_matches!(reservation, Reservation::Local(_));
    });
}

#[test]
fn a_stopping_owner_reserves_tokens_until_its_budget_retires() {
    exec::block_on(async {
        let pair = Pair::start().await;
        let reserved = pair.reserve(10_000).await.expect("tokens").expect("a budget");
        assert_matches!(reserved, Reservation::Remote(_));
        pair.owner.set_phase(Phase::Leaving);
        let reserved = pair.reserve(10_000).await.expect("tokens").expect("a budget");
        assert_matches!(reserved, Reservation::Remote(_));
        pair.owner.budgets().values().for_each(|budget| budget.retire());
        let reserved = pair.reserve(10_000).await.expect("tokens").expect("a budget");
        assert_matches!(reserved, Reservation::Local(_));
    });
}

/// Guards against rates that are no numbers, which would spoil the averages of the receiver.
#[test]
fn a_hand_over_with_an_invalid_rate_is_refused() {
    exec::block_on(async {
        let pair = Pair::start().await;
        let owner = pair.handle.as_ref().expect("the owner listens").address();
        let send = async |tokens_per_s| {
            let message = HandOver {
                from: "vm-9".to_owned(),
                team: TEAM.to_owned(),
                level_version: 1,
                level_tokens: 1_000,
                owners: 1,
                tokens_per_s,
                patience_ms: 2_000,
            };
            let sent = pair.other.peer_reservations.send::<bool>(
                "hand-over",
                owner,
                HAND_OVER_PATH,
                &message,
                RESERVE_TIMEOUT,
            );
            sent.await.ok()
        };
        for invalid in [f64::NAN, f64::INFINITY, -1.0] {
            assert_eq!(send(invalid).await, None);
        }
        assert!(pair.owner.budgets().is_empty(), "no budget was opened");
        assert_eq!(send(f64::MAX).await, Some(true), "no more than the level is expected");
        let budget = pair.owner.held_budget(TEAM).expect("a budget");
        assert!(budget.tokens_per_s() <= 1_000.0, "{}", budget.tokens_per_s());
    });
}

/// Without the memory of early reports, the reservation stays open until it is charged at its worst case.
#[test]
fn a_reservation_that_was_given_up_before_it_was_made_is_released() {
    exec::block_on(async {
        let pair = Pair::start().await;
        let report =
            UsageReport { holder: "vm-9#1".to_owned(), number: 7, request: "-".to_owned(), tokens: 0 };
        pair.owner.peer_reservations.apply_report(report);
        let manifest = pair.owner.manifest().expect("a manifest");
        let request = ReserveRequest {
            holder: "vm-9#1".to_owned(),
            number: 7,
            team: TEAM.to_owned(),
            level_version: manifest.version,
            level_tokens: TOTAL,
            tokens: 10_000,
            patience_ms: 500,
            lasts_ms: 5_000,
        };
        assert_matches!(reserve_for_peer(&pair.owner, request, 0).await, ReserveResponse::Held);
        assert_eq!(pair.reserved_tokens(), 0);
        assert!(pair.owner.peer_reservations.held().early_reports.is_empty());
    });
}

#[test]
fn early_reports_are_bounded_and_forgotten() {
    exec::block_on(async {
        let pair = Pair::start().await;
        let reservations = &pair.owner.peer_reservations;
        for number in 0..2 * MAX_EARLY_REPORTS as u64 {
            let holder = "vm-9#1".to_owned();
            reservations.apply_report(UsageReport { holder, number, request: "-".to_owned(), tokens: 0 });
        }
        assert_eq!(reservations.held().early_reports.len(), MAX_EARLY_REPORTS);
        reservations.held().early_reports.values_mut().for_each(|(_, until)| *until = Instant::now());
        reservations.expire();
        assert!(reservations.held().early_reports.is_empty());
    });
}

/// The network between the gateway with a heavy caller and the owner fails, or is saturated by the caller.
#[test]
fn a_gateway_with_a_heavy_caller_needs_no_owner() {
    exec::block_on(async {
        let mut pair = Pair::start().await;
        pair.become_holder().await;
        pair.stop_owner().await;
        for _ in 0..20 {
            pair.note_budgets();
            let reservation = pair.reserve(10).await.expect("tokens").expect("a budget");
            assert_matches!(reservation, Reservation::Local(_));
            reservation.charge("r", 10);
        }
        assert!(pair.other.peer_reservations.holds(TEAM));
    });
}

#[test]
fn tokens_held_for_a_heavy_caller_are_those_of_the_pool() {
    exec::block_on(async {
        let pair = Pair::start().await;
        pair.become_holder().await;
        let pool = pair.rows.get(BUDGETS, TEAM, POOL).expect("the pool was written");
        let pool: Pool = serde_json::from_slice(&pool).expect("a pool");
        assert!(pool.is_balanced());
        let budgets = [&pair.owner, &pair.other].map(|node| node.held_budget(TEAM).expect("it is open"));
        let held: u64 = budgets.iter().map(|budget| budget.lock().grant.total()).sum();
        assert!(held <= pool.outstanding, "{held} are held, {} are outstanding", pool.outstanding);
    });
}

/// Builds before the rate was added send requests without it, and ignore what follows the answer.
#[test]
fn messages_of_earlier_builds_are_understood() {
    let request = ReserveRequest {
        holder: "vm-9#1".to_owned(),
        number: 7,
        team: TEAM.to_owned(),
        level_version: 1,
        level_tokens: TOTAL,
        tokens: 10_000,
        patience_ms: 500,
        lasts_ms: 5_000,
    };
    let earlier = bincode::serialize(&request).expect("bytes");
    let WithSuffix(decoded, suffix) =
        WithSuffix::<ReserveRequest, RequestSuffix>::decode(&earlier).expect("whole");
    assert_eq!((decoded.number, suffix), (7, RequestSuffix::default()));
    let stated = RequestSuffix { requests_per_s: 4.5, priority: 3 };
    let current = bincode::serialize(&(&request, stated)).expect("bytes");
    let WithSuffix(decoded, suffix) =
        WithSuffix::<ReserveRequest, RequestSuffix>::decode(&current).expect("whole");
    assert_eq!((decoded.number, suffix), (7, stated));
    let ignored: ReserveRequest = bincode::deserialize(&current).expect("earlier builds ignore the rest");
    assert_eq!(ignored.number, 7);
    let current = bincode::serialize(&(ReserveResponse::Held, true)).expect("bytes");
    assert_matches!(bincode::deserialize(&current), Ok(ReserveResponse::Held));
    let cut = &current[..2];
    assert!(WithSuffix::<ReserveResponse, bool>::decode(cut).is_err());
}

/// A length that a message only claims must not be allocated.
#[test]
fn a_message_with_a_false_length_is_an_error() {
    let claimed = u64::MAX.to_le_bytes();
    assert!(WithSuffix::<ReserveRequest, RequestSuffix>::decode(&claimed).is_err());
}

/// An owner that is short of tokens must not deny a request whose tokens are here.
#[test]
fn a_holder_serves_a_request_that_the_owner_denies() {
    exec::block_on(async {
        let pair = Pair::start().await;
        pair.become_holder().await;
        let handle = net::serve(standin::loopback(), net::Limits::default(), |_| {
            let (denied, detail) = (DenialReason::Elsewhere, String::new());
            let denial = ReserveResponse::Denied { denied, ready_ms: 1, detail };
            std::future::ready(encode_response(&(denial, false)))
        });
        let handle = handle.await.expect("a listener");
        let name = pair.owner.settings.name.clone();
        pair.other.set_peers(&[Peer {
            name,
            address: handle.address(),
            cores: 1.0,
            distance: Distance::Region,
        }]);
        // The next request is one that asks the owner whether this gateway may go on holding tokens.
        let mut due = Holding::default();
        due.record_answer(true, 0);
        pair.other.peer_reservations.holdings.lock().expect("the lock").insert(TEAM.to_owned(), due);
        pair.other.clock.advance(Duration::from_secs(6));
        pair.note_budgets();
        assert_matches!(pair.reserve(10).await, Ok(Some(Reservation::Local(_))));
    });
}

/// Where reservations do not wait for callers' traffic, more pieces of a budget would serve nobody better.
#[test]
fn gateways_with_wide_links_hold_no_tokens_of_others() {
    exec::block_on(async {
        for link_mbps in [None, Some(1_000.0)] {
            let pair = Pair::start_with_link(link_mbps).await;
            for _ in 0..100 {
                let reservation = pair.reserve(10).await.expect("tokens").expect("a budget");
                assert_matches!(reservation, Reservation::Remote(_));
                reservation.charge("r", 10);
                exec::sleep(Duration::from_millis(10)).await;
            }
            assert!(pair.other.budgets().is_empty());
        }
    });
}

/// What a gateway understands of an owner's answer with this head and body, after which the connection is closed in
/// order.
async fn send_to_raw_owner<T: Decode>(head: &str, body: &[u8]) -> Result<T, net::Error> {
    let answer = [format!("HTTP/1.1 {head}\r\n\r\n").as_bytes(), body].concat();
    let owner = standin::serve_raw(answer).await.expect("a listener");
    PeerReservations::new("vm-9#1").send("reserve", owner, RESERVE_PATH, &(), RESERVE_TIMEOUT).await
}

/// Without a length, an answer that lost its suffix could not be told from one of an earlier build.
#[test]
fn an_answer_that_may_be_cut_off_is_an_error() {
    net::exec::start(2);
    exec::block_on(async {
        let whole = bincode::serialize(&(ReserveResponse::Held, true)).expect("bytes");
        let head = format!("200 OK\r\ncontent-length: {}", whole.len());
        let answer = send_to_raw_owner::<WithSuffix<ReserveResponse, bool>>(&head, &whole).await;
        assert!(matches!(answer, Ok(WithSuffix(ReserveResponse::Held, true))));
        for length in 0..=whole.len() {
            for head in ["200 OK", &head] {
                if head != "200 OK" && length == whole.len() {
                    continue;
                }
                let answer = send_to_raw_owner::<WithSuffix<ReserveResponse, bool>>(head, &whole[..length]);
                let fault = answer.await.map(|_| ()).map_err(|error| error.fault);
                assert_eq!(fault, Err(net::Fault::Unknown), "{length} bytes after {head}");
            }
        }
    });
}

/// The answer to a report is empty, so that only its status tells whether the owner has understood the report.
#[test]
fn a_refused_report_is_not_taken_for_accepted() {
    net::exec::start(2);
    exec::block_on(async {
        assert_matches!(send_to_raw_owner::<()>("200 OK\r\ncontent-length: 0", b"").await, Ok(()));
        let refused = send_to_raw_owner::<()>("400 Bad Request\r\ncontent-length: 0", b"").await;
        assert_matches!(refused, Err(net::Error { fault: net::Fault::Unknown, .. }));
    });
}
