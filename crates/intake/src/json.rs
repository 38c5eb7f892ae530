//! Estimates what JSON occupies once it is parsed.
//!
//! Parsing first and measuring afterwards was rejected: two bytes of text may become dozens in
//! memory, which would exist before they are counted.

/// Bytes of an element of a list, with the room by which lists grow.
const ELEMENT_BYTES: u64 = 64;
/// Bytes of a field of an object, with its key's text and its part of a node of the map.
const FIELD_BYTES: u64 = 256;

/// Returns an upper bound of the bytes that a JSON text occupies as a tree of values, besides the text
/// itself. Text that is not JSON has a bound too, up to where its parser stops.
///
/// ```
/// use notchwharf_intake::json_bytes;
///
/// let prose = json_bytes(br#"{"content": "a, b, c, d: [e]"}"#);
/// let list = json_bytes(br#"{"content": [0,0,0,0,0,0,0,0]}"#);
/// assert!(list > prose);
/// ```
pub fn json_bytes(text: &[u8]) -> u64 {
    let mut bytes = text.len() as u64 + ELEMENT_BYTES;
    let mut is_in_string = false;
    let mut is_escaped = false;
    for byte in text {
        if is_escaped {
            is_escaped = false;
            continue;
        }
        match byte {
            b'\\' if is_in_string => is_escaped = true,
            b'"' => is_in_string = !is_in_string,
            b',' | b'[' | b'{' if !is_in_string => bytes += ELEMENT_BYTES,
            b':' if !is_in_string => bytes += FIELD_BYTES,
            _ => {}
        }
    }
    bytes
}
