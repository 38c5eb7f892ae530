//! Stall detection by tick lateness.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;
use std::time::Instant;

use notchwharf_timer::lateness::Lateness;

#[test]
fn only_ticks_late_by_more_than_a_period_count_as_a_stall() {
    let start = Instant::now();
    let mut lateness = Lateness::new(Duration::from_millis(100), start);
    for (at_ms, late_ms) in [
        (100, 0),
        (290, 0),
        (300, 0),
        (1_600, 1_200),
        (1_600, 0),
        (1_700, 0),
    ] {
        let late = lateness.tick(start + Duration::from_millis(at_ms));
        assert_eq!(late, Duration::from_millis(late_ms), "at {at_ms}");
    }
}

#[test]
fn a_stopped_clock_reports_no_stall() {
    let start = Instant::now();
    let mut lateness = Lateness::new(Duration::ZERO, start);
    assert_eq!(lateness.tick(start), Duration::ZERO);
    assert_eq!(lateness.tick(start), Duration::ZERO);
}
