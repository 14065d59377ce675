//! Model requests of callers: their parsing, and the body that is sent to the upstream.

use crate::refusal::Refusal;
use bundle::Bundle;
use http::StatusCode;
use hyper::body::Bytes;
use serde_json::{Map, Value, json};
use xxhash_rust::xxh3::xxh3_64;

/// The tokens added to the bound of a prompt for the template that an engine puts around it.
const TEMPLATE_TOKENS: u64 = 16;
/// The number of leading bytes of a prompt that form its prefix.
const PREFIX_BYTES: usize = 256;
/// The maximum number of answers to one request.
const MAX_ANSWERS: u64 = 16;

/// A request to a model.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    /// The name of the model.
    pub model: String,
    /// The body that is sent to the upstream.
    pub body: Bytes,
    /// Whether the caller asked for the usage in the stream.
    pub include_usage: bool,
    /// The maximum number of tokens that the request can consume.
    pub max_tokens: u64,
    /// The maximum number of tokens of the prompt.
    pub max_prompt_tokens: u64,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
}

impl ModelRequest {
    /// Parses and validates the body of a request.
    pub(crate) fn read(body: &[u8], bundle: &Bundle) -> Result<ModelRequest, Refusal> {
        let mut fields: Map<String, Value> = serde_json::from_slice(body).map_err(|error| {
            Refusal::bad_request("parse", "invalid_json", format!("the body is not a JSON object: {error}"))
        })?;
        let name = match fields.get("model") {
            Some(Value::String(name)) => name.clone(),
            _ => return Err(Refusal::bad_request("parse", "missing_model", "model must be a text")),
        };
        let model = bundle.models.get(&name).ok_or_else(|| {
            let message = format!("model {name} is not known; GET /v1/models lists the models");
            Refusal::not_run(StatusCode::NOT_FOUND, "model_not_found", "parse", message)
        })?;
        if !fields.contains_key("messages") && !fields.contains_key("prompt") {
            return Err(Refusal::bad_request("parse", "missing_prompt", "messages or prompt is missing"));
        }
        let max_output = number(&fields, "max_completion_tokens")?.or(number(&fields, "max_tokens")?);
        let max_output = max_output.unwrap_or(model.default_max_tokens);
        if max_output == 0 || max_output > model.context {
            let message = format!("max_tokens is {max_output}; allowed are 1 to {}", model.context);
            return Err(Refusal::bad_request("parse", "invalid_max_tokens", message));
        }
        let answers = number(&fields, "n")?.unwrap_or(1);
        if answers == 0 || answers > MAX_ANSWERS {
            let message = format!("n is {answers}; allowed are 1 to {MAX_ANSWERS}");
            return Err(Refusal::bad_request("parse", "invalid_n", message));
        }
        let stream = fields.get("stream").and_then(Value::as_bool).unwrap_or(false);
        let include_usage = fields
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            .and_then(Value::as_bool)
            .unwrap_or(false);

        let prefix = prefix_hash(&fields);
        fields.insert("max_tokens".to_owned(), json!(max_output));
        if stream {
            fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
        }
        // Each token stands for at least one byte of the body, so the body's length bounds the prompt's
        // tokens.
        let max_prompt_tokens = body.len() as u64 + TEMPLATE_TOKENS;
        Ok(ModelRequest {
            model: name,
            body: Bytes::from(Value::Object(fields).to_string()),
            include_usage,
            max_tokens: max_prompt_tokens + answers * max_output,
            max_prompt_tokens,
            prefix,
        })
    }
}

fn number(fields: &Map<String, Value>, key: &str) -> Result<Option<u64>, Refusal> {
    match fields.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value.as_u64().map(Some).ok_or_else(|| {
            Refusal::bad_request(
                "parse",
                "invalid_number",
                format!("{key} is {value}; it must be a whole number from 0"),
            )
        }),
    }
}

/// The hash of a prompt's leading bytes, by which routers and engines identify its prefix.
fn prefix_hash(fields: &Map<String, Value>) -> u64 {
    let mut text = String::new();
    if let Some(Value::Array(messages)) = fields.get("messages") {
        for message in messages {
            if let Some(content) = message.get("content").and_then(Value::as_str) {
                text.push_str(content);
            }
            if text.len() >= PREFIX_BYTES {
                break;
            }
        }
    }
    if let Some(prompt) = fields.get("prompt").and_then(Value::as_str) {
        text.push_str(prompt);
    }
    let bytes = text.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
