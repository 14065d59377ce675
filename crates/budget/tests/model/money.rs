//! Grants, charges, loans and credits (I1, I2, I5, I6).
//!
//! Two routers draw on one budget. A transaction reads the rows, travels, and takes effect much later or
//! never; its answer may be lost; the router may try again meanwhile. Loans may be asked for again. A router
//! may crash at any moment and come back as a new incarnation that knows nothing. A caller retries its keyed
//! request at the other router. A top-up arrives, and every batch names all credits again.

use crate::search::{Model, assert_breaks, assert_holds, search};
use budget::grant::{Grant, ReserveOutcome};
use budget::ledger::{Account, Batch, Charge, Credit, Pool, close_account, post};
use std::collections::{BTreeMap, BTreeSet};

const BUDGET: &str = "radar/main";
const KEY: &str = "k";
/// The worst case of a request, and what a run really consumes.
const WORST: u64 = 2;
const USED: u64 = 1;
/// The tokens of the first credit and of the top-up.
const PREPAID: u64 = 3;
const TOP_UP: u64 = 2;
const ROUTERS: usize = 2;

/// How often each event may happen.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    submissions: u8,
    attempts: u8,
    losses: u8,
    crashes: u8,
    loans: u8,
    releases: u8,
}

/// A deliberate mistake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flaw {
    None,
    /// After a lost answer the batch is sent under a new number.
    NewNumber,
    /// A loan that is asked for again is taken in again.
    LoanTwice,
    /// A lender does not take out what it lends.
    LendWithout,
    /// Nobody looks whether the key was charged before.
    NoKeyCheck,
    /// Credits are added without looking at their identifiers.
    CreditTwice,
    /// A request is dispatched although its reservation fell short.
    NoReservation,
    /// A crashed router's tokens are given back to the pool without knowing what it consumed.
    ReleaseDead,
    /// A router lends and reserves beyond what it exposed.
    NoCap,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Running {
    request: u8,
    reserved: u64,
    keyed: bool,
    consumed: bool,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Router {
    incarnation: u8,
    grant: Grant,
    sequence: u64,
    batch: Option<Batch>,
    running: Vec<Running>,
}

/// A transaction on its way, with the rows as it read and as it would write them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Sent {
    router: usize,
    incarnation: u8,
    pool_version: u8,
    pool: Pool,
    account: Account,
    batch: Batch,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Loan {
    from: usize,
    to: usize,
    tokens: Option<u64>,
    taken: bool,
    lender: u8,
    borrower: u8,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    pool: Pool,
    pool_version: u8,
    accounts: BTreeMap<(usize, u8), Account>,
    charged: BTreeMap<String, String>,
    routers: Vec<Router>,
    sent: Vec<Sent>,
    loans: Vec<Loan>,
    topped_up: bool,
    submitted: u8,
    attempts: u8,
    losses: u8,
    crashes: u8,
    releases: u8,
    consumed: u64,
    uncovered: bool,
    posted: BTreeSet<String>,
    expected_spent: u64,
}

struct Money {
    bounds: Bounds,
    flaw: Flaw,
}

impl Money {
    fn credits(&self, state: &State) -> Vec<Credit> {
        let mut credits = vec![Credit { id: "c1".into(), tokens: PREPAID }];
        if state.topped_up {
            credits.push(Credit { id: "c2".into(), tokens: TOP_UP });
        }
        credits
    }

    fn submit(&self, state: &State, index: usize, keyed: bool) -> Option<State> {
        let mut next = state.clone();
        next.submitted += 1;
        let router = &mut next.routers[index];
        if self.flaw == Flaw::NoCap {
            router.grant.lift_exposure_limit();
        }
        if router.running.iter().any(|running| running.keyed && keyed) {
            return None;
        }
        let reserved = match router.grant.reserve(WORST) {
            ReserveOutcome::Reserved => WORST,
            _ if self.flaw == Flaw::NoReservation => 0,
            ReserveOutcome::Insufficient(_) | ReserveOutcome::ExposureExceeded => return None,
        };
        router.running.push(Running { request: state.submitted, reserved, keyed, consumed: false });
        Some(next)
    }

    fn consume(&self, state: &State, index: usize, at: usize) -> Option<State> {
        let mut next = state.clone();
        let running = &mut next.routers[index].running[at];
        if running.consumed {
            return None;
        }
        running.consumed = true;
        next.uncovered |= running.reserved < USED;
        next.consumed += USED;
        Some(next)
    }

    fn finish(&self, state: &State, index: usize, at: usize) -> Option<State> {
        let mut next = state.clone();
        let router = &mut next.routers[index];
        if !router.running[at].consumed {
            return None;
        }
        let running = router.running.remove(at);
        let key = running.keyed.then(|| KEY.to_owned());
        let request = format!("r{}", running.request);
        router.grant.charge(running.reserved, Charge { request, key, tokens: USED });
        Some(next)
    }

    fn open(&self, state: &State, index: usize, target: u64, need: u64) -> Option<State> {
        let mut next = state.clone();
        let credits = self.credits(state);
        let router = &mut next.routers[index];
        let entry = router.grant.open_entry(target, need, 0, credits, 4)?;
        router.sequence += 1;
        router.batch = Some(Batch {
            sequence: router.sequence,
            entries: [(BUDGET.to_owned(), entry)].into(),
            keeper: String::new(),
        });
        Some(next)
    }

    /// Reads the rows and sends the transaction; an earlier one may still be on its way.
    fn attempt(&self, state: &State, index: usize) -> Option<State> {
        let router = &state.routers[index];
        let mut batch = router.batch.clone()?;
        let mut next = state.clone();
        let mut account = self.account(state, index);
        if account.sequence >= batch.sequence {
            if self.flaw != Flaw::NewNumber || state.sent.iter().any(|sent| sent.router == index) {
                return None;
            }
            batch.sequence = account.sequence + 1;
            next.routers[index].sequence = batch.sequence;
            next.routers[index].batch = Some(batch.clone());
        }
        let mut pools: BTreeMap<String, Pool> = [(BUDGET.to_owned(), state.pool.clone())].into();
        if self.flaw == Flaw::CreditTwice {
            pools.get_mut(BUDGET)?.credits.clear();
        }
        let charged = |key: &budget::ledger::ChargeIdentity<'_>| {
            self.flaw != Flaw::NoKeyCheck
                && state.charged.get(key.key).is_some_and(|request| request != key.request)
        };
        let result = post(&mut account, &mut pools, &charged, &batch, ROUTERS as u64);
        if self.flaw == Flaw::CreditTwice {
            account.sequence = batch.sequence;
        } else if result.is_err() {
            return None;
        }
        next.attempts += 1;
        next.sent.push(Sent {
            router: index,
            incarnation: router.incarnation,
            pool_version: state.pool_version,
            pool: pools.remove(BUDGET)?,
            account,
            batch,
        });
        Some(next)
    }

    fn account(&self, state: &State, index: usize) -> Account {
        let key = (index, state.routers[index].incarnation);
        state.accounts.get(&key).cloned().unwrap_or_default()
    }

    /// A transaction takes effect, if the rows are as it read them.
    fn deliver(&self, state: &State, at: usize) -> State {
        let mut next = state.clone();
        let sent = next.sent.remove(at);
        let key = (sent.router, sent.incarnation);
        let known = state.accounts.get(&key).cloned().unwrap_or_default();
        let is_stale = known.closed != sent.account.closed;
        if state.pool_version != sent.pool_version || known.sequence + 1 != sent.account.sequence || is_stale
        {
            return next;
        }
        for charge in &sent.batch.entries[BUDGET].charges {
            match &charge.key {
                None => next.expected_spent += charge.tokens,
                Some(key) => {
                    next.charged.entry(key.clone()).or_insert_with(|| charge.request.clone());
                    if next.posted.insert(key.clone()) {
                        next.expected_spent += charge.tokens;
                    }
                }
            }
        }
        next.pool = sent.pool;
        next.pool_version += 1;
        next.accounts.insert(key, sent.account);
        next
    }

    /// The router learns by reading back that its batch is in the account.
    fn learn(&self, state: &State, index: usize) -> Option<State> {
        let batch = state.routers[index].batch.as_ref()?;
        let account = self.account(state, index);
        if account.sequence < batch.sequence {
            return None;
        }
        let mut next = state.clone();
        let router = &mut next.routers[index];
        router.batch = None;
        router.grant.close_entry(&account.lines[BUDGET]);
        Some(next)
    }

    fn crash(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        next.crashes += 1;
        if self.flaw == Flaw::ReleaseDead {
            let held = self.account(state, index).lines.get(BUDGET).map_or(0, budget::ledger::Line::held);
            next.pool.outstanding -= held.min(next.pool.outstanding);
            next.pool.free += held.min(state.pool.outstanding);
            next.pool_version += 1;
        }
        let incarnation = next.routers[index].incarnation + 1;
        next.routers[index] = Router { incarnation, ..Router::default() };
        next
    }

    /// A keeper closes an account, whether its router is gone, or lives on unaware.
    fn release(&self, state: &State, index: usize, incarnation: u8) -> Option<State> {
        let mut next = state.clone();
        let account = next.accounts.get_mut(&(index, incarnation)).filter(|account| !account.closed)?;
        let mut pools: BTreeMap<String, Pool> = [(BUDGET.to_owned(), state.pool.clone())].into();
        close_account(account, &mut pools).ok()?;
        next.pool = pools.remove(BUDGET)?;
        next.pool_version += 1;
        next.releases += 1;
        Some(next)
    }

    fn ask_loan(&self, state: &State, to: usize) -> State {
        let mut next = state.clone();
        let from = 1 - to;
        next.loans.push(Loan {
            from,
            to,
            tokens: None,
            taken: false,
            lender: state.routers[from].incarnation,
            borrower: state.routers[to].incarnation,
        });
        next
    }

    /// The lender answers; a repeated request gets the same answer.
    fn lend(&self, state: &State, at: usize) -> Option<State> {
        let mut next = state.clone();
        let loan = &mut next.loans[at];
        let lender = &mut next.routers[loan.from];
        if loan.tokens.is_some() || lender.incarnation != loan.lender {
            return None;
        }
        let before = lender.grant.clone();
        loan.tokens = Some(lender.grant.lend(WORST, 0));
        if self.flaw == Flaw::LendWithout {
            lender.grant = before;
        }
        Some(next)
    }

    fn take_loan(&self, state: &State, at: usize) -> Option<State> {
        let mut next = state.clone();
        let loan = &mut next.loans[at];
        let borrower = &mut next.routers[loan.to];
        let tokens = loan.tokens.filter(|tokens| *tokens > 0)?;
        if borrower.incarnation != loan.borrower || (loan.taken && self.flaw != Flaw::LoanTwice) {
            return None;
        }
        if borrower.grant.available() > 4 {
            return None;
        }
        loan.taken = true;
        borrower.grant.receive(tokens);
        Some(next)
    }

    /// Tokens that a router can still charge. One whose account was closed may hold more, but not use it.
    fn possible(&self, state: &State, index: usize) -> u64 {
        let router = &state.routers[index];
        let account = self.account(state, index);
        let mut grant = router.grant.clone();
        let mut returning = 0;
        if let Some(batch) = &router.batch {
            if account.sequence >= batch.sequence {
                grant.close_entry(&account.lines[BUDGET]);
            } else {
                returning = batch.entries[BUDGET].returned;
            }
        }
        match account.closed {
            true => grant.total() - returning - grant.available() + grant.usable(),
            false => grant.total(),
        }
    }
}

