//! The encoding of hints, and the datagrams that are dropped.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::origin::Stream;
use route::placement::DispatchTotals;
use route::poison::{Loss, Parts, Run};
use route::quarantine::Fingerprint;
use route::version::Version;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn dispatch_hint() -> DispatchHint {
    DispatchHint {
        unread: 12_000,
        lasts_ms: 1_900.0,
        event_ms: Some(48.0),
        pauses_ms: [400_u16, 700].into_iter().collect(),
        since: DispatchTotals { long: 12_000, short: 900, streams: 4 },
    }
}

fn datagram(number: u64) -> Vec<u8> {
    encode(&NumberedHint {
        number,
        hint: Hint::Dispatch { upstream: "i-7f3a91c2".to_owned(), told: dispatch_hint() },
    })
}

fn hints() -> Hints {
    let hints = Hints::default();
    hints.set_peers(vec![address(1), address(2)]);
    hints
}

#[test]
fn a_dispatch_is_encoded_compactly_and_decoded_unchanged() {
    let bytes = datagram(1_778_271_008_034_000);
    assert!(bytes.len() < 64, "{} bytes", bytes.len());
    let Ok(Hint::Dispatch { upstream, told }) = hints().accept(&bytes, address(1)) else {
        panic!("the datagram was dropped")
    };
    insta::assert_debug_snapshot!((upstream, told));
}

#[test]
fn a_repeated_or_late_datagram_is_dropped() {
    let hints = hints();
    assert!(hints.accept(&datagram(5), address(1)).is_ok());
    assert_eq!(hints.accept(&datagram(5), address(1)).err(), Some(Rejection::Stale));
    assert_eq!(hints.accept(&datagram(4), address(1)).err(), Some(Rejection::Stale));
    assert!(hints.accept(&datagram(5), address(2)).is_ok(), "each sender has its own sequence numbers");
    hints.set_peers(vec![address(1), address(2), address(3)]);
    assert_eq!(
        hints.accept(&datagram(5), address(1)).err(),
        Some(Rejection::Stale),
        "a new list of peers keeps the numbers"
    );
}

#[test]
fn the_datagrams_of_a_peer_that_is_listed_again_are_still_stale() {
    let hints = hints();
    assert!(hints.accept(&datagram(5), address(1)).is_ok());
    hints.set_peers(vec![address(2)]);
    assert_eq!(hints.accept(&datagram(6), address(1)).err(), Some(Rejection::UnknownSender));
    hints.set_peers(vec![address(1), address(2)]);
    assert_eq!(hints.accept(&datagram(5), address(1)).err(), Some(Rejection::Stale));
    assert!(hints.accept(&datagram(6), address(1)).is_ok());
}

#[test]
fn a_bounded_number_of_former_peers_is_remembered() {
    let hints = Hints::default();
    for port in 1..=2 * MAX_FORMER_PEERS as u16 {
        hints.set_peers(vec![address(port)]);
    }
    let received = hints.last_received.lock().expect("the numbers lock is not poisoned");
    assert!(received.former.len() <= MAX_FORMER_PEERS, "{} are remembered", received.former.len());
}

#[test]
fn a_datagram_of_an_unknown_sender_is_dropped() {
    assert_eq!(hints().accept(&datagram(5), address(9)).err(), Some(Rejection::UnknownSender));
}

/// Guards against streams that nobody keeps: the others list a gateway later than it begins streams.
#[test]
fn where_streams_began_is_heard_from_a_gateway_that_is_not_listed_yet() {
    let (stream, version) = (Stream::of("engines", "desk", "s-0"), Version::of("v1"));
    let told = Hint::Origins(vec![Told { stream, version }]);
    let handed_over = Hint::HandOver(vec![HandedOver { stream, version, runner: address(9) }]);
    for hint in [told, handed_over] {
        let bytes = encode(&NumberedHint { number: 5, hint });
        assert!(hints().accept(&bytes, address(9)).is_ok(), "{bytes:?}");
        assert_eq!(hints().accept(&bytes[1..], address(9)).err(), Some(Rejection::Malformed));
    }
}

#[test]
fn a_datagram_of_wrong_length_or_another_version_is_dropped() {
    let whole = datagram(5);
    for length in 0..whole.len() {
        assert_eq!(hints().accept(&whole[..length], address(1)).err(), Some(Rejection::Malformed));
    }
    let longer = [whole.as_slice(), &[0]].concat();
    assert_eq!(hints().accept(&longer, address(1)).err(), Some(Rejection::Malformed));
    let older = [&[VERSION - 1], &whole[1..]].concat();
    assert_eq!(hints().accept(&older, address(1)).err(), Some(Rejection::Malformed));
}

fn denied(names: &[&str]) -> Notice {
    let upstreams = names.iter().map(|name| (*name).to_owned()).collect();
    Notice::Denied { fingerprint: Fingerprint::new([7; 16]), upstreams, lasts_ms: 600_000 }
}

