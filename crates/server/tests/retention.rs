//! Results, jobs and the bundle remain available after their records expire from the log.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;

use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::platform;
use serde_json::json;

const ITEMS: usize = 40;

fn short_retention() -> Config {
    Config {
        platform: platform::Config {
            retention: Duration::from_secs(4),
            list_lag: Duration::from_millis(100),
            ..platform::Config::default()
        },
        settings: json!({"ledger": {"retention_ms": 4_000, "carry_margin_ms": 3_000,
            "snapshot_records": 16, "shards": 3}}),
        ..Config::default()
    }
}

/// Waits until all current records of a stream have expired from the log.
async fn wait_records_expired(fleet: &Fleet, stream: &str) {
    let url = format!("{}/v1/streams/{stream}", fleet.platform.url());
    let first = fleet.get_json(&url).await["next"].as_u64().unwrap();
    fleet
        .wait_until(|fleet| {
            let url = url.clone();
            async move { fleet.get_json(&url).await["first"].as_u64().unwrap() >= first }
        })
        .await;
}

#[tokio::test]
async fn results_jobs_and_bundle_outlive_log_retention() {
    let mut fleet = Fleet::ready(short_retention()).await;
    let job = fleet
        .submit("a1", SCHOOL_KEY, &fleet::input_file("n", ITEMS, 4))
        .await;
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    for _ in 0..2 {
        tokio::join!(
            wait_records_expired(&fleet, "shard-0"),
            wait_records_expired(&fleet, "shard-1"),
            wait_records_expired(&fleet, "shard-2"),
            wait_records_expired(&fleet, "bundle"),
        );
    }
    // No host that read the first records remains.
    for name in ["b4", "b5"] {
        fleet.start_host(name).await;
    }
    for name in ["a1", "a2", "a3"] {
        assert!(fleet.leave_host(name).await);
    }
    let after_expiry = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    assert_eq!(after_expiry, ended);
    let output = after_expiry["output_file_id"].as_str().unwrap();
    assert_eq!(fleet.lines(SCHOOL_KEY, output).await.len(), ITEMS);
}
