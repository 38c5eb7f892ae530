//! A whole session with three host processes and four targets, as a golden
//! file: what callers and operators see, in order.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod processes;

use hyper::Method;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Response;
use notchwharf_standins::fleet::school_bundle;
use processes::Fleet;
use processes::WAIT_MAX;
use processes::until;
use serde_json::Value;
use serde_json::json;

const ITEMS: usize = 1_000;

/// What was seen, without what differs from run to run.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn say(&mut self, what: &str) {
        self.0.push_str(&format!("# {what}\n"));
    }

    fn seen(&mut self, seen: &Response) {
        let mut body = seen.json();
        steady(&mut body);
        self.0.push_str(&format!("{} {body:#}\n", seen.status));
    }

    fn stream(&mut self, seen: &Response) {
        self.0.push_str(&format!("{}\n", seen.status));
        for event in seen.body.lines().filter_map(|l| l.strip_prefix("data: ")) {
            let mut value: Value = serde_json::from_str(event).unwrap_or(json!(event));
            steady(&mut value);
            self.0.push_str(&format!("data: {value}\n"));
        }
    }
}

fn steady(value: &mut Value) {
    let Some(object) = value.as_object_mut() else {
        return;
    };
    for name in ["created", "created_at"] {
        if object.contains_key(name) {
            object.insert(name.into(), json!("(time)"));
        }
    }
    let random = |id: &Value| id.as_str().is_some_and(|id| id.starts_with("chatcmpl-"));
    if object.get("id").is_some_and(random) {
        object.insert("id".into(), json!("(request)"));
    }
}

fn ask(stream: bool) -> String {
    json!({"model": "hints", "max_tokens": 4, "stream": stream,
        "messages": [{"role": "user", "content": "Which note follows C?"}]})
    .to_string()
}

#[tokio::test]
async fn a_whole_session() {
    let mut seen = Transcript::default();
    let mut fleet = Fleet::start(3).await;
    let url = |fleet: &Fleet, host: usize, path: &str| format!("{}{path}", fleet.hosts[host].url);

    seen.say("models");
    let at = url(&fleet, 0, "/v1/models");
    seen.seen(&fleet.send(Method::GET, &at, String::new()).await.unwrap());
    seen.say("online, whole");
    let at = url(&fleet, 0, "/v1/chat/completions");
    seen.seen(&fleet.send(Method::POST, &at, ask(false)).await.unwrap());
    seen.say("online, streamed");
    let at = url(&fleet, 1, "/v1/chat/completions");
    seen.stream(&fleet.send(Method::POST, &at, ask(true)).await.unwrap());

    seen.say("a job of a lot that is not there");
    let at = url(&fleet, 2, "/v1/batches");
    let wrong = json!({"input_file_id": "file-0", "endpoint": "/v1/chat/completions",
        "completion_window": "24h"});
    seen.seen(
        &fleet
            .send(Method::POST, &at, wrong.to_string())
            .await
            .unwrap(),
    );
    seen.say("a lot of 1,000 items, sent to one host and read at another");
    let job = fleet.submit(2, &fleet::input_file("note", ITEMS, 4)).await;
    fleet.until_busy().await;

    seen.say("a new bundle while it runs");
    let version = fleet.put_in_force(&school_bundle("2")).await;
    for host in 0..3 {
        let at = format!("{}/admin/v1/bundle", fleet.hosts[host].admin);
        until(|| async {
            fleet
                .get(&at)
                .await
                .is_some_and(|b| b["version"] == version)
        })
        .await;
    }
    let at = format!("{}/admin/v1/history", fleet.hosts[1].admin);
    seen.seen(&fleet.send(Method::GET, &at, String::new()).await.unwrap());

    seen.say("host a3 is drained through host a1");
    let at = format!("{}/admin/v1/hosts/a3/drain", fleet.hosts[0].admin);
    seen.seen(&fleet.send(Method::POST, &at, String::new()).await.unwrap());
    let ended = tokio::time::timeout(WAIT_MAX, fleet.hosts[2].child.wait()).await;
    let code = ended.unwrap().unwrap().code();
    seen.say(&format!("its process ends with code {code:?}"));

    fleet.check_whole(1, &job, ITEMS).await;
    seen.say("the job, with all results read and each id found once");
    let at = url(&fleet, 1, &format!("/v1/batches/{job}"));
    seen.seen(&fleet.send(Method::GET, &at, String::new()).await.unwrap());
    seen.say("the same lot again is the same job");
    assert_eq!(
        fleet.submit(0, &fleet::input_file("note", ITEMS, 4)).await,
        job
    );

    seen.say("online on the new version");
    let at = format!("{}/admin/v1/targets", fleet.hosts[0].admin);
    let held = |seen: Value| seen.to_string().matches("tutor/-/2").count() == 4;
    until(|| async { fleet.get(&at).await.is_some_and(held) }).await;
    let at = url(&fleet, 0, "/v1/chat/completions");
    seen.seen(&fleet.send(Method::POST, &at, ask(false)).await.unwrap());

    insta::assert_snapshot!(seen.0);
}
