//! The messages of reservations between gateways.

use crate::budget_state::DenialReason;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Asks an owner to reserve tokens.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ReserveRequest {
    /// The process of the asking gateway, and the number of the reservation there.
    pub holder: String,
    pub number: u64,
    pub team: String,
    /// The team's prepaid total, as known to the asking gateway.
    pub level_version: u64,
    pub level_tokens: u64,
    pub tokens: u64,
    /// How long the owner may wait for tokens.
    pub patience_ms: u64,
    /// The longest duration of the request.
    pub lasts_ms: u64,
}

/// Announces that a gateway which stops no longer reserves tokens of a team, and that the receiver is the next one to
/// be asked. Earlier builds don't know it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct HandOver {
    /// The name of the sender.
    pub from: String,
    pub team: String,
    /// The team's prepaid total, as known to the sender.
    pub level_version: u64,
    pub level_tokens: u64,
    /// The number of gateways that own the budget.
    pub owners: u64,
    /// What the requests whose tokens the sender reserved used.
    pub tokens_per_s: f64,
    /// How long the sender waits for the answer.
    pub patience_ms: u64,
}

/// What follows a [`ReserveRequest`]; earlier builds neither send nor read it.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RequestSuffix {
    /// The rate of the team's requests at the asking gateway.
    pub requests_per_s: f64,
    /// The priority of the request among those of its team, 0 being the most urgent.
    pub priority: u32,
}

/// The owner's response to a [`ReserveRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum ReserveResponse {
    Held,
    Denied {
        denied: DenialReason,
        ready_ms: u64,
        detail: String,
    },
    /// The gateway is stopping, or does not know the team.
    Unfit,
}

/// Tells the owner what a request used.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct UsageReport {
    pub holder: String,
    pub number: u64,
    pub request: String,
    pub tokens: u64,
}

/// A message of another gateway.
pub(crate) trait Decode: Sized {
    fn decode(bytes: &[u8]) -> Result<Self, bincode::Error>;
}

impl Decode for () {
    fn decode(bytes: &[u8]) -> Result<Self, bincode::Error> {
        bincode::deserialize(bytes)
    }
}

impl Decode for bool {
    fn decode(bytes: &[u8]) -> Result<Self, bincode::Error> {
        bincode::deserialize(bytes)
    }
}

/// A message followed by a value that earlier builds neither send nor read; they ignore bytes behind a
/// message. Without it, the value is the default.
pub(crate) struct WithSuffix<T, V>(pub T, pub V);

impl<T: DeserializeOwned, V: Default + DeserializeOwned> Decode for WithSuffix<T, V> {
    fn decode(bytes: &[u8]) -> Result<Self, bincode::Error> {
        // Both from the slice: from a reader, bincode allocates the length that a message claims.
        match bincode::deserialize(bytes) {
            Ok((message, suffix)) => Ok(WithSuffix(message, suffix)),
            Err(_) => Ok(WithSuffix(bincode::deserialize(bytes)?, V::default())),
        }
    }
}
