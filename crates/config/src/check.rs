//! Checks of single values.
//!
//! Shared by all kinds of settings, so that the same error is reported in the same form.

use crate::bundle::is_name;
use crate::error;

/// Checks that the value `low` is less than `high`; both are given with their paths.
pub(crate) fn check_below(
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

/// Checks that a value is between `min` and `max`, inclusive.
pub(crate) fn check_range(
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

/// Checks that a text is a valid name.
pub(crate) fn check_name(path: &'static str, found: &str) -> Result<(), error::Settings> {
    if is_name(found) {
        return Ok(());
    }
    Err(error::Settings::Name {
        path,
        found: found.into(),
    })
}
