//! How long a fleet takes to recover from a host's death, and what a lot of the
//! largest size costs.
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

const LOT_ITEMS: usize = 230_000;
const KILLS: usize = 3;
const LEASE_MS: u64 = 1_500;
const POLL: Duration = Duration::from_millis(5);

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

fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1e3
}

#[tokio::main]
async fn main() {
    for _ in 0..KILLS {
        kill().await;
    }
    largest().await;
}

/// Kills a host that holds shards and targets, and waits for both to be held.
async fn kill() {
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
    let died = Instant::now();
    let all = |of: &'static str| {
        let url = url.clone();
        let fleet = &fleet;
        async move {
            loop {
                let seen = fleet.get_json(&url).await;
                let hosts = seen["hosts"].as_array().cloned().unwrap_or_default();
                let held: usize = hosts
                    .iter()
                    .filter(|h| h["host"] != "a4")
                    .filter_map(|h| h["report"][of].as_array().map(Vec::len))
                    .sum();
                if held == if of == "shards" { 16 } else { 8 } {
                    return died.elapsed();
                }
                tokio::time::sleep(POLL).await;
            }
        }
    };
    let (shards_after, targets_after) = tokio::join!(all("shards"), all("targets"));
    let busy = |e: &engine::Engine| e.streams() > 0;
    while !targets.iter().all(|t| busy(&fleet.engines[t])) {
        tokio::time::sleep(POLL).await;
    }
    println!(
        "killed a host with {shards} shards and {} targets: shards held after {:.2} s, targets \
         after {:.2} s, their items run after {:.2} s (lease {:.1} s)",
        targets.len(),
        shards_after.as_secs_f64(),
        targets_after.as_secs_f64(),
        died.elapsed().as_secs_f64(),
        LEASE_MS as f64 / 1e3
    );
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    println!("  the job ended with {}", ended["request_counts"]);
}

/// Runs a lot of the largest size.
async fn largest() {
    let fast = model::Config {
        step_base: Duration::from_millis(4),
        step_per_stream: Duration::from_micros(10),
        memory_tokens: 10_000_000,
        ..model::Config::default()
    };
    let fleet = Fleet::ready(config(16, fast)).await;
    let lot = fleet::input_file("large", LOT_ITEMS, 1);
    let before = resident_mb();
    let started = Instant::now();
    let file = fleet.upload("a1", SCHOOL_KEY, &lot).await;
    println!(
        "{LOT_ITEMS} items, {:.1} MB: uploaded in {:.1} s",
        lot.len() as f64 / 1e6,
        started.elapsed().as_secs_f64()
    );
    let job = fleet.create_job("a1", SCHOOL_KEY, &file.json()["id"]).await;
    let job = job.json()["id"].as_str().unwrap_or_default().to_owned();
    println!("  accepted after {:.1} s", started.elapsed().as_secs_f64());
    let appends = fleet.platform.appends();
    let running = Instant::now();
    let mut peak = before;
    loop {
        peak = peak.max(resident_mb());
        let seen = fleet.job(SCHOOL_KEY, &job).await;
        let done = seen["request_counts"]["completed"].as_u64().unwrap_or(0);
        if seen["status"] == "completed" {
            break;
        }
        if running.elapsed() > Duration::from_secs(120) {
            println!("  stopped after 120 s with {done} done");
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let took = running.elapsed().as_secs_f64();
    let appends = fleet.platform.appends() - appends;
    println!(
        "  run in {took:.1} s: {:.0} items/s, {:.0} appends/s for the fleet; memory of the \
         whole process, log and lot included, {before:.0} MB before and {peak:.0} MB at most",
        LOT_ITEMS as f64 / took,
        appends as f64 / took
    );
}
