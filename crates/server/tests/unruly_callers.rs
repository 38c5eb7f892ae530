//! Crowds of callers that stay outside the limits, do not finish, or do not read, at the product's
//! own interface.
//!
//! Each test starts a host as a process that may use little memory and few descriptors. While the
//! crowd's connections are open, and after they are closed, an ordinary request is answered. It is
//! repeated as callers repeat it.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

// The platform adapter's tests use the same clients.
#[path = "../../../platform/tests/standin/crowd.rs"]
#[allow(
    dead_code,
    unreachable_pub,
    reason = "The adapter's tests use all of it."
)]
mod crowd;
mod processes;

use std::net::SocketAddr;
use std::time::Duration;

use crowd::Conduct;
use crowd::Crowd;
use crowd::Framing;
use crowd::Usage;
use hyper::Method;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::fleet::UPLOAD_CONTENT_TYPE;
use processes::Fleet;
use processes::Machine;
use processes::wait_until;
use rstest::rstest;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

/// What the host may use.
const MACHINE: Machine = Machine {
    memory_bytes: 256 << 20,
    descriptors: 512,
};
/// Maximum size of a request body in the host's settings.
const BODY_MAX: usize = 8 << 20;
/// Callers whose bodies together have more bytes than the machine.
const CROWD: usize = 64;
/// Callers that have more connections than the host has descriptors.
const LARGE_CROWD: usize = 800;
/// Timeout of an attempt of an ordinary caller.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of a large file.
const FILE_BYTES: usize = 6 << 20;
const CHAT: &str = "/v1/chat/completions";
const SERVICE: &str = "/services/filing/1";
const FILES: &str = "/v1/files";
/// What comes before the content of an uploaded file, and of the field that is before it.
const FILE_BEGIN: &str = "--edge\r\ncontent-disposition: form-data; name=\"file\"; \
                          filename=\"lot.jsonl\"\r\n\r\n";
const PURPOSE_BEGIN: &str = "--edge\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\n";
const PART_HEAD_BEGIN: &str = "--edge\r\ncontent-disposition: form-data; name=\"";

/// Held while a test runs: the tests' crowds are not to meet.
static ALONE: Mutex<()> = Mutex::const_new(());

struct Scene {
    _alone: MutexGuard<'static, ()>,
    fleet: Fleet,
    usage: Usage,
}

impl Scene {
    async fn start() -> Self {
        let alone = ALONE.lock().await;
        let limits = json!({"body_bytes_max": BODY_MAX});
        let fleet = Fleet::start_on(1, Some(MACHINE), limits).await;
        let pid = fleet.hosts[0].child.id().unwrap();
        let usage = Usage::observe(pid, addr(&fleet).port());
        let scene = Self {
            _alone: alone,
            fleet,
            usage,
        };
        scene.check_served().await;
        scene
    }

    /// Waits until an ordinary request is served.
    async fn check_served(&self) {
        let url = format!("{}{CHAT}", self.fleet.hosts[0].url);
        let request = json!({"model": "hints", "max_tokens": 8,
            "messages": [{"role": "user", "content": "1"}]});
        wait_until(|| async {
            let sent = self.fleet.send(Method::POST, &url, request.to_string());
            let response = tokio::time::timeout(ATTEMPT_TIMEOUT, sent).await;
            response.ok().flatten().is_some_and(|r| r.status == 200)
        })
        .await;
    }

    /// Checks that the process lives and has stayed within its machine.
    fn check_within_machine(&mut self) {
        let status = self.fleet.hosts[0].child.try_wait().unwrap();
        assert_eq!(status, None, "the process has ended");
        let peak = self.usage.peak();
        println!("peak: {peak:?}");
        assert!(peak.bytes > 0, "no process was sampled");
        assert!(peak.bytes < MACHINE.memory_bytes, "{peak:?}");
        assert!(peak.descriptors < MACHINE.descriptors, "{peak:?}");
    }

    /// Lets a crowd do what it does, and checks the host meanwhile and afterwards.
    async fn withstand(&mut self, clients: usize, conduct: &Conduct) {
        let crowd = Crowd::start(addr(&self.fleet), clients, conduct);
        crowd.settle(&self.usage).await;
        self.check_within_machine();
        self.check_served().await;
        drop(crowd);
        self.check_served().await;
        self.check_within_machine();
    }
}

fn addr(fleet: &Fleet) -> SocketAddr {
    let url = &fleet.hosts[0].url;
    url.trim_start_matches("http://").parse().unwrap()
}

