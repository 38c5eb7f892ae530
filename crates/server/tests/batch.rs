//! Batch jobs through a fleet: accepted whole, done exactly once, readable.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::BTreeMap;

use hyper::Method;
use notchwharf_clients::target::ModelVersion;
use notchwharf_standins::engine;
use notchwharf_standins::engine::expected_text;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::PERMITS_KEY;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::platform::Faults;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

const TOKENS: u32 = 6;

fn counts(job: &Value) -> (u64, u64, u64) {
    let at = |name: &str| job["request_counts"][name].as_u64().unwrap();
    (at("total"), at("completed"), at("failed"))
}

/// Checks that a job's results are whole: each item once, with its own text.
async fn check_results(fleet: &Fleet, job: &Value, name: &str, items: usize) {
    let output = job["output_file_id"].as_str().unwrap();
    let lines = fleet.lines(SCHOOL_KEY, output).await;
    let by_id: BTreeMap<&str, &Value> = lines
        .iter()
        .map(|l| (l["custom_id"].as_str().unwrap(), l))
        .collect();
    assert_eq!((lines.len(), by_id.len()), (items, items));
    let held = ModelVersion {
        model: "tutor".into(),
        adapter: None,
        version: "1".into(),
    };
    for i in 0..items {
        let line = by_id[format!("{name}-{i}").as_str()];
        let text = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(*text, expected_text(&format!("{name} {i}"), &held, TOKENS));
    }
}

#[tokio::test]
async fn any_host_answers_for_any_job() {
    let fleet = Fleet::ready(Config::default()).await;
    let job = fleet
        .submit("a1", SCHOOL_KEY, &fleet::input_file("n", 60, TOKENS))
        .await;
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    assert_eq!(counts(&ended), (60, 60, 0));
    check_results(&fleet, &ended, "n", 60).await;
    for host in ["a1", "a2", "a3"] {
        let url = format!("{}/v1/batches/{job}", fleet.url(host));
        let seen = fleet.get(SCHOOL_KEY, &url).await.unwrap();
        assert_eq!(seen.json(), ended);
        let other = fleet.get(PERMITS_KEY, &url).await.unwrap();
        assert_eq!(other.status, 404, "Another tenant does not see it.");
    }
}

#[tokio::test]
async fn a_resent_job_is_the_same_job() {
    let fleet = Fleet::ready(Config::default()).await;
    let lot = fleet::input_file("n", 5, TOKENS);
    let first = fleet.submit("a1", SCHOOL_KEY, &lot).await;
    let again = fleet.submit("a2", SCHOOL_KEY, &lot).await;
    assert_eq!(first, again);
    let other = fleet.submit("a2", PERMITS_KEY, &lot).await;
    assert_ne!(first, other, "Another tenant's job is its own.");
    fleet.wait_job_end(SCHOOL_KEY, &first).await;
    let after = fleet.submit("a3", SCHOOL_KEY, &lot).await;
    assert_eq!(first, after);
}

#[tokio::test]
async fn a_key_used_with_another_job_is_refused() {
    let fleet = Fleet::ready(Config::default()).await;
    let url = format!("{}/v1/batches", fleet.url("a1"));
    let mut seen = Vec::new();
    for name in ["n", "n", "m"] {
        let file = fleet
            .upload("a1", SCHOOL_KEY, &fleet::input_file(name, 3, TOKENS))
            .await;
        let body = json!({"input_file_id": file.json()["id"],
            "endpoint": "/v1/chat/completions", "completion_window": "24h"});
        let auth = format!("Bearer {SCHOOL_KEY}");
        let headers = [("authorization", auth.as_str()), ("idempotency-key", "k1")];
        let sent = fleet.send(Method::POST, &url, &headers, body.to_string());
        seen.push(sent.await.unwrap());
    }
    assert_eq!(
        (seen[0].status, seen[1].status, seen[2].status),
        (200, 200, 409)
    );
    assert_eq!(seen[0].json()["id"], seen[1].json()["id"]);
}

fn line(id: &str, model: &str) -> String {
    let body = json!({"model": model, "messages": [{"role": "user", "content": id}]});
    json!({"custom_id": id, "method": "POST", "url": "/v1/chat/completions", "body": body})
        .to_string()
}

