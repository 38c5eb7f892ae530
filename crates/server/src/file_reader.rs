//! Reads parts of files for callers on a thread of its own, one after the other.
//!
//! A read takes several times the size of a part for a moment. The allocator keeps what a thread frees
//! for that thread, so reads on all threads of the runtime kept that much for each of them. A limit on
//! the number of reads does not help: each may run on another thread.

use std::future::Future;
use std::io;
use std::pin::Pin;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Reads that may wait for the thread; further ones wait before they are handed over.
const QUEUE_MAX: usize = 16;

type Task = Pin<Box<dyn Future<Output = ()>>>;
type StartTask = Box<dyn FnOnce() -> Task + Send>;

/// Runs reads. The thread ends when this is dropped.
#[derive(Clone, Debug)]
pub(crate) struct FileReader {
    reads: mpsc::Sender<StartTask>,
}

impl FileReader {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime cannot be started.
    pub(crate) fn start() -> io::Result<Self> {
        let (reads, mut queue) = mpsc::channel::<StartTask>(QUEUE_MAX);
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_all().build()?;
        let thread = std::thread::Builder::new().name("file-reader".into());
        thread.spawn(move || {
            runtime.block_on(async {
                while let Some(start) = queue.recv().await {
                    start().await;
                }
            });
        })?;
        Ok(Self { reads })
    }

    /// Runs a read on the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread has ended.
    pub(crate) async fn run<F, R, T>(&self, read: F) -> io::Result<T>
    where
        F: FnOnce() -> R + Send + 'static,
        R: Future<Output = T> + 'static,
        T: Send + 'static,
    {
        let (sender, receiver) = oneshot::channel();
        let start: StartTask = Box::new(move || {
            Box::pin(async move {
                if sender.is_closed() {
                    // Its caller is gone.
                    return;
                }
                // The caller may go meanwhile.
                let _ = sender.send(read().await);
            })
        });
        let ended = |_| io::Error::other("the file reader has ended");
        self.reads.send(start).await.map_err(|_| ended(()))?;
        receiver.await.map_err(|_| ended(()))
    }
}
