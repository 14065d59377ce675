//! Reserving tokens at another gateway, which owns the team's budget.
//!
//! The owner reserves the worst case as for a request of its own, so its notes and its account cover it from then on. What
//! was used is reported once the request has ended; until then, and for good if no report comes, the worst case counts as
//! used. So neither gateway's death nor a lost message can spend a token twice.

use crate::holding::Denied;
use crate::node::{Node, Phase};
use crate::owners::Owner;
use crate::ports::Wire;
use crate::purse::{Purse, Reservation};
use budget::ledger::Level;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, exec};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::rows::Rows;

/// The paths at which gateways ask each other.
pub(crate) const RESERVE: &str = "/reserve";
pub(crate) const REPORT: &str = "/report";

/// How long an owner takes to answer beside what it may wait for the store: some ways between data centres, and a slow VM.
const WAY: Duration = Duration::from_millis(60);
/// The part of the time that a request may wait for tokens which its owner may use: the rest is for the way, and for the
/// store if the owner does not answer.
const OWNERS_PART: f64 = 0.6;
/// Unused connections to an owner that are kept, and how long. With few of them, here and to gateways that make calls for
/// others, 295 gateways held 169 GB x s of memory over a day with a cut and a loss of all, in place of 288.
const IDLE: (usize, Duration) = (2, Duration::from_secs(10));
/// The largest message between gateways, in bytes.
const MESSAGE_LIMIT: usize = 16 << 10;
/// Attempts to report what a request used, the time for each, and the pause between two: a gateway that does not answer
/// for so long may be gone, and charges the worst case.
const REPORTS: u32 = 4;
const REPORT_LIMIT: Duration = Duration::from_millis(500);
const REPORT_AGAIN: Duration = Duration::from_millis(1_000);
/// How long after its request's time an owner waits for a report.
const REPORT_WAIT: Duration = Duration::from_secs(10);

/// A reservation that one gateway asks another for.
#[derive(Debug, Deserialize, Serialize)]
struct Ask {
    /// The asking gateway's process, and the number of its reservation.
    holder: String,
    number: u64,
    team: String,
    /// The team's prepaid total, as the asking gateway knows it.
    level_version: u64,
    level_tokens: u64,
    tokens: u64,
    /// How long the owner may wait for the store.
    patience_ms: u64,
    /// How long the request may last.
    lasts_ms: u64,
}

/// The owner's answer.
#[derive(Debug, Deserialize, Serialize)]
enum Answer {
    Held,
    Denied {
        denied: Denied,
        ready_ms: u64,
        detail: String,
    },
    /// This gateway stops, or does not know the team.
    Unfit,
}

/// What a request used in the end.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Report {
    holder: String,
    number: u64,
    request: String,
    tokens: u64,
}

/// What was reserved here for other gateways' requests, by process and number.
type Pledges = HashMap<(String, u64), (Reservation, Instant)>;

/// Reservations at other gateways, and others' here.
#[derive(Debug)]
pub(crate) struct Delegate {
    holder: String,
    client: Client,
    numbers: AtomicU64,
    pledges: Mutex<Pledges>,
}

/// Tokens reserved at another gateway, until what was used of them is reported.
#[derive(Debug)]
pub(crate) struct Pledge {
    delegate: Arc<Delegate>,
    owner: SocketAddr,
    number: u64,
    is_reported: bool,
}

/// Why tokens can't be had: the reason, when they may be, and what decided it.
pub(crate) type Denial = (Denied, u64, String);

/// How asking another gateway ended.
enum Asked {
    Held(Pledge),
    Denied(Denial),
    /// It did not answer, or does not own the budget any more.
    Away,
}

impl Delegate {
    pub(crate) fn new(holder: &str) -> Delegate {
        Delegate {
            holder: holder.to_owned(),
            client: Client::with_idle(IDLE.0, IDLE.1),
            numbers: AtomicU64::new(1),
            pledges: Mutex::default(),
        }
    }

    async fn ask(self: &Arc<Self>, owner: SocketAddr, ask: &Ask) -> Asked {
        let limit = Duration::from_millis(ask.patience_ms) + WAY;
        // From now on it may be reserved there.
        let pledge = Pledge { delegate: self.clone(), owner, number: ask.number, is_reported: false };
        match self.send::<Answer>("reserve", owner, RESERVE, ask, limit).await {
            Ok(Answer::Held) => Asked::Held(pledge),
            Ok(Answer::Denied { denied, ready_ms, detail }) => {
                pledge.forget();
                Asked::Denied((denied, ready_ms, format!("{detail} owner={owner}")))
            }
            Ok(Answer::Unfit) => {
                pledge.forget();
                Asked::Away
            }
            Err(error) => {
                log::warn!("budget: event=owner-away team={} owner={owner} error=\"{error}\"", ask.team);
                if error.fault == net::Fault::Unsent {
                    pledge.forget();
                }
                Asked::Away
            }
        }
    }

    async fn send<T: for<'a> Deserialize<'a>>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Result<T, net::Error> {
        let error = |fault, reason: String| net::Error { step, peer: peer.to_string(), fault, reason };
        let bytes =
            bincode::serialize(message).map_err(|reason| error(net::Fault::Unsent, reason.to_string()))?;
        let request = Request::post(format!("http://{peer}{path}")).body(Body::from(bytes));
        let request = request.map_err(|reason| error(net::Fault::Unsent, reason.to_string()))?;
        let answer = self.client.exchange(step, request, MESSAGE_LIMIT, limit).await?;
        bincode::deserialize(answer.body()).map_err(|reason| error(net::Fault::Unknown, reason.to_string()))
    }

