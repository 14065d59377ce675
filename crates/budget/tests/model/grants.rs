//! Grants, charges, loans and credits (I1, I2, I5, I6).
//!
//! Two routers draw on one budget. A transaction reads the rows and takes effect much later or never; its
//! answer may be lost, and the router may try again in the meantime. Requests for loans may be repeated. A
//! router may crash at any time and restart as a new incarnation without state. A caller retries its request
//! with the same key at the other router. A credit is added during the run, and every batch lists all credits
//! again.

use crate::search::{Model, assert_holds, assert_violates, search};
use budget::grant::{Grant, ReserveOutcome};
use budget::ledger::{Account, Batch, Charge, Credit, Pool, close_account, post};
use std::collections::{BTreeMap, BTreeSet};

const BUDGET: &str = "radar/main";
const KEY: &str = "k";
/// The worst-case usage of a request, in tokens.
const WORST_CASE: u64 = 2;
/// The actual usage of a request, in tokens.
const USED: u64 = 1;
/// The tokens of the first credit.
const FIRST_CREDIT: u64 = 3;
/// The tokens of the credit that is added during the run.
const ADDED_CREDIT: u64 = 2;
const ROUTERS: usize = 2;

/// The maximum number of times that each event happens.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    submissions: u8,
    attempts: u8,
    losses: u8,
    crashes: u8,
    loans: u8,
    closures: u8,
    promises: u8,
}

/// A bug injected into the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Bug {
    None,
    /// After a lost answer the batch is sent again with a new sequence number.
    NewSequence,
    /// A repeated request for a loan adds the tokens again.
    LoanReceivedTwice,
    /// A lender keeps the tokens that it lends.
    LoanNotDeducted,
    /// The key is not checked for earlier charges.
    NoKeyCheck,
    /// Credits are added without checking their identifiers.
    CreditAddedTwice,
    /// A request is dispatched although its reservation failed.
    NoReservation,
    /// A crashed router's tokens are returned to the pool regardless of what it consumed.
    CrashedGrantReturned,
    /// A router lends and reserves more than its exposure limit.
    NoExposureLimit,
    /// A router lifts its exposure limit although its keepers may close its account.
    NoPromise,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Run {
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
    running: Vec<Run>,
}

/// A transaction in flight: the version of the pool row that it read, and the rows that it would write.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Transaction {
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
    received: bool,
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
    in_flight: Vec<Transaction>,
    loans: Vec<Loan>,
    /// The keepers that promised never to close an account: router, incarnation and keeper.
    promises: BTreeSet<(usize, u8, String)>,
    promised: u8,
    credit_added: bool,
    submitted: u8,
    attempts: u8,
    losses: u8,
    crashes: u8,
    closures: u8,
    consumed: u64,
    unreserved_use: bool,
    charged_keys: BTreeSet<String>,
    expected_spent: u64,
}

struct Grants {
    bounds: Bounds,
    bug: Bug,
}

impl Grants {
    fn credits(&self, state: &State) -> Vec<Credit> {
        let mut credits = vec![Credit { id: "c1".into(), tokens: FIRST_CREDIT }];
        if state.credit_added {
            credits.push(Credit { id: "c2".into(), tokens: ADDED_CREDIT });
        }
        credits
    }

    fn submit(&self, state: &State, index: usize, keyed: bool) -> Option<State> {
        let mut next = state.clone();
        next.submitted += 1;
        let router = &mut next.routers[index];
        if self.bug == Bug::NoExposureLimit {
            router.grant.lift_exposure_limit();
        }
        if router.running.iter().any(|running| running.keyed && keyed) {
            return None;
        }
        let reserved = match router.grant.reserve(WORST_CASE) {
            ReserveOutcome::Reserved => WORST_CASE,
            _ if self.bug == Bug::NoReservation => 0,
            ReserveOutcome::Insufficient(_) | ReserveOutcome::ExposureExceeded => return None,
        };
        router.running.push(Run { request: state.submitted, reserved, keyed, consumed: false });
        Some(next)
    }

