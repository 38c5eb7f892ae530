//! Heads as the HTTP library reads them from a connection, and what is made of them.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Empty;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::CONTENT_LENGTH;
use hyper_util::rt::TokioIo;
use notchwharf_answers::End;
use notchwharf_answers::accept;
use notchwharf_answers::error;
use notchwharf_answers::read_whole;
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

const BODY: &str = "5\r\nhello\r\n0\r\n\r\n";

/// Returns the response that the library reads from these bytes; `None` if it rejects them.
async fn receive(method: Method, bytes: Vec<u8>) -> Option<Response<Incoming>> {
    let (near, mut far) = tokio::io::duplex(bytes.len() + 1_024);
    let (mut sender, conn) = http1::handshake(TokioIo::new(near)).await.unwrap();
    tokio::spawn(conn);
    tokio::spawn(async move {
        // The request is in the buffer as a whole.
        let _ = far.read(&mut [0; 1_024]).await;
        let _ = far.write_all(&bytes).await;
    });
    let req = Request::builder().method(method).header("host", "h");
    let req = req.body(Empty::<Bytes>::new()).unwrap();
    sender.send_request(req).await.ok()
}

async fn receive_head(head: &str) -> Option<Response<Incoming>> {
    let bytes = format!("HTTP/1.1 200 OK\r\n{head}\r\n{BODY}");
    receive(Method::GET, bytes.into_bytes()).await
}

#[rstest]
#[case::length("Content-Length: 15\r\n", Ok(End::Length(15)))]
#[case::no_bytes("Content-Length: 0\r\n", Ok(End::Empty))]
#[case::leading_zeros("Content-Length: 0015\r\n", Ok(End::Length(15)))]
#[case::repeated_length("Content-Length: 15, 15\r\n", Ok(End::Length(15)))]
#[case::repeated_line("Content-Length: 15\r\nContent-Length: 15\r\n", Ok(End::Length(15)))]
#[case::chunks("Transfer-Encoding: chunked\r\n", Ok(End::LastChunk))]
#[case::chunks_in_other_case("transfer-encoding: Chunked\r\n", Ok(End::LastChunk))]
#[case::connection("Connection: close\r\n", Ok(End::Connection))]
#[case::connection_among_others("Connection: x, Close\r\n", Ok(End::Connection))]
#[case::no_end("", Err(error::Head::NoEnd))]
#[case::no_end_and_kept("Connection: keep-alive\r\n", Err(error::Head::NoEnd))]
#[case::lost_name("Transfer-Encodinh: chunked\r\n", Err(error::Head::FramingName))]
#[case::lost_name_and_closed(
    "Connection: close\r\nContent-Lenght: 15\r\n",
    Err(error::Head::FramingName)
)]
#[case::lost_name_beside_length("Content-Lenght: 4\r\nContent-Length: 15\r\n", Ok(End::Length(15)))]
#[case::other_names(
    "Connection: close\r\nContent-Range: x\r\nContent-Type: x\r\nContent-Language: x\r\n\
     Content-Location: x\r\nContent-Encoding: x\r\nAccept-Encoding: x\r\nAge: 15\r\n",
    Ok(End::Connection)
)]
#[case::unknown_coding("Transfer-Encoding: chunke\r\n", Err(error::Head::Coding))]
#[case::empty_coding("Transfer-Encoding:\r\n", Err(error::Head::Coding))]
#[case::identity("Transfer-Encoding: identity\r\n", Err(error::Head::Coding))]
#[case::other_coding_first("Transfer-Encoding: gzip, chunked\r\n", Err(error::Head::Coding))]
#[case::other_coding_last("Transfer-Encoding: chunked, gzip\r\n", Err(error::Head::Coding))]
#[case::two_lines(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    Err(error::Head::Coding)
)]
#[case::both(
    "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
    Err(error::Head::LengthAndCoding)
)]
#[case::malformed_coding_beside_length(
    "Transfer-Encoding: x\r\nContent-Length: 15\r\n",
    Err(error::Head::Coding)
)]
#[case::malformed_length_beside_chunks(
    "Transfer-Encoding: chunked\r\nContent-Length: x\r\n",
    Err(error::Head::Length)
)]
#[tokio::test]
async fn the_end_of_a_body_is_what_its_head_says(
    #[case] head: &str,
    #[case] end: Result<End, error::Head>,
) {
    let mut resp = receive_head(head).await.unwrap();
    assert_eq!(accept(&mut resp), end);
}

