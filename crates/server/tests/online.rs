//! Online requests through a fleet: whole answers, refusals that are true.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use hyper::Method;
use notchwharf_clients::target::ModelVersion;
use notchwharf_standins::engine;
use notchwharf_standins::engine::expected_text;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::PERMITS_KEY;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::fleet::school_bundle;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

const PROMPT: &str = "Which note follows C?";
const TOKENS: u32 = 12;

fn held(version: &str) -> ModelVersion {
    ModelVersion {
        model: "tutor".into(),
        adapter: None,
        version: version.into(),
    }
}

fn ask(stream: bool) -> Value {
    json!({"model": "hints", "max_tokens": TOKENS, "stream": stream,
        "messages": [{"role": "user", "content": PROMPT}]})
}

fn one_engine() -> Config {
    Config {
        hosts: 2,
        engines: 1,
        ..Config::default()
    }
}

/// Returns the text of a streamed answer, if it has its end mark.
fn streamed_text(body: &str) -> Option<String> {
    let events: Vec<&str> = body
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .collect();
    (events.last() == Some(&"[DONE]")).then_some(())?;
    let chunks = events
        .iter()
        .filter_map(|e| serde_json::from_str::<Value>(e).ok());
    let text = |c: Value| {
        c["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    };
    Some(chunks.filter_map(text).collect())
}

#[rstest]
#[case::none(engine::Faults::default())]
#[case::cut(engine::Faults { cut: 1, ..Default::default() })]
#[case::cut_three_times(engine::Faults { cut: 3, ..Default::default() })]
#[case::short(engine::Faults { short: 1, ..Default::default() })]
#[case::crossed(engine::Faults { crossed: 1, ..Default::default() })]
#[case::doubled(engine::Faults { doubled: 1, ..Default::default() })]
#[tokio::test]
async fn a_caller_gets_the_whole_answer_to_its_own_request(
    #[case] faults: engine::Faults,
    #[values(false, true)] stream: bool,
) {
    let fleet = Fleet::ready(one_engine()).await;
    fleet.engines["t1"].set_faults(faults);
    let seen = fleet.chat("a1", SCHOOL_KEY, &ask(stream)).await.unwrap();
    assert_eq!(seen.status, 200, "{}", seen.body);
    let text = if stream {
        streamed_text(&seen.body).unwrap()
    } else {
        let whole = seen.json();
        whole["choices"][0]["message"]["content"]
            .as_str()
            .unwrap()
            .to_owned()
    };
    assert_eq!(text, expected_text(PROMPT, &held("1"), TOKENS));
}

#[rstest]
#[case::alone(1, 503)]
#[case::with_another(2, 200)]
#[tokio::test]
async fn a_target_that_refuses_is_passed_over(#[case] engines: usize, #[case] status: u16) {
    let config = Config {
        engines,
        ..one_engine()
    };
    let fleet = Fleet::ready(config).await;
    fleet.engines["t1"].set_faults(engine::Faults {
        busy: 1,
        ..Default::default()
    });
    for _ in 0..2 {
        let seen = fleet.chat("a1", SCHOOL_KEY, &ask(false)).await.unwrap();
        let busy_left = fleet.engines["t1"].runs().is_empty();
        if seen.status == 503 {
            assert_eq!(seen.json()["error"]["outcome"], "not-run");
            assert!(seen.retry_after_s.is_some());
            assert!(busy_left, "Not run means not run.");
        }
        assert!(seen.status == status || seen.status == 200, "{}", seen.body);
    }
}

#[tokio::test]
async fn an_answer_that_cannot_be_whole_is_no_short_answer() {
    let config = Config {
        settings: json!({"online": {"retry_share_percent": 0, "request_timeout_ms": 6_000}}),
        ..one_engine()
    };
    let fleet = Fleet::ready(config).await;
    fleet.engines["t1"].set_faults(engine::Faults {
        cut: 1_000,
        ..Default::default()
    });
    // Each try adds a token or two, so a long answer outlives the budget.
    let mut ask = ask(false);
    ask["max_tokens"] = json!(200);
    let seen = fleet.chat("a1", SCHOOL_KEY, &ask).await.unwrap();
    assert!(seen.status >= 500, "{seen:?}");
    assert_eq!(seen.json()["error"]["outcome"], "failed");
    ask["stream"] = json!(true);
    match fleet.chat("a1", SCHOOL_KEY, &ask).await {
        Ok(seen) => assert!(seen.status >= 500, "{seen:?}"),
        Err(report) => {
            let cut = report.current_context();
            assert_eq!(*cut, notchwharf_clients::error::CallError::Lost);
        }
    }
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_its_engine_dies() {
    let config = Config {
        engines: 2,
        ..one_engine()
    };
    let mut fleet = Fleet::ready(config).await;
    let mut long = ask(true);
    long["max_tokens"] = json!(60);
    let busy = |fleet: &Fleet| fleet.engines.values().any(|e| e.streams() > 0);
    let (seen, ()) = {
        let chat = fleet.chat("a1", SCHOOL_KEY, &long);
        let watch = fleet.wait_until(|fleet| async move { busy(fleet) });
        let (seen, ()) = tokio::join!(chat, async {
            watch.await;
            for engine in fleet.engines.values().filter(|e| e.streams() > 0) {
                engine.kill_streams();
            }
        });
        (seen, ())
    };
    let text = streamed_text(&seen.unwrap().body).unwrap();
    assert_eq!(text, expected_text(PROMPT, &held("1"), 60));
    fleet.kill_host("a2");
}

#[rstest]
#[case::no_key("", r#"{}"#, 401, "missing_tenant")]
#[case::wrong_key("wrong", r#"{}"#, 401, "unknown_tenant")]
#[case::not_json(SCHOOL_KEY, "{", 400, "malformed_json")]
#[case::no_model(SCHOOL_KEY, r#"{"messages": [{}]}"#, 400, "invalid_value")]
#[case::no_messages(SCHOOL_KEY, r#"{"model": "hints"}"#, 400, "invalid_value")]
#[case::empty(
    SCHOOL_KEY,
    r#"{"model": "hints", "messages": []}"#,
    400,
    "invalid_value"
)]
#[case::two(
    SCHOOL_KEY,
    r#"{"model": "hints", "messages": [{}], "n": 2}"#,
    400,
    "invalid_value"
)]
#[case::zero(
    SCHOOL_KEY,
    r#"{"model": "hints", "messages": [{}], "max_tokens": 0}"#,
    400,
    "invalid_value"
)]
#[case::unknown_model(
    SCHOOL_KEY,
    r#"{"model": "other", "messages": [{}]}"#,
    404,
    "model_not_found"
)]
#[tokio::test]
async fn bad_input_gets_a_typed_error_and_is_not_run(
    #[case] key: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fleet = Fleet::ready(one_engine()).await;
    let url = format!("{}/v1/chat/completions", fleet.url("a1"));
    let auth = format!("Bearer {key}");
    let headers: &[(&str, &str)] = &[("authorization", &auth)];
    let headers = if key.is_empty() { &[] } else { headers };
    let seen = fleet.send(Method::POST, &url, headers, body.to_owned());
    let seen = seen.await.unwrap();
    assert_eq!(seen.status, status, "{}", seen.body);
    assert_eq!(seen.json()["error"]["code"], code);
    assert_eq!(seen.json()["error"]["outcome"], "not-run");
    assert!(fleet.engines["t1"].runs().is_empty());
}

