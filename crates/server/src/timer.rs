//! The timer service: parts of the server subscribe to ticks.
//!
//! One task keeps all periods. A subscriber that is busy misses ticks rather
//! than queueing them, and one that drops its receiver is forgotten.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

/// The finest period that can be had.
const RESOLUTION: Duration = Duration::from_millis(5);

/// Gives out subscriptions to ticks.
#[derive(Clone, Debug)]
pub(crate) struct Timer {
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
    pub(crate) fn start() -> Self {
        let (subscribe, requests) = mpsc::unbounded_channel();
        tokio::spawn(run(requests));
        Self { subscribe }
    }

    /// Returns a receiver of ticks.
    pub(crate) fn subscribe(&self, period: Duration) -> mpsc::Receiver<Instant> {
        let (ticks, receiver) = mpsc::channel(1);
        let due = Instant::now() + period;
        // A service that has ended sends no ticks; the receiver is closed then.
        let _ = self.subscribe.send(Subscription { period, due, ticks });
        receiver
    }
}

async fn run(mut requests: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    let mut interval = tokio::time::interval(RESOLUTION);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            request = requests.recv() => match request {
                Some(subscription) => subscriptions.push(subscription),
                None => return,
            },
            _ = interval.tick() => {
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
