//! Who calls: the tenant behind an API key or the balancer's header.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use notchwharf_config::access;
use notchwharf_config::bundle::Class;
use notchwharf_config::bundle::Tenant;
use notchwharf_config::bundle::key_digest;

use super::error::Problem;
use crate::bundle::Active;
use crate::context::Context;

/// The scheme under which callers present keys.
const SCHEME: &str = "Bearer";

/// The tenant that calls, and the bundle by which it was judged.
pub(crate) struct Caller {
    pub(crate) active: Arc<Active>,
    pub(crate) tenant: Tenant,
}

impl Caller {
    /// Checks that the tenant may send a class of work.
    pub(crate) fn check_class(&self, class: Class) -> Result<(), Problem> {
        if self.tenant.classes.contains(&class) {
            return Ok(());
        }
        let what = match class {
            Class::Online => "online requests",
            Class::Batch => "batch jobs",
        };
        Err(Problem::NotAllowed { what: what.into() })
    }

    /// Checks that the tenant may use a serving.
    pub(crate) fn check_serving(&self, serving: &str) -> Result<(), Problem> {
        if self.active.route(serving).is_none() {
            return Err(Problem::UnknownModel(serving.to_owned()));
        }
        if self.tenant.servings.iter().any(|s| s == serving) {
            return Ok(());
        }
        let what = format!("model `{serving}`");
        Err(Problem::NotAllowed { what })
    }
}

/// Returns who calls.
pub(crate) fn caller(ctx: &Context, headers: &HeaderMap) -> Result<Caller, Problem> {
    let active = ctx.active().ok_or(Problem::Starting)?;
    let by_header = ctx.settings.host.tenant_header.as_ref();
    let by_header = by_header.and_then(|name| headers.get(name));
    let tenant = match by_header {
        Some(name) => {
            let name = name.to_str().map_err(|_| Problem::UnknownTenant)?;
            active.tenant(name)
        }
        None => {
            let key = bearer(headers).ok_or(Problem::NoTenant)?;
            active.tenant_by_key(&key_digest(key))
        }
    };
    let tenant = tenant.ok_or(Problem::UnknownTenant)?.clone();
    Ok(Caller { active, tenant })
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let values = headers.get_all(AUTHORIZATION);
    // All that is wrong with a key has the same answer here.
    access::parse_key(SCHEME, values.iter().map(HeaderValue::as_bytes)).ok()
}
