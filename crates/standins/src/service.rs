//! Stand-in for a plain service whose calls are not all idempotent. It records each
//! call that it executes.

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

/// A call that the service executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExecutedCall {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: String,
}

/// A running service stand-in. Clones share its state.
#[derive(Clone, Debug)]
pub struct Service {
    running: Arc<ServerHandle>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    executed: Mutex<Vec<ExecutedCall>>,
    responses_to_lose: AtomicU32,
    is_holding: watch::Sender<bool>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address cannot be bound.
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

    /// Executes the next `count` calls, but resets their connections instead of
    /// responding.
    pub fn lose_responses(&self, count: u32) {
        self.shared.responses_to_lose.store(count, Ordering::SeqCst);
    }

    /// Delays responses to executed calls while `is_holding` is set.
    pub fn hold_responses(&self, is_holding: bool) {
        self.shared.is_holding.send_replace(is_holding);
    }

    /// Returns the calls that were executed.
    pub fn executed_calls(&self) -> Vec<ExecutedCall> {
        let executed = self.shared.executed.lock();
        executed.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Shared {
    async fn handle(&self, req: Request<Incoming>) -> http::HandlerResult {
        let method = req.method().to_string();
        let path = req.uri().path().to_owned();
        let body = String::from_utf8_lossy(&http::read_body(req).await?).into_owned();
        let call = ExecutedCall { method, path, body };
        let count = {
            let mut executed = self.executed.lock().unwrap_or_else(PoisonError::into_inner);
            executed.push(call.clone());
            executed.len()
        };
        // `wait_for` fails only if the sender is dropped, and `self` owns the sender.
        let _ = self
            .is_holding
            .subscribe()
            .wait_for(|is_holding| !is_holding)
            .await;
        let decrement = |left: u32| left.checked_sub(1);
        let order = Ordering::SeqCst;
        if self
            .responses_to_lose
            .fetch_update(order, order, decrement)
            .is_ok()
        {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut resp = http::json(StatusCode::CREATED, &call)?;
        resp.headers_mut().insert("x-count", count.into());
        Ok(resp)
    }
}
