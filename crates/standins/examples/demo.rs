//! Demonstrates the system in one process: three hosts, four engines, a service and
//! the platform on loopback. It sends online requests and a batch job, and kills a
//! host, updates the bundle and drains another host while the job runs.

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
    let log = |message: String| println!("{:7.2} s  {message}", started.elapsed().as_secs_f64());
    let mut fleet = Fleet::ready(Config::default()).await;
    log("fleet ready: 3 hosts, 4 engines, bundle version 1 active".into());

    let request = json!({"model": "hints", "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which note follows C?"}]});
    let response = fleet
        .chat("a1", SCHOOL_KEY, &request)
        .await
        .expect("A response is received.");
    let text = &response.json()["choices"][0]["message"]["content"];
    log(format!(
        "chat completion: status {}, content {text}",
        response.status
    ));
    let mut request = request;
    request["stream"] = json!(true);
    let response = fleet
        .chat("a2", SCHOOL_KEY, &request)
        .await
        .expect("A response is received.");
    let events = response
        .body
        .lines()
        .filter(|l| l.starts_with("data:"))
        .count();
    log(format!(
        "streamed chat completion: status {}, {events} events",
        response.status
    ));

    let url = format!("{}/services/filing/permits", fleet.url("a3"));
    let auth = format!("Bearer {PERMITS_KEY}");
    let headers = [
        ("authorization", auth.as_str()),
        ("idempotency-key", "permit-7"),
    ];
    for _ in 0..2 {
        let response = fleet
            .send(Method::POST, &url, &headers, "sunset slot")
            .await;
        let response = response.expect("A response is received.");
        log(format!(
            "idempotent POST to service filing: status {}, replayed: {}",
            response.status, response.is_replayed
        ));
    }
    log(format!(
        "executions by the service: {}",
        fleet.executed_calls().len()
    ));

    let input_file = fleet::input_file("note", ITEMS, 16);
    let job = fleet.submit("a1", SCHOOL_KEY, &input_file).await;
    log(format!("batch job {job} created with {ITEMS} items"));
    fleet.kill_host("a2");
    log("host a2 killed while the job is running".into());
    let version = fleet.activate_bundle(&fleet::school_bundle("2")).await;
    log(format!("bundle version {version} active on all hosts"));
    let is_drained = fleet.leave_host("a3").await;
    log(format!(
        "host a3 drained and stopped, all work finished: {is_drained}"
    ));
    let job_status = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    log(format!(
        "batch job {job} ended: {} {}",
        job_status["status"], job_status["request_counts"]
    ));
    let output = job_status["output_file_id"].as_str().unwrap_or_default();
    let lines = fleet.lines(SCHOOL_KEY, output).await;
    let ids: std::collections::BTreeSet<String> =
        lines.iter().map(|l| l["custom_id"].to_string()).collect();
    log(format!(
        "results: {} lines, {} distinct custom_ids",
        lines.len(),
        ids.len()
    ));
}
