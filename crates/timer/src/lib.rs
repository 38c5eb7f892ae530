//! The timer service: parts of a process subscribe to ticks.
//!
//! One task keeps all periods and sleeps until the next is due. A subscriber
//! that is busy misses ticks rather than queueing them, and one that drops its
//! receiver is forgotten. Use it for work that recurs; for the deadline of a
//! single request, `tokio::time` is cheaper.
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! use std::time::Duration;
//! use notchwharf_timer::Timer;
//!
//! let timer = Timer::start();
//! let mut ticks = timer.subscribe(Duration::from_millis(1));
//! assert!(ticks.recv().await.is_some());
//! # }
//! ```

pub mod lateness;

use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

/// Time after which the service looks for subscribers that have gone, if no
/// tick is due before: they cost nothing but their entry in a list.
const SWEEP: Duration = Duration::from_secs(1);

/// Gives out subscriptions to ticks.
#[derive(Clone, Debug)]
pub struct Timer {
    subscribe: mpsc::UnboundedSender<Subscription>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    due: Instant,
    ticks: mpsc::Sender<Instant>,
}

impl Timer {
    /// Starts the service; it ends when the last handle is dropped.
    ///
    /// # Panics
    ///
    /// Panics outside a runtime.
    pub fn start() -> Self {
        let (subscribe, requests) = mpsc::unbounded_channel();
        tokio::spawn(run(requests));
        Self { subscribe }
    }

    /// Returns a receiver of ticks.
    pub fn subscribe(&self, period: Duration) -> mpsc::Receiver<Instant> {
        let (ticks, receiver) = mpsc::channel(1);
        let due = Instant::now() + period;
        // A service that has ended sends no ticks; the receiver is closed then.
        let _ = self.subscribe.send(Subscription { period, due, ticks });
        receiver
    }
}

async fn run(mut requests: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    loop {
        let next = subscriptions.iter().map(|s| s.due).min();
        let wake = next.unwrap_or_else(|| Instant::now() + SWEEP);
        tokio::select! {
            request = requests.recv() => match request {
                Some(subscription) => subscriptions.push(subscription),
                None => return,
            },
            () = tokio::time::sleep_until(wake.into()) => {
                let now = Instant::now();
                subscriptions.retain_mut(|s| s.tick(now));
            }
        }
    }
}

impl Subscription {
    /// Ticks if it is time; returns whether anybody still listens.
    fn tick(&mut self, now: Instant) -> bool {
        if now < self.due {
            return !self.ticks.is_closed();
        }
        self.due = now + self.period;
        !matches!(
            self.ticks.try_send(now),
            Err(mpsc::error::TrySendError::Closed(_))
        )
    }
}
