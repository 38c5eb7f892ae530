//! The bundle: the models and services of the fleet, and the workspaces that may use them.
//!
//! [`parse`] reads a bundle written by an operator. A [`Bundle`] that it returns is
//! consistent: every reference resolves and every name is unique.
//!
//! ```
//! use notchwharf_config::bundle;
//!
//! let text = r#"{
//!     "servings": [{"name": "hints", "model": "tutor", "version": "3", "replicas": 2}],
//!     "tenants": [{"name": "school", "servings": ["hints"]}]
//! }"#;
//! let bundle = bundle::parse(text.as_bytes()).unwrap();
//! assert_eq!(bundle.serving("hints").unwrap().version, "3");
//! ```
//!
//! Lookups are linear scans, since the lists are short, except for tenants, of which there may
//! be many thousands: hosts build an index of tenants once for each bundle.

use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::ServingName;
use crate::TenantId;
use crate::access;
use crate::error;
use crate::json;

/// Maximum number of replicas of a serving.
pub const REPLICAS_MAX: u32 = 10_000;
/// Maximum weight of a tenant.
pub const WEIGHT_MAX: u32 = 1_000;

const NAME_LEN_MAX: usize = 64;

/// The models and services of the fleet, and the workspaces that may use them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Models with adapter and version, each under the name that callers use.
    #[serde(default)]
    pub servings: Vec<Serving>,
    /// Workspaces and their permissions.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Services other than model engines.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// A model with adapter and version, under the name that callers use.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// The name in the `model` field of requests.
    pub name: ServingName,
    /// The model that targets load.
    pub model: String,
    /// The adapter of the model, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version of model and adapter together.
    pub version: String,
    /// The number of targets that should load it.
    pub replicas: u32,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The workspace's name.
    pub name: TenantId,
    /// SHA-256 digests of the API keys of the workspace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key_sha256: Vec<String>,
    /// The servings that the workspace may use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servings: Vec<ServingName>,
    /// The services that the workspace may use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
    /// The workspace's share of contended capacity, relative to others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The classes of work that the workspace may submit.
    #[serde(default = "default_classes")]
    pub classes: Vec<Class>,
}

/// A class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Requests whose caller waits for the response.
    Online,
    /// Items of batch jobs, which yield to online requests.
    Batch,
}

/// A service other than a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, as used in the path of requests and in the host list.
    pub name: String,
}

fn default_weight() -> u32 {
    1
}

fn default_classes() -> Vec<Class> {
    vec![Class::Online, Class::Batch]
}

impl Bundle {
    /// Returns the serving with the given name.
    pub fn serving(&self, name: &str) -> Option<&Serving> {
        self.servings.iter().find(|s| s.name == name)
    }

    /// Returns whether the bundle contains a service with the given name.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.iter().any(|s| s.name == name)
    }

    /// Returns the SHA-256 digest of the content in hexadecimal.
    ///
    /// # Panics
    ///
    /// Never: a bundle has no map with keys other than strings.
    pub fn digest(&self) -> String {
        let text = serde_json::to_vec(self).expect("A bundle is always representable in JSON.");
        hex(&Sha256::digest(&text))
    }

    /// Checks that the bundle is consistent.
    ///
    /// # Errors
    ///
    /// Returns the first error with the path of the field.
    pub fn check(&self) -> Result<(), error::Bundle> {
        self.check_servings()?;
        self.check_services()?;
        self.check_tenants()
    }

    fn check_servings(&self) -> Result<(), error::Bundle> {
        let mut seen = HashSet::new();
        for (i, serving) in self.servings.iter().enumerate() {
            check_name(&format!("servings[{i}].name"), &serving.name)?;
            check_name(&format!("servings[{i}].model"), &serving.model)?;
            check_name(&format!("servings[{i}].version"), &serving.version)?;
            if let Some(adapter) = &serving.adapter {
                check_name(&format!("servings[{i}].adapter"), adapter)?;
            }
            check_unique(&mut seen, &format!("servings[{i}].name"), &serving.name)?;
            let path = format!("servings[{i}].replicas");
            check_range(path, serving.replicas, REPLICAS_MAX)?;
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), error::Bundle> {
        let mut seen = HashSet::new();
        for (i, service) in self.services.iter().enumerate() {
            let path = format!("services[{i}].name");
            check_name(&path, &service.name)?;
            check_unique(&mut seen, &path, &service.name)?;
        }
        Ok(())
    }

    fn check_tenants(&self) -> Result<(), error::Bundle> {
        let servings: HashSet<&str> = self.servings.iter().map(|s| s.name.as_str()).collect();
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut names = HashSet::new();
        let mut keys = HashSet::new();
        for (i, tenant) in self.tenants.iter().enumerate() {
            let path = format!("tenants[{i}].name");
            check_name(&path, &tenant.name)?;
            check_unique(&mut names, &path, &tenant.name)?;
            check_range(format!("tenants[{i}].weight"), tenant.weight, WEIGHT_MAX)?;
            for (j, key) in tenant.key_sha256.iter().enumerate() {
                let path = format!("tenants[{i}].key_sha256[{j}]");
                check_digest(&path, key)?;
                check_unique(&mut keys, &path, key)?;
            }
            check_known(
                &servings,
                &format!("tenants[{i}].servings"),
                &tenant.servings,
            )?;
            check_known(
                &services,
                &format!("tenants[{i}].services"),
                &tenant.services,
            )?;
        }
        Ok(())
    }
}

/// Parses a bundle from JSON and validates it.
///
/// # Errors
///
/// Returns the first error with the path of the field.
pub fn parse(text: &[u8]) -> Result<Bundle, error::Bundle> {
    let bundle: Bundle =
        json::read(text).map_err(|(path, detail)| error::Bundle::Shape { path, detail })?;
    bundle.check()?;
    Ok(bundle)
}

/// Returns the digest of an API key in the form used by bundles.
pub fn key_digest(key: &str) -> String {
    hex(&access::digest(key))
}

/// Returns whether a text is a valid name in bundles and settings.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !text.is_empty() && text.len() <= NAME_LEN_MAX && text.chars().all(allowed)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn check_name(path: &str, name: &str) -> Result<(), error::Bundle> {
    if is_name(name) {
        return Ok(());
    }
    Err(error::Bundle::Name {
        path: path.into(),
        found: name.into(),
    })
}

fn check_unique<'a>(
    seen: &mut HashSet<&'a str>,
    path: &str,
    name: &'a str,
) -> Result<(), error::Bundle> {
    if seen.insert(name) {
        return Ok(());
    }
    Err(error::Bundle::Duplicate {
        path: path.into(),
        name: name.into(),
    })
}

fn check_known(known: &HashSet<&str>, path: &str, names: &[String]) -> Result<(), error::Bundle> {
    for (i, name) in names.iter().enumerate() {
        if !known.contains(name.as_str()) {
            return Err(error::Bundle::Unknown {
                path: format!("{path}[{i}]"),
                name: name.clone(),
            });
        }
    }
    Ok(())
}

fn check_range(path: String, found: u32, max: u32) -> Result<(), error::Bundle> {
    if (1..=max).contains(&found) {
        return Ok(());
    }
    let found = found.into();
    Err(error::Bundle::Range { path, found })
}

fn check_digest(path: &str, text: &str) -> Result<(), error::Bundle> {
    let is_hex = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    if text.len() == 64 && text.chars().all(is_hex) {
        return Ok(());
    }
    Err(error::Bundle::Digest { path: path.into() })
}