#[rstest]
#[case::not_json(format!("{}\n{{", line("a", "hints")), 2, "not valid JSON")]
#[case::same_id(format!("{0}\n\n{0}", line("a", "hints")), 3, "stands twice")]
#[case::unknown_model(line("a", "other"), 1, "no model `other`")]
#[case::no_id(line("", "hints"), 1, "custom_id")]
#[case::no_body(r#"{"custom_id":"a","method":"POST","url":"/v1/chat/completions"}"#.into(), 1, "body")]
#[case::other_url(line("a", "hints").replace("chat/", "text/"), 1, "url")]
#[case::other_method(line("a", "hints").replace("POST", "PUT"), 1, "method")]
#[tokio::test]
async fn a_bad_line_is_named_and_nothing_is_accepted(
    #[case] lot: String,
    #[case] number: u32,
    #[case] why: &str,
) {
    let fleet = Fleet::ready(Config::default()).await;
    let seen = fleet.upload("a1", SCHOOL_KEY, &lot).await;
    assert_eq!(seen.status, 400, "{}", seen.body);
    let message = seen.json()["error"]["message"].as_str().unwrap().to_owned();
    assert!(
        message.starts_with(&format!("Line {number}: ")),
        "{message}"
    );
    assert!(message.contains(why), "{message}");
    let jobs = fleet.create_job("a1", SCHOOL_KEY, &json!("file-0")).await;
    assert_eq!(jobs.status, 404);
}

#[tokio::test]
async fn an_empty_or_too_long_lot_is_refused() {
    let config = Config {
        settings: json!({"limits": {"lot_items_max": 3}}),
        ..Config::default()
    };
    let fleet = Fleet::ready(config).await;
    assert_eq!(fleet.upload("a1", SCHOOL_KEY, "\n\n").await.status, 400);
    let lot = fleet::input_file("n", 4, TOKENS);
    assert_eq!(fleet.upload("a1", SCHOOL_KEY, &lot).await.status, 413);
}

#[tokio::test]
async fn a_cancelled_job_stops() {
    let fleet = Fleet::ready(Config::default()).await;
    let job = fleet
        .submit("a1", SCHOOL_KEY, &fleet::input_file("n", 2_000, 64))
        .await;
    fleet
        .wait_until(|fleet| async { fleet.engines.values().any(|e| e.streams() > 0) })
        .await;
    let url = format!("{}/v1/batches/{job}/cancel", fleet.url("a3"));
    let auth = format!("Bearer {SCHOOL_KEY}");
    let headers = [("authorization", auth.as_str())];
    // On a busy machine a lease may lapse for a moment. The owner then refuses,
    // and a caller that is told "not run" asks again, as it should.
    let seen = fleet::retry_until_final(|| async {
        let seen = fleet.send(Method::POST, &url, &headers, "").await;
        seen.unwrap()
    })
    .await;
    assert_eq!(seen.json()["status"], "cancelled", "{}", seen.body);
    let counted = counts(&fleet.job(SCHOOL_KEY, &job).await);
    fleet
        .wait_until(|fleet| async { fleet.engines.values().all(|e| e.streams() == 0) })
        .await;
    let after = fleet.job(SCHOOL_KEY, &job).await;
    assert_eq!(counts(&after), counted, "Nothing is done after the cancel.");
    assert!(counted.1 < 2_000);
}

#[tokio::test]
async fn an_item_that_can_never_be_done_is_listed_with_its_reason() {
    let fleet = Fleet::ready(Config::default()).await;
    let mut lot = fleet::input_file("n", 20, TOKENS);
    lot.push_str(
        &line("bad", "hints").replace("\"content\":\"bad\"", "\"content\":\"[malformed]\""),
    );
    assert!(lot.contains(engine::MALFORMED));
    let job = fleet.submit("a1", SCHOOL_KEY, &lot).await;
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    assert_eq!(counts(&ended), (21, 20, 1));
    let errors = ended["error_file_id"].as_str().unwrap();
    let lines = fleet.lines(SCHOOL_KEY, errors).await;
    assert_eq!(lines[0]["custom_id"], "bad");
    assert_eq!(lines[0]["error"]["code"], "rejected_by_target");
}

