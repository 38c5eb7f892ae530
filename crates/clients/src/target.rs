//! Calls to model engines: streams, cancels, reports and orders.

use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use futures_util::StreamExt as _;
use hyper::HeaderMap;
use hyper::Method;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use sse_stream::SseStream;

use crate::error::CallError;
use crate::http;
use crate::http::CallResult;
use crate::http::Client;

/// The header that carries our request id to a target.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header in which a target tells the streams that it runs.
pub const RUNNING_HEADER: &str = "x-running";
/// The header in which a target tells the requests that it has queued.
pub const WAITING_HEADER: &str = "x-waiting";
/// The end mark of a stream.
pub const END_MARKER: &str = "[DONE]";

/// What a target holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The model.
    pub model: String,
    /// The adapter on top of it, where there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version of both together.
    pub version: String,
}

impl ModelVersion {
    /// Returns the text by which a target marks its answers.
    pub fn fingerprint(&self) -> String {
        let adapter = self.adapter.as_deref().unwrap_or("-");
        format!("{}/{adapter}/{}", self.model, self.version)
    }
}

/// What a target reports of itself, with a lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The target's incarnation.
    pub incarnation: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The classes it serves.
    pub role: Role,
    /// What it holds and can serve.
    pub holds: Vec<ModelVersion>,
    /// What it is loading.
    pub loading: Vec<ModelVersion>,
    /// Streams that it runs.
    pub running: u32,
    /// Requests that it has queued.
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
    /// The fencing number: the epoch of the lease on the target.
    pub fence: u64,
    /// What to do.
    pub action: Action,
}

/// What an order says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a model with adapter and version.
    Load(ModelVersion),
    /// Drop one.
    Unload(ModelVersion),
    /// Serve these classes from now on.
    SetRole(Role),
}

/// The answer to an order or a cancel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}

/// A piece of a streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Our request id.
    pub id: String,
    /// The number of tokens of this answer before this piece.
    pub offset_tokens: u32,
    /// The number of tokens in this piece.
    pub tokens: u32,
    /// What answered: see [`ModelVersion::fingerprint`].
    pub system_fingerprint: String,
    /// The choices, of which there is one.
    pub choices: Vec<Choice>,
    /// What the answer cost, in the last piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The one choice of a piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Its number, zero.
    pub index: u32,
    /// What it adds.
    pub delta: Delta,
    /// Why the answer ends here, in the last piece.
    pub finish_reason: Option<String>,
}

/// What a piece adds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: String,
}

/// What an answer cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens read.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
}

/// What is added to a caller's body on its way to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Tokens of the answer that are here already.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// An event of a target's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A piece of the answer.
    Chunk(Box<Chunk>),
    /// The end mark: the answer is whole.
    End,
}

/// A client of targets.
#[derive(Clone, Debug)]
pub struct TargetClient {
    client: Client,
    head: Client,
}

/// A target's answer as it comes.
pub struct Stream {
    inner: SseStream<Incoming>,
    load: Option<Load>,
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stream").finish_non_exhaustive()
    }
}

/// The load that a target tells with the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Streams that it runs.
    pub running: u32,
    /// Requests that it has queued.
    pub waiting: u32,
}

impl TargetClient {
    /// Returns a client whose small calls take at most `timeout` and whose
    /// streams begin within `head_timeout`.
    pub fn new(timeout: Duration, head_timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            head: Client::new(head_timeout),
        }
    }

    /// Starts or resumes a chat completion.
    ///
    /// # Errors
    ///
    /// Returns why no stream began; a status comes with the answer's body.
    pub async fn chat(&self, url: &str, request_id: &str, body: Bytes) -> CallResult<Stream> {
        let url = format!("{url}/v1/chat/completions");
        let mut req = http::request(Method::POST, &url, body)?;
        let id = HeaderValue::from_str(request_id).map_err(|_| Report::new(CallError::NotSent))?;
        let headers = req.headers_mut();
        headers.insert(REQUEST_ID_HEADER, id);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let resp = self.head.send(req).await?;
        let status = resp.status();
        if !status.is_success() {
            return Err(Report::new(CallError::Status(status.as_u16())));
        }
        let load = Load::from_headers(resp.headers());
        let inner = SseStream::new(resp.into_body());
        Ok(Stream { inner, load })
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Returns why the target did not confirm; it may have cancelled.
    pub async fn cancel(&self, url: &str, request_id: &str) -> CallResult<Ack> {
        let url = format!("{url}/v1/requests/{request_id}/cancel");
        self.client.post_json(&url, &Ack {}).await
    }

    /// Reads what a target reports.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read.
    pub async fn status(&self, url: &str) -> CallResult<Status> {
        self.client.get_json(&format!("{url}/v1/status")).await
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Returns why the target did not confirm; 409 means an old fencing number.
    pub async fn order(&self, url: &str, order: &Order) -> CallResult<Ack> {
        let url = format!("{url}/v1/orders");
        self.client.post_json(&url, order).await
    }
}

impl Load {
    fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let number = |name| headers.get(name)?.to_str().ok()?.parse().ok();
        Some(Self {
            running: number(RUNNING_HEADER)?,
            waiting: number(WAITING_HEADER)?,
        })
    }
}

impl Stream {
    /// Returns the load that the target told with the answer's head.
    pub fn load(&self) -> Option<Load> {
        self.load
    }

    /// Returns the next event, or nothing if the stream ends without its mark.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if the connection is cut and [`CallError::Malformed`]
    /// if an event is not of the expected form.
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
