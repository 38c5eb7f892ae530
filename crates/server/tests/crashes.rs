//! Chat completions under which targets crash.
//!
//! Found by looking for the cause of an incident on the platform's side: a completion may
//! run again, so one under which targets crash was tried at target after target within
//! one call, and anew with each call, since nothing of it was remembered.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_standins::engine::POISON;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::SCHOOL_KEY;
use serde_json::Value;
use serde_json::json;

/// Targets that may crash under one request, and some while hosts tell one another.
const CRASHES_MAX: u64 = 6;
/// How often the request comes.
const CALLS: usize = 10;

fn ask(prompt: &str) -> Value {
    json!({"model": "hints", "max_tokens": 8, "stream": false,
        "messages": [{"role": "user", "content": prompt}]})
}

#[tokio::test]
async fn a_completion_under_which_targets_crash_is_soon_refused_at_all_hosts() {
    let config = Config {
        hosts: 3,
        engines: 4,
        ..Config::default()
    };
    let fleet = Fleet::ready(config).await;
    let deadly = ask(&format!("Which note follows C? {POISON}"));
    let mut last = None;
    for host in fleet.hosts.keys().cycle().take(CALLS) {
        last = Some(fleet.chat(host, SCHOOL_KEY, &deadly).await.unwrap());
    }
    let crashes: u64 = fleet.engines.values().map(|engine| engine.crashes()).sum();
    assert!(crashes <= CRASHES_MAX, "{crashes} targets crashed");
    let last = last.unwrap();
    assert_eq!(last.status, 503, "{}", last.body);
    assert_eq!(last.json()["error"]["code"], "targets_crash");
    assert_eq!(last.json()["error"]["outcome"], "not-run");
    assert!(last.retry_after_s.unwrap() > 60, "not at once");
    let healthy = fleet
        .chat(fleet.any_host(), SCHOOL_KEY, &ask("Which note follows D?"))
        .await;
    assert_eq!(healthy.unwrap().status, 200);
}
