//! An HTTP client whose errors state whether the request was sent.
//!
//! ```no_run
//! # async fn example() -> Result<(), error_stack::Report<notchwharf_clients::error::CallError>> {
//! use std::time::Duration;
//! use notchwharf_clients::http::Client;
//!
//! let client = Client::new(Duration::from_secs(2));
//! let hosts: Vec<String> = client.get_json("http://127.0.0.1:7700/v1/names").await?;
//! # Ok(()) }
//! ```

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use notchwharf_answers::Reader;
use notchwharf_answers::accept;
use notchwharf_answers::error;
use notchwharf_answers::read_whole;
use notchwharf_intake::Intake;
use notchwharf_intake::Room;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CallError;
use crate::whole::Connections;

/// The timeout of a connection attempt.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which an idle connection is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the read buffer of a connection. A longer head is invalid.
pub(crate) const BUFFER_BYTES: usize = 64 << 10;
const JSON_CONTENT_TYPE: &str = "application/json";

/// Maximum size of a response in bytes.
const RESPONSE_BYTES_MAX: usize = 64 << 20;

/// The result of a call.
pub type CallResult<T> = Result<T, Report<CallError>>;

/// A pooled HTTP client.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    /// For calls whose responses are read as a whole.
    connections: Arc<Connections>,
    timeout: Duration,
}

/// Reads a complete body whose end is proved. The caller limits the time.
///
/// # Errors
///
/// Returns [`CallError::TooLong`] if the body is longer than a response may be,
/// [`CallError::Lost`] if the connection fails, and [`CallError::Invalid`] if nothing marks the end
/// of the body.
pub async fn read_body(resp: Response<Incoming>) -> CallResult<Bytes> {
    let body = read_whole(resp, RESPONSE_BYTES_MAX).await;
    body.map_err(read_error)
}

fn read_error(err: error::Read) -> Report<CallError> {
    let context = match err {
        error::Read::TooLong => CallError::TooLong,
        error::Read::Broken => CallError::Lost,
        error::Read::Head(_) | error::Read::NotMarked => CallError::Invalid,
    };
    Report::new(err).change_context(context)
}

impl Client {
    /// Returns a client that limits each call to `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self::build(timeout, usize::MAX)
    }

    /// Returns a client that opens a connection for each call.
    ///
    /// The server may close a pooled connection just as a request is sent, in which case it
    /// is unknown whether the request was processed. Calls that must not be repeated are
    /// therefore sent on new connections.
    pub fn unpooled(timeout: Duration) -> Self {
        Self::build(timeout, 0)
    }

    fn build(timeout: Duration, idle_connections_max: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle_connections_max)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .http1_max_buf_size(BUFFER_BYTES)
            .build(connector);
        Self {
            inner,
            connections: Arc::new(Connections::new(idle_connections_max)),
            timeout,
        }
    }

    /// Sends a request and returns the response as soon as its head has been received.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid head is received; only [`CallError::NotSent`] means that the
    /// request had no effect.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> CallResult<Response<Incoming>> {
        let result = tokio::time::timeout(self.timeout, self.inner.request(req)).await;
        match result {
            Err(_) => Err(Report::new(CallError::TimedOut)),
            Ok(Ok(mut resp)) => match accept(&mut resp) {
                Ok(_) => Ok(resp),
                Err(err) => Err(Report::new(err).change_context(CallError::Invalid)),
            },
            Ok(Err(err)) if err.is_connect() => Err(Report::new(CallError::NotSent)),
            Ok(Err(_)) => Err(Report::new(CallError::Lost)),
        }
    }

    /// Sends a request and reads the whole response, whose body is followed by nothing, within a budget: so
    /// many copies of the body are reserved, as long as the returned room is kept. The caller limits the
    /// time in which the body arrives.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::send`] and [`read_body`], and [`CallError::TooLong`] if the budget
    /// has no room.
    pub async fn call_within(
        &self,
        req: Request<Full<Bytes>>,
        intake: &Intake,
        copies: u64,
    ) -> CallResult<(Response<Bytes>, Room)> {
        let begun = tokio::time::timeout(self.timeout, self.connections.begin(req)).await;
        let begun = begun.map_err(|_| Report::new(CallError::TimedOut))?;
        let (mut resp, exchange) = begun?;
        let accepted = accept(&mut resp);
        accepted.map_err(|err| Report::new(err).change_context(CallError::Invalid))?;
        let (head, body) = resp.into_parts();
        let resp = Response::from_parts(head.clone(), body);
        let mut room = Room::default();
        let mut reader = Reader::new(resp, RESPONSE_BYTES_MAX).map_err(read_error)?;
        while let Some(part) = reader.receive().await.map_err(read_error)? {
            let grown = room.grow(intake, copies, reader.len() + part.len()).await;
            grown.map_err(|err| Report::new(err).change_context(CallError::TooLong))?;
            reader.keep(&part);
        }
        exchange.end().await?;
        Ok((Response::from_parts(head, reader.into_bytes()), room))
    }

    /// Sends a request and returns the complete body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the status is not a success.
    pub async fn fetch(&self, req: Request<Full<Bytes>>) -> CallResult<Bytes> {
        let call = async {
            let resp = self.send(req).await?;
            let status = resp.status();
            let body = read_body(resp).await?;
            if status.is_success() {
                return Ok(body);
            }
            let text = String::from_utf8_lossy(&body).into_owned();
            Err(Report::new(CallError::Status(status.as_u16())).attach(text))
        };
        tokio::time::timeout(self.timeout, call)
            .await
            .unwrap_or_else(|_| Err(Report::new(CallError::TimedOut)))
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the status is not a success.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> CallResult<T> {
        let req = request(Method::GET, url, Bytes::new())?;
        parse(&self.fetch(req).await?)
    }

    /// Sends a POST request with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the status is not a success.
    pub async fn post_json<B: Serialize, T: DeserializeOwned>(
        &self,
        url: &str,
        body: &B,
    ) -> CallResult<T> {
        let body = serde_json::to_vec(body).map_err(|_| Report::new(CallError::NotSent))?;
        let mut req = request(Method::POST, url, body.into())?;
        let content_type = hyper::header::HeaderValue::from_static(JSON_CONTENT_TYPE);
        req.headers_mut().insert(CONTENT_TYPE, content_type);
        parse(&self.fetch(req).await?)
    }

    /// Sends a POST request with a binary body and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the status is not a success.
    pub async fn post_bytes<T: DeserializeOwned>(&self, url: &str, body: Bytes) -> CallResult<T> {
        let req = request(Method::POST, url, body)?;
        parse(&self.fetch(req).await?)
    }
}

/// Returns a request without headers.
///
/// # Errors
///
/// Returns [`CallError::NotSent`] if the URL is malformed.
pub fn request(method: Method, url: &str, body: Bytes) -> CallResult<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(url)
        .body(Full::new(body))
        .map_err(|_| Report::new(CallError::NotSent).attach(url.to_owned()))
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> CallResult<T> {
    serde_json::from_slice(body)
        .map_err(|err| Report::new(CallError::Malformed).attach(err.to_string()))
}
