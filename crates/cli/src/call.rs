//! Calls to the operator interface of a host.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use notchwharf_clients::error::CallError;
use notchwharf_clients::http;
use notchwharf_clients::http::Client;
use notchwharf_clients::http::read_body;
use notchwharf_config::error;
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(15);

/// An error of a command.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// A file cannot be read.
    File(std::io::Error),
    /// The bundle in a file is not valid.
    Bundle(error::Bundle),
    /// The host refused the request with this error object.
    Refused(Value),
    /// The request could not be sent.
    Unreachable,
    /// The request was sent, but its outcome is unknown.
    OutcomeUnknown,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(err) => err.fmt(f),
            Self::Bundle(err) => err.fmt(f),
            Self::Refused(body) => {
                let message = body.pointer("/error/message").and_then(Value::as_str);
                f.write_str(message.unwrap_or("the host refused the request without a reason"))
            }
            Self::Unreachable => f.write_str("could not connect to the host; nothing was changed"),
            Self::OutcomeUnknown => {
                f.write_str("the outcome is unknown; check the state before retrying")
            }
        }
    }
}

/// Sends a GET request to a host.
pub(crate) async fn get(url: &str) -> Result<Value, CommandError> {
    send(Method::GET, url, Bytes::new()).await
}

/// Sends a POST request to a host.
pub(crate) async fn post(url: &str, body: &Value) -> Result<Value, CommandError> {
    send(Method::POST, url, body.to_string().into()).await
}

async fn send(method: Method, url: &str, body: Bytes) -> Result<Value, CommandError> {
    let req = http::request(method, url, body).map_err(|_| CommandError::Unreachable)?;
    let resp = Client::new(TIMEOUT).send(req).await;
    let resp = resp.map_err(|report| match report.current_context() {
        CallError::NotSent => CommandError::Unreachable,
        _ => CommandError::OutcomeUnknown,
    })?;
    let is_success = resp.status().is_success();
    let body = tokio::time::timeout(TIMEOUT, read_body(resp)).await;
    let body = body.map_err(|_| CommandError::OutcomeUnknown)?;
    let body = body.map_err(|_| CommandError::OutcomeUnknown)?;
    let value: Value = serde_json::from_slice(&body).map_err(|_| CommandError::OutcomeUnknown)?;
    if is_success {
        return Ok(value);
    }
    if value.pointer("/error/outcome") == Some(&Value::from("unknown")) {
        return Err(CommandError::OutcomeUnknown);
    }
    Err(CommandError::Refused(value))
}