    fn consume(&self, state: &State, index: usize, at: usize) -> Option<State> {
        let mut next = state.clone();
        let running = &mut next.routers[index].running[at];
        if running.consumed {
            return None;
        }
        running.consumed = true;
        next.unreserved_use |= running.reserved < USED;
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
            // Each batch names another keeper, if any of them may promise not to close the account.
            keeper: if self.bounds.promises > 0 { format!("k{}", router.sequence) } else { String::new() },
        });
        Some(next)
    }

    /// All possible keepers of a router's account promise never to close it, and the router lifts its exposure
    /// limit.
    fn promise(&self, state: &State, index: usize) -> Option<State> {
        let account = self.account(state, index);
        if account.closed {
            return None;
        }
        let mut next = state.clone();
        next.promised += 1;
        let router = &mut next.routers[index];
        let keepers = [Some(account.keeper), router.batch.as_ref().map(|batch| batch.keeper.clone())];
        if self.bug != Bug::NoPromise {
            let incarnation = router.incarnation;
            next.promises.extend(keepers.into_iter().flatten().map(|keeper| (index, incarnation, keeper)));
        }
        router.grant.lift_exposure_limit();
        Some(next)
    }

    /// Reads the rows and sends the transaction. An earlier one may still be in flight.
    fn attempt(&self, state: &State, index: usize) -> Option<State> {
        let router = &state.routers[index];
        let mut batch = router.batch.clone()?;
        let mut next = state.clone();
        let mut account = self.account(state, index);
        if account.sequence >= batch.sequence {
            if self.bug != Bug::NewSequence || state.in_flight.iter().any(|sent| sent.router == index) {
                return None;
            }
            batch.sequence = account.sequence + 1;
            next.routers[index].sequence = batch.sequence;
            next.routers[index].batch = Some(batch.clone());
        }
        let mut pools: BTreeMap<String, Pool> = [(BUDGET.to_owned(), state.pool.clone())].into();
        if self.bug == Bug::CreditAddedTwice {
            pools.get_mut(BUDGET)?.credits.clear();
        }
        let charged = |key: &budget::ledger::ChargeIdentity<'_>| {
            self.bug != Bug::NoKeyCheck
                && state.charged.get(key.key).is_some_and(|request| request != key.request)
        };
        let result = post(&mut account, &mut pools, &charged, &batch, ROUTERS as u64);
        if self.bug == Bug::CreditAddedTwice {
            account.sequence = batch.sequence;
        } else if result.is_err() {
            return None;
        }
        next.attempts += 1;
        next.in_flight.push(Transaction {
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

    /// Applies a transaction, if the rows have not changed since it read them.
    fn deliver(&self, state: &State, at: usize) -> State {
        let mut next = state.clone();
        let sent = next.in_flight.remove(at);
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
                    if next.charged_keys.insert(key.clone()) {
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

    /// The router reads the account back and closes its batch, if it was applied.
    fn read_back(&self, state: &State, index: usize) -> Option<State> {
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
        if self.bug == Bug::CrashedGrantReturned {
            let held = self.account(state, index).lines.get(BUDGET).map_or(0, budget::ledger::Line::held);
            next.pool.outstanding -= held.min(next.pool.outstanding);
            next.pool.free += held.min(state.pool.outstanding);
            next.pool_version += 1;
        }
        let incarnation = next.routers[index].incarnation + 1;
        next.routers[index] = Router { incarnation, ..Router::default() };
        next
    }

    /// A keeper closes an account. Its router may be gone, or still run without knowing of it.
    fn close_account(&self, state: &State, index: usize, incarnation: u8) -> Option<State> {
        let mut next = state.clone();
        let account = next.accounts.get_mut(&(index, incarnation)).filter(|account| !account.closed)?;
        if state.promises.contains(&(index, incarnation, account.keeper.clone())) {
            return None;
        }
        let mut pools: BTreeMap<String, Pool> = [(BUDGET.to_owned(), state.pool.clone())].into();
        close_account(account, &mut pools).ok()?;
        next.pool = pools.remove(BUDGET)?;
        next.pool_version += 1;
        next.closures += 1;
        Some(next)
    }

    fn request_loan(&self, state: &State, to: usize) -> State {
        let mut next = state.clone();
        let from = 1 - to;
        next.loans.push(Loan {
            from,
            to,
            tokens: None,
            received: false,
            lender: state.routers[from].incarnation,
            borrower: state.routers[to].incarnation,
        });
        next
    }

    /// The lender answers a request for a loan. A repeated request gets the same answer.
    fn lend(&self, state: &State, at: usize) -> Option<State> {
        let mut next = state.clone();
        let loan = &mut next.loans[at];
        let lender = &mut next.routers[loan.from];
        if loan.tokens.is_some() || lender.incarnation != loan.lender {
            return None;
        }
        let before = lender.grant.clone();
        loan.tokens = Some(lender.grant.lend(WORST_CASE, 0));
        if self.bug == Bug::LoanNotDeducted {
            lender.grant = before;
        }
        Some(next)
    }

    fn receive_loan(&self, state: &State, at: usize) -> Option<State> {
        let mut next = state.clone();
        let loan = &mut next.loans[at];
        let borrower = &mut next.routers[loan.to];
        let tokens = loan.tokens.filter(|tokens| *tokens > 0)?;
        if borrower.incarnation != loan.borrower || (loan.received && self.bug != Bug::LoanReceivedTwice) {
            return None;
        }
        if borrower.grant.available() > 4 {
            return None;
        }
        loan.received = true;
        borrower.grant.receive(tokens);
        Some(next)
    }

    /// The tokens that a router can still charge. A router whose account was closed may hold more than it can
    /// use.
    fn chargeable(&self, state: &State, index: usize) -> u64 {
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

impl Model for Grants {
    type State = State;

    fn start(&self) -> State {
        State { routers: vec![Router::default(); ROUTERS], ..State::default() }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let bounds = self.bounds;
        let mut next = vec![];
        if !state.credit_added {
            next.push(State { credit_added: true, ..state.clone() });
        }
        // A promise concerns one router, and a second one multiplies the states.
        let routers = if bounds.promises > 0 { 1 } else { ROUTERS };
        for index in 0..routers {
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
            next.extend(self.read_back(state, index));
            if state.promised < bounds.promises {
                next.extend(self.promise(state, index));
            }
            if state.crashes < bounds.crashes {
                next.push(self.crash(state, index));
            }
            if state.closures < bounds.closures {
                for incarnation in 0..=router.incarnation {
                    next.extend(self.close_account(state, index, incarnation));
                }
            }
            if state.loans.len() < usize::from(bounds.loans) {
                next.push(self.request_loan(state, index));
            }
        }
        for at in 0..state.in_flight.len() {
            next.push(self.deliver(state, at));
            if state.losses < bounds.losses {
                let mut lost = state.clone();
                lost.in_flight.remove(at);
                lost.losses += 1;
                next.push(lost);
            }
        }
        for at in 0..state.loans.len() {
            next.extend(self.lend(state, at));
            next.extend(self.receive_loan(state, at));
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let seen = |id: &str| state.pool.credits.contains_key(id);
        let credited = u64::from(seen("c1")) * FIRST_CREDIT + u64::from(seen("c2")) * ADDED_CREDIT;
        let held: u64 = (0..ROUTERS).map(|index| self.chargeable(state, index)).sum();
        let in_transit: u64 = state
            .loans
            .iter()
            .filter(|loan| !loan.received && state.routers[loan.to].incarnation == loan.borrower)
            .filter_map(|loan| loan.tokens)
            .sum();
        let total = state.pool.free + state.pool.outstanding + state.pool.spent;
        if total != credited {
            Some("I5")
        } else if state.unreserved_use || state.consumed > state.pool.spent + state.pool.outstanding {
            Some("I6")
        } else if state.pool.spent + held + in_transit + state.pool.free > credited {
            Some("I1")
        } else if state.pool.spent != state.expected_spent {
            Some("I2")
        } else {
            None
        }
    }
}

// Bounds for CI. Each of them combines some of the events.

const LOST_ANSWERS: Bounds =
    Bounds { submissions: 1, attempts: 4, losses: 1, crashes: 0, loans: 0, closures: 0, promises: 0 };
const RETRY_ELSEWHERE: Bounds =
    Bounds { submissions: 2, attempts: 3, losses: 0, crashes: 0, loans: 0, closures: 0, promises: 0 };
const CRASH: Bounds =
    Bounds { submissions: 1, attempts: 3, losses: 1, crashes: 1, loans: 0, closures: 0, promises: 0 };
const LOAN: Bounds =
    Bounds { submissions: 1, attempts: 2, losses: 0, crashes: 1, loans: 1, closures: 0, promises: 0 };
const CLOSURE: Bounds =
    Bounds { submissions: 2, attempts: 2, losses: 0, crashes: 1, loans: 0, closures: 1, promises: 0 };
const CLOSURE_DURING_LOAN: Bounds =
    Bounds { submissions: 1, attempts: 2, losses: 0, crashes: 0, loans: 1, closures: 1, promises: 0 };
const PROMISE: Bounds =
    Bounds { submissions: 2, attempts: 3, losses: 0, crashes: 1, loans: 0, closures: 1, promises: 1 };
/// Used only by the ignored test.
const LARGE: Bounds =
    Bounds { submissions: 2, attempts: 4, losses: 1, crashes: 1, loans: 0, closures: 0, promises: 0 };

fn model(bug: Bug, bounds: Bounds) -> Grants {
    Grants { bounds, bug }
}

fn check(bounds: Bounds, min_states: usize) {
    let states = assert_holds(&model(Bug::None, bounds));
    println!("grants: {states} states with {bounds:?}");
    assert!(states > min_states, "only {states} states are reachable within the bounds");
}

#[test]
fn invariants_hold_with_lost_answers_and_an_added_credit() {
    check(LOST_ANSWERS, 1_000);
}

#[test]
fn invariants_hold_when_a_caller_retries_at_another_router() {
    check(RETRY_ELSEWHERE, 1_000);
}

#[test]
fn invariants_hold_when_a_router_crashes_and_restarts() {
    check(CRASH, 1_000);
}

#[test]
fn invariants_hold_when_tokens_are_lent() {
    check(LOAN, 1_000);
}

#[test]
fn invariants_hold_when_the_account_of_a_dead_or_running_router_is_closed() {
    check(CLOSURE, 1_000);
}

#[test]
fn invariants_hold_when_an_account_is_closed_while_tokens_are_lent() {
    check(CLOSURE_DURING_LOAN, 1_000);
}

/// The limit stayed lifted while a later batch, which names a keeper that promised nothing, was settled.
#[test]
fn invariants_hold_when_keepers_promise_not_to_close_an_account() {
    check(PROMISE, 1_000);
}

#[test]
fn lifting_the_exposure_limit_without_a_promise_violates_i1_or_i6() {
    let found = search(&model(Bug::NoPromise, PROMISE));
    let violated = found.counterexample.map(|(invariant, _)| invariant);
    assert!(matches!(violated, Some("I1" | "I6")), "{violated:?} after {} states", found.states);
}

#[test]
fn exceeding_the_exposure_limit_violates_i1_or_i6() {
    let found = search(&model(Bug::NoExposureLimit, CLOSURE));
    let violated = found.counterexample.map(|(invariant, _)| invariant);
    assert!(matches!(violated, Some("I1" | "I6")), "{violated:?} after {} states", found.states);
}

#[test]
#[ignore = "takes minutes and gigabytes; run with --ignored"]
fn invariants_hold_in_larger_bounds() {
    check(LARGE, 1_000_000);
}

#[test]
fn resending_a_batch_with_a_new_sequence_number_violates_i1_or_i2() {
    let found = search(&model(Bug::NewSequence, LOST_ANSWERS));
    let violated = found.counterexample.map(|(invariant, _)| invariant);
    assert!(matches!(violated, Some("I1" | "I2")), "{violated:?} after {} states", found.states);
}

#[test]
fn receiving_a_loan_twice_violates_i1() {
    assert_violates(&model(Bug::LoanReceivedTwice, LOAN), "I1");
}

#[test]
fn lending_without_deducting_violates_i1() {
    assert_violates(&model(Bug::LoanNotDeducted, LOAN), "I1");
}

#[test]
fn returning_a_crashed_routers_grant_violates_i6() {
    assert_violates(&model(Bug::CrashedGrantReturned, CRASH), "I6");
}

#[test]
fn charging_without_checking_the_key_violates_i2() {
    let bounds =
        Bounds { submissions: 2, attempts: 4, losses: 0, crashes: 0, loans: 0, closures: 0, promises: 0 };
    assert_violates(&model(Bug::NoKeyCheck, bounds), "I2");
}

#[test]
fn adding_a_credit_twice_violates_i5() {
    assert_violates(&model(Bug::CreditAddedTwice, LOST_ANSWERS), "I5");
}

#[test]
fn dispatching_without_a_reservation_violates_i6() {
    assert_violates(&model(Bug::NoReservation, RETRY_ELSEWHERE), "I6");
}
