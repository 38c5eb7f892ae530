//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    pub fn note(&self, what: &str, id: &str, detail: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(
            self.file.lock().unwrap(),
            "{at:9.3} s  {what} {id} {detail}"
        );
        if what == "run" {
            let run = (Instant::now(), id.to_owned());
            self.runs.lock().unwrap().push(run);
        }
    }

    /// Returns the items that a runner began to run, once for each run, and when.
    pub fn runs(&self) -> Vec<(Instant, String)> {
        self.runs.lock().unwrap().clone()
    }
}
