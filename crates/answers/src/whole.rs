//! Reads responses that are used only as a whole.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Response;
use hyper::body::Incoming;

use crate::error;
use crate::framing::accept;

/// Reads a response whose end is proved. The caller limits the time.
///
/// # Errors
///
/// Returns an error if the head is not sound, nothing marks the end of the body, the body has more than
/// `bytes_max` bytes, or the connection ends within it.
pub async fn read_whole(
    mut resp: Response<Incoming>,
    bytes_max: usize,
) -> Result<Bytes, error::Read> {
    let end = accept(&mut resp).map_err(error::Read::Head)?;
    if !end.is_marked() {
        return Err(error::Read::NotMarked);
    }
    let body = Limited::new(resp.into_body(), bytes_max).collect().await;
    let body = body.map_err(|err| match err.downcast_ref::<LengthLimitError>() {
        Some(_) => error::Read::TooLong,
        None => error::Read::Broken,
    })?;
    Ok(body.to_bytes())
}
