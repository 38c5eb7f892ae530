//! Calls whose responses are used as a whole, to a server that answers byte for byte.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use notchwharf_clients::error::CallError;
use notchwharf_clients::http::Client;
use notchwharf_clients::http::request;
use notchwharf_intake::Intake;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);
const BUDGET_BYTES: u64 = 1 << 20;
const COPIES: u64 = 3;
/// Bytes of a request that do not fit into the buffers of a connection, and a time for which its server
/// does not read them.
const BODY_BYTES: usize = 16 << 20;
const PAUSE: Duration = Duration::from_millis(300);
/// Calls, one after the other, and the time between two of them, in which a server's end of a connection
/// is noticed.
const CALLS: usize = 4;
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// A server that gives each request of a connection the same answer, up to a number of requests.
struct Server {
    url: String,
    connections: Arc<AtomicUsize>,
}

impl Server {
    async fn start(answer: &'static [u8], requests_max: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}/x", listener.local_addr().unwrap());
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    for _ in 0..requests_max {
                        let mut head = Vec::new();
                        while !head.ends_with(b"\r\n\r\n") {
                            head.push(socket.read_u8().await?);
                        }
                        socket.write_all(answer).await?;
                    }
                    std::io::Result::Ok(())
                });
            }
        });
        Self { url, connections }
    }

    async fn call(&self, client: &Client) -> Result<Bytes, CallError> {
        let req = request(Method::GET, &self.url, Bytes::new()).unwrap();
        let intake = Intake::new(BUDGET_BYTES);
        let called = client.call_within(req, &intake, COPIES).await;
        let (resp, _room) = called.map_err(|report| report.current_context().clone())?;
        Ok(resp.into_body())
    }
}

#[rstest]
#[case::whole(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", Ok("body"))]
#[case::empty(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Ok(""))]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    Ok("body")
)]
#[case::closed(
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
    Ok("body")
)]
#[case::another_response(
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n\r\n",
    Ok("body")
)]
#[case::more(
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody",
    Err(CallError::Invalid)
)]
#[case::more_than_nothing(
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nbody",
    Err(CallError::Invalid)
)]
#[case::more_and_closed(
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nbody",
    Err(CallError::Invalid)
)]
#[case::less(
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody",
    Err(CallError::Lost)
)]
#[case::broken_head(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\nbody",
    Err(CallError::Invalid)
)]
#[case::too_long(
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nbody",
    Err(CallError::TooLong)
)]
#[tokio::test]
async fn a_response_is_returned_if_it_is_whole(
    #[case] answer: &'static [u8],
    #[case] expected: Result<&str, CallError>,
    #[values(Client::new(TIMEOUT), Client::unpooled(TIMEOUT))] client: Client,
) {
    let server = Server::start(answer, 1).await;
    let body = server.call(&client).await;
    let expected = expected.map(|body| Bytes::copy_from_slice(body.as_bytes()));
    assert_eq!(body, expected);
}

#[rstest]
#[case::pooled(Client::new(TIMEOUT), CALLS, 1)]
#[case::pooled_and_closed(Client::new(TIMEOUT), 1, CALLS)]
#[case::unpooled(Client::unpooled(TIMEOUT), CALLS, CALLS)]
#[tokio::test]
async fn connections_are_used_again_while_they_last(
    #[case] client: Client,
    #[case] requests_max: usize,
    #[case] connections: usize,
) {
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    let server = Server::start(answer, requests_max).await;
    for _ in 0..CALLS {
        assert_eq!(server.call(&client).await, Ok(Bytes::from_static(b"body")));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    assert_eq!(server.connections.load(Ordering::Relaxed), connections);
}

/// A server that answers early may still use the rest of the request.
#[rstest]
#[tokio::test]
async fn a_request_that_is_answered_early_arrives_as_a_whole(
    #[values(Client::new(TIMEOUT), Client::unpooled(TIMEOUT))] client: Client,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/x", listener.local_addr().unwrap());
    let receiving = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(socket.read_u8().await.unwrap());
        }
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
        socket.write_all(answer).await.unwrap();
        tokio::time::sleep(PAUSE).await;
        let mut body = vec![0; BODY_BYTES];
        socket.read_exact(&mut body).await.map(|_| body)
    });
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let req = request(Method::POST, &url, body.clone()).unwrap();
    let intake = Intake::new(BUDGET_BYTES);
    let (resp, _room) = client.call_within(req, &intake, COPIES).await.unwrap();
    assert_eq!(resp.into_body(), "body");
    let received = receiving.await.unwrap();
    assert_eq!(received.map(|received| received == body).ok(), Some(true));
}

#[rstest]
#[tokio::test]
async fn a_call_that_reaches_no_server_is_not_sent(
    #[values(Client::new(TIMEOUT), Client::unpooled(TIMEOUT))] client: Client,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = Server {
        url: format!("http://{}/x", listener.local_addr().unwrap()),
        connections: Arc::default(),
    };
    drop(listener);
    assert_eq!(server.call(&client).await, Err(CallError::NotSent));
}
