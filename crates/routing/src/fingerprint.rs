//! What names the content of a request, whoever sends it again and wherever.
//!
//! A caller gives each attempt an id of its own, so ids cannot tell that a request
//! came before. Its content can: the host that it names, its method, path, caller and
//! body. SHA-256 was chosen over a faster hash such as xxHash, since a caller who finds
//! another body with the same hash could have another's requests taken for his own.
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

/// The name of a request's content, the same on all hosts and in all versions.
pub type Fingerprint = u128;

/// What a fingerprint is made of.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The host that the request names.
    pub host: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Its path with the query.
    pub path: &'a str,
    /// Who calls, where callers are told apart.
    pub caller: &'a [u8],
    /// Its body.
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
        // With its length, no part can pass for the end of the one before.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let first = digest.iter().take(size_of::<Fingerprint>());
    first.fold(0, |number, byte| number << u8::BITS | u128::from(*byte))
}

/// Returns a fingerprint as log lines and records have it.
pub fn to_hex(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:032x}")
}