/// Returns the head of a request with a key, without its end.
fn head(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {SCHOOL_KEY}\r\n\
         Content-Type: {UPLOAD_CONTENT_TYPE}\r\n"
    )
}

/// Bodies within the limit that stop short of their end, and bodies over it.
#[rstest]
#[case::announced_unfinished(Framing::Length(BODY_MAX), BODY_MAX - 1)]
#[case::large_chunks(Framing::Chunks(64 << 10), BODY_MAX)]
#[case::small_chunks(Framing::Chunks(48), BODY_MAX)]
#[case::announced_over_limit(Framing::Length(1 << 40), 2 * BODY_MAX)]
#[case::chunked_over_limit(Framing::Chunks(64 << 10), 2 * BODY_MAX)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_bodies_that_do_not_end(
    #[case] framing: Framing,
    #[case] bytes: usize,
    #[values(CHAT, SERVICE)] path: &str,
) {
    let mut scene = Scene::start().await;
    let conduct = Conduct::unfinished(&head(path), framing, bytes);
    scene.withstand(CROWD, &conduct).await;
}

/// Connections that hold a descriptor each.
#[rstest]
#[case::silent(Conduct::silent(""))]
#[case::unfinished_head(Conduct::silent(&format!("{}X-Long: {}", head(CHAT), "x".repeat(15_000))))]
#[case::announced_unsent(Conduct::unfinished(&head(CHAT), Framing::Length(BODY_MAX), 1))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_connections_that_stay_open(#[case] conduct: Conduct) {
    let mut scene = Scene::start().await;
    scene.withstand(LARGE_CROWD, &conduct).await;
}

/// Forms whose file, field or part head does not end.
#[rstest]
#[case::line(FILE_BEGIN, BODY_MAX)]
#[case::purpose(PURPOSE_BEGIN, 2 * BODY_MAX)]
#[case::part_head(PART_HEAD_BEGIN, 2 * BODY_MAX)]
#[case::preamble("", 2 * BODY_MAX)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_uploads_that_do_not_end(
    #[case] begin: &str,
    #[case] bytes: usize,
) {
    let mut scene = Scene::start().await;
    let conduct = Conduct {
        begin: begin.into(),
        ..Conduct::unfinished(&head(FILES), Framing::Chunks(64 << 10), bytes)
    };
    scene.withstand(CROWD, &conduct).await;
}

/// Complete requests that are small as text and large once they are parsed.
#[rstest]
#[case::numbers("{\"model\":\"hints\",\"messages\":[", "0,")]
#[case::lists("{\"model\":\"hints\",\"messages\":[", "[],")]
#[case::fields("{\"model\":\"hints\",\"messages\":[{", "\"a\":1,")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_requests_that_grow_when_parsed(
    #[case] begin: &str,
    #[case] filling: &str,
) {
    let mut scene = Scene::start().await;
    let conduct = Conduct {
        begin: begin.into(),
        filling: filling.into(),
        ends: true,
        ..Conduct::unfinished(&head(CHAT), Framing::Chunks(64 << 10), BODY_MAX - 1)
    };
    scene.withstand(CROWD, &conduct).await;
}

/// Answers whose callers ask for one after the other and read none.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_callers_that_ask_on_without_reading() {
    let mut scene = Scene::start().await;
    let request = "GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n";
    let conduct = Conduct::silent(&request.repeat(20_000));
    scene.withstand(CROWD, &conduct).await;
}

/// Files whose callers do not read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_callers_that_do_not_read_files() {
    let mut scene = Scene::start().await;
    let line = json!({"custom_id": "i", "method": "POST", "url": CHAT, "body": {
        "model": "hints", "messages": [{"role": "user", "content": "b".repeat(FILE_BYTES)}]}});
    let form = fleet::upload_form(&line.to_string());
    let auth = format!("Bearer {SCHOOL_KEY}");
    let headers = [
        ("authorization", auth.as_str()),
        ("content-type", UPLOAD_CONTENT_TYPE),
    ];
    let url = format!("{}{FILES}", scene.fleet.hosts[0].url);
    let client = &scene.fleet.client;
    let uploaded = fleet::send(client, Method::POST, &url, &headers, form.into()).await;
    let uploaded = uploaded.unwrap();
    assert_eq!(uploaded.status, 200, "{}", uploaded.body);
    let file = uploaded.json()["id"].as_str().unwrap().to_owned();
    let head = format!(
        "GET {FILES}/{file}/content HTTP/1.1\r\nHost: a.example\r\nAuthorization: {auth}\r\n\r\n"
    );
    scene.withstand(CROWD, &Conduct::silent(&head)).await;
}