#[tokio::test]
async fn an_item_that_kills_its_target_does_not_take_the_lot_along() {
    let fleet = Fleet::ready(Config::default()).await;
    let mut lot = fleet::input_file("n", 30, TOKENS);
    lot.push_str(&line("bad", "hints").replace("\"content\":\"bad\"", "\"content\":\"[poison]\""));
    let job = fleet.submit("a1", SCHOOL_KEY, &lot).await;
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    assert_eq!(counts(&ended), (31, 30, 1));
    let errors = ended["error_file_id"].as_str().unwrap();
    let lines = fleet.lines(SCHOOL_KEY, errors).await;
    assert_eq!(lines[0]["error"]["code"], "attempts_exhausted");
    check_results(&fleet, &ended, "n", 30).await;
}

#[rstest]
#[case::once(1)]
#[case::twice(2)]
#[tokio::test]
async fn nothing_is_lost_or_doubled_when_hosts_die(#[case] kills: usize) {
    let config = Config {
        hosts: 4,
        ..Config::default()
    };
    let mut fleet = Fleet::ready(config).await;
    let job = fleet
        .submit("a4", SCHOOL_KEY, &fleet::input_file("n", 400, TOKENS))
        .await;
    for victim in ["a4", "a2"].into_iter().take(kills) {
        fleet.kill_host(victim);
        fleet
            .wait_until(|fleet| async { fleet.engines.values().any(|e| e.streams() > 0) })
            .await;
    }
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    assert_eq!(counts(&ended), (400, 400, 0));
    check_results(&fleet, &ended, "n", 400).await;
}

#[tokio::test]
async fn a_new_owner_hands_out_nothing_that_hosts_still_run() {
    let mut fleet = Fleet::ready(Config::default()).await;
    // Items that outlast the takeover, and enough for every target.
    let job = fleet
        .submit("a1", SCHOOL_KEY, &fleet::input_file("n", 80, 300))
        .await;
    fleet
        .wait_until(|fleet| async {
            fleet.engines.values().map(|e| e.streams()).sum::<usize>() >= 60
        })
        .await;
    let url = format!("{}/admin/v1/hosts", fleet.admin_url("a1"));
    let hosts = fleet.get_json(&url).await;
    let shard = notchwharf_ledger::rendezvous::shard_of(&job, 6);
    let holds = |host: &Value| {
        let shards = host["report"]["shards"].as_array().unwrap();
        shards.iter().any(|s| *s == shard)
    };
    let owner = hosts["hosts"]
        .as_array()
        .unwrap()
        .iter()
        .find(|h| holds(h))
        .unwrap();
    let lost = owner["report"]["targets"].to_string();
    let kept = |name: &str| !lost.contains(&format!("{name:?}"));
    let running: Vec<String> = fleet
        .engines
        .iter()
        .filter(|(name, _)| kept(name))
        .flat_map(|(_, engine)| engine.runs().into_keys())
        .collect();
    fleet.kill_host(owner["host"].as_str().unwrap());
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    assert_eq!(counts(&ended), (80, 80, 0));
    let runs = |prompt: &str| {
        let runs = fleet
            .engines
            .values()
            .filter_map(|e| e.runs().get(prompt).copied());
        runs.sum::<u32>()
    };
    let again: Vec<&String> = running.iter().filter(|p| runs(p) > 1).collect();
    assert!(
        again.is_empty(),
        "{} of {} ran again",
        again.len(),
        running.len()
    );
}

#[tokio::test]
async fn a_job_ends_after_the_log_was_down_and_lost_answers() {
    let fleet = Fleet::ready(Config::default()).await;
    let job = fleet
        .submit("a1", SCHOOL_KEY, &fleet::input_file("n", 300, TOKENS))
        .await;
    fleet.platform.set_faults(Faults {
        log_down: true,
        ..Faults::default()
    });
    let refused = fleet
        .upload("a2", SCHOOL_KEY, &fleet::input_file("m", 3, TOKENS))
        .await;
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert_eq!(refused.json()["error"]["outcome"], "not-run");
    assert!(refused.retry_after_s.is_some());
    let online = json!({"model": "hints", "messages": [{"role": "user", "content": "hi"}]});
    let online = fleet.chat("a2", SCHOOL_KEY, &online).await.unwrap();
    assert_eq!(online.status, 200, "Online requests go on from memory.");
    fleet.platform.set_faults(Faults {
        lose_answers: 20,
        ..Faults::default()
    });
    let ended = fleet.wait_job_end(SCHOOL_KEY, &job).await;
    assert_eq!(counts(&ended), (300, 300, 0));
    check_results(&fleet, &ended, "n", 300).await;
}
