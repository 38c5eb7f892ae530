//! Structured logs of bounded volume.
//!
//! ```
//! let (logger, _flush) = notchwharf_telemetry::logs::root(std::io::sink(), 100);
//! slog::info!(logger, "started"; "host" => "a1");
//! ```
//!
//! Sampling by request was rejected: the one line that explains a complaint is
//! as likely to be left out as any other. A rate keeps all lines on usual days.

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

/// Lines that may wait for the writing thread: a fraction of a megabyte.
const QUEUE_LINES: usize = 1_024;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Returns a logger that writes JSON lines to `out`, at most so many a second.
///
/// Lines are written when the guard is dropped at the latest.
pub fn root<W: io::Write + Send + 'static>(out: W, lines_per_s_max: u32) -> (Logger, AsyncGuard) {
    let json = slog_json::Json::default(out).fuse();
    let (queue, guard) = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let limited = Limited::new(queue.fuse(), lines_per_s_max);
    (Logger::root(limited.fuse(), slog::o!()), guard)
}

/// A drain that passes on only so many lines a second.
struct Limited<D> {
    inner: D,
    lines_per_s_max: u32,
    window: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    from: Instant,
    lines: u32,
    dropped: u64,
}

impl<D> Limited<D> {
    fn new(inner: D, lines_per_s_max: u32) -> Self {
        let window = Window {
            from: Instant::now(),
            lines: 0,
            dropped: 0,
        };
        Self {
            inner,
            lines_per_s_max,
            window: Mutex::new(window),
        }
    }

    /// Counts a line; returns whether it is passed on and how many were
    /// dropped in the window that has just ended.
    fn admit(&self) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if window.from.elapsed() >= WINDOW {
            dropped = window.dropped;
            window.from = Instant::now();
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

impl<D: Drain<Ok = (), Err = slog::Never>> Drain for Limited<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let (admitted, dropped) = self.admit();
        if dropped > 0 {
            let told = slog::record_static!(slog::Level::Warning, "");
            let args = format_args!("log lines dropped");
            let kv = slog::b!("dropped" => dropped);
            self.inner.log(&Record::new(&told, &args, kv), values)?;
        }
        if admitted {
            self.inner.log(record, values)?;
        }
        Ok(())
    }
}
