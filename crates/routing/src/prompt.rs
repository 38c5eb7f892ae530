//! Identifies the parts of a prompt that requests share.
//!
//! A prompt consists of parts in order, such as a system prompt, a document and a question.
//! Requests share all of their parts but the last one, which belongs to the request or its
//! session. Callers name the parts, so a name is only as good as its caller: two callers who
//! use the same name are taken to mean the same part.
//!
//! ```
//! use notchwharf_routing::prompt::{part_id, to_hex};
//!
//! assert_eq!(part_id("5c1e07a2"), 0x5c1e07a2);
//! assert_eq!(to_hex(part_id("5c1e07a2")), "5c1e07a2");
//! ```

use sha2::Digest as _;
use sha2::Sha256;

/// Identifies a part of a prompt, the same on all hosts and in all versions.
pub type PartId = u128;

/// Number of parts of a prompt that are considered, the first ones. Bounds what one request
/// can add to tables that are kept by part.
pub const PARTS_MAX: usize = 32;

/// Returns the id of a part: the number that its name stands for in hexadecimal, or a hash of
/// a name that is not such a number.
pub fn part_id(name: &str) -> PartId {
    PartId::from_str_radix(name, 16).unwrap_or_else(|_| {
        let digest = Sha256::digest(name.as_bytes());
        let prefix = digest.iter().take(size_of::<PartId>());
        prefix.fold(0, |number, byte| number << u8::BITS | PartId::from(*byte))
    })
}

/// Returns the text form of several ids in logs.
pub fn join(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().copied().map(to_hex).collect();
    parts.join(",")
}

/// Returns the text form of an id in logs and records.
pub fn to_hex(part: PartId) -> String {
    format!("{part:x}")
}