    /// Reports what a request used, in the background.
    fn report(self: &Arc<Self>, owner: SocketAddr, number: u64, request: &str, tokens: u64) {
        let report = Report { holder: self.holder.clone(), number, request: request.to_owned(), tokens };
        let delegate = self.clone();
        exec::spawn(async move {
            for round in 1..=REPORTS {
                match delegate.send::<()>("report", owner, REPORT, &report, REPORT_LIMIT).await {
                    Ok(()) => return,
                    Err(error) if round == REPORTS => {
                        log::warn!(
                            "budget: event=not-reported request={} tokens={tokens} owner={owner} error=\"{error}\"",
                            report.request
                        );
                    }
                    Err(_) => exec::sleep(REPORT_AGAIN).await,
                }
            }
        })
        .detach();
    }

    /// Takes in another gateway's report.
    fn take_report(&self, report: &Report) {
        let key = (report.holder.clone(), report.number);
        let pledge = self.pledges.lock().expect("the pledges' lock").remove(&key);
        if let Some((reservation, _)) = pledge
            && report.tokens > 0
        {
            reservation.charge(&report.request, report.tokens);
        }
    }

    /// Charges the worst case of requests that nobody reported.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut pledges = self.pledges.lock().expect("the pledges' lock");
        let late = pledges.extract_if(|_, (_, until)| *until <= now).collect::<Vec<_>>();
        drop(pledges);
        for ((holder, number), (reservation, _)) in late {
            log::warn!("budget: event=charged-at-the-worst holder={holder} number={number}");
            reservation.charge_all(&holder);
        }
    }
}

impl Pledge {
    /// Reports what the request used.
    pub(crate) fn charge(mut self, request: &str, tokens: u64) {
        self.is_reported = true;
        self.delegate.report(self.owner, self.number, request, tokens);
    }

    /// Ends a pledge that was certainly not made.
    fn forget(mut self) {
        self.is_reported = true;
    }
}

impl Drop for Pledge {
    fn drop(&mut self) {
        if !self.is_reported {
            self.delegate.report(self.owner, self.number, "-", 0);
        }
    }
}

/// Reserves the worst case of a request: at the team's owner, or here if that is this gateway or does not answer.
pub(crate) async fn reserve<W: Wire, S: Rows>(
    node: &Node<W, S>,
    purse: impl FnOnce() -> Option<Arc<Purse>>,
    team: &str,
    level: Level,
    tokens: u64,
    patience: Duration,
    lasts: Duration,
) -> Result<Option<Reservation>, Denial> {
    let began = Instant::now();
    let owner = node.owners.of(team);
    if let Owner::Peer(owner) = owner {
        let ask = Ask {
            holder: node.holder.clone(),
            number: node.delegate.numbers.fetch_add(1, Ordering::Relaxed),
            team: team.to_owned(),
            level_version: level.version,
            level_tokens: level.tokens,
            tokens,
            patience_ms: patience.mul_f64(OWNERS_PART).as_millis() as u64,
            lasts_ms: lasts.as_millis() as u64,
        };
        match node.delegate.ask(owner, &ask).await {
            Asked::Held(pledge) => return Ok(Some(Reservation::Elsewhere(pledge))),
            Asked::Denied(denial) => return Err(denial),
            Asked::Away => node.owners.rest(owner),
        }
    }
    let Some(purse) = purse() else { return Ok(None) };
    let left = patience.saturating_sub(began.elapsed());
    let reserved = purse.reserve(tokens, left).await;
    reserved.map(Some).map_err(|denied| (denied, purse.ready_in(tokens), purse.explain(tokens)))
}

/// Answers another gateway that asks for tokens or reports their use.
pub(crate) async fn answer<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Ok(bytes) = net::collect(request.into_body(), MESSAGE_LIMIT).await else { return refuse() };
    match path.as_str() {
        RESERVE => match bincode::deserialize::<Ask>(&bytes) {
            Ok(ask) => encode(&hold(&node, ask).await),
            Err(_) => refuse(),
        },
        _ => match bincode::deserialize::<Report>(&bytes) {
            Ok(report) => {
                node.delegate.take_report(&report);
                encode(&())
            }
            Err(_) => refuse(),
        },
    }
}

/// Reserves tokens for another gateway's request.
async fn hold<W: Wire, S: Rows>(node: &Node<W, S>, ask: Ask) -> Answer {
    if node.phase() != Phase::Serving {
        return Answer::Unfit;
    }
    let Some(manifest) = node.manifest() else { return Answer::Unfit };
    let team = manifest.teams.get(&ask.team).cloned();
    let Some(purse) = team.and_then(|team| node.purse(&manifest, &team)) else { return Answer::Unfit };
    purse.set_level(Level { version: ask.level_version, tokens: ask.level_tokens });
    match purse.reserve(ask.tokens, Duration::from_millis(ask.patience_ms)).await {
        Ok(reservation) => {
            let until = Instant::now() + Duration::from_millis(ask.lasts_ms) + REPORT_WAIT;
            let key = (ask.holder, ask.number);
            node.delegate.pledges.lock().expect("the pledges' lock").insert(key, (reservation, until));
            Answer::Held
        }
        Err(denied) => {
            let (ready_ms, detail) = (purse.ready_in(ask.tokens), purse.explain(ask.tokens));
            Answer::Denied { denied, ready_ms, detail }
        }
    }
}

fn encode(answer: &impl Serialize) -> Response<Body> {
    match bincode::serialize(answer) {
        Ok(bytes) => Response::new(Body::from(bytes)),
        Err(error) => {
            log::error!("budget: event=answer-not-encoded error=\"{error}\"");
            refuse()
        }
    }
}

fn refuse() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

#[cfg(test)]
#[path = "../tests/unit/delegate.rs"]
mod tests;
