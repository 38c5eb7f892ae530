//! Structured logs with a limited rate.
//!
//! ```
//! let (logger, _guard) = notchwharf_telemetry::logs::root(std::io::sink(), 100);
//! slog::info!(logger, "started"; "host" => "a1");
//! ```
//!
//! Sampling by request was rejected: the line that explains an incident would be dropped as
//! often as any other. A rate limit keeps all lines under normal load.

use std::io;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slog::Drain;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;

/// The number of lines buffered for the writer thread: a fraction of a megabyte.
const QUEUE_LINES: usize = 1_024;
/// The length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Returns a logger that writes JSON lines to `out`, at most `lines_per_s_max` per second, and
/// a guard.
///
/// Dropping the guard writes the buffered lines.
pub fn root<W: io::Write + Send + 'static>(out: W, lines_per_s_max: u32) -> (Logger, AsyncGuard) {
    let json = slog_json::Json::default(out).fuse();
    let (queue, guard) = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let rate_limited = RateLimited::new(queue.fuse(), lines_per_s_max);
    (Logger::root(rate_limited.fuse(), slog::o!()), guard)
}

/// A drain that forwards at most `lines_per_s_max` lines per second.
struct RateLimited<D> {
    inner: D,
    lines_per_s_max: u32,
    window: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
    dropped: u64,
}

impl<D> RateLimited<D> {
    fn new(inner: D, lines_per_s_max: u32) -> Self {
        let window = Window {
            started_at: Instant::now(),
            lines: 0,
            dropped: 0,
        };
        Self {
            inner,
            lines_per_s_max,
            window: Mutex::new(window),
        }
    }

    /// Counts a line. Returns whether it is forwarded, and the number of lines dropped in the
    /// previous window if the line starts a new one.
    fn admit(&self) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if window.started_at.elapsed() >= WINDOW {
            dropped = window.dropped;
            window.started_at = Instant::now();
            window.lines = 0;
            window.dropped = 0;
        }
        window.lines += 1;
        let admitted = window.lines <= self.lines_per_s_max;
        if !admitted {
            window.dropped += 1;
        }
        (admitted, dropped)
    }
}

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let (admitted, dropped) = self.admit();
        if dropped > 0 {
            let static_part = slog::record_static!(slog::Level::Warning, "");
            let args = format_args!("log lines dropped");
            let kv = slog::b!("dropped" => dropped);
            self.inner
                .log(&Record::new(&static_part, &args, kv), values)?;
        }
        if admitted {
            self.inner.log(record, values)?;
        }
        Ok(())
    }
}
