//! A minimal HTTP server for the stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The body of a response; an error in it resets the connection.
pub type Body = BoxBody<Bytes, io::Error>;
/// The response of a handler; an error closes the connection without a response.
pub type HandlerResult = Result<Response<Body>, io::Error>;

/// A running server; dropping the handle closes its port and its connections.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    _stop_sender: watch::Sender<()>,
}

impl ServerHandle {
    /// Returns the address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }
}

/// Serves requests until the returned handle is dropped.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub async fn serve<F, R>(listen: SocketAddr, handler: F) -> io::Result<ServerHandle>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = HandlerResult> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let (stop_sender, mut stop_receiver) = watch::channel(());
    tokio::spawn(async move {
        loop {
            let (socket, _) = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(_) => continue,
                },
                _ = stop_receiver.changed() => return,
            };
            let _ = socket.set_nodelay(true);
            let handler = handler.clone();
            let mut stop_receiver = stop_receiver.clone();
            tokio::spawn(async move {
                let service = service_fn(handler);
                let conn = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
                tokio::select! {
                    _ = conn => {}
                    _ = stop_receiver.changed() => {}
                }
            });
        }
    });
    Ok(ServerHandle {
        addr,
        _stop_sender: stop_sender,
    })
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let text = serde_json::to_vec(value).map_err(io::Error::other)?;
    bytes(status, text.into())
}

/// Returns a response with the given body.
pub fn bytes(status: StatusCode, body: Bytes) -> HandlerResult {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    Response::builder()
        .status(status)
        .body(body)
        .map_err(io::Error::other)
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> HandlerResult {
    bytes(status, Bytes::new())
}

/// Reads the complete body of a request.
///
/// # Errors
///
/// Returns an error if the connection is closed before the end of the body.
pub async fn read_body(req: Request<Incoming>) -> io::Result<Bytes> {
    let body = req.into_body().collect().await;
    Ok(body.map_err(io::Error::other)?.to_bytes())
}

/// Returns a numeric parameter of a query string.
pub fn query_param(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
