//! Logs are bounded and never wait.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_telemetry::logs;

#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Written {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().unwrap();
        let text = String::from_utf8_lossy(&bytes);
        text.lines().map(str::to_owned).collect()
    }
}

/// A reader that never reads.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_over_the_rate_are_dropped_and_counted() {
    let written = Written::default();
    let (logger, flush) = logs::root(written.clone(), 5);
    let started = Instant::now();
    for number in 0..50 {
        slog::info!(logger, "line"; "number" => number);
    }
    while started.elapsed() < Duration::from_millis(1_050) {
        std::thread::park_timeout(Duration::from_millis(50));
    }
    slog::info!(logger, "after");
    drop(logger);
    drop(flush);
    let lines = written.lines();
    let plain = lines.iter().filter(|l| l.contains("\"line\"")).count();
    assert_eq!(plain, 5, "{lines:?}");
    let dropped = lines
        .iter()
        .find(|l| l.contains("log lines dropped"))
        .unwrap();
    assert!(dropped.contains("\"dropped\":45"), "{dropped}");
    assert!(lines.iter().any(|l| l.contains("\"after\"")));
}

#[test]
fn a_reader_that_is_stuck_holds_nobody_up() {
    let (logger, flush) = logs::root(Stuck, u32::MAX);
    for number in 0..20_000 {
        slog::info!(logger, "line"; "number" => number);
    }
    // Dropped, the guard would wait for what is written.
    std::mem::forget(flush);
}
