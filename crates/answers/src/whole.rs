//! Reads responses that are used only as a whole.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::Body as _;
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
    while let Some(part) = reader.receive().await? {
        reader.keep(&part);
    }
    Ok(reader.into_bytes())
}

/// Reads a response like [`read_whole`], and shows each part before it is kept.
///
/// ```
/// # async fn example(
/// #     resp: hyper::Response<hyper::body::Incoming>,
/// # ) -> Result<(), notchwharf_answers::error::Read> {
/// use notchwharf_answers::Reader;
///
/// let mut reader = Reader::new(resp, 1 << 20)?;
/// while let Some(part) = reader.receive().await? {
///     println!("{} bytes, {} more", reader.len(), part.len());
///     reader.keep(&part);
/// }
/// let body = reader.into_bytes();
/// # Ok(())
/// # }
/// ```
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
    /// Returns an error if the head is invalid, nothing marks the end of the body, or its length is
    /// announced and too long.
    pub fn new(mut resp: Response<Incoming>, bytes_max: usize) -> Result<Self, error::Read> {
        let end = accept(&mut resp).map_err(error::Read::Head)?;
        if !end.is_marked() {
            return Err(error::Read::NotMarked);
        }
        let body = resp.into_body();
        if body.size_hint().lower() > bytes_max as u64 {
            return Err(error::Read::TooLong);
        }
        Ok(Self {
            body,
            bytes: BytesMut::new(),
            bytes_max,
        })
    }

    /// Receives a part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, or the connection ends within it.
    pub async fn receive(&mut self) -> Result<Option<Bytes>, error::Read> {
        let Some(frame) = self.body.frame().await else {
            return Ok(None);
        };
        let frame = frame.map_err(|_| error::Read::Broken)?;
        // Trailers are ignored.
        let part = frame.into_data().unwrap_or_default();
        if part.len() > self.bytes_max.saturating_sub(self.bytes.len()) {
            return Err(error::Read::TooLong);
        }
        Ok(Some(part))
    }

    /// Appends a part to what is kept.
    pub fn keep(&mut self, part: &[u8]) {
        self.bytes.extend_from_slice(part);
    }

    /// Returns the number of bytes that are kept.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns what was kept.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}
