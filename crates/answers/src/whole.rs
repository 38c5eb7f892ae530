//! Reads responses that are used only as a whole.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::Incoming;

use crate::error;
use crate::framing::accept;

/// Reads a response whose end is proved. The caller limits the time.
///
/// # Errors
///
/// Returns an error if the head is invalid, nothing marks the end of the body, the body has more than
/// `bytes_max` bytes, or the connection ends within it.
pub async fn read_whole(resp: Response<Incoming>, bytes_max: usize) -> Result<Bytes, error::Read> {
    let mut reader = Reader::new(resp, bytes_max)?;
    while reader.receive().await?.is_some() {}
    Ok(reader.into_bytes())
}

/// Reads a response like [`read_whole`], and tells meanwhile how much it keeps.
#[derive(Debug)]
pub struct Reader {
    body: Incoming,
    bytes: BytesMut,
    bytes_max: usize,
}

impl Reader {
    /// Begins to read a body of up to `bytes_max` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is invalid, or nothing marks the end of the body.
    pub fn new(mut resp: Response<Incoming>, bytes_max: usize) -> Result<Self, error::Read> {
        let end = accept(&mut resp).map_err(error::Read::Head)?;
        if !end.is_marked() {
            return Err(error::Read::NotMarked);
        }
        Ok(Self {
            body: resp.into_body(),
            bytes: BytesMut::new(),
            bytes_max,
        })
    }

    /// Receives a part of the body. Returns how many bytes were received so far, or `None` at the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, or the connection ends within it.
    pub async fn receive(&mut self) -> Result<Option<usize>, error::Read> {
        let Some(frame) = self.body.frame().await else {
            return Ok(None);
        };
        let frame = frame.map_err(|_| error::Read::Broken)?;
        // Trailers are ignored.
        let data = frame.into_data().unwrap_or_default();
        if data.len() > self.bytes_max - self.bytes.len() {
            return Err(error::Read::TooLong);
        }
        self.bytes.extend_from_slice(&data);
        Ok(Some(self.bytes.len()))
    }

    /// Returns what was received.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}
