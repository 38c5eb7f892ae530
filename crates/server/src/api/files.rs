//! Files: lots on their way in, results on their way out.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use multer::Multipart;
use notchwharf_config::bundle::Class;
use notchwharf_config::settings::ms;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::error::Ignored;
use notchwharf_ledger::job::Failure;
use notchwharf_ledger::job::File;
use notchwharf_ledger::job::Manifest;
use notchwharf_ledger::owner::Answer as ItemAnswer;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::record::ItemIndex;
use serde_json::Value;
use serde_json::json;
use sha2::Digest as _;
use sha2::Sha256;

use super::Answer;
use super::auth;
use super::auth::Caller;
use super::body;
use super::body::Response;
use super::error::Problem;
use super::lot::Lot;
use super::lot::Stored;
use crate::context::Context;
use crate::context::unix_ms;
use crate::keyed::hex;
use crate::ledger;

const PURPOSE: &str = "batch";
const PURPOSE_BYTES_MAX: usize = 64;
const OUTPUT: &str = "output-";
const ERRORS: &str = "errors-";
const PAGE_ITEMS: u32 = 1_000;

/// Returns the name of the file that holds a job's results.
pub(crate) fn output_id(job: &str) -> String {
    format!("{OUTPUT}{job}")
}

/// Returns the name of the file that holds a job's failures.
pub(crate) fn errors_id(job: &str) -> String {
    format!("{ERRORS}{job}")
}

/// Returns what a ledger's refusal means to a caller.
pub(crate) fn refused(refused: CommandError, what: &'static str) -> Problem {
    match refused {
        CommandError::NotOwner { .. } => Problem::NoOwner,
        CommandError::LogDown => Problem::LogDown,
        CommandError::Unknown => Problem::OutcomeUnknown,
        CommandError::Invalid(Ignored::Unknown) => Problem::NotFound(what),
        CommandError::Invalid(_) => Problem::KeyReused,
    }
}

/// Takes a lot in.
pub(crate) async fn upload(ctx: &Arc<Context>, req: Request<Incoming>) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    caller.check_class(Class::Batch)?;
    let _in_flight = ctx.in_flight.enter();
    let boundary = req.headers().get(CONTENT_TYPE);
    let boundary = boundary.and_then(|v| v.to_str().ok());
    let boundary = boundary.and_then(|v| multer::parse_boundary(v).ok());
    let boundary = boundary.ok_or(Problem::Invalid {
        param: "content-type",
        why: "must be multipart/form-data",
    })?;
    let mut form = Multipart::new(data(ctx, req), boundary);
    let mut purpose = None;
    let mut stored = None;
    while let Some(mut field) = form.next_field().await.map_err(cut)? {
        match field.name() {
            Some("purpose") => {
                let text = field.text().await.map_err(cut)?;
                purpose = Some(text).filter(|t| t.len() <= PURPOSE_BYTES_MAX);
            }
            Some("file") => {
                let name = field.file_name().unwrap_or("lot.jsonl").to_owned();
                let mut lot = Lot::new(ctx, &caller);
                while let Some(bytes) = field.chunk().await.map_err(cut)? {
                    lot.push(&bytes).await?;
                }
                stored = Some((name, lot.finish().await?));
            }
            _ => {}
        }
    }
    if purpose.as_deref() != Some(PURPOSE) {
        return Err(Problem::Invalid {
            param: "purpose",
            why: "must be `batch`",
        });
    }
    let (name, stored) = stored.ok_or(Problem::Invalid {
        param: "file",
        why: "is missing",
    })?;
    let file = keep(ctx, &caller, name, stored).await?;
    Ok(body::json(StatusCode::OK, &file_json(&file)))
}

