//! Upload of input files and download of results.

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
use notchwharf_clients::error::ReadError;
use notchwharf_config::bundle::Class;
use notchwharf_config::settings::ms;
use notchwharf_intake::Connection;
use notchwharf_intake::Reservation;
use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::error::Ignored;
use notchwharf_ledger::job::Failure;
use notchwharf_ledger::job::File;
use notchwharf_ledger::owner::Answer as ItemResult;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::record::ItemIndex;
use serde_json::Value;
use serde_json::json;
use sha2::Digest as _;
use sha2::Sha256;

use super::HandlerResult;
use super::auth;
use super::auth::Caller;
use super::body;
use super::body::Response;
use super::error::ApiError;
use super::form;
use super::form::Ahead;
use super::input_file;
use super::input_file::InputFileWriter;
use super::input_file::StoredFile;
use crate::context::Context;
use crate::context::unix_ms;
use crate::keyed::hex;
use crate::ledger;

const PURPOSE: &str = "batch";
const PURPOSE_BYTES_MAX: usize = 64;
const OUTPUT_PREFIX: &str = "output-";
const ERRORS_PREFIX: &str = "errors-";
const PAGE_ITEMS: u32 = 1_000;
/// Bytes of an upload besides its lines: what is read ahead, and lines in three copies while they are
/// written.
const UPLOAD_BYTES: u64 = (2 * form::AHEAD_BYTES_MAX + 3 * input_file::BLOB_BYTES_MAX) as u64;

/// Copies of a blob that exist while it is read: the log's answer, which is a third longer, as received, in
/// one piece and parsed; the record, its parts and the response.
const BLOB_COPIES: u64 = 7;
/// Bytes at which a page of results ends.
const PAGE_BYTES: usize = 1 << 20;

/// Returns the ID of the file with a job's results.
pub(crate) fn output_id(job: &str) -> String {
    format!("{OUTPUT_PREFIX}{job}")
}

/// Returns the ID of the file with a job's failed items.
pub(crate) fn errors_id(job: &str) -> String {
    format!("{ERRORS_PREFIX}{job}")
}

/// Converts an error of the ledger into an error for the caller.
pub(crate) fn ledger_error(err: CommandError, what: &'static str) -> ApiError {
    match err {
        CommandError::NotOwner { .. } => ApiError::NoOwner,
        CommandError::LogDown => ApiError::LogUnavailable,
        CommandError::Unknown => ApiError::OutcomeUnknown,
        CommandError::Invalid(Ignored::Unknown) => ApiError::NotFound(what),
        CommandError::Invalid(_) => ApiError::IdempotencyKeyReused,
    }
}

/// Handles the upload of an input file.
pub(crate) async fn upload(ctx: &Arc<Context>, req: Request<Incoming>) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    caller.check_class(Class::Batch)?;
    let _in_flight = ctx.in_flight.enter();
    let boundary = req.headers().get(CONTENT_TYPE);
    let boundary = boundary.and_then(|v| v.to_str().ok());
    let boundary = boundary.and_then(|v| multer::parse_boundary(v).ok());
    let boundary = boundary.ok_or(ApiError::InvalidValue {
        param: "content-type",
        reason: "must be multipart/form-data",
    })?;
    let connection = body::connection(req.extensions())?;
    let _reserved = body::reserve(&connection, UPLOAD_BYTES).await?;
    let ahead = Ahead::default();
    let idle_timeout = ms(ctx.settings.limits.body_timeout_ms);
    let form = form::read(
        connection.clone(),
        req.into_body(),
        idle_timeout,
        ahead.clone(),
    );
    let mut form = Multipart::new(form, boundary);
    let mut purpose = None;
    let mut stored = None;
    while let Some(mut field) = form.next_field().await.map_err(upload_error)? {
        match field.name() {
            Some("purpose") => {
                let mut text = Vec::new();
                while let Some(bytes) = field.chunk().await.map_err(upload_error)? {
                    ahead.record_returned();
                    let room = (PURPOSE_BYTES_MAX + 1).saturating_sub(text.len());
                    text.extend_from_slice(&bytes[..room.min(bytes.len())]);
                }
                let text = String::from_utf8(text).ok();
                purpose = text.filter(|t| t.len() <= PURPOSE_BYTES_MAX);
            }
            Some("file") => {
                let name = field.file_name().unwrap_or("lot.jsonl").to_owned();
                let mut writer = InputFileWriter::new(ctx, &caller, &connection);
                while let Some(bytes) = field.chunk().await.map_err(upload_error)? {
                    ahead.record_returned();
                    writer.push(&bytes).await?;
                }
                stored = Some((name, writer.finish().await?));
            }
            _ => {
                while field.chunk().await.map_err(upload_error)?.is_some() {
                    ahead.record_returned();
                }
            }
        }
    }
    if purpose.as_deref() != Some(PURPOSE) {
        return Err(ApiError::InvalidValue {
            param: "purpose",
            reason: "must be `batch`",
        });
    }
    let (name, stored) = stored.ok_or(ApiError::InvalidValue {
        param: "file",
        reason: "is missing",
    })?;
    let file = record_file(ctx, &caller, name, stored).await?;
    Ok(body::json(StatusCode::OK, &file_json(&file)))
}

