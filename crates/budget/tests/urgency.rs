//! A budget that runs out while requests of all priorities arrive.

use budget::urgency::Mix;

const LEVEL: u64 = 1_000_000;
/// The cost of a request of each priority, in tokens, and how many arrive in each round.
const REQUESTS: [(u64, u32); 3] = [(1_200, 1), (12_000, 2), (2_400, 4)];

/// Plays rounds of requests. Returns the requests of each priority that were served after the budget could
/// first not pay for one of the least urgent.
fn play(rounds: u32, withheld: impl Fn(&Mix, u32) -> u64) -> ([u32; 3], u64) {
    let (mut mix, mut left, mut served, mut is_short) = (Mix::default(), LEVEL, [0; 3], false);
    for _ in 0..rounds {
        for (priority, (tokens, count)) in (0..).zip(REQUESTS) {
            for _ in 0..count {
                let is_affordable = left >= tokens + withheld(&mix, priority);
                mix.record(priority, tokens);
                is_short |= !is_affordable;
                if is_affordable {
                    left -= tokens;
                    served[priority as usize] += u32::from(is_short);
                }
            }
        }
    }
    (served, left)
}

#[test]
fn urgent_requests_go_on_when_a_budget_is_nearly_spent() {
    let ([urgent, ..], _) = play(60, |mix, priority| mix.withheld(priority, LEVEL));
    let ([without, ..], _) = play(60, |_, _| 0);
    assert!(urgent >= 20, "{urgent} urgent requests were served");
    assert!(without <= 2, "{without} without the reserve");
}

#[test]
fn no_more_than_a_small_part_is_kept_for_urgent_requests() {
    let (_, left) = play(31, |mix, priority| mix.withheld(priority, LEVEL));
    assert!(left <= LEVEL * 3 / 100 + 12_000, "{left} tokens are left");
}

#[test]
fn a_team_without_urgent_requests_can_use_its_whole_budget() {
    let mut mix = Mix::default();
    mix.record(2, 500_000);
    assert_eq!(mix.withheld(2, LEVEL), 0);
    assert_eq!(mix.withheld(u32::MAX, LEVEL), 30_000, "higher priorities count as the last one");
    mix.record(0, u64::MAX);
    mix.record(0, u64::MAX);
    assert_eq!(mix.withheld(1, u64::MAX), (u64::MAX as f64 * 0.03) as u64);
}
