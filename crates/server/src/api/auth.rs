//! Authentication by API key or by the load balancer's tenant header.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use notchwharf_config::access;
use notchwharf_config::bundle::Class;
use notchwharf_config::bundle::Tenant;
use notchwharf_config::bundle::key_digest;

use super::error::ApiError;
use crate::bundle::ActiveBundle;
use crate::context::Context;

/// The authorization scheme of API keys.
const SCHEME: &str = "Bearer";

/// The calling tenant and the bundle that it was found in.
pub(crate) struct Caller {
    pub(crate) active: Arc<ActiveBundle>,
    pub(crate) tenant: Tenant,
}

impl Caller {
    /// Checks that the tenant may send requests of a class.
    pub(crate) fn check_class(&self, class: Class) -> Result<(), ApiError> {
        if self.tenant.classes.contains(&class) {
            return Ok(());
        }
        let what = match class {
            Class::Online => "online requests",
            Class::Batch => "batch jobs",
        };
        Err(ApiError::NotAllowed { what: what.into() })
    }

    /// Checks that the tenant may use a serving.
    pub(crate) fn check_serving(&self, serving: &str) -> Result<(), ApiError> {
        if self.active.route(serving).is_none() {
            return Err(ApiError::UnknownModel(serving.to_owned()));
        }
        if self.tenant.servings.iter().any(|s| s == serving) {
            return Ok(());
        }
        let what = format!("model `{serving}`");
        Err(ApiError::NotAllowed { what })
    }
}

/// Authenticates the caller of a request.
pub(crate) fn authenticate(ctx: &Context, headers: &HeaderMap) -> Result<Caller, ApiError> {
    let active = ctx.active().ok_or(ApiError::Starting)?;
    let header_name = ctx.settings.host.tenant_header.as_ref();
    let header_value = header_name.and_then(|name| headers.get(name));
    let tenant = match header_value {
        Some(name) => {
            let name = name.to_str().map_err(|_| ApiError::UnknownTenant)?;
            active.tenant(name)
        }
        None => {
            let key = bearer_key(headers).ok_or(ApiError::MissingApiKey)?;
            active.tenant_by_key(&key_digest(key))
        }
    };
    let tenant = tenant.ok_or(ApiError::UnknownTenant)?.clone();
    Ok(Caller { active, tenant })
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let values = headers.get_all(AUTHORIZATION);
    // All errors of a key lead to the same response here.
    access::parse_key(SCHEME, values.iter().map(HeaderValue::as_bytes)).ok()
}
