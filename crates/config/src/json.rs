//! Reading of JSON that a person wrote.
//!
//! Bundles and settings are read alike: an unknown field, a wrong type and
//! text after the end are faults, and a fault names the path of its field.

use serde::de::DeserializeOwned;

/// Reads a document.
///
/// # Errors
///
/// Returns the path of the field at fault, and what was expected and found.
pub(crate) fn read<T: DeserializeOwned>(text: &[u8]) -> Result<T, (String, String)> {
    let mut de = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut de).map_err(|err| {
        let path = err.path().to_string();
        // The parser has no name for the document itself.
        let path = if path == "?" { ".".into() } else { path };
        (path, err.inner().to_string())
    })?;
    de.end().map_err(|err| (".".into(), err.to_string()))?;
    Ok(value)
}
