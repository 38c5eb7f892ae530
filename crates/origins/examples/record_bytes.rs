//! Measures the memory that a full table of origins takes, and the time to record and find one.
//!
//! `cargo run --release -p notchwharf-origins --example record_bytes`

use std::time::Duration;
use std::time::Instant;

use notchwharf_origins::Origin;
use notchwharf_origins::Origins;
use notchwharf_origins::key;

const RECORDS: usize = 32_768;

/// Returns the resident memory of the process in bytes.
fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: usize = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes << 10)
}

fn main() {
    let now = Instant::now();
    let origin = Origin {
        service: "service".to_owned(),
        version: "v1.2".to_owned(),
    };
    let keys: Vec<_> = (0..2 * RECORDS)
        .map(|number| key(None, "a.example", &format!("{number:016x}")))
        .collect();
    let before = resident_bytes();
    let mut origins = Origins::new(RECORDS);
    let started = Instant::now();
    // The second half evicts the first.
    for (number, key) in (0..).zip(&keys) {
        let expires_at = now + Duration::from_secs(10) + Duration::from_micros(number);
        origins.record(*key, &origin, expires_at, now);
    }
    let recorded = started.elapsed() / u32::try_from(keys.len()).unwrap_or(u32::MAX);
    let started = Instant::now();
    let found = keys
        .iter()
        .filter(|key| origins.get(**key, now) != notchwharf_origins::Lookup::Unknown);
    let found = found.count();
    let looked_up = started.elapsed() / u32::try_from(keys.len()).unwrap_or(u32::MAX);
    if let (Some(before), Some(after)) = (before, resident_bytes()) {
        println!("{} bytes a record", (after - before) / origins.len());
    }
    println!("{recorded:?} to record, {looked_up:?} to find, {found} found");
}
