//! Online requests in a fleet: complete responses and correctly reported outcomes.
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

fn model_version(version: &str) -> ModelVersion {
    ModelVersion {
        model: "tutor".into(),
        adapter: None,
        version: version.into(),
    }
}

fn chat_request(stream: bool) -> Value {
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

/// Returns the text of a streamed response if it has its end marker.
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
async fn caller_gets_complete_response_to_own_request(
    #[case] faults: engine::Faults,
    #[values(false, true)] stream: bool,
) {
    let fleet = Fleet::ready(one_engine()).await;
    fleet.engines["t1"].set_faults(faults);
    let response = fleet
        .chat("a1", SCHOOL_KEY, &chat_request(stream))
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
    let text = if stream {
        streamed_text(&response.body).unwrap()
    } else {
        let completion = response.json();
        completion["choices"][0]["message"]["content"]
            .as_str()
            .unwrap()
            .to_owned()
    };
    assert_eq!(text, expected_text(PROMPT, &model_version("1"), TOKENS));
}

#[rstest]
#[case::alone(1, 503)]
#[case::with_another(2, 200)]
#[tokio::test]
async fn rejecting_target_is_skipped(#[case] engines: usize, #[case] status: u16) {
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
        let response = fleet
            .chat("a1", SCHOOL_KEY, &chat_request(false))
            .await
            .unwrap();
        let has_not_run = fleet.engines["t1"].runs().is_empty();
        if response.status == 503 {
            assert_eq!(response.json()["error"]["outcome"], "not-run");
            assert!(response.retry_after_s.is_some());
            assert!(has_not_run, "A request reported as not run has run.");
        }
        assert!(
            response.status == status || response.status == 200,
            "{}",
            response.body
        );
    }
}

#[tokio::test]
async fn incomplete_response_is_not_reported_as_complete() {
    let config = Config {
        settings: json!({"online": {"retry_share_percent": 0, "request_timeout_ms": 6_000}}),
        ..one_engine()
    };
    let fleet = Fleet::ready(config).await;
    fleet.engines["t1"].set_faults(engine::Faults {
        cut: 1_000,
        ..Default::default()
    });
    // Each attempt adds one or two tokens, so a long response exhausts the retry budget.
    let mut chat_request = chat_request(false);
    chat_request["max_tokens"] = json!(200);
    let response = fleet.chat("a1", SCHOOL_KEY, &chat_request).await.unwrap();
    assert!(response.status >= 500, "{response:?}");
    assert_eq!(response.json()["error"]["outcome"], "failed");
    chat_request["stream"] = json!(true);
    match fleet.chat("a1", SCHOOL_KEY, &chat_request).await {
        Ok(response) => assert!(response.status >= 500, "{response:?}"),
        Err(report) => {
            let cut = report.current_context();
            assert_eq!(*cut, notchwharf_clients::error::CallError::Lost);
        }
    }
}

