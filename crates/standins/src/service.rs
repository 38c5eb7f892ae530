//! Stand-in for a plain service, some of whose calls must not be repeated.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::watch;

use crate::http;
use crate::http::ServerHandle;

/// A call that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExecutedCall {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: String,
}

/// A running service stand-in.
#[derive(Clone, Debug)]
pub struct Service {
    running: Arc<ServerHandle>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    taken: Mutex<Vec<ExecutedCall>>,
    lose_responses: AtomicU32,
    held: watch::Sender<bool>,
}

impl Service {
    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be listened on.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = Arc::clone(&shared);
        let running = http::serve(listen, move |req| {
            let shared = Arc::clone(&handler);
            async move { shared.handle(req).await }
        });
        let running = Arc::new(running.await?);
        Ok(Self { running, shared })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.running.url()
    }

    /// Loses so many answers after the calls have taken effect.
    pub fn lose_responses(&self, count: u32) {
        self.shared.lose_responses.store(count, Ordering::SeqCst);
    }

    /// Holds answers back, after the calls have taken effect, until told not to.
    pub fn hold_responses(&self, hold: bool) {
        self.shared.held.send_replace(hold);
    }

    /// Returns the calls that took effect.
    pub fn executed_calls(&self) -> Vec<ExecutedCall> {
        let taken = self.shared.taken.lock();
        taken.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Shared {
    async fn handle(&self, req: Request<Incoming>) -> http::HandlerResult {
        let method = req.method().to_string();
        let path = req.uri().path().to_owned();
        let body = String::from_utf8_lossy(&http::read_body(req).await?).into_owned();
        let call = ExecutedCall { method, path, body };
        let count = {
            let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
            taken.push(call.clone());
            taken.len()
        };
        // The sender lives as long as this does.
        let _ = self.held.subscribe().wait_for(|held| !held).await;
        let lose = |left: u32| left.checked_sub(1);
        let order = Ordering::SeqCst;
        if self.lose_responses.fetch_update(order, order, lose).is_ok() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut resp = http::json(StatusCode::CREATED, &call)?;
        resp.headers_mut().insert("x-count", count.into());
        Ok(resp)
    }
}