impl Model for Money {
    type State = State;

    fn start(&self) -> State {
        State { routers: vec![Router::default(); ROUTERS], ..State::default() }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let bounds = self.bounds;
        let mut next = vec![];
        if !state.topped_up {
            next.push(State { topped_up: true, ..state.clone() });
        }
        for index in 0..ROUTERS {
            let router = &state.routers[index];
            if state.submitted < bounds.submissions {
                next.extend(self.submit(state, index, true));
                next.extend(self.submit(state, index, false));
            }
            for at in 0..router.running.len() {
                next.extend(self.consume(state, index, at));
                next.extend(self.finish(state, index, at));
            }
            if state.attempts < bounds.attempts {
                next.extend(self.open(state, index, 2, 2));
                next.extend(self.open(state, index, 0, 0));
                next.extend(self.attempt(state, index));
            }
            next.extend(self.learn(state, index));
            if state.crashes < bounds.crashes {
                next.push(self.crash(state, index));
            }
            if state.releases < bounds.releases {
                for incarnation in 0..=router.incarnation {
                    next.extend(self.release(state, index, incarnation));
                }
            }
            if state.loans.len() < usize::from(bounds.loans) {
                next.push(self.ask_loan(state, index));
            }
        }
        for at in 0..state.sent.len() {
            next.push(self.deliver(state, at));
            if state.losses < bounds.losses {
                let mut lost = state.clone();
                lost.sent.remove(at);
                lost.losses += 1;
                next.push(lost);
            }
        }
        for at in 0..state.loans.len() {
            next.extend(self.lend(state, at));
            next.extend(self.take_loan(state, at));
        }
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        let seen = |id: &str| state.pool.credits.contains_key(id);
        let credited = u64::from(seen("c1")) * PREPAID + u64::from(seen("c2")) * TOP_UP;
        let held: u64 = (0..ROUTERS).map(|index| self.possible(state, index)).sum();
        let travelling: u64 = state
            .loans
            .iter()
            .filter(|loan| !loan.taken && state.routers[loan.to].incarnation == loan.borrower)
            .filter_map(|loan| loan.tokens)
            .sum();
        let total = state.pool.free + state.pool.outstanding + state.pool.spent;
        if total != credited {
            Some("I5")
        } else if state.uncovered || state.consumed > state.pool.spent + state.pool.outstanding {
            Some("I6")
        } else if state.pool.spent + held + travelling + state.pool.free > credited {
            Some("I1")
        } else if state.pool.spent != state.expected_spent {
            Some("I2")
        } else {
            None
        }
    }
}