fn data(
    ctx: &Context,
    req: Request<Incoming>,
) -> impl futures_util::Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let silence = ms(ctx.settings.limits.body_timeout_ms);
    stream::unfold(req.into_body(), move |mut incoming| async move {
        match body::next(&mut incoming, silence).await {
            Ok(Some(bytes)) => Some((Ok(bytes), incoming)),
            Ok(None) => None,
            Err(Problem::SlowSender) => Some((Err(io::ErrorKind::TimedOut.into()), incoming)),
            Err(_) => Some((Err(io::ErrorKind::UnexpectedEof.into()), incoming)),
        }
    })
}

fn cut(err: multer::Error) -> Problem {
    if let multer::Error::StreamReadFailed(err) = err
        && let Some(err) = err.downcast_ref::<io::Error>()
        && err.kind() == io::ErrorKind::TimedOut
    {
        return Problem::SlowSender;
    }
    Problem::CutSender
}

/// Records a lot; from here on it is accepted.
async fn keep(
    ctx: &Arc<Context>,
    caller: &Caller,
    name: String,
    stored: Stored,
) -> Result<File, Problem> {
    let tenant = caller.tenant.name.clone();
    // The same content from the same tenant is the same lot, so that a resent
    // upload is found again.
    let digest = Sha256::digest(format!("{tenant}\u{0}{}", stored.digest).as_bytes());
    let file = File {
        id: format!("file-{}", &hex(&digest)[..24]),
        tenant,
        name,
        len_bytes: stored.len_bytes,
        created_unix_ms: unix_ms(),
        manifest: stored.manifest,
    };
    let shard = ledger::shard_of(ctx, &file.id);
    match ledger::ask(ctx, shard, Command::PutFile(file)).await {
        Ok(Reply::File(file)) => Ok(file),
        Ok(_) => Err(Problem::OutcomeUnknown),
        Err(err) => Err(refused(err, "file")),
    }
}

/// Returns an accepted lot.
pub(crate) async fn find(ctx: &Arc<Context>, tenant: &str, id: &str) -> Result<File, Problem> {
    let get = Command::GetFile {
        file: id.to_owned(),
        tenant: tenant.to_owned(),
    };
    match ledger::ask(ctx, ledger::shard_of(ctx, id), get).await {
        Ok(Reply::File(file)) => Ok(file),
        Ok(_) => Err(Problem::NotFound("file")),
        Err(err) => Err(refused(err, "file")),
    }
}

fn file_json(file: &File) -> Value {
    json!({
        "id": file.id,
        "object": "file",
        "bytes": file.len_bytes,
        "created_at": file.created_unix_ms / 1_000,
        "filename": file.name,
        "purpose": PURPOSE,
        "status": "processed",
    })
}

/// Answers what is known of a file.
pub(crate) async fn get(ctx: &Arc<Context>, req: &Request<Incoming>, id: &str) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    if id.starts_with(OUTPUT) || id.starts_with(ERRORS) {
        let about = json!({"id": id, "object": "file", "purpose": "batch_output",
            "bytes": null, "created_at": 0, "filename": format!("{id}.jsonl"),
            "status": "processed"});
        return Ok(body::json(StatusCode::OK, &about));
    }
    let file = find(ctx, &caller.tenant.name, id).await?;
    Ok(body::json(StatusCode::OK, &file_json(&file)))
}

/// Answers the content of a file.
pub(crate) async fn content(ctx: &Arc<Context>, req: &Request<Incoming>, id: &str) -> Answer {
    let caller = auth::caller(ctx, req.headers())?;
    let tenant = caller.tenant.name;
    if let Some(job) = id.strip_prefix(OUTPUT) {
        return results(ctx, tenant, job, true).await;
    }
    if let Some(job) = id.strip_prefix(ERRORS) {
        return results(ctx, tenant, job, false).await;
    }
    let file = find(ctx, &tenant, id).await?;
    Ok(lot_content(ctx, file.manifest))
}