#[rstest]
#[case::head(
    Method::HEAD,
    "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n",
    Ok(End::Empty)
)]
#[case::unmarked_head(Method::HEAD, "HTTP/1.1 200 OK\r\n\r\n", Ok(End::Empty))]
#[case::no_content(Method::GET, "HTTP/1.1 204 None\r\n\r\n", Ok(End::Empty))]
#[case::no_content_and_zero(
    Method::GET,
    "HTTP/1.1 204 None\r\nContent-Length: 0\r\n\r\n",
    Ok(End::Empty)
)]
#[case::no_content_and_length(
    Method::GET,
    "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\nhello",
    Err(error::Head::Length)
)]
#[case::not_modified(
    Method::GET,
    "HTTP/1.1 304 Same\r\nContent-Length: 15\r\n\r\n",
    Ok(End::Empty)
)]
#[case::old_version(Method::GET, "HTTP/1.0 200 OK\r\n\r\nhello", Ok(End::Connection))]
#[case::old_version_kept(
    Method::GET,
    "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nhello",
    Err(error::Head::NoEnd)
)]
#[tokio::test]
async fn what_else_a_head_says_counts(
    #[case] method: Method,
    #[case] bytes: &str,
    #[case] end: Result<End, error::Head>,
) {
    let mut resp = receive(method, bytes.into()).await.unwrap();
    assert_eq!(accept(&mut resp), end);
}

#[rstest]
#[case::other_protocol("101 Switching Protocols", Err(error::Head::Status))]
#[case::largest("599 Failed", Ok(End::Length(15)))]
#[case::too_large("600 OK", Err(error::Head::Status))]
#[case::far_too_large("999 OK", Err(error::Head::Status))]
#[tokio::test]
async fn a_status_of_no_final_response_is_rejected(
    #[case] status: &str,
    #[case] end: Result<End, error::Head>,
) {
    let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: 15\r\n\r\n{BODY}");
    let mut resp = receive(Method::GET, bytes.into()).await.unwrap();
    assert_eq!(accept(&mut resp), end);
}

#[tokio::test]
async fn a_repeated_length_is_forwarded_once() {
    let mut resp = receive_head("Content-Length: 15, 15\r\n").await.unwrap();
    accept(&mut resp).unwrap();
    let lengths: Vec<_> = resp.headers().get_all(CONTENT_LENGTH).iter().collect();
    assert_eq!(lengths, ["15"]);
}

#[rstest]
#[case::whole("Content-Length: 15\r\n", 15, Ok(15))]
#[case::chunks("Transfer-Encoding: chunked\r\n", 15, Ok(5))]
#[case::cut("Content-Length: 16\r\n", 16, Err(error::Read::Broken))]
#[case::too_long("Content-Length: 15\r\n", 14, Err(error::Read::TooLong))]
#[case::too_long_announced("Content-Length: 16\r\n", 15, Err(error::Read::TooLong))]
#[case::not_marked("Connection: close\r\n", 15, Err(error::Read::NotMarked))]
#[case::not_sound(
    "Transfer-Encoding: x\r\n",
    15,
    Err(error::Read::Head(error::Head::Coding))
)]
#[tokio::test]
async fn a_response_is_read_only_to_an_end_that_is_proved(
    #[case] head: &str,
    #[case] bytes_max: usize,
    #[case] result: Result<usize, error::Read>,
) {
    let resp = receive_head(head).await.unwrap();
    let read = read_whole(resp, bytes_max).await;
    assert_eq!(read.map(|bytes| bytes.len()), result);
}

/// Parts of values, of which malformed and valid ones are put together.
const PARTS: [&str; 16] = [
    "chunked", "Chunked", "chunke", "gzip", "identity", ",", ", ", " ", "\t", "5", "15", "0", "-",
    "+", "x", "",
];

fn values() -> impl Strategy<Value = String> {
    proptest::collection::vec(proptest::sample::select(&PARTS[..]), 0..4)
        .prop_map(|parts| parts.concat())
}

proptest! {
    /// The library is the only other opinion on where the body ends.
    #[test]
    fn an_accepted_head_ends_where_the_library_ends_it(
        lengths in proptest::collection::vec(values(), 0..3),
        codings in proptest::collection::vec(values(), 0..3),
        minor in 0..2_u8,
        status in proptest::sample::select(vec![200_u16, 204, 304, 500]),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let lengths = lengths.iter().map(|value| format!("Content-Length: {value}\r\n"));
            let codings = codings.iter().map(|value| format!("Transfer-Encoding: {value}\r\n"));
            let fields: String = lengths.chain(codings).collect();
            let bytes = format!("HTTP/1.{minor} {status} X\r\n{fields}\r\n{BODY}");
            let Some(mut resp) = receive(Method::GET, bytes.into_bytes()).await else {
                return Ok(());
            };
            let Ok(end) = accept(&mut resp) else {
                return Ok(());
            };
            let exact = resp.body().size_hint().exact();
            let read = resp.into_body().collect().await.map(|body| body.to_bytes().len());
            match end {
                End::Empty => prop_assert_eq!(read.unwrap(), 0),
                End::Length(length) => {
                    prop_assert_eq!(exact, Some(length));
                    prop_assert_eq!(read.is_ok(), length <= BODY.len() as u64);
                }
                End::LastChunk => prop_assert_eq!(read.unwrap(), 5),
                End::Connection => prop_assert_eq!(read.unwrap(), BODY.len()),
            }
            Ok(())
        })?;
    }
}
