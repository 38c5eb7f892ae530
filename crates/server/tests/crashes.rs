//! Quarantine of chat completions that crash targets.
//!
//! Guards against a fault seen in an incident: since completions are retried, one that
//! crashes targets was sent to one target after another within a call, and again with each
//! further call, because no crash was recorded.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_standins::engine::POISON;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::SCHOOL_KEY;
use serde_json::Value;
use serde_json::json;

/// Crashes that one request may cause, including some until the reports reach all hosts.
const CRASHES_MAX: u64 = 6;
/// The same for a message that requests share: five and three more.
const PART_CRASHES_MAX: u64 = 8;
/// Number of times the request is sent.
const CALL_COUNT: usize = 10;

fn chat_request(prompt: &str) -> Value {
    json!({"model": "hints", "max_tokens": 8, "stream": false,
        "messages": [{"role": "user", "content": prompt}]})
}

#[tokio::test]
async fn completion_that_crashes_targets_is_quarantined_on_all_hosts() {
    let config = Config {
        hosts: 3,
        engines: 4,
        ..Config::default()
    };
    let fleet = Fleet::ready(config).await;
    let crashing_request = chat_request(&format!("Which note follows C? {POISON}"));
    let mut last = None;
    for host in fleet.hosts.keys().cycle().take(CALL_COUNT) {
        last = Some(
            fleet
                .chat(host, SCHOOL_KEY, &crashing_request)
                .await
                .unwrap(),
        );
    }
    let crashes: u64 = fleet.engines.values().map(|engine| engine.crashes()).sum();
    assert!(crashes <= CRASHES_MAX, "{crashes} targets crashed");
    let last = last.unwrap();
    assert_eq!(last.status, 503, "{}", last.body);
    assert_eq!(last.json()["error"]["code"], "targets_crash");
    assert_eq!(last.json()["error"]["outcome"], "not-run");
    assert!(
        last.retry_after_s.unwrap() > 60,
        "The retry time is too short."
    );
    let healthy = fleet
        .chat(
            fleet.any_host(),
            SCHOOL_KEY,
            &chat_request("Which note follows D?"),
        )
        .await;
    assert_eq!(healthy.unwrap().status, 200);
}

#[tokio::test]
async fn completions_sharing_a_message_crash_target_after_target() {
    let config = Config {
        hosts: 3,
        engines: 4,
        ..Config::default()
    };
    let fleet = Fleet::ready(config).await;
    let request = |system: &str, question: usize| {
        json!({"model": "hints", "max_tokens": 8, "stream": false, "messages": [
            {"role": "system", "content": "You teach music."},
            {"role": "system", "content": system},
            {"role": "user", "content": format!("Which note follows number {question}?")}]})
    };
    for (number, host) in fleet.hosts.keys().cycle().take(CALL_COUNT).enumerate() {
        let crashing = request(&format!("Be brief. {POISON}"), number);
        // The outcome doesn't matter here.
        let _ = fleet.chat(host, SCHOOL_KEY, &crashing).await;
    }
    let crashes: u64 = fleet.engines.values().map(|engine| engine.crashes()).sum();
    assert!(crashes <= PART_CRASHES_MAX, "{crashes} targets crashed");
    let healthy = fleet
        .chat(fleet.any_host(), SCHOOL_KEY, &request("Be brief.", 0))
        .await;
    assert_eq!(healthy.unwrap().status, 200);
}
