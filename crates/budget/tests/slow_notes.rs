//! Usage notes that take longer to be acknowledged than requests wait for them.

use budget::exposure::{Millis, Schedule, ScheduleInput, UsageNotes};

/// The tokens of a request, and how long it waits for them, in milliseconds.
const REQUEST: u64 = 125;
const PATIENCE_MS: Millis = 66;
/// The tokens that the gateway holds: too few for the part of them that a note allows in any case to cover a request.
const HELD: u64 = 20_000;
/// The interval between two notes that no request asks for, in milliseconds.
const NOTE_INTERVAL_MS: Millis = 200;
const TIME_MS: Millis = 10_000;

/// Simulates requests at intervals, with notes that take `latency_ms`. `request` is what notes allow ahead. Returns how many
/// requests are refused after the first note has been acknowledged.
fn count_refused(interval_ms: Millis, latency_ms: Millis, request: u64) -> usize {
    let rate = REQUEST as f64 * 1_000.0 / interval_ms as f64;
    let (mut notes, mut used, mut refused) = (UsageNotes::default(), 0, 0);
    let (mut waiting, mut is_due): (Vec<Millis>, bool) = (vec![], true);
    let (mut in_flight, mut written): (Option<Millis>, Millis) = (None, 0);
    for now in 0..TIME_MS {
        if in_flight.is_some_and(|sent| now >= sent + latency_ms) {
            notes.record_result(Some(true));
            (in_flight, written) = (None, now);
        }
        if now % interval_ms == 0 {
            waiting.push(now);
        }
        let input = ScheduleInput {
            used,
            waiting: waiting.len() as u64 * REQUEST,
            available: HELD,
            unspent: HELD,
            owners: 1,
            rate,
            request,
            note_latency_ms: latency_ms,
            ..ScheduleInput::default()
        };
        waiting.retain(|arrived| {
            let limit = notes.limit(now);
            if used + REQUEST <= limit {
                used += REQUEST;
                is_due |= input.is_note_due(limit - used);
                return false;
            }
            is_due = true;
            let is_refused = now >= arrived + PATIENCE_MS;
            refused += usize::from(is_refused && now > 2 * latency_ms);
            !is_refused
        });
        if in_flight.is_none() && (std::mem::take(&mut is_due) || now >= written + NOTE_INTERVAL_MS) {
            notes.record_sent(now, Schedule::plan(&input));
            in_flight = Some(now);
        }
    }
    refused
}

/// Guards against requests that are refused one after the other, each just before the note that it has had written.
#[test]
fn no_request_is_refused_for_want_of_a_note_that_allows_one_ahead() {
    for interval_ms in [20, 50, 100, 250] {
        for latency_ms in [70, 120, 200, 300] {
            let refused = count_refused(interval_ms, latency_ms, REQUEST);
            assert_eq!(refused, 0, "every {interval_ms} ms, notes take {latency_ms} ms");
        }
    }
    assert!(count_refused(100, 120, 0) > 0, "notes that allow none ahead come too late");
}
