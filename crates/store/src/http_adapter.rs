//! A client of the platform's services over HTTP.

use crate::{Error, Fault, ObjectStore, Row, Table, Tx, TxOutcome, Vm, VmList};
use http::{Method, Request, Response};
use net::{Body, Client};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The platform's services over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Http {
    /// Creates a client of the platform at `address`. The answer to a call must begin within `timeout`, and
    /// may not pause for longer.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Http {
        Http { client, address, timeout }
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Response<hyper::body::Bytes>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Body::from(body))
            .map_err(|error| self.error(step, Fault::NotApplied, error.to_string()))?;
        let answer =
            self.client.exchange(step, request, MAX_ANSWER_BYTES, self.timeout).await.map_err(|error| {
                let fault = match error.fault {
                    net::Fault::Unsent => Fault::NotApplied,
                    net::Fault::Unknown => Fault::Unknown,
                };
                self.error(step, fault, error.reason)
            })?;
        match answer.status().as_u16() {
            200 | 404 => Ok(answer),
            // The platform returns these statuses before it changes anything. A 503 may come from a component
            // in front of it, so the outcome is unknown.
            status @ (400 | 429) => {
                Err(self.error(step, Fault::NotApplied, format!("refused with status {status}")))
            }
            status => Err(self.error(step, Fault::Unknown, format!("status {status}"))),
        }
    }

    async fn json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body)
            .map_err(|error| self.error(step, Fault::NotApplied, error.to_string()))?;
        let answer = self.call(step, method, path, body).await?;
        serde_json::from_slice(answer.body())
            .map_err(|error| self.error(step, Fault::Unknown, error.to_string()))
    }

    fn error(&self, step: &'static str, fault: Fault, reason: String) -> Error {
        Error { step, peer: self.address.to_string(), fault, reason }
    }
}

impl Table for Http {
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, Error> {
        self.json("read", Method::POST, "/table/read", &keys).await
    }

    async fn scan(&self, prefix: &str) -> Result<BTreeMap<String, Row>, Error> {
        self.json("scan", Method::POST, "/table/scan", &prefix).await
    }

    async fn commit(&self, tx: &Tx) -> Result<TxOutcome, Error> {
        self.json("commit", Method::POST, "/table/commit", tx).await
    }
}

impl ObjectStore for Http {
    async fn store(&self, key: &str, bytes: Vec<u8>) -> Result<(), Error> {
        self.call("store", Method::PUT, &format!("/object/{key}"), bytes).await.map(drop)
    }

    async fn load(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let answer = self.call("load", Method::GET, &format!("/object/{key}"), vec![]).await?;
        Ok((answer.status() == 200).then(|| answer.into_body().to_vec()))
    }
}

impl VmList for Http {
    async fn list(&self) -> Result<Vec<Vm>, Error> {
        self.json("list", Method::GET, "/vms", &()).await
    }
}
