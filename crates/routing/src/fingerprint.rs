//! Fingerprints that identify requests by their content.
//!
//! A caller gives each attempt an id of its own, so ids do not reveal that a request was
//! sent before. Its content does: the host that it names, its method, path, caller and
//! body. SHA-256 was chosen over a faster hash such as xxHash, since a caller who finds
//! another body with the same hash could have another's requests taken for their own.
//!
//! ```
//! use notchwharf_routing::fingerprint::{of, Content};
//!
//! let content = Content { host: "a", method: "POST", path: "/p", caller: b"", body: b"1" };
//! assert_eq!(of(&content), of(&content.clone()));
//! assert_ne!(of(&content), of(&Content { body: b"2", ..content }));
//! ```

use sha2::Digest as _;
use sha2::Sha256;

/// Hash of the content of a request, the same on all hosts and in all versions.
pub type Fingerprint = u128;

/// The parts of a request that make up its fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The host name in the request, as in the `Host` header.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// The caller; empty where callers are not distinguished.
    pub caller: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

/// Returns the fingerprint of a request.
pub fn of(content: &Content<'_>) -> Fingerprint {
    let parts = [
        content.host.as_bytes(),
        content.method.as_bytes(),
        content.path.as_bytes(),
        content.caller,
        content.body,
    ];
    let mut hasher = Sha256::new();
    for part in parts {
        // The length prefix keeps the boundaries between parts unambiguous.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let prefix = digest.iter().take(size_of::<Fingerprint>());
    prefix.fold(0, |number, byte| number << u8::BITS | u128::from(*byte))
}

/// Returns the text form of a fingerprint in logs and records: 32 hexadecimal digits.
pub fn to_hex(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:032x}")
}
