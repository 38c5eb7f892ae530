//! Computes the fingerprint of a request or an item, see [`fingerprint`].

use notchwharf_routing::fingerprint;
use notchwharf_routing::fingerprint::Content;
use notchwharf_routing::fingerprint::Fingerprint;
pub(crate) use notchwharf_routing::fingerprint::to_hex;

use crate::ports::Decode;
use crate::ports::ForwardedRequest;

/// Returns the fingerprint of a request to a host. It covers the workspace and not the key:
/// otherwise a caller with two keys could crash twice as many targets.
pub(crate) fn of(decode: &Decode, host: &str, request: &ForwardedRequest) -> Fingerprint {
    fingerprint::of(&Content {
        host,
        method: request.method.as_str(),
        path: &request.path,
        caller: match &request.workspace {
            Some(workspace) => workspace.as_bytes(),
            None => (decode.caller)(&request.headers),
        },
        body: &request.body,
    })
}