/// The bounds of CI: each exercises some of the events together.
const LOST_ANSWERS: Bounds =
    Bounds { submissions: 1, attempts: 4, losses: 1, crashes: 0, loans: 0, releases: 0 };
const RETRY_ELSEWHERE: Bounds =
    Bounds { submissions: 2, attempts: 3, losses: 0, crashes: 0, loans: 0, releases: 0 };
const CRASH: Bounds = Bounds { submissions: 1, attempts: 3, losses: 1, crashes: 1, loans: 0, releases: 0 };
const LOAN: Bounds = Bounds { submissions: 1, attempts: 2, losses: 0, crashes: 1, loans: 1, releases: 0 };
const RELEASE: Bounds = Bounds { submissions: 2, attempts: 2, losses: 0, crashes: 1, loans: 0, releases: 1 };
const RELEASE_LENT: Bounds =
    Bounds { submissions: 1, attempts: 2, losses: 0, crashes: 0, loans: 1, releases: 1 };
/// Only with the command for the larger check.
const LARGE: Bounds = Bounds { submissions: 2, attempts: 4, losses: 1, crashes: 1, loans: 0, releases: 0 };

fn check(flaw: Flaw, bounds: Bounds) -> Money {
    Money { bounds, flaw }
}

fn holds(bounds: Bounds, least: usize) {
    let states = assert_holds(&check(Flaw::None, bounds));
    println!("money: {states} states with {bounds:?}");
    assert!(states > least, "the bounds leave only {states} states");
}

