//! Compares the responses to callers and operators in a session with three host processes
//! and four targets with a snapshot.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod processes;

use hyper::Method;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Response;
use notchwharf_standins::fleet::school_bundle;
use processes::Fleet;
use processes::WAIT_MAX;
use processes::wait_until;
use serde_json::Value;
use serde_json::json;

const ITEMS: usize = 1_000;

/// The responses of the session, without values that vary between runs.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn heading(&mut self, what: &str) {
        self.0.push_str(&format!("# {what}\n"));
    }

    fn response(&mut self, response: &Response) {
        let mut body = response.json();
        normalize(&mut body);
        self.0.push_str(&format!("{} {body:#}\n", response.status));
    }

    fn stream(&mut self, response: &Response) {
        self.0.push_str(&format!("{}\n", response.status));
        for event in response
            .body
            .lines()
            .filter_map(|l| l.strip_prefix("data: "))
        {
            let mut value: Value = serde_json::from_str(event).unwrap_or(json!(event));
            normalize(&mut value);
            self.0.push_str(&format!("data: {value}\n"));
        }
    }
}

fn normalize(value: &mut Value) {
    let Some(object) = value.as_object_mut() else {
        return;
    };
    for name in ["created", "created_at"] {
        if object.contains_key(name) {
            object.insert(name.into(), json!("(time)"));
        }
    }
    let is_random_id = |id: &Value| id.as_str().is_some_and(|id| id.starts_with("chatcmpl-"));
    if object.get("id").is_some_and(is_random_id) {
        object.insert("id".into(), json!("(request)"));
    }
}

fn chat_request(stream: bool) -> String {
    json!({"model": "hints", "max_tokens": 4, "stream": stream,
        "messages": [{"role": "user", "content": "Which note follows C?"}]})
    .to_string()
}

#[tokio::test]
async fn full_session() {
    let mut transcript = Transcript::default();
    let mut fleet = Fleet::start(3).await;
    let url = |fleet: &Fleet, host: usize, path: &str| format!("{}{path}", fleet.hosts[host].url);

    transcript.heading("models");
    let at = url(&fleet, 0, "/v1/models");
    transcript.response(&fleet.send(Method::GET, &at, String::new()).await.unwrap());
    transcript.heading("online, complete");
    let at = url(&fleet, 0, "/v1/chat/completions");
    transcript.response(
        &fleet
            .send(Method::POST, &at, chat_request(false))
            .await
            .unwrap(),
    );
    transcript.heading("online, streamed");
    let at = url(&fleet, 1, "/v1/chat/completions");
    transcript.stream(
        &fleet
            .send(Method::POST, &at, chat_request(true))
            .await
            .unwrap(),
    );

    transcript.heading("a job with an input file that does not exist");
    let at = url(&fleet, 2, "/v1/batches");
    let missing_file = json!({"input_file_id": "file-0", "endpoint": "/v1/chat/completions",
        "completion_window": "24h"});
    transcript.response(
        &fleet
            .send(Method::POST, &at, missing_file.to_string())
            .await
            .unwrap(),
    );
    transcript.heading("an input file of 1,000 items, uploaded to one host and read from another");
    let job = fleet.submit(2, &fleet::input_file("note", ITEMS, 4)).await;
    fleet.wait_busy().await;

    transcript.heading("a new bundle while the job is running");
    let version = fleet.activate_bundle(&school_bundle("2")).await;
    for host in 0..3 {
        let at = format!("{}/admin/v1/bundle", fleet.hosts[host].admin);
        wait_until(|| async {
            fleet
                .get(&at)
                .await
                .is_some_and(|b| b["version"] == version)
        })
        .await;
    }
    let at = format!("{}/admin/v1/history", fleet.hosts[1].admin);
    transcript.response(&fleet.send(Method::GET, &at, String::new()).await.unwrap());

    transcript.heading("host a3 is drained through host a1");
    let at = format!("{}/admin/v1/hosts/a3/drain", fleet.hosts[0].admin);
    transcript.response(&fleet.send(Method::POST, &at, String::new()).await.unwrap());
    let ended = tokio::time::timeout(WAIT_MAX, fleet.hosts[2].child.wait()).await;
    let code = ended.unwrap().unwrap().code();
    transcript.heading(&format!("its process exits with code {code:?}"));

    fleet.check_results(1, &job, ITEMS).await;
    transcript.heading("the job, after reading all results and finding each ID once");
    let at = url(&fleet, 1, &format!("/v1/batches/{job}"));
    transcript.response(&fleet.send(Method::GET, &at, String::new()).await.unwrap());
    transcript.heading("the same input file again yields the same job");
    assert_eq!(
        fleet.submit(0, &fleet::input_file("note", ITEMS, 4)).await,
        job
    );

    transcript.heading("online with the new version");
    let at = format!("{}/admin/v1/targets", fleet.hosts[0].admin);
    let is_loaded = |targets: Value| targets.to_string().matches("tutor/-/2").count() == 4;
    wait_until(|| async { fleet.get(&at).await.is_some_and(is_loaded) }).await;
    let at = url(&fleet, 0, "/v1/chat/completions");
    transcript.response(
        &fleet
            .send(Method::POST, &at, chat_request(false))
            .await
            .unwrap(),
    );

    insta::assert_snapshot!(transcript.0);
}
