//! Answers of services and engines whose heads or bodies are broken, at the product's own interface.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

// The platform adapter's tests send the same answers.
#[path = "../../../platform/tests/standin/broken.rs"]
#[allow(
    dead_code,
    unreachable_pub,
    reason = "The adapter's tests use all of it."
)]
mod broken;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use broken::Broken;
use broken::End;
use broken::PLAIN_BODY;
use broken::START;
use hyper::Method;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_standins::fleet;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::PERMITS_KEY;
use notchwharf_standins::fleet::Response;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Bytes of a request's body that do not fit into the buffers of a connection.
const LONG_BODY_BYTES: usize = 6 << 20;
/// Attempts until a call runs, and the time between two of them.
const ATTEMPTS_MAX: usize = 1_000;
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of a request's body that are read before an early answer.
const EARLY_BODY_BYTES: usize = 4 << 10;

/// A service that answers byte for byte.
#[derive(Clone)]
struct Service {
    url: String,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Copy)]
struct State {
    answer: Broken,
    is_early: bool,
    runs: usize,
}

impl Service {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let state = State {
            answer: whole_answer(),
            is_early: false,
            runs: 0,
        };
        let service = Self {
            url: format!("http://{}", listener.local_addr().unwrap()),
            state: Arc::new(Mutex::new(state)),
        };
        let serving = service.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let service = serving.clone();
                // A broken connection is caused by the host.
                tokio::spawn(async move {
                    let _ = service.answer(socket).await;
                });
            }
        });
        service
    }

    fn set(&self, answer: Broken, is_early: bool) {
        let mut state = self.state.lock().unwrap();
        state.answer = answer;
        state.is_early = is_early;
    }

    fn runs(&self) -> usize {
        self.state.lock().unwrap().runs
    }

    async fn answer(&self, mut socket: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(socket.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let mut lines = head.lines();
        let len = lines.find_map(|line| line.strip_prefix("content-length: "));
        let len: usize = len.map_or(0, |len| len.parse().unwrap());
        let State {
            answer, is_early, ..
        } = *self.state.lock().unwrap();
        self.state.lock().unwrap().runs += 1;
        let read = if is_early {
            len.min(EARLY_BODY_BYTES)
        } else {
            len
        };
        socket.read_exact(&mut vec![0; read]).await?;
        socket.write_all(&answer.encode("r", "s")).await?;
        if answer.end == End::Reset {
            socket.set_zero_linger()?;
        }
        Ok(())
    }
}

fn whole_answer() -> Broken {
    Broken::with_line(b"Content-Length: 15")
}

/// A fleet whose service `filing` is one that answers byte for byte.
async fn start() -> (Fleet, Service) {
    let config = Config {
        hosts: 1,
        engines: 0,
        settings: json!({"limits": {"body_bytes_max": 8 << 20}}),
        ..Config::default()
    };
    let fleet = Fleet::start(config).await;
    fleet.platform.unlist("s1");
    fleet.platform.unlist("s2");
    let service = Service::start().await;
    fleet.platform.list(ListEntry {
        name: "s3".into(),
        data_centre: "dc1".into(),
        incarnation: 1,
        leaving: false,
        kind: Kind::Service {
            url: service.url.clone(),
            service: "filing".into(),
        },
    });
    let bundle = fleet::school_bundle("1");
    fleet.activate_bundle(&bundle).await;
    fleet
        .wait_until(|fleet| {
            let service = service.clone();
            async move {
                let response = call(fleet, Method::GET, None, "").await;
                response.is_some_and(|r| r.status == 200) && service.runs() > 0
            }
        })
        .await;
    (fleet, service)
}

async fn call(fleet: &Fleet, method: Method, key: Option<&str>, body: &str) -> Option<Response> {
    let url = format!("{}/services/filing/permits", fleet.url("a1"));
    let auth = format!("Bearer {PERMITS_KEY}");
    let mut headers = vec![("authorization", auth.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let sent = fleet.send(method, &url, &headers, body.to_owned());
    sent.await.ok()
}

/// Sends a call until it runs: a service that seems to fail is sent nothing for a while.
async fn send_until_run(fleet: &Fleet, service: &Service, key: Option<&str>) -> Option<Response> {
    let runs = service.runs();
    for _ in 0..ATTEMPTS_MAX {
        let response = call(fleet, Method::POST, key, "x").await;
        if service.runs() > runs {
            return response;
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    panic!("the call does not run");
}

/// Some of the answers that the adapter's tests send, as a service that seems to fail is sent nothing
/// for a while.
#[rstest]
#[case::status_zero(Broken::with_status_line("HTTP/1.1 000 OK"))]
#[case::status_too_large(Broken::with_status_line("HTTP/1.1 600 OK"))]
#[case::other_protocol(Broken::with_status_line("HTTP/1.1 101 Switching Protocols"))]
#[case::no_length(Broken::with_line(b"Content-Length: x"))]
#[case::two_lengths(Broken::with_line(b"Content-Length: 15\r\nContent-Length: 16"))]
#[case::length_and_coding(Broken::with_line(b"Content-Length: 4\r\nTransfer-Encoding: x"))]
#[case::blank_in_name(Broken::with_line(b"Content Length: 15"))]
#[case::control_in_name(Broken::with_line(b"Content-Length\x00: 15"))]
#[case::no_field(Broken::with_line(b"garbage\r\nContent-Length: 15"))]
#[case::other_coding(Broken::with_chunked_line("Transfer-Encoding: chunke"))]
#[case::two_codings(Broken::with_chunked_line("Transfer-Encoding: x, chunked"))]
#[case::chunked_and_length(Broken::with_chunked_line(
    "Transfer-Encoding: chunked\r\nContent-Length: 4"
))]
#[case::unmarked(Broken::with_line(b"Connection: close"))]
#[tokio::test]
async fn a_broken_answer_of_a_service_is_no_answer_and_no_promise(
    #[case] answer: Broken,
    #[values(None, Some("k1"))] key: Option<&str>,
) {
    let (fleet, service) = start().await;
    service.set(answer, false);
    let response = send_until_run(&fleet, &service, key).await.unwrap();
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(
        response.json()["error"]["outcome"],
        "unknown",
        "{response:?}"
    );
}

#[rstest]
#[tokio::test]
async fn an_answer_of_a_service_that_goes_on_behind_its_length_does_not_look_complete(
    #[values(None, Some("k1"))] key: Option<&str>,
) {
    let (fleet, service) = start().await;
    service.set(Broken::with_line(b"Content-Length: 4"), false);
    let response = send_until_run(&fleet, &service, key).await.unwrap();
    assert_eq!(response.status, 502, "{response:?}");
    let response = call(&fleet, Method::GET, None, "").await.unwrap();
    assert!(response.status >= 500, "{response:?}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_to_a_long_upload_that_is_reset_does_not_look_complete(
    #[values(
        "\r\n",
        "Connection: close\r\n\r\n",
        "Content-Length: 30\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n"
    )]
    head: &str,
) {
    let (fleet, service) = start().await;
    let body = match head.starts_with("Transfer") {
        true => b"f\r\nid: 0\ndata: x\n\n\r\n".as_slice(),
        false => PLAIN_BODY,
    };
    let answer = Broken {
        bytes: [START, head.as_bytes(), body].concat().leak(),
        end: End::Reset,
    };
    service.set(answer, true);
    let body = "x".repeat(LONG_BODY_BYTES);
    for _ in 0..10 {
        let response = call(&fleet, Method::POST, None, &body).await.unwrap();
        assert!(response.status >= 500, "{response:?}");
    }
}
