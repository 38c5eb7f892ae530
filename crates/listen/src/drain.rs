//! The end of a host's service: until when it takes requests, and until when it answers them.
//!
//! While callers keep sending, the moment at which no request is in progress may not come. A host that
//! takes every request until its time is up passes some on that it cannot answer, among them those that
//! may not be repeated. Refusing all of them from the start was rejected: a load balancer notices the
//! shutdown late, and most requests take far less than the time that is left.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

/// Time before the end in which answers still reach their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Largest part of a shutdown that this time may take, as a divisor.
const ANSWER_SHARE: u32 = 4;

/// When a host that shuts down stops to take and to answer requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Schedule {
    /// Until when all requests are taken.
    notice_ends: Instant,
    /// Until when requests are answered.
    answers_end: Instant,
}

/// The end of a host's service, which is not known until [`Drain::begin`].
///
/// ```
/// use std::time::{Duration, Instant};
/// use notchwharf_listen::Drain;
///
/// let drain = Drain::default();
/// let in_an_hour = Instant::now() + Duration::from_secs(3_600);
/// assert!(drain.admits(in_an_hour));
/// drain.begin(Duration::ZERO, Duration::from_secs(8));
/// assert!(!drain.admits(in_an_hour));
/// assert!(drain.admits(Instant::now() + Duration::from_secs(5)));
/// ```
#[derive(Clone, Debug)]
pub struct Drain {
    schedule: watch::Sender<Option<Schedule>>,
}

impl Default for Drain {
    fn default() -> Self {
        let schedule = watch::Sender::new(None);
        Self { schedule }
    }
}

impl Drain {
    /// Begins the shutdown: load balancers notice it within `notice`, and the host stops after
    /// `timeout`.
    pub fn begin(&self, notice: Duration, timeout: Duration) {
        let now = Instant::now();
        let margin = ANSWER_MARGIN.min(timeout / ANSWER_SHARE);
        let answers_end = now + (timeout - margin);
        self.schedule.send_replace(Some(Schedule {
            notice_ends: (now + notice).min(answers_end),
            answers_end,
        }));
    }

    /// Returns whether to take a request whose caller waits until `deadline`. Once load balancers had
    /// time to notice the shutdown, it is taken only if it is certain to be answered.
    pub fn admits(&self, deadline: Instant) -> bool {
        self.schedule.borrow().is_none_or(|schedule| {
            Instant::now() < schedule.notice_ends || deadline <= schedule.answers_end
        })
    }

    /// Waits for a part of a request's handling. Returns `None` if no request is to be waited for any
    /// longer before it is done; what is done by then counts.
    pub async fn within<T>(&self, part: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = part => Some(done),
            () = self.answers_end() => None,
        }
    }

    /// Waits until no request is to be waited for any longer. The rest of the time is left for telling
    /// callers.
    pub async fn answers_end(&self) {
        let mut schedule = self.schedule.subscribe();
        // The sender exists as long as this.
        let begun = schedule.wait_for(Option::is_some).await;
        let answers_end = begun.ok().and_then(|schedule| *schedule);
        match answers_end {
            Some(schedule) => tokio::time::sleep_until(schedule.answers_end.into()).await,
            None => std::future::pending().await,
        }
    }
}
