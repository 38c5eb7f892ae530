//! The body of an answer, passed on as it comes.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use notchwharf_config::routes::Kind;

use super::Answer;
use super::sending::Begun;
use super::sending::Sending;
use crate::error::Failure;
use crate::ports::Body;
use crate::quarantine;
use crate::sse::Events;
use crate::sse::is_next;
use crate::sync::lock;
use crate::time::ms;

/// The bytes with which an event ends, as targets send them.
const EVENT_END: [u8; 2] = *b"\n\n";

/// An answer that has begun.
pub(super) struct Flow {
    sending: Sending,
    /// The status and headers for the caller: those of the first target whose
    /// answer is passed on.
    head: (StatusCode, HeaderMap),
    /// Nothing once the answer is at its end.
    begun: Option<Begun>,
    is_stream: bool,
    /// Whole events, where the stream may go on elsewhere.
    events: Option<Events>,
    last_event: Option<u64>,
    /// Whether an event came that does not follow the last one.
    is_out_of_order: bool,
    /// The last two bytes that were passed on; nothing passed on ends an event.
    last_bytes: [u8; 2],
    first: Option<Bytes>,
    is_done: bool,
}

/// Why a body went no further.
enum Stop {
    /// The connection broke in the midst of it.
    BrokeOff(&'static str),
    /// The target fell silent or sent something else.
    Broken(&'static str),
    /// The time of the request is over.
    TimedOut,
}

impl Flow {
    pub(super) fn new(sending: Sending, mut begun: Begun) -> Self {
        let route = &sending.route;
        let is_stream = route.kind == Kind::Stream && begun.reply.status.is_success();
        let is_spliced = is_stream && route.resumable;
        Self {
            head: take_head(&mut begun),
            is_stream,
            events: is_spliced.then(Events::default),
            sending,
            begun: Some(begun),
            last_event: None,
            is_out_of_order: false,
            last_bytes: EVENT_END,
            first: None,
            is_done: false,
        }
    }

    /// Returns the answer. One that may go on elsewhere is returned with its
    /// first event only, for until then nothing of it is known to the caller.
    pub(super) async fn start(mut self) -> Result<Answer, Failure> {
        if self.events.is_some() {
            match self.next().await {
                Some(Ok(bytes)) => self.first = Some(bytes),
                Some(Err(_)) => return Err(self.sending.trace.failure()),
                None => {}
            }
        }
        let (status, mut headers) = std::mem::take(&mut self.head);
        if self.events.is_some() {
            // What follows may come from another target.
            headers.remove(CONTENT_LENGTH);
        }
        self.sending.trace.begun(status);
        Ok(Answer {
            status,
            headers,
            body: self.into_body(),
        })
    }

    fn into_body(self) -> Body {
        let frames = stream::unfold(self, |mut flow| async move {
            let next = match flow.first.take() {
                Some(bytes) => Ok(bytes),
                None => flow.next().await?,
            };
            Some((next.map(Frame::data), flow))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next bytes for the caller; nothing at the answer's end.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            if self.is_done {
                return None;
            }
            let stop = match self.read().await {
                Ok(Some(bytes)) if bytes.is_empty() => continue,
                Ok(Some(bytes)) => {
                    // Whoever reads a body of known length stops at its end.
                    if self.is_over() {
                        self.end();
                    }
                    return Some(Ok(bytes));
                }
                Ok(None) => {
                    self.end();
                    return None;
                }
                Err(stop) => stop,
            };
            if let Err(failure) = self.go_on(stop).await {
                self.is_done = true;
                self.begun = None;
                self.sending.trace.failed(&failure);
                return Some(Err(io::Error::other(failure)));
            }
        }
    }

    /// Reads from the target; returns no bytes while an event is not whole.
    async fn read(&mut self) -> Result<Option<Bytes>, Stop> {
        if std::mem::take(&mut self.is_out_of_order) {
            // What came before it has been passed on.
            return Err(Stop::Broken("event out of order"));
        }
        let Some(begun) = &mut self.begun else {
            return Ok(None);
        };
        let until = self.sending.deadline;
        let stall = ms(self.sending.ctx.settings.online.stall_ms);
        let wait = match self.events {
            Some(_) => until.min(Instant::now() + stall),
            None => until,
        };
        let frame = tokio::time::timeout_at(wait.into(), begun.reply.body.frame()).await;
        let Ok(frame) = frame else {
            if Instant::now() >= until {
                return Err(Stop::TimedOut);
            }
            return Err(Stop::Broken("silent"));
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Err(Stop::BrokeOff("broke off")),
            None => return self.ended(),
        };
        // Trailers are nothing that callers are promised.
        let Ok(bytes) = frame.into_data() else {
            return Ok(Some(Bytes::new()));
        };
        if self.sending.trace.first_event().is_none() && !bytes.is_empty() {
            let took = begun.sent.elapsed();
            self.sending.trace.note_first_event(took);
            lock(&self.sending.ctx.balancer).record_success(begun.running.target(), Some(took));
        }
        let Some(events) = &mut self.events else {
            self.note_end(&bytes);
            return Ok(Some(bytes));
        };
        events.push(&bytes);
        let mut whole = BytesMut::new();
        for event in events {
            if !is_next(self.last_event, event.id) {
                self.is_out_of_order = true;
                break;
            }
            self.last_event = event.id;
            whole.extend_from_slice(&event.raw);
        }
        Ok(Some(whole.freeze()))
    }

    /// Returns whether the whole body is known to be here.
    fn is_over(&self) -> bool {
        let begun = self.begun.as_ref();
        let is_end = begun.is_some_and(|b| b.reply.body.is_end_stream());
        is_end && !self.is_out_of_order && self.ended().is_ok()
    }

    /// Notes how the bytes that are passed on end.
    fn note_end(&mut self, bytes: &[u8]) {
        let newest = bytes.len().saturating_sub(EVENT_END.len());
        for byte in &bytes[newest..] {
            self.last_bytes = [self.last_bytes[1], *byte];
        }
    }

    fn ended(&self) -> Result<Option<Bytes>, Stop> {
        let is_whole = match &self.events {
            Some(events) => events.is_empty(),
            None => !self.is_stream || self.last_bytes == EVENT_END,
        };
        if !is_whole {
            return Err(Stop::BrokeOff("ended in an event"));
        }
        Ok(None)
    }

    fn end(&mut self) {
        self.is_done = true;
        if let Some(begun) = self.begun.take() {
            let status = begun.reply.status;
            if status.is_success() {
                let ctx = Arc::clone(&self.sending.ctx);
                quarantine::record_success(&ctx, || self.sending.fingerprint());
            }
            let mut places = lock(&self.sending.ctx.balancer);
            if status.is_server_error() {
                places.record_request_failure(begun.running.target(), Instant::now());
            } else {
                places.record_success(begun.running.target(), None);
                places.record_duration(&self.sending.service, begun.sent.elapsed());
            }
        }
        lock(&self.sending.ctx.budget).deposit();
        self.sending.trace.whole();
    }

    /// Takes the stream to another target, if it may go on there.
    async fn go_on(&mut self, stop: Stop) -> Result<(), Failure> {
        let (reason, may_have_crashed) = match stop {
            Stop::TimedOut => return Err(Failure::TimedOut),
            Stop::BrokeOff(reason) => (reason, true),
            Stop::Broken(reason) => (reason, false),
        };
        let Some(begun) = self.begun.take() else {
            return Err(Failure::Unknown { reason });
        };
        let target = begun.running.target().clone();
        let Begun {
            reply,
            running,
            addr,
            sent,
            begun,
            trial,
        } = begun;
        // The target stops as soon as its connection is closed.
        drop((reply, running));
        let fingerprint = self.sending.fingerprint();
        self.sending
            .trace
            .broke_off(&target, reason, self.last_event, fingerprint);
        lock(&self.sending.ctx.balancer).record_connection_failure(&target, Instant::now());
        if may_have_crashed {
            let ran = begun.elapsed();
            self.sending.broke_off(&target, addr, ran, Some(sent)).await;
        }
        // The next run of a suspect begins when it is known how this one ended.
        drop(trial);
        self.sending.runs += 1;
        self.sending.tried.push(target);
        let Some(events) = &mut self.events else {
            return Err(Failure::Unknown { reason });
        };
        events.clear();
        if self.sending.runs >= self.sending.route.attempts_max {
            return Err(Failure::Unknown { reason });
        }
        let mut next = self.sending.send(self.last_event).await?;
        if !next.reply.status.is_success() {
            return Err(Failure::Unknown {
                reason: "not resumed",
            });
        }
        let head = take_head(&mut next);
        if self.last_event.is_none() {
            // Nothing was passed on yet.
            self.head = head;
        }
        self.begun = Some(next);
        Ok(())
    }
}

/// Takes the head out of an answer.
fn take_head(begun: &mut Begun) -> (StatusCode, HeaderMap) {
    let headers = std::mem::take(&mut begun.reply.headers);
    (begun.reply.status, headers)
}
