//! Requests that wait for a place at the upstreams of a service.

use event_listener::{Event, EventListener, IntoNotification};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Wakes requests that wait for a place, by service.
#[derive(Debug, Default)]
pub(crate) struct Places {
    freed: Mutex<HashMap<String, Arc<Event>>>,
}

impl Places {
    /// Waits for a place that is freed from now on.
    pub(crate) fn listen(&self, service: &str) -> EventListener {
        let mut freed = self.freed.lock().expect("no thread panics while it holds the events");
        freed.entry(service.to_owned()).or_default().listen()
    }

    /// Wakes one more of the requests that wait for a place at the service.
    pub(crate) fn free(&self, service: &str) {
        let freed =
            self.freed.lock().expect("no thread panics while it holds the events").get(service).cloned();
        if let Some(freed) = freed {
            // Without `additional`, a second place would wake nobody until the first request runs.
            freed.notify(1.additional());
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/places.rs"]
mod tests;
