//! Services and engines that send without end, at the product's own interface.
//!
//! The machine that had called such a target kept all bytes and ran out of memory; the requests of its
//! other clients ended with it.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod processes;

use std::time::Duration;

use futures_util::future::join_all;
use hyper::Method;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_standins::fleet::Response;
use processes::Fleet;
use processes::Machine;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// What the host may use.
const MACHINE: Machine = machine(256);
/// Calls whose endless answers are read at the same time.
const CROWD: usize = 48;
/// Longest time that a call waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Bytes that are written at once, and in each answer: answers that are read without end would occupy
/// the memory of this machine.
const CHUNK_BYTES: usize = 64 << 10;
const ANSWER_BYTES_MAX: usize = 80 << 20;

const fn machine(memory_mib: u64) -> Machine {
    Machine {
        memory_bytes: memory_mib << 20,
        descriptors: 512,
    }
}

const SERVICE: &str = "/services/filing/1";
const CHAT: &str = "/v1/chat/completions";

/// Starts a target that answers calls of a path with a head and then the same bytes again and again, and
/// passes all others on.
async fn start_endless(
    path: &'static str,
    upstream: String,
    head: String,
    filling: String,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let upstream = upstream.trim_start_matches("http://").to_owned();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let (upstream, head, filling) = (upstream.clone(), head.clone(), filling.clone());
            // A broken connection is caused by the host.
            tokio::spawn(async move {
                let _ = answer(socket, path, &upstream, &head, &filling).await;
            });
        }
    });
    url
}

async fn answer(
    mut socket: TcpStream,
    path: &str,
    upstream: &str,
    head: &str,
    filling: &str,
) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(socket.read_u8().await?);
    }
    if !String::from_utf8_lossy(&request).contains(path) {
        let mut upstream = TcpStream::connect(upstream).await?;
        upstream.write_all(&request).await?;
        tokio::io::copy_bidirectional(&mut socket, &mut upstream).await?;
        return Ok(());
    }
    socket.write_all(head.as_bytes()).await?;
    let bytes = filling.repeat(CHUNK_BYTES / filling.len());
    for _ in 0..ANSWER_BYTES_MAX / CHUNK_BYTES {
        socket.write_all(bytes.as_bytes()).await?;
    }
    std::future::pending().await
}

async fn call(fleet: &Fleet, path: &str, body: &str) -> Option<Response> {
    let url = format!("{}{path}", fleet.hosts[0].url);
    let sent = fleet.send(Method::POST, &url, body.to_owned());
    tokio::time::timeout(CALL_TIMEOUT, sent)
        .await
        .ok()
        .flatten()
}

fn chat_body(stream: bool) -> String {
    json!({"model": "hints", "max_tokens": 8, "stream": stream,
        "messages": [{"role": "user", "content": "1"}]})
    .to_string()
}

/// Sends calls to a host whose only target for them sends without end, and checks that it lives and
/// serves others.
async fn withstand(mut fleet: Fleet, path: &str, body: &str, other: (&str, &str)) {
    let calls = (0..CROWD).map(|_| call(&fleet, path, body));
    let responses = join_all(calls).await;
    let is_success = |r: &Option<Response>| r.as_ref().is_some_and(|r| r.status < 300);
    let successes: Vec<_> = responses.iter().filter(|r| is_success(r)).collect();
    assert!(path == CHAT || successes.is_empty(), "{successes:?}");
    let status = fleet.hosts[0].child.try_wait().unwrap();
    assert_eq!(status, None, "the process has ended");
    let (path, body) = other;
    processes::wait_until(|| async { is_success(&call(&fleet, path, body).await) }).await;
}

#[rstest]
#[case::chunks("Transfer-Encoding: chunked", "3ff0\r\n", 0x3ff0)]
#[case::length("Content-Length: 99999999999", "", 0)]
#[case::head("X-Endless: x", "", 0)]
#[case::longest_length("Content-Length: 67108864", "", 0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_services_that_send_without_end(
    #[case] line: &str,
    #[case] chunk: &str,
    #[case] chunk_bytes: usize,
    #[values(256, 96)] memory_mib: u64,
) {
    let fleet = Fleet::start_on(1, Some(machine(memory_mib)), json!({})).await;
    fleet.platform.unlist("s1");
    let end = if line.starts_with('X') {
        ""
    } else {
        "\r\n\r\n"
    };
    let head = format!("HTTP/1.1 200 OK\r\n{line}{end}");
    let filling = match chunk.is_empty() {
        true => "x".to_owned(),
        false => format!("{chunk}{}\r\n", "x".repeat(chunk_bytes)),
    };
    let url = start_endless("POST", fleet.service.url(), head, filling).await;
    fleet.platform.list(ListEntry {
        name: "s2".into(),
        data_centre: "dc1".into(),
        incarnation: 1,
        leaving: false,
        kind: Kind::Service {
            url,
            service: "filing".into(),
        },
    });
    processes::wait_until(|| async {
        let url = format!("{}{SERVICE}", fleet.hosts[0].url);
        let response = fleet.send(Method::GET, &url, String::new()).await;
        let listed = fleet
            .get(&format!("{}/admin/v1/targets", fleet.hosts[0].admin))
            .await;
        let listed = listed.unwrap_or_default().to_string();
        response.is_some_and(|r| r.status < 300)
            && listed.contains("\"s2\"")
            && !listed.contains("\"s1\"")
    })
    .await;
    withstand(fleet, SERVICE, "x", (CHAT, &chat_body(false))).await;
}

#[rstest]
#[case::event("data: ", "x")]
#[case::line("", "x")]
#[case::comments("", ": x\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_own_interface_withstands_engines_that_send_without_end(
    #[case] begin: &str,
    #[case] filling: &str,
    #[values(false, true)] stream: bool,
) {
    let fleet = Fleet::start_on(1, Some(MACHINE), json!({})).await;
    for (number, engine) in fleet.engines.iter().enumerate() {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n{begin}"
        );
        let url = start_endless("chat/completions", engine.url(), head, filling.into()).await;
        fleet.platform.list(ListEntry {
            name: format!("t{}", number + 1),
            data_centre: "dc1".into(),
            incarnation: 2,
            leaving: false,
            kind: Kind::Engine {
                url,
                checks_fencing: true,
            },
        });
    }
    processes::wait_until(|| async {
        call(&fleet, CHAT, &chat_body(false))
            .await
            .is_none_or(|r| r.status >= 300)
    })
    .await;
    withstand(fleet, CHAT, &chat_body(stream), (SERVICE, "x")).await;
}
