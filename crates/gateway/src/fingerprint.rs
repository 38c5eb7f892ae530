//! Computes the fingerprint of a request or an item, see [`fingerprint`].

use notchwharf_routing::fingerprint;
use notchwharf_routing::fingerprint::Content;
use notchwharf_routing::fingerprint::Fingerprint;
pub(crate) use notchwharf_routing::fingerprint::to_hex;

use crate::ports::Decode;
use crate::ports::ForwardedRequest;

/// Returns the fingerprint of a request to a host. It covers the workspace and not the key:
/// otherwise a caller with two keys could crash twice as many targets.
pub(crate) fn of(decode: &Decode, host: &str, forward: &ForwardedRequest) -> Fingerprint {
    fingerprint::of(&Content {
        host,
        method: forward.method.as_str(),
        path: &forward.path,
        caller: match &forward.workspace {
            Some(workspace) => workspace.as_bytes(),
            None => (decode.caller)(&forward.headers),
        },
        body: &forward.body,
    })
}
