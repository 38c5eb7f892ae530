//! Tests that the rate of log lines is limited and that logging never blocks.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use notchwharf_telemetry::logs;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().unwrap();
        let text = String::from_utf8_lossy(&bytes);
        text.lines().map(str::to_owned).collect()
    }
}

/// A writer whose writes never return.
struct BlockedWriter;

impl Write for BlockedWriter {
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
fn lines_beyond_the_rate_are_dropped_and_counted() {
    let output = Output::default();
    let (logger, guard) = logs::root(output.clone(), 5);
    let started = Instant::now();
    for number in 0..50 {
        slog::info!(logger, "line"; "number" => number);
    }
    while started.elapsed() < Duration::from_millis(1_050) {
        std::thread::park_timeout(Duration::from_millis(50));
    }
    slog::info!(logger, "after");
    drop(logger);
    drop(guard);
    let lines = output.lines();
    let logged = lines.iter().filter(|l| l.contains("\"line\"")).count();
    assert_eq!(logged, 5, "{lines:?}");
    let dropped = lines
        .iter()
        .find(|l| l.contains("log lines dropped"))
        .unwrap();
    assert!(dropped.contains("\"dropped\":45"), "{dropped}");
    assert!(lines.iter().any(|l| l.contains("\"after\"")));
}

#[test]
fn a_blocked_writer_does_not_block_the_caller() {
    let (logger, guard) = logs::root(BlockedWriter, u32::MAX);
    for number in 0..20_000 {
        slog::info!(logger, "line"; "number" => number);
    }
    // Dropping the guard would wait for the buffered lines.
    std::mem::forget(guard);
}
