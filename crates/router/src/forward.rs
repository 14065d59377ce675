//! Requests whose run is at another router: found by a hint, or by the claim, and passed on to it.

use crate::clock::Clock;
use crate::front::Entry;
use crate::node::Node;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::{Bytes, Incoming};
use net::{Body, exec};
use peer::{LinkClient, State, Whereabouts};
use platform::Services;
use std::net::SocketAddr;
use std::sync::Arc;
use upstream::Engine;

/// Marks a request that a router passed on, so that it is passed on only once.
pub(crate) const FORWARDED: &str = "x-tallypaddle-forwarded";

/// Passes a request with a key on to the router that runs it already, if a hint names one that answers;
/// else leaves a hint that it runs here.
pub(crate) async fn elsewhere<P, E, C>(
    node: &Arc<Node<P, E, C>>,
    entry: &Entry,
    key: &str,
    head: &Parts,
    body: &Bytes,
) -> Option<Response<Body>>
where
    P: Services,
    E: Engine,
    C: Clock,
{
    if entry.forwarded {
        return None;
    }
    let now = node.clock.now();
    let keeper = node.view().keeper(key, now).map(|member| member.address);
    let place = match keeper {
        Some(address) => locate(node, address, key).await,
        None => node.hints.find(key),
    };
    if let Some(place) = place.filter(|place| place.holder != node.holder)
        && is_same_incarnation(node, &place)
        && let Some(response) = pass_on(node, place.callers, head, body).await
    {
        log::info!(
            "caller: request={} is passed on to {}, which runs its key",
            entry.id,
            place.holder
        );
        return Some(response);
    }
    let here = Whereabouts {
        key: key.to_owned(),
        holder: node.holder.clone(),
        callers: node.beat().callers,
    };
    match keeper {
        Some(address) => {
            let call = |client: LinkClient, context| async move { client.announce(context, here).await };
            if let Err(error) = node.peers.call("announce", address, call).await {
                log::debug!("peer: {error}");
            }
        }
        None => node.hints.note(here),
    }
    None
}

async fn locate<P, E, C>(node: &Node<P, E, C>, keeper: SocketAddr, key: &str) -> Option<Whereabouts>
where
    P: Services,
    E: Engine,
    C: Clock,
{
    let key = key.to_owned();
    let call = |client: LinkClient, context| async move { client.locate(context, key).await };
    node.peers.call("locate", keeper, call).await.ok().flatten()
}

fn is_same_incarnation<P, E, C>(node: &Node<P, E, C>, place: &Whereabouts) -> bool
where
    P: Services,
    E: Engine,
    C: Clock,
{
    address_of(node, &place.holder).is_some()
}

/// Where callers reach a holder, if it is alive in the same incarnation.
pub(crate) fn address_of<P, E, C>(node: &Node<P, E, C>, holder: &str) -> Option<SocketAddr>
where
    P: Services,
    E: Engine,
    C: Clock,
{
    let (name, incarnation) = holder.split_once('#')?;
    let now = node.clock.now();
    let view = node.view();
    let member = view.member(name)?;
    let same = member.incarnation.to_string() == incarnation && member.state(now) != State::Gone;
    member.callers.filter(|_| same)
}

/// Passes a request on and hands back the answer as it comes; `None` if the router can't be reached.
pub(crate) async fn pass_on<P, E, C>(
    node: &Arc<Node<P, E, C>>,
    callers: SocketAddr,
    head: &Parts,
    body: &Bytes,
) -> Option<Response<Body>>
where
    P: Services,
    E: Engine,
    C: Clock,
{
    let mut request = Request::new(Body::from(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = head.headers.clone();
    strip(request.headers_mut());
    request
        .headers_mut()
        .insert(FORWARDED, HeaderValue::from_static("1"));
    let answer = node.engine.forward(callers, request).await.ok()?;
    Some(stream(answer))
}

/// Takes out the headers that belong to one connection.
pub(crate) fn strip(headers: &mut http::HeaderMap) {
    for name in [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// Hands an answer on as it comes; if it breaks off, so does the copy.
pub(crate) fn stream(answer: Response<Incoming>) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    strip(&mut head.headers);
    let (pipe, copy) = net::pipe();
    exec::spawn(async move {
        let mut chunks = http_body_util::BodyDataStream::new(body);
        loop {
            match futures::StreamExt::next(&mut chunks).await {
                Some(Ok(chunk)) => {
                    if !pipe.write(chunk).await {
                        return;
                    }
                }
                Some(Err(error)) => return pipe.abort(&error.to_string()).await,
                None => return,
            }
        }
    })
    .detach();
    Response::from_parts(head, copy)
}
