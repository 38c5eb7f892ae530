//! Adds a stand-in that runs as a separate process to the host list.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_clients::http;
use notchwharf_clients::http::Client;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Adds a host or target to the host list of a platform stand-in.
///
/// # Errors
///
/// Returns an error if the platform does not accept it.
pub async fn list(platform_url: &str, listed: &ListEntry) -> io::Result<()> {
    let text = serde_json::to_vec(listed).map_err(io::Error::other)?;
    let url = format!("{platform_url}/v1/hosts");
    let req = http::request(Method::PUT, &url, Bytes::from(text));
    let req = req.map_err(|report| io::Error::other(report.to_string()))?;
    let result = Client::new(TIMEOUT).fetch(req).await;
    result.map_err(|report| io::Error::other(report.to_string()))?;
    Ok(())
}