#[test]
fn a_denial_is_decoded_unchanged_and_accepted_only_with_enough_upstreams() {
    let decoded = |notice: Notice| {
        let bytes = encode(&NumberedHint { number: 5, hint: Hint::Quarantine(notice) });
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        match hints().accept(&bytes, address(1)) {
            Ok(Hint::Quarantine(notice)) => Ok(notice),
            Ok(other) => panic!("{other:?}"),
            Err(rejection) => Err(rejection),
        }
    };
    let valid = denied(&["i-1", "i-2", "i-3"]);
    assert_eq!(decoded(valid.clone()), Ok(valid));
    assert_eq!(
        decoded(denied(&["i-1", "i-2"])).err(),
        Some(Rejection::Malformed),
        "too few crashed upstreams"
    );
    let long = "i".repeat(120);
    assert_eq!(decoded(denied(&["i-1", "i-2", &format!("{long}i")])).err(), Some(Rejection::Malformed));
    assert_eq!(decoded(denied(&["i"; 9])).err(), Some(Rejection::Malformed));
    assert!(decoded(denied(&[long.as_str(); 8])).is_ok(), "the largest denial fits into a datagram");
}

/// A datagram that is too large is not sent, so nobody would learn of the crashes.
#[test]
fn the_largest_notices_about_parts_of_prompts_fit_into_a_datagram_and_are_decoded_unchanged() {
    let parts: Parts = (0..64).map(|part| u64::MAX - 64 + part).collect();
    let loss = |request: u64, upstream: String, parts: &[u64]| Loss {
        upstream,
        started: Some(u64::MAX),
        run: Run { request, parts: parts.iter().copied().collect() },
        dispatched: 0,
        at: 30_000,
        is_firsthand: true,
    };
    let mut reported = vec![];
    for (name, count) in [(12, 1), (12, 4), (12, 64), (120, 1), (120, 64)] {
        let mut losses: Vec<Loss> =
            (0..64).map(|request| loss(u64::MAX - request, "i".repeat(name), &parts[..count])).collect();
        reported.push(Notice::Lost(notice::take_reports(&mut losses, 600_000)));
    }
    let upstreams = ["1", "2", "3"].map(|name| name.repeat(120)).into_iter().collect();
    let denied = Notice::DeniedParts { parts: parts.clone(), upstreams, lasts_ms: 600_000 };
    for notice in reported.into_iter().chain([denied, Notice::SuspectParts(parts)]) {
        let bytes = encode(&NumberedHint { number: u64::MAX, hint: Hint::Quarantine(notice.clone()) });
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes: {notice:?}", bytes.len());
        let Ok(Hint::Quarantine(decoded)) = hints().accept(&bytes, address(1)) else {
            panic!("not accepted: {notice:?}");
        };
        assert_eq!(decoded, notice);
    }
}

#[test]
fn a_request_limit_is_decoded_unchanged_and_accepted_only_if_it_is_a_rate() {
    let decoded = |per_s: Option<f64>| {
        let hint = Hint::Limit { upstream: "i-7f3a91c2".to_owned(), started: Some(1_778_271_008_034), per_s };
        let bytes = encode(&NumberedHint { number: 1_778_271_008_034_000, hint });
        assert!(bytes.len() < 48, "{} bytes", bytes.len());
        match hints().accept(&bytes, address(1)) {
            Ok(Hint::Limit { per_s, .. }) => Ok(per_s),
            Ok(other) => panic!("{other:?}"),
            Err(rejection) => Err(rejection),
        }
    };
    assert_eq!(decoded(Some(2.2)), Ok(Some(2.2)));
    assert_eq!(decoded(None), Ok(None));
    assert_eq!(decoded(Some(-1.0)), Err(Rejection::Malformed));
    assert_eq!(decoded(Some(f64::NAN)), Err(Rejection::Malformed));
    assert_eq!(decoded(Some(f64::INFINITY)), Err(Rejection::Malformed));
}

#[test]
fn no_datagram_causes_a_panic_or_is_accepted_with_impossible_values() {
    let mut random = SmallRng::seed_from_u64(7);
    for round in 0..200_000 {
        let mut bytes = datagram(5);
        match round % 2 {
            // A valid datagram with a few altered bytes.
            0 => (0..random.gen_range(1..6)).for_each(|_| {
                let index = random.gen_range(1..bytes.len());
                bytes[index] = random.r#gen();
            }),
            // Random bytes.
            _ => {
                bytes = (0..random.gen_range(0..MAX_DATAGRAM_BYTES)).map(|_| random.r#gen()).collect();
                bytes.insert(0, VERSION);
            }
        }
        if let Ok(Hint::Dispatch { told, .. }) = hints().accept(&bytes, address(1)) {
            assert!(told.is_plausible(), "{told:?}");
            assert!(told.lasts_ms.is_finite() && told.unread <= 4_000_000, "{told:?}");
        }
    }
}

/// Guards against a gateway that exchanges no hints for as long as it runs, because another process had its
/// port when it started.
#[test]
fn the_socket_is_bound_once_its_port_is_free() {
    net::exec::start(2);
    net::exec::block_on(async {
        let other = std::net::UdpSocket::bind(address(0)).expect("a port");
        let wanted = other.local_addr().expect("an address");
        let mut binding = std::pin::pin!(bind(wanted));
        assert!(smol::future::poll_once(&mut binding).await.is_none(), "the port is not free");
        drop(other);
        assert_eq!(binding.await.local_addr().expect("an address"), wanted);
    });
}

#[test]
fn the_origins_of_streams_count_in_whatever_order_they_arrive() {
    let hints = hints();
    let origins = |number: u64, id: &str| {
        let stream = route::origin::Stream::of("engines", "desk", id);
        let told = vec![Told { stream, version: route::version::Version::of("v1") }];
        encode(&NumberedHint { number, hint: Hint::Origins(told) })
    };
    assert!(hints.accept(&origins(6, "s-2"), address(1)).is_ok());
    assert!(hints.accept(&origins(5, "s-1"), address(1)).is_ok(), "it tells of another stream");
}
