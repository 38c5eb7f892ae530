//! The whole path on embedded stand-ins: three hosts, four engines, one service
//! and the platform, all on loopback.

use std::time::Instant;

use hyper::Method;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::PERMITS_KEY;
use notchwharf_standins::fleet::SCHOOL_KEY;
use serde_json::json;

const ITEMS: usize = 1_000;

#[tokio::main]
async fn main() {
    let started = Instant::now();
    let said = |what: String| println!("{:7.2} s  {what}", started.elapsed().as_secs_f64());
    let mut fleet = Fleet::ready(Config::default()).await;
    said("three hosts and four engines are up; the first bundle is in force".into());

    let ask = json!({"model": "hints", "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which note follows C?"}]});
    let seen = fleet
        .chat("a1", SCHOOL_KEY, &ask)
        .await
        .expect("An answer comes.");
    let text = &seen.json()["choices"][0]["message"]["content"];
    said(format!("online, whole: {} {text}", seen.status));
    let mut ask = ask;
    ask["stream"] = json!(true);
    let seen = fleet
        .chat("a2", SCHOOL_KEY, &ask)
        .await
        .expect("An answer comes.");
    let events = seen.body.lines().filter(|l| l.starts_with("data:")).count();
    said(format!(
        "online, streamed: {} in {events} events",
        seen.status
    ));

    let url = format!("{}/services/filing/permits", fleet.url("a3"));
    let auth = format!("Bearer {PERMITS_KEY}");
    let headers = [
        ("authorization", auth.as_str()),
        ("idempotency-key", "permit-7"),
    ];
    for _ in 0..2 {
        let seen = fleet
            .send(Method::POST, &url, &headers, "sunset slot")
            .await;
        let seen = seen.expect("An answer comes.");
        said(format!(
            "filing: {}, replayed: {}",
            seen.status, seen.is_replayed
        ));
    }
    said(format!(
        "the service ran it {} time",
        fleet.executed_calls().len()
    ));

    let lot = fleet::input_file("note", ITEMS, 16);
    let job = fleet.submit("a1", SCHOOL_KEY, &lot).await;
    said(format!("{job}: {ITEMS} items accepted"));
    fleet.kill_host("a2");
    said("killed host a2 while the lot runs".into());
    let version = fleet.activate_bundle(&fleet::school_bundle("2")).await;
    said(format!("version {version} is in force everywhere"));
    let clean = fleet.leave_host("a3").await;
    said(format!("host a3 has left, all finished: {clean}"));
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    said(format!(
        "{job}: {} {}",
        ended["status"], ended["request_counts"]
    ));
    let output = ended["output_file_id"].as_str().unwrap_or_default();
    let lines = fleet.lines(SCHOOL_KEY, output).await;
    let ids: std::collections::BTreeSet<String> =
        lines.iter().map(|l| l["custom_id"].to_string()).collect();
    said(format!("{} results with {} ids", lines.len(), ids.len()));
}
