//! Calls of a host's operator interface.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::Method;
use notchwharf_clients::error::CallError;
use notchwharf_clients::http;
use notchwharf_clients::http::Client;
use notchwharf_config::error;
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(15);

/// Why a command was not carried out.
#[derive(Debug)]
pub(crate) enum Failed {
    /// A file cannot be read.
    File(std::io::Error),
    /// The bundle in a file is not valid.
    Bundle(error::Bundle),
    /// The host refused, with this error object.
    Refused(Value),
    /// The host could not be reached.
    Unreachable,
    /// The call was sent, and what came of it is not known.
    Unknown,
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(err) => err.fmt(f),
            Self::Bundle(err) => err.fmt(f),
            Self::Refused(body) => {
                let message = body.pointer("/error/message").and_then(Value::as_str);
                f.write_str(message.unwrap_or("refused without a reason"))
            }
            Self::Unreachable => f.write_str("no connection to the host; nothing was done"),
            Self::Unknown => f.write_str("the outcome is not known; look before trying again"),
        }
    }
}

/// Reads from a host.
pub(crate) async fn get(url: &str) -> Result<Value, Failed> {
    call(Method::GET, url, Bytes::new()).await
}

/// Changes something through a host.
pub(crate) async fn post(url: &str, body: &Value) -> Result<Value, Failed> {
    call(Method::POST, url, body.to_string().into()).await
}

async fn call(method: Method, url: &str, body: Bytes) -> Result<Value, Failed> {
    let req = http::request(method, url, body).map_err(|_| Failed::Unreachable)?;
    let resp = Client::new(TIMEOUT).send(req).await;
    let resp = resp.map_err(|report| match report.current_context() {
        CallError::NotSent => Failed::Unreachable,
        _ => Failed::Unknown,
    })?;
    let done = resp.status().is_success();
    let text = resp.into_body().collect().await;
    let text = text.map_err(|_| Failed::Unknown)?.to_bytes();
    let value: Value = serde_json::from_slice(&text).map_err(|_| Failed::Unknown)?;
    if done {
        return Ok(value);
    }
    if value.pointer("/error/outcome") == Some(&Value::from("unknown")) {
        return Err(Failed::Unknown);
    }
    Err(Failed::Refused(value))
}
