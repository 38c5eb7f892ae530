//! A timer service: parts of a process subscribe to periodic ticks.
//!
//! One task manages all subscriptions and sleeps until the next tick is due. A subscriber
//! that is busy misses ticks rather than queueing them. A subscription ends when its receiver
//! is dropped. The service is intended for recurring work; for the deadline of a single
//! request, `tokio::time` is cheaper.
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

/// Time between two wake-ups of the service while it has no subscriptions. Closed
/// subscriptions are removed at the next wake-up; until then they only occupy a list entry.
const IDLE_WAKE_UP: Duration = Duration::from_secs(1);

/// A handle to the timer service.
#[derive(Clone, Debug)]
pub struct Timer {
    sender: mpsc::UnboundedSender<Subscription>,
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
    /// Panics if called outside a Tokio runtime.
    pub fn start() -> Self {
        let (sender, requests) = mpsc::unbounded_channel();
        tokio::spawn(run(requests));
        Self { sender }
    }

    /// Returns a receiver of ticks with the given period.
    pub fn subscribe(&self, period: Duration) -> mpsc::Receiver<Instant> {
        let (ticks, receiver) = mpsc::channel(1);
        let due = Instant::now() + period;
        // If the service has ended, the send fails and the receiver is closed.
        let _ = self.sender.send(Subscription { period, due, ticks });
        receiver
    }
}

async fn run(mut requests: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    loop {
        let next = subscriptions.iter().map(|s| s.due).min();
        let wake = next.unwrap_or_else(|| Instant::now() + IDLE_WAKE_UP);
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
    /// Sends a tick if it is due; returns whether the receiver still exists.
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