#[test]
fn safe_with_lost_answers_and_a_top_up() {
    holds(LOST_ANSWERS, 1_000);
}

#[test]
fn safe_when_a_caller_retries_at_another_router() {
    holds(RETRY_ELSEWHERE, 1_000);
}

#[test]
fn safe_when_a_router_crashes_and_comes_back() {
    holds(CRASH, 1_000);
}

#[test]
fn safe_when_tokens_are_lent() {
    holds(LOAN, 1_000);
}

#[test]
fn safe_when_the_account_of_a_dead_or_living_router_is_closed() {
    holds(RELEASE, 1_000);
}

#[test]
fn safe_when_an_account_is_closed_while_tokens_are_lent() {
    holds(RELEASE_LENT, 1_000);
}

#[test]
fn using_more_than_was_exposed_breaks_i1() {
    let found = search(&check(Flaw::NoCap, RELEASE));
    let broken = found.counterexample.map(|(broken, _)| broken);
    assert!(matches!(broken, Some("I1" | "I6")), "{broken:?} after {} states", found.states);
}

#[test]
#[ignore = "takes minutes and gigabytes; run with --ignored"]
fn safe_in_larger_bounds() {
    holds(LARGE, 1_000_000);
}

#[test]
fn a_batch_under_a_new_number_breaks_i1() {
    let found = search(&check(Flaw::NewNumber, LOST_ANSWERS));
    let broken = found.counterexample.map(|(broken, _)| broken);
    assert!(matches!(broken, Some("I1" | "I2")), "{broken:?} after {} states", found.states);
}

#[test]
fn a_loan_taken_in_twice_breaks_i1() {
    assert_breaks(&check(Flaw::LoanTwice, LOAN), "I1");
}

#[test]
fn a_loan_that_is_not_taken_out_breaks_i1() {
    assert_breaks(&check(Flaw::LendWithout, LOAN), "I1");
}

#[test]
fn releasing_a_dead_routers_tokens_breaks_i6() {
    assert_breaks(&check(Flaw::ReleaseDead, CRASH), "I6");
}

#[test]
fn charging_without_a_look_at_the_key_breaks_i2() {
    let bounds = Bounds { submissions: 2, attempts: 4, losses: 0, crashes: 0, loans: 0, releases: 0 };
    assert_breaks(&check(Flaw::NoKeyCheck, bounds), "I2");
}

#[test]
fn adding_a_credit_twice_breaks_i5() {
    assert_breaks(&check(Flaw::CreditTwice, LOST_ANSWERS), "I5");
}

#[test]
fn dispatching_without_a_reservation_breaks_i6() {
    assert_breaks(&check(Flaw::NoReservation, RETRY_ELSEWHERE), "I6");
}
