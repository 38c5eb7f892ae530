//! Targets: places, a queue, and events at a pace that reading prompts slows.

use std::collections::VecDeque;

/// The number of a request's run.
pub(crate) type RunId = u64;

/// One run of a request at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) id: RunId,
    /// Time for which its prompt is read.
    pub(crate) read_ms: f64,
    /// Events to come.
    pub(crate) events: f64,
    /// Events that have come.
    pub(crate) made: f64,
}

/// What happened to a run in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Came {
    /// Its first event.
    First(RunId),
    /// Its end.
    End(RunId),
}

/// A target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub(crate) running: Vec<Run>,
    pub(crate) queue: VecDeque<Run>,
    /// Time for which it still reads prompts.
    reading_ms: f64,
}

impl Target {
    /// Takes a run in.
    pub(crate) fn admit(&mut self, run: Run) {
        self.queue.push_back(run);
    }

    /// Stops a run; returns the events that it made, or nothing if it is gone.
    pub(crate) fn stop(&mut self, id: RunId) -> Option<f64> {
        if let Some(place) = self.running.iter().position(|r| r.id == id) {
            return Some(self.running.remove(place).made.floor());
        }
        let place = self.queue.iter().position(|r| r.id == id)?;
        self.queue.remove(place).map(|_| 0.0)
    }

    /// Lets time pass; runs fill free places in their order.
    pub(crate) fn step(&mut self, slots: usize, event_ms: f64, step_ms: f64, came: &mut Vec<Came>) {
        while self.running.len() < slots {
            let Some(run) = self.queue.pop_front() else {
                break;
            };
            self.reading_ms += run.read_ms;
            self.running.push(run);
        }
        let read_ms = self.reading_ms.min(step_ms);
        self.reading_ms -= read_ms;
        let events = (step_ms - read_ms) / event_ms;
        for run in &mut self.running {
            let had = run.made;
            run.made += events;
            if had < 1.0 && run.made >= 1.0 {
                came.push(Came::First(run.id));
            }
        }
        self.running.retain(|run| {
            let is_whole = run.made >= run.events;
            if is_whole {
                came.push(Came::End(run.id));
            }
            !is_whole
        });
    }
}

/// Returns a target's name.
pub(crate) fn name(target: usize) -> String {
    format!("t{target}")
}
