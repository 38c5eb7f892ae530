//! Bounds of single settings, and combinations that contradict each other.
//!
//! The bounds are listed both here and in the documentation of the fields. A macro that
//! generates both from one table was rejected, since the fields could then no longer be read
//! or searched in the source.

use super::Settings;
use crate::check::check_below;
use crate::check::check_name;
use crate::check::check_range;
use crate::error;

pub(super) fn check(settings: &Settings) -> Result<(), error::Settings> {
    check_name("host.name", &settings.host.name)?;
    check_name("host.data_centre", &settings.host.data_centre)?;
    check_ranges(settings)?;
    settings.intake.check()?;
    check_combinations(settings)
}

fn check_ranges(settings: &Settings) -> Result<(), error::Settings> {
    check_range("platform.poll_ms", settings.platform.poll_ms, 10, 60_000)?;
    check_range(
        "platform.timeout_ms",
        settings.platform.timeout_ms,
        10,
        60_000,
    )?;
    check_range(
        "lease.duration_ms",
        settings.lease.duration_ms,
        200,
        600_000,
    )?;
    check_range("lease.renew_ms", settings.lease.renew_ms, 50, 300_000)?;
    check_range("lease.landing_ms", settings.lease.landing_ms, 10, 60_000)?;
    check_range("ledger.shards", settings.ledger.shards, 1, 4_096)?;
    check_range("ledger.commit_ms", settings.ledger.commit_ms, 1, 10_000)?;
    check_range(
        "ledger.append_budget_per_s",
        settings.ledger.append_budget_per_s,
        1,
        100_000,
    )?;
    check_range("ledger.attempts_max", settings.ledger.attempts_max, 1, 100)?;
    check_range(
        "ledger.retention_ms",
        settings.ledger.retention_ms,
        1_000,
        31_536_000_000,
    )?;
    check_range(
        "ledger.carry_margin_ms",
        settings.ledger.carry_margin_ms,
        100,
        31_536_000_000,
    )?;
    check_range(
        "ledger.readable_ms",
        settings.ledger.readable_ms,
        1_000,
        31_536_000_000,
    )?;
    check_range(
        "ledger.snapshot_records",
        settings.ledger.snapshot_records,
        16,
        1_000_000,
    )?;
    check_range(
        "online.first_token_objective_ms",
        settings.online.first_token_objective_ms,
        1,
        600_000,
    )?;
    check_range(
        "online.inter_token_objective_ms",
        settings.online.inter_token_objective_ms,
        1,
        60_000,
    )?;
    check_range(
        "online.request_timeout_ms",
        settings.online.request_timeout_ms,
        10,
        3_600_000,
    )?;
    check_range(
        "online.idle_timeout_ms",
        settings.online.idle_timeout_ms,
        10,
        600_000,
    )?;
    check_range(
        "online.retry_share_percent",
        settings.online.retry_share_percent,
        0,
        100,
    )?;
    check_range(
        "online.in_flight_max",
        settings.online.in_flight_max,
        1,
        1_000_000,
    )?;
    check_range("batch.slots_max", settings.batch.slots_max, 1, 4_096)?;
    check_range("batch.reserve_min", settings.batch.reserve_min, 0, 4_096)?;
    check_range("batch.pull_ms", settings.batch.pull_ms, 1, 60_000)?;
    check_range(
        "batch.item_timeout_ms",
        settings.batch.item_timeout_ms,
        10,
        86_400_000,
    )?;
    check_range(
        "limits.body_bytes_max",
        settings.limits.body_bytes_max,
        1_024,
        1_073_741_824,
    )?;
    check_range(
        "limits.header_bytes_max",
        settings.limits.header_bytes_max,
        8_192,
        1_048_576,
    )?;
    check_range(
        "limits.header_timeout_ms",
        settings.limits.header_timeout_ms,
        10,
        600_000,
    )?;
    check_range(
        "limits.body_timeout_ms",
        settings.limits.body_timeout_ms,
        10,
        600_000,
    )?;
    check_range(
        "limits.lot_bytes_max",
        settings.limits.lot_bytes_max,
        1_024,
        1_099_511_627_776,
    )?;
    check_range(
        "limits.lot_items_max",
        settings.limits.lot_items_max,
        1,
        10_000_000,
    )?;
    check_range(
        "membership.probe_ms",
        settings.membership.probe_ms,
        10,
        60_000,
    )?;
    check_range(
        "membership.suspect_ms",
        settings.membership.suspect_ms,
        10,
        600_000,
    )?;
    check_range(
        "shutdown.drain_timeout_ms",
        settings.shutdown.drain_timeout_ms,
        10,
        3_600_000,
    )?;
    check_range("shutdown.notice_ms", settings.shutdown.notice_ms, 0, 60_000)?;
    Ok(())
}

fn check_combinations(s: &Settings) -> Result<(), error::Settings> {
    check_below(
        ("lease.renew_ms", s.lease.renew_ms),
        ("lease.duration_ms", s.lease.duration_ms),
    )?;
    check_below(
        ("lease.landing_ms", s.lease.landing_ms),
        ("lease.duration_ms", s.lease.duration_ms),
    )?;
    check_below(
        ("online.request_timeout_ms", s.online.request_timeout_ms),
        ("shutdown.drain_timeout_ms", s.shutdown.drain_timeout_ms),
    )?;
    check_below(
        ("online.idle_timeout_ms", s.online.idle_timeout_ms),
        ("online.request_timeout_ms", s.online.request_timeout_ms),
    )?;
    check_below(
        ("ledger.carry_margin_ms", s.ledger.carry_margin_ms),
        ("ledger.retention_ms", s.ledger.retention_ms),
    )?;
    check_below(
        ("ledger.commit_ms", s.ledger.commit_ms),
        ("lease.renew_ms", s.lease.renew_ms),
    )?;
    check_below(
        ("batch.reserve_min", s.batch.reserve_min.into()),
        ("batch.slots_max", s.batch.slots_max.into()),
    )?;
    check_below(
        ("shutdown.notice_ms", s.shutdown.notice_ms),
        ("shutdown.drain_timeout_ms", s.shutdown.drain_timeout_ms),
    )
}
