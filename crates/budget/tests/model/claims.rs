//! Claims of requests that must not be repeated (I3, I4).
//!
//! A caller sends the same key to both routers. The insertion of a claim may take effect late, and its answer
//! may be lost. A router may be paused at any step for any time and resumes without noticing, or it may crash
//! and restart as a new incarnation. A dispatch may reach the engine late. Once an engine has reported that
//! it never saw a run, it refuses that run.

use crate::search::{Model, assert_holds, assert_violates};
use budget::claim::{Answer, Claim, ClaimDecision, ClaimState, decide};

const ROUTERS: usize = 2;

/// A bug injected into the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Bug {
    None,
    /// A claim whose holder appears to be gone is taken over.
    ClaimTakenOver,
    /// After the answer to an insertion was lost, the claim is assumed to be the router's own without reading
    /// it back.
    LostInsertTrusted,
    /// A failed dispatch is reported as "not run" without asking the engine.
    UnverifiedNotRun,
    /// A failed dispatch is repeated without asking the engine.
    UnverifiedRetry,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    /// It is about to insert the claim.
    Inserting,
    /// It has sent the insertion and has no answer yet.
    Waiting,
    /// It is about to dispatch the request. It does not check the claim again, however long it is paused
    /// here.
    Ready,
    /// The dispatch is in flight, or the engine runs it.
    Dispatched,
    /// The dispatch failed with an unknown outcome.
    Failed,
    /// The caller was answered.
    Answered(Outcome),
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Outcome {
    Done,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Router {
    incarnation: u8,
    phase: Phase,
    request: u8,
    /// The number of dispatches so far.
    runs: u8,
    /// The number of dispatches before the current request.
    earlier_runs: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Dispatch {
    router: usize,
    incarnation: u8,
    run: u8,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    row: Option<Claim>,
    inserts: Vec<(String, String)>,
    routers: Vec<Router>,
    dispatches: Vec<Dispatch>,
    /// Runs that the engine started.
    started: Vec<Dispatch>,
    /// Runs that the engine refuses.
    refused: Vec<Dispatch>,
    /// Requests that were reported as "not run": router, incarnation, and the router's number of runs before
    /// the request and after it.
    reported_not_run: Vec<(usize, u8, u8, u8)>,
    requests: u8,
    crashes: u8,
    losses: u8,
}

struct Claims {
    bug: Bug,
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
            ClaimDecision::Replay(_) => Phase::Answered(Outcome::Done),
            ClaimDecision::Attach(_) if self.bug == Bug::ClaimTakenOver => Phase::Ready,
            ClaimDecision::Attach(_) => Phase::Answered(Outcome::Unknown),
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
                    asked.routers[index].earlier_runs = router.runs;
                    next.push(self.read(&asked, index));
                }
            }
            Phase::Inserting => {
                let mut sent = set(Phase::Waiting);
                sent.inserts.push((holder(index, router), request(router)));
                next.push(sent);
            }
            // If the answer is lost or late, it reads the row back, and inserts the claim again if there is
            // none.
            Phase::Waiting => {
                if state.inserts.len() < 3 {
                    next.push(self.read(state, index));
                }
                if self.bug == Bug::LostInsertTrusted {
                    next.push(set(Phase::Ready));
                }
                next.push(self.answer(state, index, Outcome::NotRun));
            }
            Phase::Ready => {
                let mut sent = set(Phase::Dispatched);
                sent.routers[index].runs += 1;
                let run = sent.routers[index].runs;
                sent.dispatches.push(Dispatch { router: index, incarnation: router.incarnation, run });
                next.push(sent);
            }
            Phase::Dispatched => {
                let run = Dispatch { router: index, incarnation: router.incarnation, run: router.runs };
                if state.started.contains(&run) {
                    next.push(self.finish(state, index));
                }
                next.push(set(Phase::Failed));
            }
            Phase::Failed => self.after_failure(state, index, next),
        }
    }

    /// Asks the engine for the outcome of the run. Only if the engine refuses the run may the request be
    /// dispatched again.
    fn after_failure(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let router = &state.routers[index];
        let run = Dispatch { router: index, incarnation: router.incarnation, run: router.runs };
        next.push(self.answer(state, index, Outcome::Unknown));
        if state.started.contains(&run) {
            next.push(self.finish(state, index));
        } else if router.runs < 2 {
            let mut refused = state.clone();
            refused.refused.push(run);
            refused.routers[index].phase = Phase::Ready;
            next.push(refused.clone());
            next.push(self.answer(&refused, index, Outcome::NotRun));
        }
        if self.bug == Bug::UnverifiedNotRun {
            next.push(self.answer(state, index, Outcome::NotRun));
        }
        if self.bug == Bug::UnverifiedRetry && router.runs < 2 {
            let mut again = state.clone();
            again.routers[index].phase = Phase::Ready;
            next.push(again);
        }
    }

    fn answer(&self, state: &State, index: usize, outcome: Outcome) -> State {
        let mut next = state.clone();
        let router = &mut next.routers[index];
        router.phase = Phase::Answered(outcome);
        if outcome == Outcome::NotRun {
            next.reported_not_run.push((index, router.incarnation, router.earlier_runs, router.runs));
        }
        next
    }

    fn finish(&self, state: &State, index: usize) -> State {
        let mut next = self.answer(state, index, Outcome::Done);
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
        let router = Router { incarnation: 0, phase: Phase::Idle, request: 0, runs: 0, earlier_runs: 0 };
        State {
            row: None,
            inserts: vec![],
            routers: vec![router; ROUTERS],
            dispatches: vec![],
            started: vec![],
            refused: vec![],
            reported_not_run: vec![],
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
                    Router { incarnation, phase: Phase::Idle, request: 0, runs: 0, earlier_runs: 0 };
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

    fn violation(&self, state: &State) -> Option<&'static str> {
        let ran = |router: usize, incarnation: u8, earlier_runs: u8, runs: u8| {
            let own = |run: &&Dispatch| run.router == router && run.incarnation == incarnation;
            state.started.iter().filter(own).any(|run| run.run > earlier_runs && run.run <= runs)
        };
        let not_run = state.reported_not_run.iter().any(|(router, incarnation, earlier_runs, runs)| {
            ran(*router, *incarnation, *earlier_runs, *runs)
        });
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
fn invariants_hold() {
    let model = Claims { bug: Bug::None, requests: 3, crashes: 1, losses: 1 };
    let states = assert_holds(&model);
    println!("claims: {states} states with 3 requests, 1 crash, 1 loss");
    assert!(states > 10_000, "only {states} states are reachable within the bounds");
}

#[test]
#[ignore = "takes minutes; run with --ignored"]
fn invariants_hold_in_larger_bounds() {
    let model = Claims { bug: Bug::None, requests: 4, crashes: 2, losses: 2 };
    println!("claims: {} states with 4 requests, 2 crashes, 2 losses", assert_holds(&model));
}

#[test]
fn taking_over_a_claim_violates_i3() {
    assert_violates(&Claims { bug: Bug::ClaimTakenOver, requests: 2, crashes: 1, losses: 0 }, "I3");
}

#[test]
fn assuming_a_claim_after_a_lost_answer_violates_i3() {
    assert_violates(&Claims { bug: Bug::LostInsertTrusted, requests: 2, crashes: 0, losses: 1 }, "I3");
}

#[test]
fn repeating_a_failed_dispatch_violates_i3() {
    assert_violates(&Claims { bug: Bug::UnverifiedRetry, requests: 1, crashes: 0, losses: 0 }, "I3");
}

#[test]
fn reporting_not_run_without_asking_the_engine_violates_i4() {
    assert_violates(&Claims { bug: Bug::UnverifiedNotRun, requests: 1, crashes: 0, losses: 0 }, "I4");
}