fn lot_content(ctx: &Arc<Context>, manifest: Manifest) -> Response {
    let ctx = Arc::clone(ctx);
    let chunks = stream::iter(manifest.chunks);
    let frames = futures_util::StreamExt::then(chunks, move |chunk| {
        let ctx = Arc::clone(&ctx);
        async move {
            let blob = ctx.blobs.read(chunk.blob).await;
            // The length of the answer is not told beforehand, so a cut
            // connection is how a missing part shows.
            let blob = blob.map_err(io::Error::other)?;
            Ok(Frame::data(lines(blob.parts.iter())))
        }
    });
    jsonl(StreamBody::new(frames).boxed_unsync())
}

/// Answers the results or failures of a job, a page at a time.
async fn results(ctx: &Arc<Context>, tenant: String, job: &str, done: bool) -> Answer {
    let pager = Pager {
        ctx: Arc::clone(ctx),
        tenant,
        job: job.to_owned(),
        done,
    };
    // The first page is read before the status is told.
    let (first, next) = pager.page(0).await?;
    let state = (pager, Some(first), next);
    let frames = stream::unfold(state, |(pager, first, next)| async move {
        if let Some(first) = first {
            return Some((Ok(Frame::data(first)), (pager, None, next)));
        }
        match pager.page(next?).await {
            Ok((bytes, next)) => Some((Ok(Frame::data(bytes)), (pager, None, next))),
            Err(_) => {
                let cut = Err(io::ErrorKind::ConnectionAborted.into());
                Some((cut, (pager, None, None)))
            }
        }
    });
    Ok(jsonl(StreamBody::new(frames).boxed_unsync()))
}

struct Pager {
    ctx: Arc<Context>,
    tenant: String,
    job: String,
    done: bool,
}

impl Pager {
    async fn page(&self, from: ItemIndex) -> Result<(Bytes, Option<ItemIndex>), Problem> {
        let ask = Command::Answers {
            job: self.job.clone(),
            tenant: self.tenant.clone(),
            from,
            max: PAGE_ITEMS,
        };
        let shard = ledger::shard_of(&self.ctx, &self.job);
        let reply = ledger::ask(&self.ctx, shard, ask).await;
        let (answers, next) = match reply {
            Ok(Reply::Answers { answers, next }) => (answers, next),
            Ok(_) => return Err(Problem::NotFound("job")),
            Err(err) => return Err(refused(err, "file")),
        };
        let mut parts = Vec::new();
        for answer in answers {
            if answer.outcome.is_ok() == self.done {
                parts.push(self.line(answer).await?);
            }
        }
        Ok((lines(parts.iter()), next))
    }

    async fn line(&self, answer: ItemAnswer) -> Result<Vec<u8>, Problem> {
        let read = |place| async move {
            let part = self.ctx.blobs.read_part(place).await;
            part.map_err(|_| Problem::LogDown)
        };
        let failure = match answer.outcome {
            Ok(place) => return read(place).await,
            Err(failure) => failure,
        };
        let payload = read(answer.payload).await?;
        let payload: Value = serde_json::from_slice(&payload).unwrap_or_default();
        let line = json!({
            "id": format!("{}-{}", self.job, answer.item),
            "custom_id": payload.get("custom_id"),
            "response": null,
            "error": failure_json(&failure),
        });
        serde_json::to_vec(&line).map_err(|_| Problem::LogDown)
    }
}

fn failure_json(failure: &Failure) -> Value {
    match failure {
        Failure::Rejected { status } => json!({
            "code": "rejected_by_target",
            "message": format!("The target refused the item with status {status}."),
        }),
        Failure::AttemptsExhausted { attempts } => json!({
            "code": "attempts_exhausted",
            "message": format!("Targets failed under the item {attempts} times."),
        }),
    }
}

fn lines<'a>(parts: impl Iterator<Item = &'a Vec<u8>>) -> Bytes {
    let mut out = Vec::new();
    for part in parts {
        out.extend_from_slice(part);
        out.push(b'\n');
    }
    out.into()
}

fn jsonl(body: body::Body) -> Response {
    let mut resp = Response::new(body);
    let kind = hyper::header::HeaderValue::from_static("application/jsonl");
    resp.headers_mut().insert(CONTENT_TYPE, kind);
    resp
}