#[tokio::test]
async fn a_body_beyond_the_bound_is_refused() {
    let config = Config {
        settings: json!({"limits": {"body_bytes_max": 2_048}}),
        ..one_engine()
    };
    let fleet = Fleet::ready(config).await;
    let mut large = ask(false);
    large["messages"][0]["content"] = json!("x".repeat(4_096));
    let seen = fleet.chat("a1", SCHOOL_KEY, &large).await.unwrap();
    assert_eq!(seen.status, 413);
    assert_eq!(seen.json()["error"]["code"], "too_large");
}

#[tokio::test]
async fn a_slow_or_half_closed_sender_is_told() {
    use tokio::io::AsyncReadExt as _;
    use tokio::io::AsyncWriteExt as _;
    let config = Config {
        settings: json!({"limits": {"body_timeout_ms": 100}}),
        ..one_engine()
    };
    let fleet = Fleet::ready(config).await;
    for (half_close, status) in [(false, "408"), (true, "400")] {
        let addr = fleet.hosts["a1"].addrs().listen;
        let mut socket = tokio::net::TcpStream::connect(addr).await.unwrap();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer \
             {SCHOOL_KEY}\r\ncontent-length: 100\r\nconnection: close\r\n\r\n{{"
        );
        socket.write_all(head.as_bytes()).await.unwrap();
        if half_close {
            socket.shutdown().await.unwrap();
        }
        let mut answer = String::new();
        // A connection that is closed without an answer is as good here: the
        // sender has not finished its request.
        let _ = socket.read_to_string(&mut answer).await;
        let told = answer.split(' ').nth(1);
        assert!(
            told == Some(status) || (half_close && told.is_none()),
            "{answer}"
        );
    }
    assert!(fleet.engines["t1"].runs().is_empty());
}

#[tokio::test]
async fn without_a_target_the_refusal_says_when_to_come_back() {
    let config = Config {
        engines: 0,
        ..one_engine()
    };
    let fleet = Fleet::start(config).await;
    fleet.activate_bundle(&school_bundle("1")).await;
    let seen = fleet.chat("a1", SCHOOL_KEY, &ask(false)).await.unwrap();
    assert_eq!(seen.status, 503);
    assert_eq!(seen.json()["error"]["outcome"], "not-run");
    assert!(seen.retry_after_s.is_some());
}

#[tokio::test]
async fn a_host_without_a_bundle_is_not_ready() {
    let fleet = Fleet::start(one_engine()).await;
    let url = format!("{}/readyz", fleet.url("a1"));
    assert_eq!(fleet.get("", &url).await.unwrap().status, 503);
    let url = format!("{}/healthz", fleet.url("a1"));
    assert_eq!(fleet.get("", &url).await.unwrap().status, 200);
    fleet.activate_bundle(&school_bundle("1")).await;
    let url = format!("{}/readyz", fleet.url("a1"));
    assert_eq!(fleet.get("", &url).await.unwrap().status, 200);
}

#[tokio::test]
async fn a_leaving_target_gets_no_new_work() {
    let config = Config {
        engines: 2,
        ..one_engine()
    };
    let fleet = Fleet::ready(config).await;
    fleet.engines["t1"].leave();
    let url = format!("{}/admin/v1/targets", fleet.admin_url("a1"));
    fleet
        .wait_until(|fleet| {
            let url = url.clone();
            async move {
                let seen = fleet.get_json(&url).await;
                let targets = seen["targets"].as_array().unwrap().clone();
                targets
                    .iter()
                    .any(|t| t["target"] == "t1" && t["leaving"] == true)
            }
        })
        .await;
    let before = fleet.engines["t1"].runs().len();
    for i in 0..20 {
        let mut ask = ask(false);
        ask["messages"][0]["content"] = json!(format!("after {i}"));
        let seen = fleet.chat("a1", SCHOOL_KEY, &ask).await.unwrap();
        assert_eq!(seen.status, 200, "{}", seen.body);
    }
    assert_eq!(fleet.engines["t1"].runs().len(), before);
}

#[tokio::test]
async fn only_what_was_signed_off_runs() {
    let fleet = Fleet::ready(one_engine()).await;
    fleet.activate_bundle(&school_bundle("2")).await;
    // While the new version loads, the one signed off before serves; once it
    // is there, nothing else does.
    let seen = fleet.chat("a1", SCHOOL_KEY, &ask(false)).await.unwrap();
    let text = seen.json()["choices"][0]["message"]["content"].clone();
    let versions = ["1", "2"].map(|v| json!(expected_text(PROMPT, &held(v), TOKENS)));
    assert!(versions.contains(&text), "{text}");
    fleet.wait_loaded("tutor/-/2").await;
    let seen = fleet.chat("a1", SCHOOL_KEY, &ask(false)).await.unwrap();
    assert_eq!(seen.json()["choices"][0]["message"]["content"], versions[1]);
}

#[tokio::test]
async fn metrics_tell_tenants_and_classes() {
    let fleet = Fleet::ready(one_engine()).await;
    fleet.chat("a1", SCHOOL_KEY, &ask(false)).await.unwrap();
    fleet.chat("a1", PERMITS_KEY, &ask(true)).await.unwrap();
    let url = format!("{}/metrics", fleet.url("a1"));
    let text = fleet.get("", &url).await.unwrap().body;
    for line in [
        r#"notchwharf_first_token_seconds_count{class="online",tenant="school"} 1"#,
        r#"notchwharf_whole_answer_seconds_count{class="online",tenant="permits"} 1"#,
        r#"notchwharf_requests_total{outcome="answered"}"#,
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    let median = r#"whole_answer_seconds{class="online",tenant="school",quantile="0.5"} "#;
    let (_, after) = text.split_once(median).unwrap();
    let seconds: f64 = after.lines().next().unwrap().parse().unwrap();
    // Twelve tokens take at least twelve of the engine's shortest steps.
    assert!(seconds > 0.05, "{seconds}");
}
