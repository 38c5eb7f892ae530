//! Calls whose responses are proved to end where their lengths say.
//!
//! Bytes that follow a body show that its length is wrong. The pooled client of the HTTP library closes
//! such a connection and drops them, so that a part of a body looks whole. Here the connections are kept
//! by the caller of the library, which shows them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use error_stack::Report;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::uri::Authority;
use hyper_util::rt::TokioIo;
use notchwharf_answers::is_cut;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::error::CallError;
use crate::http::BUFFER_BYTES;
use crate::http::CONNECT_TIMEOUT;
use crate::http::CallResult;
use crate::http::IDLE_TIMEOUT;

/// Port of a URL that names none.
const DEFAULT_PORT: u16 = 80;
/// Longest time that a response is kept until its request is written: its server may not read on.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection that handles one call at a time.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Receives what was left when the library was done with the connection.
    surplus_rx: oneshot::Receiver<Bytes>,
}

/// Idle connections, and since when they are idle.
type Idle = HashMap<Authority, Vec<(Connection, Instant)>>;

/// Connections that are kept between calls.
#[derive(Debug)]
pub(crate) struct Connections {
    idle_max: usize,
    idle: Mutex<Idle>,
}

/// A call whose response has begun.
#[derive(Debug)]
pub(crate) struct Exchange<'a> {
    connections: &'a Connections,
    authority: Authority,
    connection: Connection,
}

impl Connections {
    /// Keeps up to `idle_max` connections to each server.
    pub(crate) fn new(idle_max: usize) -> Self {
        Self {
            idle_max,
            idle: Mutex::default(),
        }
    }

    /// Sends a request with an absolute URL. Dropping the exchange closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no byte was sent, else [`CallError::Lost`].
    pub(crate) async fn begin(
        &self,
        req: Request<Full<Bytes>>,
    ) -> CallResult<(Response<Incoming>, Exchange<'_>)> {
        let (authority, mut req) = to_origin_form(req)?;
        loop {
            let kept = self.take(&authority);
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => connect(&authority).await?,
            };
            match connection.sender.try_send_request(req).await {
                Ok(resp) => {
                    let exchange = Exchange {
                        connections: self,
                        authority,
                        connection,
                    };
                    return Ok((resp, exchange));
                }
                Err(mut err) => match err.take_message() {
                    // The server has closed the connection meanwhile.
                    Some(unsent) if is_kept => req = unsent,
                    Some(_) => return Err(Report::new(CallError::NotSent)),
                    None => return Err(Report::new(CallError::Lost)),
                },
            }
        }
    }

    /// Takes the connection that was used last.
    fn take(&self, authority: &Authority) -> Option<Connection> {
        let mut idle = self.usable();
        idle.get_mut(authority)?
            .pop()
            .map(|(connection, _)| connection)
    }

    fn keep(&self, authority: Authority, connection: Connection) {
        let mut idle = self.usable();
        let connections = idle.entry(authority).or_default();
        if connections.len() < self.idle_max {
            connections.push((connection, Instant::now()));
        }
    }

    /// Returns the idle connections after dropping those that can't be used any more.
    fn usable(&self) -> MutexGuard<'_, Idle> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|(connection, since)| {
                since.elapsed() < IDLE_TIMEOUT && !connection.sender.is_closed()
            });
            !connections.is_empty()
        });
        idle
    }
}

impl Exchange<'_> {
    /// Ends the exchange once the body was read to its end, and keeps the connection.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Invalid`] if bytes have followed the body.
    pub(crate) async fn end(self) -> CallResult<()> {
        let Self {
            connections,
            authority,
            mut connection,
        } = self;
        match tokio::time::timeout(WRITE_TIMEOUT, connection.sender.ready()).await {
            Ok(Ok(())) => {
                connections.keep(authority, connection);
                Ok(())
            }
            // The library looks for more only once the request is written, which goes on meanwhile.
            Err(_) => Ok(()),
            Ok(Err(_)) => {
                let surplus = connection.surplus_rx.await.unwrap_or_default();
                match is_cut(&surplus) {
                    true => Err(Report::new(CallError::Invalid)),
                    false => Ok(()),
                }
            }
        }
    }
}

/// Returns the server of a request, and the request as it is sent there.
fn to_origin_form(req: Request<Full<Bytes>>) -> CallResult<(Authority, Request<Full<Bytes>>)> {
    let not_sent = || Report::new(CallError::NotSent);
    let (mut head, body) = req.into_parts();
    let uri = std::mem::take(&mut head.uri).into_parts();
    let authority = uri.authority.ok_or_else(not_sent)?;
    head.uri = uri.path_and_query.map_or_else(Uri::default, Uri::from);
    let host = HeaderValue::from_str(authority.as_str()).map_err(|_| not_sent())?;
    head.headers.entry(HOST).or_insert(host);
    Ok((authority, Request::from_parts(head, body)))
}

async fn connect(authority: &Authority) -> CallResult<Connection> {
    let not_sent = || Report::new(CallError::NotSent);
    let host = authority.host().trim_matches(['[', ']']);
    let port = authority.port_u16().unwrap_or(DEFAULT_PORT);
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect((host, port)));
    let socket = connecting.await.map_err(|_| not_sent())?;
    let socket = socket.map_err(|_| not_sent())?;
    // If it fails, small requests are only delayed.
    let _ = socket.set_nodelay(true);
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(socket))
        .await;
    let (sender, mut conn) = handshake.map_err(|_| not_sent())?;
    let (surplus_tx, surplus_rx) = oneshot::channel();
    tokio::spawn(async move {
        // The error is also returned to the sender of the request.
        let _ = std::future::poll_fn(|cx| conn.poll_without_shutdown(cx)).await;
        // Nobody may wait for it.
        let _ = surplus_tx.send(conn.into_parts().read_buf);
    });
    Ok(Connection { sender, surplus_rx })
}
