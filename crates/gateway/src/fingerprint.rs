//! The fingerprint of a request or an item, see [`fingerprint`].

use notchwharf_routing::fingerprint;
use notchwharf_routing::fingerprint::Content;
use notchwharf_routing::fingerprint::Fingerprint;
pub(crate) use notchwharf_routing::fingerprint::to_hex;

use crate::ports::Decode;
use crate::ports::ForwardedRequest;

/// Returns the fingerprint of a request to a host. It is the workspace that counts and
/// not the key: a caller with two keys does not get the targets of both.
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