#[tokio::test]
async fn stream_resumes_on_another_target_after_crash() {
    let config = Config {
        engines: 2,
        ..one_engine()
    };
    let mut fleet = Fleet::ready(config).await;
    let mut long = chat_request(true);
    long["max_tokens"] = json!(60);
    let busy = |fleet: &Fleet| fleet.engines.values().any(|e| e.streams() > 0);
    let (response, ()) = {
        let chat = fleet.chat("a1", SCHOOL_KEY, &long);
        let watch = fleet.wait_until(|fleet| async move { busy(fleet) });
        let (response, ()) = tokio::join!(chat, async {
            watch.await;
            for engine in fleet.engines.values().filter(|e| e.streams() > 0) {
                engine.kill_streams();
            }
        });
        (response, ())
    };
    let text = streamed_text(&response.unwrap().body).unwrap();
    assert_eq!(text, expected_text(PROMPT, &model_version("1"), 60));
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
async fn invalid_request_gets_typed_error_and_is_not_run(
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
    let response = fleet.send(Method::POST, &url, headers, body.to_owned());
    let response = response.await.unwrap();
    assert_eq!(response.status, status, "{}", response.body);
    assert_eq!(response.json()["error"]["code"], code);
    assert_eq!(response.json()["error"]["outcome"], "not-run");
    assert!(fleet.engines["t1"].runs().is_empty());
}

#[tokio::test]
async fn oversized_body_is_rejected() {
    let config = Config {
        settings: json!({"limits": {"body_bytes_max": 2_048}}),
        ..one_engine()
    };
    let fleet = Fleet::ready(config).await;
    let mut large = chat_request(false);
    large["messages"][0]["content"] = json!("x".repeat(4_096));
    let response = fleet.chat("a1", SCHOOL_KEY, &large).await.unwrap();
    assert_eq!(response.status, 413);
    assert_eq!(response.json()["error"]["code"], "too_large");
}

#[tokio::test]
async fn slow_or_half_closed_sender_gets_error() {
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
        let mut response = String::new();
        // Closing the connection without a response is also acceptable after a half-close,
        // since the request is incomplete.
        let _ = socket.read_to_string(&mut response).await;
        let status_code = response.split(' ').nth(1);
        assert!(
            status_code == Some(status) || (half_close && status_code.is_none()),
            "{response}"
        );
    }
    assert!(fleet.engines["t1"].runs().is_empty());
}

#[tokio::test]
async fn rejection_without_target_has_retry_after() {
    let config = Config {
        engines: 0,
        ..one_engine()
    };
    let fleet = Fleet::start(config).await;
    fleet.activate_bundle(&school_bundle("1")).await;
    let response = fleet
        .chat("a1", SCHOOL_KEY, &chat_request(false))
        .await
        .unwrap();
    assert_eq!(response.status, 503);
    assert_eq!(response.json()["error"]["outcome"], "not-run");
    assert!(response.retry_after_s.is_some());
}

#[tokio::test]
async fn host_without_bundle_is_not_ready() {
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
async fn leaving_target_gets_no_new_requests() {
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
                let response = fleet.get_json(&url).await;
                let targets = response["targets"].as_array().unwrap().clone();
                targets
                    .iter()
                    .any(|t| t["target"] == "t1" && t["leaving"] == true)
            }
        })
        .await;
    let before = fleet.engines["t1"].runs().len();
    for i in 0..20 {
        let mut chat_request = chat_request(false);
        chat_request["messages"][0]["content"] = json!(format!("after {i}"));
        let response = fleet.chat("a1", SCHOOL_KEY, &chat_request).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
    }
    assert_eq!(fleet.engines["t1"].runs().len(), before);
}

#[tokio::test]
async fn only_signed_off_versions_run() {
    let fleet = Fleet::ready(one_engine()).await;
    // The previous version serves until the new one is loaded; after that, only the new
    // one does.
    fleet.activate_bundle(&school_bundle("2")).await;
    let response = fleet
        .chat("a1", SCHOOL_KEY, &chat_request(false))
        .await
        .unwrap();
    let text = response.json()["choices"][0]["message"]["content"].clone();
    let versions = ["1", "2"].map(|v| json!(expected_text(PROMPT, &model_version(v), TOKENS)));
    assert!(versions.contains(&text), "{text}");
    fleet.wait_loaded("tutor/-/2").await;
    let response = fleet
        .chat("a1", SCHOOL_KEY, &chat_request(false))
        .await
        .unwrap();
    assert_eq!(
        response.json()["choices"][0]["message"]["content"],
        versions[1]
    );
}

#[tokio::test]
async fn metrics_are_labelled_with_tenant_and_class() {
    let fleet = Fleet::ready(one_engine()).await;
    fleet
        .chat("a1", SCHOOL_KEY, &chat_request(false))
        .await
        .unwrap();
    fleet
        .chat("a1", PERMITS_KEY, &chat_request(true))
        .await
        .unwrap();
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