/// Alone, a request of the largest size is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_serves_a_lone_request_of_the_largest_size() {
    let mut scene = Scene::start().await;
    let url = format!("{}{SERVICE}", scene.fleet.hosts[0].url);
    let response = scene.fleet.send(Method::POST, &url, "b".repeat(BODY_MAX));
    let response: fleet::Response = response.await.unwrap();
    assert!(response.status < 300, "{}", response.status);
    // The engines' time for a prompt grows with its length.
    let chat = json!({"model": "hints", "max_tokens": 8, "user": "b".repeat(BODY_MAX - 200),
        "messages": [{"role": "user", "content": "1"}]});
    let url = format!("{}{CHAT}", scene.fleet.hosts[0].url);
    let response = scene.fleet.send(Method::POST, &url, chat.to_string());
    let response = response.await.unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
    scene.check_within_machine();
}

/// Sound requests of nearly the largest size, at the same time and again: a crowd that keeps all limits.
#[rstest]
#[case::service(SERVICE, "", "")]
#[case::chat(
    CHAT,
    "{\"model\":\"hints\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"1\"}],\"user\":\"",
    "\"}"
)]
#[case::upload(
    FILES,
    "--edge\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
     --edge\r\ncontent-disposition: form-data; name=\"file\"; filename=\"lot.jsonl\"\r\n\r\n\
     {\"custom_id\":\"i\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\
     \"model\":\"hints\",\"messages\":[{\"role\":\"user\",\"content\":\"",
    "\"}]}}\r\n--edge--\r\n"
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_sound_requests_of_the_largest_size(
    #[case] path: &str,
    #[case] begin: &str,
    #[case] end: &str,
) {
    let mut scene = Scene::start().await;
    let url = format!("{}{path}", scene.fleet.hosts[0].url);
    let auth = format!("Bearer {SCHOOL_KEY}");
    let headers = [
        ("authorization", auth.as_str()),
        ("content-type", UPLOAD_CONTENT_TYPE),
    ];
    let filling = "b".repeat(BODY_MAX - (16 << 10));
    let body = bytes::Bytes::from(format!("{begin}{filling}{end}"));
    for _ in 0..2 {
        let client = &scene.fleet.client;
        let sent = (0..CROWD).map(|_| {
            let sent = fleet::send(client, Method::POST, &url, &headers, body.clone());
            tokio::time::timeout(ATTEMPT_TIMEOUT, sent)
        });
        futures_util::future::join_all(sent).await;
        scene.check_within_machine();
    }
    scene.check_served().await;
    scene.check_within_machine();
}

/// Crowds of all kinds, each gone before the next one comes: what one leaves behind adds up.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_crowds_one_after_the_other() {
    let mut scene = Scene::start().await;
    let upload = Conduct {
        begin: FILE_BEGIN.into(),
        ..Conduct::unfinished(&head(FILES), Framing::Chunks(64 << 10), BODY_MAX)
    };
    let conducts = [
        Conduct::unfinished(&head(CHAT), Framing::Length(BODY_MAX), BODY_MAX - 1),
        Conduct::unfinished(&head(SERVICE), Framing::Chunks(64 << 10), BODY_MAX),
        upload,
        Conduct::silent(&format!("{}X-Long: {}", head(CHAT), "x".repeat(15_000))),
    ];
    for conduct in conducts {
        scene.withstand(CROWD, &conduct).await;
    }
}

/// Callers that do not finish, or do not read, do not keep a host from shutting down.
#[rstest]
#[case::unfinished_bodies(Conduct::unfinished(&head(CHAT), Framing::Length(BODY_MAX), BODY_MAX - 1))]
#[case::unfinished_uploads(Conduct {
    begin: FILE_BEGIN.into(),
    ..Conduct::unfinished(&head(FILES), Framing::Chunks(64 << 10), BODY_MAX)
})]
#[case::unread(Conduct::silent(&"GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n".repeat(20_000)))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_shuts_down_under_a_crowd(#[case] conduct: Conduct) {
    let mut scene = Scene::start().await;
    let crowd = Crowd::start(addr(&scene.fleet), CROWD, &conduct);
    crowd.settle(&scene.usage).await;
    scene.check_within_machine();
    let child = &mut scene.fleet.hosts[0].child;
    let pid = child.id().unwrap().to_string();
    let sent = std::process::Command::new("kill").arg(&pid).status();
    assert!(sent.unwrap().success());
    let ended = tokio::time::timeout(processes::WAIT_MAX, child.wait()).await;
    assert!(ended.unwrap().is_ok_and(|status| status.code().is_some()));
}
