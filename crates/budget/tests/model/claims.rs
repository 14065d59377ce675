//! Claims of requests that must not be repeated (I3, I4).
//!
//! A caller sends the same key to both routers. Inserting the claim may take effect late, or with its answer
//! lost. A router may be frozen for any time at any step and goes on unaware; it may crash and come back as a
//! new incarnation. A dispatch may reach the engine late. An engine that says it never saw a run refuses it
//! from then on.

use crate::search::{Model, assert_breaks, assert_holds};
use budget::claim::{Answer, Claim, ClaimDecision, ClaimState, decide};

const ROUTERS: usize = 2;

/// A deliberate mistake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flaw {
    None,
    /// A claim whose holder seems gone is taken over.
    TakeOver,
    /// A claim whose answer was lost counts as one's own without reading back.
    TrustLost,
    /// A failed dispatch is reported as "not run" without asking the engine.
    HastyNotRun,
    /// A failed dispatch is repeated without asking the engine.
    HastyRetry,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    /// It will insert the claim.
    Inserting,
    /// The insert was sent; its answer has not come.
    Waiting,
    /// It will dispatch: what it knows is never looked at again, however long it is frozen here.
    Ready,
    /// The dispatch is on its way or the engine runs it.
    Dispatched,
    /// The dispatch failed with an unknown outcome.
    Failed,
    /// The caller has its answer.
    Answered(Verdict),
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Verdict {
    Done,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Router {
    incarnation: u8,
    phase: Phase,
    request: u8,
    /// Runs so far, and those before the present request.
    runs: u8,
    earlier: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Flying {
    router: usize,
    incarnation: u8,
    run: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    row: Option<Claim>,
    inserts: Vec<(String, String)>,
    routers: Vec<Router>,
    dispatches: Vec<Flying>,
    /// Runs that the engine started, and those that it will refuse.
    started: Vec<Flying>,
    refused: Vec<Flying>,
    /// Requests whose caller was told "not run": router, incarnation, and the runs between which they had theirs.
    told_not_run: Vec<(usize, u8, u8, u8)>,
    requests: u8,
    crashes: u8,
    losses: u8,
}

struct Claims {
    flaw: Flaw,
    requests: u8,
    crashes: u8,
    losses: u8,
}

fn holder(index: usize, router: &Router) -> String {
    format!("vm-{index}#{}", router.incarnation)
}

fn request(router: &Router) -> String {
    format!("r{}", router.request)
}

impl Claims {
    fn read(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let router = &mut next.routers[index];
        let me = holder(index, router);
        router.phase = match decide(state.row.as_ref(), &me, &request(router)) {
            ClaimDecision::Insert => Phase::Inserting,
            ClaimDecision::Dispatch => Phase::Ready,
            ClaimDecision::Replay(_) => Phase::Answered(Verdict::Done),
            ClaimDecision::Attach(_) if self.flaw == Flaw::TakeOver => Phase::Ready,
            ClaimDecision::Attach(_) => Phase::Answered(Verdict::Unknown),
        };
        next
    }

    fn router_steps(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let router = &state.routers[index];
        let set = |phase| {
            let mut next = state.clone();
            next.routers[index].phase = phase;
            next
        };
        match router.phase {
            Phase::Idle | Phase::Answered(_) => {
                if state.requests < self.requests {
                    let mut asked = state.clone();
                    asked.requests += 1;
                    asked.routers[index].request = asked.requests;
                    asked.routers[index].earlier = router.runs;
                    next.push(self.read(&asked, index));
                }
            }
            Phase::Inserting => {
                let mut sent = set(Phase::Waiting);
                sent.inserts.push((holder(index, router), request(router)));
                next.push(sent);
            }
            // The answer is lost or late: it reads back, and inserts again if nothing is there.
            Phase::Waiting => {
                if state.inserts.len() < 3 {
                    next.push(self.read(state, index));
                }
                if self.flaw == Flaw::TrustLost {
                    next.push(set(Phase::Ready));
                }
                next.push(self.answer(state, index, Verdict::NotRun));
            }
            Phase::Ready => {
                let mut sent = set(Phase::Dispatched);
                sent.routers[index].runs += 1;
                let run = sent.routers[index].runs;
                sent.dispatches.push(Flying { router: index, incarnation: router.incarnation, run });
                next.push(sent);
            }
            Phase::Dispatched => {
                let run = Flying { router: index, incarnation: router.incarnation, run: router.runs };
                if state.started.contains(&run) {
                    next.push(self.finish(state, index));
                }
                next.push(set(Phase::Failed));
            }
            Phase::Failed => self.after_failure(state, index, next),
        }
    }

    /// Asks the engine what became of the run; only its word that it never will run allows another.
    fn after_failure(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let router = &state.routers[index];
        let run = Flying { router: index, incarnation: router.incarnation, run: router.runs };
        next.push(self.answer(state, index, Verdict::Unknown));
        if state.started.contains(&run) {
            next.push(self.finish(state, index));
        } else if router.runs < 2 {
            let mut refused = state.clone();
            refused.refused.push(run);
            refused.routers[index].phase = Phase::Ready;
            next.push(refused.clone());
            next.push(self.answer(&refused, index, Verdict::NotRun));
        }
        if self.flaw == Flaw::HastyNotRun {
            next.push(self.answer(state, index, Verdict::NotRun));
        }
        if self.flaw == Flaw::HastyRetry && router.runs < 2 {
            let mut again = state.clone();
            again.routers[index].phase = Phase::Ready;
            next.push(again);
        }
    }

    fn answer(&self, state: &State, index: usize, verdict: Verdict) -> State {
        let mut next = state.clone();
        let router = &mut next.routers[index];
        router.phase = Phase::Answered(verdict);
        if verdict == Verdict::NotRun {
            next.told_not_run.push((index, router.incarnation, router.earlier, router.runs));
        }
        next
    }

    fn finish(&self, state: &State, index: usize) -> State {
        let mut next = self.answer(state, index, Verdict::Done);
        let answer = Answer { status: 200, media: String::new(), body: String::new() };
        if let Some(row) = &mut next.row {
            row.state = ClaimState::Done(answer);
        }
        next
    }
}

impl Model for Claims {
    type State = State;

    fn start(&self) -> State {
        let router = Router { incarnation: 0, phase: Phase::Idle, request: 0, runs: 0, earlier: 0 };
        State {
            row: None,
            inserts: vec![],
            routers: vec![router; ROUTERS],
            dispatches: vec![],
            started: vec![],
            refused: vec![],
            told_not_run: vec![],
            requests: 0,
            crashes: 0,
            losses: 0,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut next = vec![];
        for index in 0..ROUTERS {
            self.router_steps(state, index, &mut next);
            if state.crashes < self.crashes {
                let mut crashed = state.clone();
                crashed.crashes += 1;
                let incarnation = crashed.routers[index].incarnation + 1;
                crashed.routers[index] =
                    Router { incarnation, phase: Phase::Idle, request: 0, runs: 0, earlier: 0 };
                next.push(crashed);
            }
        }
        for at in 0..state.inserts.len() {
            let mut delivered = state.clone();
            let (holder, request) = delivered.inserts.remove(at);
            if delivered.row.is_none() {
                delivered.row = Some(Claim { holder, request, state: ClaimState::Claimed });
            }
            next.push(delivered);
            if state.losses < self.losses {
                let mut lost = state.clone();
                lost.inserts.remove(at);
                lost.losses += 1;
                next.push(lost);
            }
        }
        for at in 0..state.dispatches.len() {
            let mut arrived = state.clone();
            let run = arrived.dispatches.remove(at);
            if !arrived.refused.contains(&run) {
                arrived.started.push(run);
            }
            next.push(arrived);
        }
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        let ran = |router: usize, incarnation: u8, earlier: u8, runs: u8| {
            let own = |run: &&Flying| run.router == router && run.incarnation == incarnation;
            state.started.iter().filter(own).any(|run| run.run > earlier && run.run <= runs)
        };
        let not_run = state
            .told_not_run
            .iter()
            .any(|(router, incarnation, earlier, runs)| ran(*router, *incarnation, *earlier, *runs));
        if not_run {
            Some("I4")
        } else if state.started.len() > 1 {
            Some("I3")
        } else {
            None
        }
    }
}

#[test]
fn claims_are_safe() {
    let model = Claims { flaw: Flaw::None, requests: 3, crashes: 1, losses: 1 };
    let states = assert_holds(&model);
    println!("claims: {states} states with 3 requests, 1 crash, 1 loss");
    assert!(states > 10_000, "the bounds leave only {states} states");
}

#[test]
#[ignore = "takes minutes; run with --ignored"]
fn claims_are_safe_in_larger_bounds() {
    let model = Claims { flaw: Flaw::None, requests: 4, crashes: 2, losses: 2 };
    println!("claims: {} states with 4 requests, 2 crashes, 2 losses", assert_holds(&model));
}

#[test]
fn taking_a_claim_over_breaks_i3() {
    assert_breaks(&Claims { flaw: Flaw::TakeOver, requests: 2, crashes: 1, losses: 0 }, "I3");
}

#[test]
fn trusting_a_lost_answer_breaks_i3() {
    assert_breaks(&Claims { flaw: Flaw::TrustLost, requests: 2, crashes: 0, losses: 1 }, "I3");
}

#[test]
fn repeating_a_failed_dispatch_breaks_i3() {
    assert_breaks(&Claims { flaw: Flaw::HastyRetry, requests: 1, crashes: 0, losses: 0 }, "I3");
}

#[test]
fn a_hasty_not_run_breaks_i4() {
    assert_breaks(&Claims { flaw: Flaw::HastyNotRun, requests: 1, crashes: 0, losses: 0 }, "I4");
}
