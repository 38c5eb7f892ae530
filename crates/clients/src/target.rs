//! Calls to model engines: chat completions, cancellations, status requests and orders.

use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use sse_stream::SseStream;

use crate::error::CallError;
use crate::http;
use crate::http::CallResult;
use crate::http::Client;

/// The header that carries the request id to a target.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header in which a target reports the number of streams in progress.
pub const RUNNING_HEADER: &str = "x-running";
/// The header in which a target reports the number of queued requests.
pub const WAITING_HEADER: &str = "x-waiting";
/// Maximum size of a streamed response in bytes: an event without an end is buffered.
const STREAM_BYTES_MAX: usize = 64 << 20;
/// The data of the event that ends a complete stream.
pub const END_MARKER: &str = "[DONE]";

/// A version of a model, with its adapter if it has one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub model: String,
    /// The adapter applied to the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version of the model with its adapter.
    pub version: String,
}

impl ModelVersion {
    /// Returns the text by which a target identifies the model version in its responses.
    pub fn fingerprint(&self) -> String {
        let adapter = self.adapter.as_deref().unwrap_or("-");
        format!("{}/{adapter}/{}", self.model, self.version)
    }
}

/// The state reported by a target, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The target's incarnation.
    pub incarnation: u64,
    /// Whether the target is shutting down.
    pub leaving: bool,
    /// The classes of work that the target serves.
    pub role: Role,
    /// The model versions that are loaded and can be served.
    pub holds: Vec<ModelVersion>,
    /// The model versions that are being loaded.
    pub loading: Vec<ModelVersion>,
    /// The number of streams in progress.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
}

/// The classes of work that a target serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Online and batch work.
    #[default]
    Any,
    /// Online work only.
    Online,
    /// Batch work only.
    Batch,
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token: the epoch of the lease on the target.
    pub fence: u64,
    /// The action to perform.
    pub action: Action,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a model version.
    Load(ModelVersion),
    /// Unload a model version.
    Unload(ModelVersion),
    /// Serve only these classes of work.
    SetRole(Role),
}

/// The response to an order or a cancellation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}

/// A chunk of a streamed response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request id.
    pub id: String,
    /// The number of tokens of the response before this chunk.
    pub offset_tokens: u32,
    /// The number of tokens in this chunk.
    pub tokens: u32,
    /// The model version that generated the chunk; see [`ModelVersion::fingerprint`].
    pub system_fingerprint: String,
    /// The choices; there is exactly one.
    pub choices: Vec<Choice>,
    /// The token counts of the response, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The single choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The index of the choice, always 0.
    pub index: u32,
    /// The text added by the chunk.
    pub delta: Delta,
    /// The reason why the response ends, in the last chunk.
    pub finish_reason: Option<String>,
}

/// The content added by a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: String,
}

/// The token counts of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The number of generated tokens.
    pub completion_tokens: u32,
    /// The sum of both.
    pub total_tokens: u32,
}

/// The partial response from which a target resumes, added to the caller's request body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The number of tokens received so far.
    pub tokens: u32,
    /// The text of these tokens.
    pub text: String,
}

/// An event of a response stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A chunk of the response.
    Chunk(Box<Chunk>),
    /// The end of the stream: the response is complete.
    End,
}

/// A client of targets.
#[derive(Clone, Debug)]
pub struct TargetClient {
    client: Client,
    stream_client: Client,
}

/// A response that is being streamed by a target.
pub struct Stream {
    inner: SseStream<UnsyncBoxBody<Bytes, std::io::Error>>,
    load: Option<Load>,
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stream").finish_non_exhaustive()
    }
}

/// The load that a target reports in the headers of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The number of streams in progress.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
}

impl TargetClient {
    /// Returns a client that limits each unary call to `timeout`, and the time to the head of
    /// a streamed response to `head_timeout`.
    pub fn new(timeout: Duration, head_timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            stream_client: Client::new(head_timeout),
        }
    }

    /// Starts or resumes a chat completion.
    ///
    /// # Errors
    ///
    /// Returns an error if no stream starts.
    pub async fn chat(&self, url: &str, request_id: &str, body: Bytes) -> CallResult<Stream> {
        let url = format!("{url}/v1/chat/completions");
        let mut req = http::request(Method::POST, &url, body)?;
        let id = HeaderValue::from_str(request_id).map_err(|_| Report::new(CallError::NotSent))?;
        let headers = req.headers_mut();
        headers.insert(REQUEST_ID_HEADER, id);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let resp = self.stream_client.send(req).await?;
        let status = resp.status();
        if !status.is_success() {
            return Err(Report::new(CallError::Status(status.as_u16())));
        }
        let load = Load::from_headers(resp.headers());
        let body = Limited::new(resp.into_body(), STREAM_BYTES_MAX);
        let body = body.map_err(std::io::Error::other).boxed_unsync();
        let inner = SseStream::new(body);
        Ok(Stream { inner, load })
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the target does not confirm; it may have cancelled the request
    /// nevertheless.
    pub async fn cancel(&self, url: &str, request_id: &str) -> CallResult<Ack> {
        let url = format!("{url}/v1/requests/{request_id}/cancel");
        self.client.post_json(&url, &Ack {}).await
    }

    /// Reads the state of a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be read.
    pub async fn status(&self, url: &str) -> CallResult<Status> {
        self.client.get_json(&format!("{url}/v1/status")).await
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the target does not confirm; status 409 means that the fencing
    /// token is stale.
    pub async fn order(&self, url: &str, order: &Order) -> CallResult<Ack> {
        let url = format!("{url}/v1/orders");
        self.client.post_json(&url, order).await
    }
}

impl Load {
    fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let parse = |name| headers.get(name)?.to_str().ok()?.parse().ok();
        Some(Self {
            running: parse(RUNNING_HEADER)?,
            waiting: parse(WAITING_HEADER)?,
        })
    }
}

impl Stream {
    /// Returns the load reported in the headers of the response.
    pub fn load(&self) -> Option<Load> {
        self.load
    }

    /// Returns the next event, or `None` if the stream ends without [`END_MARKER`].
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if the connection fails and [`CallError::Malformed`] if an
    /// event does not have the expected format.
    pub async fn next(&mut self) -> CallResult<Option<Event>> {
        loop {
            let Some(event) = self.inner.next().await else {
                return Ok(None);
            };
            let event = event.map_err(|_| Report::new(CallError::Lost))?;
            let Some(data) = event.data else {
                continue;
            };
            if data == END_MARKER {
                return Ok(Some(Event::End));
            }
            let chunk = serde_json::from_str(&data);
            let chunk = chunk.map_err(|_| Report::new(CallError::Malformed))?;
            return Ok(Some(Event::Chunk(Box::new(chunk))));
        }
    }
}
