//! The body of a target's response, forwarded to the caller as it arrives. A resumable stream
//! that is interrupted continues at another target within the same body.
//!
//! An end that neither a length nor chunks mark proves nothing: a target that has crashed or stopped
//! ends its connection as well. Such a stream continues at another target, which may have nothing to
//! add. If its end is not marked either, or no other target may run it, the end is forwarded as one
//! that nothing marks. If the start of the response has promised a mark, it breaks off instead.
//! Treating all of these ends as interruptions was rejected, as targets may send whole
//! responses that way.

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
use notchwharf_intake::Room;
use notchwharf_origins::Origin;

use super::ForwardedResponse;
use super::dispatch::AllowedVersions;
use super::dispatch::Dispatch;
use super::dispatch::StartedResponse;
use crate::error::Failure;
use crate::error::STOPPED;
use crate::origins;
use crate::origins::RunningStream;
use crate::ports::Body;
use crate::sse::EventEnd;
use crate::sse::Events;
use crate::sse::is_next;
use crate::sync::lock;
use crate::time::ms;

/// Why a response cannot be used whose events stopped coming.
const SILENT: &str = "silent";

/// Copies of an event that exist at a time: while its buffer grows.
const EVENT_COPIES: u64 = 2;
/// Reason of a response for which this host has no room.
const NO_ROOM: &str = "no room for the event";

/// A response whose body is being forwarded.
pub(super) struct ResponseBody {
    dispatch: Dispatch,
    /// The start of the response for the caller: that of the first target whose response is
    /// forwarded.
    head: Head,
    /// The response being read; none once its end was reached.
    response: Option<StartedResponse>,
    is_stream: bool,
    /// The event parser, if the stream may be resumed at another target.
    events: Option<Events>,
    last_event: Option<u64>,
    /// Whether another target's response ended after the last event, and nothing marked that end.
    is_end_reported: bool,
    /// Whether an event was received that isn't the successor of the last one.
    is_out_of_order: bool,
    /// Whether the forwarded bytes end between events; an empty body counts as complete.
    event_end: EventEnd,
    first_event: Option<Bytes>,
    /// Whether an event was received.
    has_begun: bool,
    /// Since when the next event is awaited from the target.
    waiting_since: Option<Instant>,
    /// Room for an event that has begun.
    room: Room,
    /// Bytes received from all targets.
    bytes_read: u64,
    /// Keeps the stream's origin available to starting hosts.
    running_stream: Option<RunningStream>,
    is_done: bool,
}

/// The start of a response for the caller.
#[derive(Default)]
struct Head {
    status: StatusCode,
    headers: HeaderMap,
    is_end_marked: bool,
}

