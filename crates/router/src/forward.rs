//! Forwarding requests to the router that already runs them, which is found by a hint or a claim.

use crate::clock::Clock;
use crate::front::AdmittedRequest;
use crate::node::Node;
use crate::ports::Ports;
use futures::StreamExt;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response, Version};
use http_body::Body as _;
use http_body_util::BodyDataStream;
use hyper::body::{Bytes, Incoming};
use net::{Body, Framing, ProbeResult, exec};
use peer::{LinkClient, MemberState, RunLocation};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use upstream::Engine;

/// The interval at which a router checks whether the peer that it waits for is still alive.
const LIVENESS_POLL: Duration = Duration::from_millis(100);

/// The header that marks a forwarded request, so that it is forwarded only once.
pub(crate) const FORWARDED: &str = "x-tallypaddle-forwarded";

/// Forwards a request with an idempotency key to the router that already runs it, if a hint names one that
/// answers. Otherwise announces that the request runs here, and returns `None`.
pub(crate) async fn forward_to_runner<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    key: &str,
    head: &Parts,
    body: &Bytes,
) -> Option<Response<Body>> {
    if admitted.forwarded {
        return None;
    }
    let now = node.clock.now();
    let hint_router = node.view().hint_router(key, now).map(|member| member.address);
    let location = match hint_router {
        Some(address) => locate(node, address, key).await,
        None => node.run_hints.get(key),
    };
    if let Some(location) = location.filter(|location| location.holder != node.holder)
        && let Some(response) = forward_request(node, &location.holder, head, body).await
    {
        log::info!("caller: request={} is forwarded to {}, which runs its key", admitted.id, location.holder);
        return Some(response);
    }
    let own_location =
        RunLocation { key: key.to_owned(), holder: node.holder.clone(), callers: node.heartbeat().callers };
    match hint_router {
        Some(address) => {
            let call =
                |client: LinkClient, context| async move { client.announce(context, own_location).await };
            if let Err(error) = node.peers.call("announce", address, call).await {
                log::debug!("peer: {error}");
            }
        }
        None => node.run_hints.insert(own_location),
    }
    None
}

async fn locate<W: Ports>(node: &Node<W>, hint_router: SocketAddr, key: &str) -> Option<RunLocation> {
    let key = key.to_owned();
    let call = |client: LinkClient, context| async move { client.locate(context, key).await };
    node.peers.call("locate", hint_router, call).await.ok().flatten()
}

/// The address of a holder for callers, if it is considered alive and still has the same incarnation.
pub(crate) fn address_of<W: Ports>(node: &Node<W>, holder: &str) -> Option<SocketAddr> {
    let (name, incarnation) = holder.split_once('#')?;
    let now = node.clock.now();
    let view = node.view();
    let member = view.member(name)?;
    let same = member.incarnation.to_string() == incarnation && member.state(now) == MemberState::Alive;
    member.callers.filter(|_| same)
}

/// Forwards a request to `holder` and relays the answer. Returns `None` if that router can't be reached, or
/// is no longer considered alive before it answers.
pub(crate) async fn forward_request<W: Ports>(
    node: &Arc<Node<W>>,
    holder: &str,
    head: &Parts,
    body: &Bytes,
) -> Option<Response<Body>> {
    let callers = address_of(node, holder)?;
    let mut request = Request::new(Body::from(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = head.headers.clone();
    strip_connection_headers(request.headers_mut());
    request.headers_mut().insert(FORWARDED, HeaderValue::from_static("1"));
    let answer = async { node.engine.forward(callers, request).await.ok() };
    let not_alive = async {
        until_not_alive(node, holder).await;
        None
    };
    let answer = smol::future::or(answer, not_alive).await?;
    let (node, holder) = (node.clone(), holder.to_owned());
    Some(relay(answer, async move { until_not_alive(&node, &holder).await }))
}

/// Waits until a holder is no longer considered alive or has another incarnation.
async fn until_not_alive<W: Ports>(node: &Node<W>, holder: &str) {
    while address_of(node, holder).is_some() {
        exec::sleep(LIVENESS_POLL).await;
    }
}

/// Removes the headers that apply to a single connection.
pub(crate) fn strip_connection_headers(headers: &mut http::HeaderMap) {
    for name in [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Relays the answer of a service at `server` as it arrives. An answer that ends with its connection is cut off if the
/// process there has terminated.
pub(crate) fn relay_from_service(answer: Response<Incoming>, server: SocketAddr) -> Response<Body> {
    let (head, body) = answer.into_parts();
    let is_closed = Framing::of(&head) == Framing::Closed && !body.is_end_stream();
    let confirmed = async move { !is_closed || net::probe_after_break(server).await != ProbeResult::Refuses };
    relay_confirmed(Response::from_parts(head, body), std::future::pending(), confirmed)
}

/// Relays an answer as it arrives. If its body fails or `ended` completes first, the relayed body is aborted.
pub(crate) fn relay(
    answer: Response<Incoming>,
    ended: impl Future<Output = ()> + Send + 'static,
) -> Response<Body> {
    relay_confirmed(answer, ended, std::future::ready(true))
}

/// Like [`relay`]. At the end of the body, `confirmed` tells whether it is whole.
///
/// The copy is framed by the connection that it is sent over: an answer to a caller that kept the version of an
/// upstream's HTTP/1.0 would have no chunks, and seem complete when it is aborted.
fn relay_confirmed(
    answer: Response<Incoming>,
    ended: impl Future<Output = ()> + Send + 'static,
    confirmed: impl Future<Output = bool> + Send + 'static,
) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    strip_connection_headers(&mut head.headers);
    head.version = Version::HTTP_11;
    let (pipe, copy) = net::pipe();
    exec::spawn(async move {
        let copying = async {
            let mut chunks = BodyDataStream::new(body);
            while let Some(chunk) = chunks.next().await {
                let written = match chunk {
                    Ok(chunk) => pipe.write(chunk).await,
                    Err(error) => return Some(error.to_string()),
                };
                if !written {
                    return None;
                }
            }
            (!confirmed.await).then(|| "the service terminated before its answer ended".to_owned())
        };
        let ending = async {
            ended.await;
            Some("the peer is no longer considered alive".to_owned())
        };
        if let Some(reason) = smol::future::or(copying, ending).await {
            pipe.abort(&reason).await;
        }
    })
    .detach();
    Response::from_parts(head, copy)
}