fn upload_error(err: multer::Error) -> ApiError {
    let multer::Error::StreamReadFailed(err) = err else {
        return ApiError::IncompleteBody;
    };
    match err.downcast_ref::<io::Error>().map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut) => ApiError::BodyTimeout,
        Some(io::ErrorKind::FileTooLarge) => ApiError::TooLarge {
            max: form::AHEAD_BYTES_MAX as u64,
        },
        _ => ApiError::IncompleteBody,
    }
}

/// Records an input file, which makes it accepted.
async fn record_file(
    ctx: &Arc<Context>,
    caller: &Caller,
    name: String,
    stored: StoredFile,
) -> Result<File, ApiError> {
    let tenant = caller.tenant.name.clone();
    // The same content from the same tenant gets the same ID, so that a repeated upload
    // is recognized.
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
    match ledger::execute(ctx, shard, Command::PutFile(file)).await {
        Ok(Reply::File(file)) => Ok(file),
        Ok(_) => Err(ApiError::OutcomeUnknown),
        Err(err) => Err(ledger_error(err, "file")),
    }
}

/// Returns an accepted input file.
pub(crate) async fn find(ctx: &Arc<Context>, tenant: &str, id: &str) -> Result<File, ApiError> {
    let get = Command::GetFile {
        file: id.to_owned(),
        tenant: tenant.to_owned(),
    };
    match ledger::execute(ctx, ledger::shard_of(ctx, id), get).await {
        Ok(Reply::File(file)) => Ok(file),
        Ok(_) => Err(ApiError::NotFound("file")),
        Err(err) => Err(ledger_error(err, "file")),
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

/// Returns the metadata of a file.
pub(crate) async fn get(ctx: &Arc<Context>, req: &Request<Incoming>, id: &str) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    if id.starts_with(OUTPUT_PREFIX) || id.starts_with(ERRORS_PREFIX) {
        let description = json!({"id": id, "object": "file", "purpose": "batch_output",
            "bytes": null, "created_at": 0, "filename": format!("{id}.jsonl"),
            "status": "processed"});
        return Ok(body::json(StatusCode::OK, &description));
    }
    let file = find(ctx, &caller.tenant.name, id).await?;
    Ok(body::json(StatusCode::OK, &file_json(&file)))
}

/// Returns the content of a file.
pub(crate) async fn content(
    ctx: &Arc<Context>,
    req: &Request<Incoming>,
    id: &str,
) -> HandlerResult {
    let caller = auth::authenticate(ctx, req.headers())?;
    let connection = body::connection(req.extensions())?;
    let tenant = caller.tenant.name;
    if let Some(job) = id.strip_prefix(OUTPUT_PREFIX) {
        return job_results(ctx, connection, tenant, job, true).await;
    }
    if let Some(job) = id.strip_prefix(ERRORS_PREFIX) {
        return job_results(ctx, connection, tenant, job, false).await;
    }
    let file = find(ctx, &tenant, id).await?;
    Ok(input_file_content(ctx, connection, file))
}

fn input_file_content(ctx: &Arc<Context>, connection: Connection, file: File) -> Response {
    let ctx = Arc::clone(ctx);
    // A blob ends with the line that makes it large enough.
    let blob_bytes_max = input_file::BLOB_BYTES_MAX as u64 + ctx.settings.limits.body_bytes_max;
    let bytes = BLOB_COPIES * file.len_bytes.min(blob_bytes_max);
    let chunks = stream::iter(file.manifest.chunks);
    let frames = futures_util::StreamExt::then(chunks, move |chunk| {
        let (ctx, connection) = (Arc::clone(&ctx), connection.clone());
        async move {
            let timeout = ms(ctx.settings.limits.body_timeout_ms);
            let reserved = connection.reserve_within(timeout, bytes).await;
            let reserved = reserved.map_err(io::Error::other)?;
            let blobs = ctx.blobs.clone();
            let read = move || async move {
                let blob = blobs.read(chunk.blob).await?;
                Ok::<_, ReadError>(lines(blob.parts.iter()))
            };
            let lines = ctx.file_reader.run(read).await?;
            // The response has no length, so a missing part is indicated by an aborted
            // connection.
            Ok(Frame::data(reserved.keep(lines.map_err(io::Error::other)?)))
        }
    });
    jsonl(StreamBody::new(frames).boxed_unsync())
}

/// Returns the results or failed items of a job, reading a page at a time.
async fn job_results(
    ctx: &Arc<Context>,
    connection: Connection,
    tenant: String,
    job: &str,
    is_output: bool,
) -> HandlerResult {
    let pager = Pager {
        ctx: Arc::clone(ctx),
        connection,
        tenant,
        job: job.to_owned(),
        is_output,
    };
    // The first page is read before the status is sent.
    let (first, next) = pager.page(0).await?;
    let state = (pager, Some(first), next);
    let frames = stream::unfold(state, |(pager, first, next)| async move {
        if let Some(first) = first {
            return Some((Ok(Frame::data(first)), (pager, None, next)));
        }
        match pager.page(next?).await {
            Ok((bytes, next)) => Some((Ok(Frame::data(bytes)), (pager, None, next))),
            Err(_) => {
                let aborted = Err(io::ErrorKind::ConnectionAborted.into());
                Some((aborted, (pager, None, None)))
            }
        }
    });
    Ok(jsonl(StreamBody::new(frames).boxed_unsync()))
}

struct Pager {
    ctx: Arc<Context>,
    connection: Connection,
    tenant: String,
    job: String,
    is_output: bool,
}

impl Pager {
    async fn page(&self, from: ItemIndex) -> Result<(Bytes, Option<ItemIndex>), ApiError> {
        let command = Command::Answers {
            job: self.job.clone(),
            tenant: self.tenant.clone(),
            from,
            max: PAGE_ITEMS,
        };
        let shard = ledger::shard_of(&self.ctx, &self.job);
        let reply = ledger::execute(&self.ctx, shard, command).await;
        let (results, next) = match reply {
            Ok(Reply::Answers { answers, next }) => (answers, next),
            Ok(_) => return Err(ApiError::NotFound("job")),
            Err(err) => return Err(ledger_error(err, "file")),
        };
        // The lines, and the page that they are copied to.
        let mut reserved = self.reserve(2 * PAGE_BYTES as u64).await?;
        let mut parts = Vec::new();
        let mut bytes = 0;
        for result in results {
            if result.outcome.is_ok() != self.is_output {
                continue;
            }
            if bytes >= PAGE_BYTES {
                return Ok((reserved.keep(lines(parts.iter())), Some(result.item)));
            }
            let part = self.line(result).await?;
            bytes += part.len() + 1;
            if bytes > PAGE_BYTES {
                // The last line may be long.
                reserved.merge(self.reserve(2 * (bytes - PAGE_BYTES) as u64).await?);
            }
            parts.push(part);
        }
        Ok((reserved.keep(lines(parts.iter())), next))
    }

    async fn reserve(&self, bytes: u64) -> Result<Reservation, ApiError> {
        let timeout = ms(self.ctx.settings.limits.body_timeout_ms);
        let reserved = self.connection.reserve_within(timeout, bytes).await;
        reserved.map_err(body::shortage_error)
    }

    async fn line(&self, result: ItemResult) -> Result<Vec<u8>, ApiError> {
        let read = |location| async move {
            let blobs = self.ctx.blobs.clone();
            let read = move || async move { blobs.read_part(location).await };
            let part = self.ctx.file_reader.run(read).await;
            let part = part.map_err(|_| ApiError::LogUnavailable)?;
            part.map_err(|_| ApiError::LogUnavailable)
        };
        let failure = match result.outcome {
            Ok(location) => return read(location).await,
            Err(failure) => failure,
        };
        let payload = read(result.payload).await?;
        let payload: Value = serde_json::from_slice(&payload).unwrap_or_default();
        let line = json!({
            "id": format!("{}-{}", self.job, result.item),
            "custom_id": payload.get("custom_id"),
            "response": null,
            "error": failure_json(&failure),
        });
        serde_json::to_vec(&line).map_err(|_| ApiError::LogUnavailable)
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

fn lines<'a>(parts: impl Iterator<Item = &'a Vec<u8>> + Clone) -> Bytes {
    // A buffer that grows would have twice the room that is reserved.
    let mut out = Vec::with_capacity(parts.clone().map(|part| part.len() + 1).sum());
    for part in parts {
        out.extend_from_slice(part);
        out.push(b'\n');
    }
    out.into()
}

fn jsonl(body: body::Body) -> Response {
    let mut resp = Response::new(body);
    let content_type = hyper::header::HeaderValue::from_static("application/jsonl");
    resp.headers_mut().insert(CONTENT_TYPE, content_type);
    resp
}