/// Why reading a body stopped before its end.
enum Interruption {
    /// The connection was lost.
    ConnectionLost(&'static str),
    /// The connection was closed where the response may end.
    EndNotMarked,
    /// The target stalled or sent an event out of order.
    Unusable(&'static str),
    /// This host has no room for an event that has begun.
    NoRoom,
    /// The request's deadline has passed.
    TimedOut,
}

impl ResponseBody {
    pub(super) fn new(dispatch: Dispatch, mut response: StartedResponse) -> Self {
        let route = &dispatch.route;
        let is_stream = route.kind == Kind::Stream && response.reply.status.is_success();
        let is_resumable = is_stream && route.resumable;
        Self {
            head: take_head(&mut response),
            is_stream,
            events: is_resumable.then(Events::default),
            dispatch,
            response: Some(response),
            last_event: None,
            is_end_reported: false,
            is_out_of_order: false,
            event_end: EventEnd::default(),
            first_event: None,
            has_begun: false,
            waiting_since: None,
            room: Room::default(),
            bytes_read: 0,
            running_stream: None,
            is_done: false,
        }
    }

    /// Returns the response. A resumable stream is returned only once its first event has
    /// arrived: until then the caller has received no headers, and another target's may be used.
    pub(super) async fn start(mut self) -> Result<ForwardedResponse, Failure> {
        if self.events.is_some() {
            let ctx = Arc::clone(&self.dispatch.ctx);
            let first = tokio::select! {
                biased;
                first = self.next() => first,
                () = ctx.drain.answers_end() => {
                    let failure = Failure::Unknown { reason: STOPPED };
                    self.dispatch.trace.fail(&failure);
                    return Err(failure);
                }
            };
            match first {
                Some(Ok(bytes)) => self.first_event = Some(bytes),
                Some(Err(_)) => return Err(self.dispatch.trace.failure()),
                None => {}
            }
        }
        let Head {
            status,
            mut headers,
            is_end_marked,
        } = std::mem::take(&mut self.head);
        self.head.is_end_marked = is_end_marked;
        if self.events.is_some() {
            // The rest may come from another target.
            headers.remove(CONTENT_LENGTH);
        }
        self.dispatch.trace.record_status(status);
        Ok(ForwardedResponse {
            status,
            headers,
            is_end_marked,
            body: self.into_body(),
        })
    }

    /// Converts this to a body that yields the remaining bytes.
    fn into_body(self) -> Body {
        let frames = stream::unfold(self, |mut body| async move {
            let next = match body.first_event.take() {
                Some(bytes) => Ok(bytes),
                None => body.next().await?,
            };
            Some((next.map(Frame::data), body))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next bytes for the caller; none at the end of the body.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            if self.is_done {
                return None;
            }
            let interruption = match self.read().await {
                Ok(Some(bytes)) if bytes.is_empty() => continue,
                Ok(Some(bytes)) => {
                    // The server stops polling a body of known length at its end.
                    if self.is_at_end() {
                        self.finish();
                    }
                    return Some(Ok(bytes));
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(interruption) => interruption,
            };
            let is_maybe_whole = matches!(interruption, Interruption::EndNotMarked);
            if let Err(failure) = self.resume(interruption).await {
                if is_maybe_whole && !self.head.is_end_marked {
                    self.finish();
                    return None;
                }
                self.is_done = true;
                self.response = None;
                self.dispatch.trace.fail(&failure);
                return Some(Err(io::Error::other(failure)));
            }
        }
    }

    /// Reads from the target; returns empty bytes while an event is incomplete.
    async fn read(&mut self) -> Result<Option<Bytes>, Interruption> {
        if std::mem::take(&mut self.is_out_of_order) {
            // The events before it have been forwarded.
            return Err(Interruption::Unusable("event out of order"));
        }
        let Some(response) = &mut self.response else {
            return Ok(None);
        };
        let deadline = self.dispatch.deadline;
        let settings = &self.dispatch.ctx.settings.online;
        let stall_timeout = ms(settings.stall_ms);
        let bytes_max = settings.answer_bytes_max;
        let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
        let read_deadline = match self.events {
            Some(_) => deadline.min(waiting_since + stall_timeout),
            None => deadline,
        };
        let frame =
            tokio::time::timeout_at(read_deadline.into(), response.reply.body.frame()).await;
        let Ok(frame) = frame else {
            if Instant::now() >= deadline {
                return Err(Interruption::TimedOut);
            }
            return Err(Interruption::Unusable(SILENT));
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Err(Interruption::ConnectionLost("broke off")),
            None => return self.check_end(),
        };
        // Trailers are not forwarded.
        let Ok(bytes) = frame.into_data() else {
            return Ok(Some(Bytes::new()));
        };
        response.has_begun |= !bytes.is_empty();
        self.bytes_read += bytes.len() as u64;
        if self.bytes_read > bytes_max {
            return Err(Interruption::Unusable("answer too long"));
        }
        if self.dispatch.trace.first_event().is_none() && !bytes.is_empty() {
            let took = response.sent_at.elapsed();
            self.dispatch.trace.record_first_event(took);
            lock(&self.dispatch.ctx.balancer).record_success(response.running.target(), Some(took));
        }
        let Some(events) = &mut self.events else {
            let pushed = self.event_end.push(&bytes);
            if self.is_stream && pushed.is_err() {
                return Err(Interruption::Unusable("event too long"));
            }
            return Ok(Some(bytes));
        };
        events.push(&bytes);
        let mut complete = BytesMut::new();
        for event in events.by_ref() {
            self.waiting_since = None;
            if !is_next(self.last_event, event.id) {
                self.is_out_of_order = true;
                break;
            }
            self.last_event = event.id;
            self.is_end_reported = false;
            complete.extend_from_slice(&event.raw);
        }
        if complete.is_empty() && events.check_partial().is_err() {
            return Err(Interruption::Unusable("event too long"));
        }
        if events.is_empty() {
            self.room.clear();
        }
        let intake = &self.dispatch.ctx.callers.intake;
        let grown = self.room.grow(intake, EVENT_COPIES, events.len());
        // Events that are complete are forwarded; what follows them is a part of one frame.
        if grown.await.is_err() && complete.is_empty() {
            return Err(Interruption::NoRoom);
        }
        if self.last_event.is_some() && !std::mem::replace(&mut self.has_begun, true) {
            self.begin_stream();
        }
        Ok(Some(complete.freeze()))
    }

    /// Fixes the version of a new stream, whose first event is about to be forwarded, and records
    /// the stream's origin.
    fn begin_stream(&mut self) {
        let dispatch = &mut self.dispatch;
        if dispatch.allowed_versions == AllowedVersions::Any {
            let response = self.response.as_ref();
            let version = response.and_then(|r| dispatch.confirmed_version(r));
            dispatch.allowed_versions = match version {
                Some(version) => AllowedVersions::Only(version),
                None => AllowedVersions::Unknown,
            };
        }
        if let (Some(stream), AllowedVersions::Only(version)) =
            (dispatch.stream, &dispatch.allowed_versions)
        {
            let origin = Origin {
                service: dispatch.service.clone(),
                version: version.clone(),
            };
            let ctx = &dispatch.ctx;
            let recorded = origins::record(ctx, stream, &origin, dispatch.caller_deadline);
            self.running_stream = Some(recorded);
        }
    }

    /// Returns whether the body is known to be complete.
    fn is_at_end(&self) -> bool {
        let response = self.response.as_ref();
        let is_end = response.is_some_and(|response| response.reply.body.is_end_stream());
        is_end && !self.is_out_of_order && self.check_end().is_ok()
    }

    /// Returns an error if the body ended inside an event, or may have been cut off.
    fn check_end(&self) -> Result<Option<Bytes>, Interruption> {
        let is_complete = match &self.events {
            Some(events) => events.is_empty(),
            None => !self.is_stream || self.event_end.is_between_events(),
        };
        if !is_complete {
            return Err(Interruption::ConnectionLost("ended in an event"));
        }
        let unmarked = self.response.as_ref().filter(|r| !r.reply.is_end_marked);
        let Some(response) = unmarked.filter(|r| r.reply.status.is_success()) else {
            return Ok(None);
        };
        if !response.has_begun && !self.is_end_reported {
            return Err(Interruption::ConnectionLost("ended before it began"));
        }
        let is_last_run = self.dispatch.runs + 1 >= self.dispatch.route.attempts_max;
        let may_go_on = self.events.is_some() && !is_last_run && !self.is_end_reported;
        match may_go_on || self.head.is_end_marked {
            true => Err(Interruption::EndNotMarked),
            false => Ok(None),
        }
    }

    /// Records that the response is complete.
    fn finish(&mut self) {
        self.is_done = true;
        if let Some(response) = self.response.take() {
            let status = response.reply.status;
            if status.is_success() {
                self.dispatch.record_success(&response);
            }
            let mut balancer = lock(&self.dispatch.ctx.balancer);
            if status.is_server_error() {
                balancer.record_request_failure(response.running.target(), Instant::now());
            } else {
                balancer.record_success(response.running.target(), None);
                balancer.record_duration(&self.dispatch.service, response.sent_at.elapsed());
            }
        }
        lock(&self.dispatch.ctx.budget).deposit();
        self.dispatch.trace.complete();
    }

    /// Checks whether the target ended while its answer did not go on.
    fn check_replaced(&mut self) {
        let Some(response) = &self.response else {
            return;
        };
        let target = response.running.target().clone();
        let run_time = response.headers_at.elapsed();
        let (addr, sent_at) = (response.addr, Some(response.sent_at));
        self.dispatch
            .check_replaced(&target, addr, run_time, sent_at);
    }

    /// Resumes the stream at another target if it is resumable.
    async fn resume(&mut self, interruption: Interruption) -> Result<(), Failure> {
        let is_maybe_whole = matches!(interruption, Interruption::EndNotMarked);
        let (reason, may_have_crashed) = match interruption {
            Interruption::TimedOut => {
                self.check_replaced();
                return Err(Failure::TimedOut);
            }
            Interruption::ConnectionLost(reason) => (reason, true),
            Interruption::EndNotMarked => ("end not marked", false),
            Interruption::Unusable(reason) => (reason, false),
            Interruption::NoRoom => (NO_ROOM, false),
        };
        let Some(response) = self.response.take() else {
            return Err(Failure::Unknown { reason });
        };
        if is_maybe_whole {
            self.is_end_reported = true;
            self.dispatch.record_success(&response);
        }
        let target = response.running.target().clone();
        let StartedResponse {
            reply,
            running,
            addr,
            sent_at,
            headers_at,
            run_guard,
            ..
        } = response;
        // The target stops as soon as its connection is closed.
        drop((reply, running));
        let fingerprint = self.dispatch.fingerprint();
        self.dispatch
            .trace
            .log_broken_stream(&target, reason, self.last_event, fingerprint);
        if !is_maybe_whole && reason != NO_ROOM {
            lock(&self.dispatch.ctx.balancer).record_connection_failure(&target, Instant::now());
        }
        if may_have_crashed {
            let run_time = headers_at.elapsed();
            self.dispatch
                .check_crash(&target, addr, run_time, Some(sent_at))
                .await;
        } else if reason == SILENT {
            let run_time = headers_at.elapsed();
            self.dispatch.check_silent(&target, addr, run_time, sent_at);
        }
        // The next run of a suspected request starts once the outcome of this one is known.
        drop(run_guard);
        self.dispatch.runs += 1;
        self.dispatch.tried.push(target);
        let Some(events) = &mut self.events else {
            return Err(Failure::Unknown { reason });
        };
        events.clear();
        self.room.clear();
        if self.dispatch.runs >= self.dispatch.route.attempts_max {
            return Err(Failure::Unknown { reason });
        }
        let mut next = self.dispatch.send(self.last_event).await?;
        if !next.reply.status.is_success() {
            return Err(Failure::Unknown {
                reason: "not resumed",
            });
        }
        let head = take_head(&mut next);
        if self.last_event.is_none() {
            // Nothing was forwarded yet.
            self.head = head;
        }
        self.response = Some(next);
        self.waiting_since = None;
        Ok(())
    }
}

/// Takes the start out of a response.
fn take_head(response: &mut StartedResponse) -> Head {
    Head {
        status: response.reply.status,
        headers: std::mem::take(&mut response.reply.headers),
        is_end_marked: response.reply.is_end_marked,
    }
}
