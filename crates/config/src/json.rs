//! Strict parsing of JSON documents that are written by hand.
//!
//! Bundles and settings are parsed with the same strictness: unknown fields, wrong types and
//! trailing text are errors, and an error names the path of its field.

use serde::de::DeserializeOwned;

/// Parses a document.
///
/// # Errors
///
/// Returns the path of the invalid field, and a description of what was expected and found.
pub(crate) fn read<T: DeserializeOwned>(text: &[u8]) -> Result<T, (String, String)> {
    let mut de = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut de).map_err(|err| {
        let path = err.path().to_string();
        // The path is "?" if the error concerns the document itself.
        let path = if path == "?" { ".".into() } else { path };
        (path, err.inner().to_string())
    })?;
    de.end().map_err(|err| (".".into(), err.to_string()))?;
    Ok(value)
}
