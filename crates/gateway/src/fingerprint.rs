//! The fingerprint of a request or an item, see [`fingerprint`].

use notchwharf_routing::fingerprint;
use notchwharf_routing::fingerprint::Content;
use notchwharf_routing::fingerprint::Fingerprint;
pub(crate) use notchwharf_routing::fingerprint::text;

use crate::context::Context;
use crate::ports::Forward;

/// Returns the fingerprint of a request to a host.
pub(crate) fn of(ctx: &Context, host: &str, forward: &Forward) -> Fingerprint {
    fingerprint::of(&Content {
        host,
        method: forward.method.as_str(),
        path: &forward.path,
        caller: (ctx.decode.caller)(&forward.headers),
        body: &forward.body,
    })
}
