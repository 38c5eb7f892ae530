//! Model of a target: concurrency slots, a queue, and a rate of events that
//! processing prompts lowers.

use std::collections::VecDeque;

/// Identifies a run of a request or item at a target.
pub(crate) type RunId = u64;

/// One run of a request or item at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) id: RunId,
    /// Time to process its prompt.
    pub(crate) prefill_ms: f64,
    /// Events to generate in this run.
    pub(crate) events: f64,
    /// Events generated so far.
    pub(crate) generated: f64,
}

/// A run's progress in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It generated its first event.
    FirstEvent(RunId),
    /// It generated its last event.
    Completed(RunId),
}

/// The state of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub(crate) running: Vec<Run>,
    pub(crate) queue: VecDeque<Run>,
    /// Time left to process the prompts of running requests. No events are
    /// generated meanwhile.
    prefill_left_ms: f64,
}

impl Target {
    /// Queues a run.
    pub(crate) fn admit(&mut self, run: Run) {
        self.queue.push_back(run);
    }

    /// Stops a run; returns the events it generated, or `None` if it is not here.
    pub(crate) fn stop(&mut self, id: RunId) -> Option<f64> {
        if let Some(index) = self.running.iter().position(|r| r.id == id) {
            return Some(self.running.remove(index).generated.floor());
        }
        let index = self.queue.iter().position(|r| r.id == id)?;
        self.queue.remove(index).map(|_| 0.0)
    }

    /// Advances the target by `step_ms`: queued runs take free slots in order, and
    /// running ones generate events.
    pub(crate) fn step(
        &mut self,
        slots: usize,
        event_ms: f64,
        step_ms: f64,
        progress: &mut Vec<Progress>,
    ) {
        while self.running.len() < slots {
            let Some(run) = self.queue.pop_front() else {
                break;
            };
            self.prefill_left_ms += run.prefill_ms;
            self.running.push(run);
        }
        let prefill_ms = self.prefill_left_ms.min(step_ms);
        self.prefill_left_ms -= prefill_ms;
        let events = (step_ms - prefill_ms) / event_ms;
        for run in &mut self.running {
            let before = run.generated;
            run.generated += events;
            if before < 1.0 && run.generated >= 1.0 {
                progress.push(Progress::FirstEvent(run.id));
            }
        }
        self.running.retain(|run| {
            let is_complete = run.generated >= run.events;
            if is_complete {
                progress.push(Progress::Completed(run.id));
            }
            !is_complete
        });
    }
}

/// Returns a target's name.
pub(crate) fn name(target: usize) -> String {
    format!("t{target}")
}
