//! Writes results to the log, many in one append.

use std::sync::Arc;
use std::time::Duration;

use notchwharf_config::settings::ms;
use notchwharf_ledger::record::Blob;
use notchwharf_ledger::record::Place;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::metrics::Counted;

const BLOB_BYTES_MAX: usize = 512 << 10;
const BLOB_PARTS_MAX: usize = 4_096;
const BACKOFF_MAX: Duration = Duration::from_secs(2);

struct Part {
    bytes: Vec<u8>,
    location_tx: oneshot::Sender<Place>,
}

/// Writes results as parts of blobs.
pub(crate) struct ResultWriter {
    parts: mpsc::UnboundedSender<Part>,
}

impl ResultWriter {
    pub(crate) fn start(ctx: &Arc<Context>) -> Self {
        let (parts, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(Arc::clone(ctx), receiver));
        Self { parts }
    }

    /// Writes a result, retrying for as long as the log is unavailable, and returns its
    /// location.
    pub(crate) async fn write(&self, bytes: Vec<u8>) -> Option<Place> {
        let (location_tx, location_rx) = oneshot::channel();
        self.parts.send(Part { bytes, location_tx }).ok()?;
        location_rx.await.ok()
    }
}

async fn run(ctx: Arc<Context>, mut receiver: mpsc::UnboundedReceiver<Part>) {
    let commit = ms(ctx.settings.ledger.commit_ms);
    while let Some(first) = receiver.recv().await {
        let mut batch = vec![first];
        let mut len = batch[0].bytes.len();
        let flush_at = tokio::time::Instant::now() + commit;
        while len < BLOB_BYTES_MAX && batch.len() < BLOB_PARTS_MAX {
            let Ok(Some(part)) = tokio::time::timeout_at(flush_at, receiver.recv()).await else {
                break;
            };
            len += part.bytes.len();
            batch.push(part);
        }
        write_batch(&ctx, batch).await;
    }
}

async fn write_batch(ctx: &Context, batch: Vec<Part>) {
    let (parts, location_txs): (Vec<_>, Vec<_>) =
        batch.into_iter().map(|p| (p.bytes, p.location_tx)).unzip();
    let blob = Blob { parts };
    let mut backoff = ms(ctx.settings.ledger.commit_ms);
    let id = loop {
        match ctx.write_blob(&blob).await {
            Ok(id) => break id,
            Err(_) => ctx.metrics.count(Counted::Log, "append lost"),
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    };
    ctx.metrics.count(Counted::Log, "append taken");
    for (index, location_tx) in location_txs.into_iter().enumerate() {
        let location = Place {
            offset: id.offset,
            stream: id.stream,
            index: u16::try_from(index).unwrap_or(u16::MAX),
        };
        // The receiver is dropped if the caller stopped waiting.
        let _ = location_tx.send(location);
    }
}
