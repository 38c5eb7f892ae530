//! Checks of single values, shared by all kinds of settings.

use crate::bundle::is_name;
use crate::error;

pub(crate) fn below(
    low: (&'static str, u64),
    high: (&'static str, u64),
) -> Result<(), error::Settings> {
    if low.1 < high.1 {
        return Ok(());
    }
    Err(error::Settings::Order {
        path: low.0,
        found: low.1,
        other: high.0,
        limit: high.1,
    })
}

pub(crate) fn range(
    path: &'static str,
    found: impl Into<u64>,
    min: u64,
    max: u64,
) -> Result<(), error::Settings> {
    let found = found.into();
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(error::Settings::Range {
        path,
        found,
        min,
        max,
    })
}

pub(crate) fn name(path: &'static str, found: &str) -> Result<(), error::Settings> {
    if is_name(found) {
        return Ok(());
    }
    Err(error::Settings::Name {
        path,
        found: found.into(),
    })
}
