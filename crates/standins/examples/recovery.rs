//! Measures how long a fleet takes to recover from the crash of a host, and the
//! throughput and memory use of a job of the largest size.
//!
//! ```sh
//! cargo run --release -p notchwharf-standins --example recovery
//! ```

use std::time::Duration;
use std::time::Instant;

use notchwharf_standins::engine;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::model;
use notchwharf_standins::platform;
use serde_json::json;

const MAX_FILE_ITEMS: usize = 230_000;
const KILLS: usize = 3;
const LEASE_MS: u64 = 1_500;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn config(engines: usize, model: model::Config) -> Config {
    Config {
        hosts: 6,
        engines,
        engine: engine::Config {
            model,
            ..engine::Config::default()
        },
        platform: platform::Config {
            list_lag: Duration::from_millis(100),
            appends_per_s: 300,
            ..platform::Config::default()
        },
        settings: json!({"lease": {"duration_ms": LEASE_MS},
            "batch": {"slots_max": 64}, "ledger": {"shards": 16}}),
        ..Config::default()
    }
}

fn resident_memory_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1e3
}

#[tokio::main]
async fn main() {
    for _ in 0..KILLS {
        measure_host_failure().await;
    }
    measure_largest_job().await;
}

/// Kills a host that holds leases of shards and targets, and measures the time until
/// other hosts hold them.
async fn measure_host_failure() {
    let mut fleet = Fleet::ready(config(8, model::Config::default())).await;
    let job = fleet
        .submit("a1", SCHOOL_KEY, &fleet::input_file("n", 20_000, 16))
        .await;
    let url = format!("{}/admin/v1/hosts", fleet.admin_url("a1"));
    fleet
        .wait_until(|f| async { f.engines.values().all(|e| e.streams() > 0) })
        .await;
    let report = fleet.get_json(&url).await;
    let shards = report["hosts"][3]["report"]["shards"]
        .as_array()
        .map_or(0, Vec::len);
    let targets = report["hosts"][3]["report"]["targets"].clone();
    let targets: Vec<String> = serde_json::from_value(targets).unwrap_or_default();
    fleet.kill_host("a4");
    let killed_at = Instant::now();
    let all_held = |kind: &'static str| {
        let url = url.clone();
        let fleet = &fleet;
        async move {
            loop {
                let response = fleet.get_json(&url).await;
                let hosts = response["hosts"].as_array().cloned().unwrap_or_default();
                let held_count: usize = hosts
                    .iter()
                    .filter(|h| h["host"] != "a4")
                    .filter_map(|h| h["report"][kind].as_array().map(Vec::len))
                    .sum();
                if held_count == if kind == "shards" { 16 } else { 8 } {
                    return killed_at.elapsed();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    };
    let (shards_after, targets_after) = tokio::join!(all_held("shards"), all_held("targets"));
    let is_busy = |e: &engine::Engine| e.streams() > 0;
    while !targets.iter().all(|t| is_busy(&fleet.engines[t])) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!(
        "killed a host with {shards} shards and {} targets: all shards held after {:.2} s, all \
         targets after {:.2} s, their items running after {:.2} s (lease {:.1} s)",
        targets.len(),
        shards_after.as_secs_f64(),
        targets_after.as_secs_f64(),
        killed_at.elapsed().as_secs_f64(),
        LEASE_MS as f64 / 1e3
    );
    let job_status = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    println!("  the job ended with {}", job_status["request_counts"]);
}

/// Measures a job with an input file of the largest size.
async fn measure_largest_job() {
    let fast = model::Config {
        step_base: Duration::from_millis(4),
        step_per_stream: Duration::from_micros(10),
        memory_tokens: 10_000_000,
        ..model::Config::default()
    };
    let fleet = Fleet::ready(config(16, fast)).await;
    let input_file = fleet::input_file("large", MAX_FILE_ITEMS, 1);
    let before = resident_memory_mb();
    let started = Instant::now();
    let file = fleet.upload("a1", SCHOOL_KEY, &input_file).await;
    println!(
        "{MAX_FILE_ITEMS} items, {:.1} MB: uploaded in {:.1} s",
        input_file.len() as f64 / 1e6,
        started.elapsed().as_secs_f64()
    );
    let job = fleet.create_job("a1", SCHOOL_KEY, &file.json()["id"]).await;
    let job = job.json()["id"].as_str().unwrap_or_default().to_owned();
    println!("  accepted after {:.1} s", started.elapsed().as_secs_f64());
    let appends = fleet.platform.appends();
    let running = Instant::now();
    let mut peak = before;
    loop {
        peak = peak.max(resident_memory_mb());
        let response = fleet.job(SCHOOL_KEY, &job).await;
        let done = response["request_counts"]["completed"]
            .as_u64()
            .unwrap_or(0);
        if response["status"] == "completed" {
            break;
        }
        if running.elapsed() > Duration::from_secs(120) {
            println!("  timed out after 120 s with {done} items completed");
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let duration_s = running.elapsed().as_secs_f64();
    let appends = fleet.platform.appends() - appends;
    println!(
        "  completed in {duration_s:.1} s: {:.0} items/s, {:.0} log appends/s for the fleet; resident \
         memory of the process, including log and input file: {before:.0} MB before, {peak:.0} MB peak",
        MAX_FILE_ITEMS as f64 / duration_s,
        appends as f64 / duration_s
    );
}
