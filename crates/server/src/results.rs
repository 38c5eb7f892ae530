//! Results on their way into the log, many to an append.

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
const PAUSE_MAX: Duration = Duration::from_secs(2);

struct Part {
    bytes: Vec<u8>,
    placed: oneshot::Sender<Place>,
}

/// Writes results as blobs.
pub(crate) struct Results {
    parts: mpsc::UnboundedSender<Part>,
}

impl Results {
    pub(crate) fn start(ctx: &Arc<Context>) -> Self {
        let (parts, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(Arc::clone(ctx), receiver));
        Self { parts }
    }

    /// Writes a result, however long the log is down, and returns its place.
    pub(crate) async fn write(&self, bytes: Vec<u8>) -> Option<Place> {
        let (placed, rx) = oneshot::channel();
        self.parts.send(Part { bytes, placed }).ok()?;
        rx.await.ok()
    }
}

async fn run(ctx: Arc<Context>, mut receiver: mpsc::UnboundedReceiver<Part>) {
    let commit = ms(ctx.settings.ledger.commit_ms);
    while let Some(first) = receiver.recv().await {
        let mut batch = vec![first];
        let mut len = batch[0].bytes.len();
        let until = tokio::time::Instant::now() + commit;
        while len < BLOB_BYTES_MAX && batch.len() < BLOB_PARTS_MAX {
            let Ok(Some(part)) = tokio::time::timeout_at(until, receiver.recv()).await else {
                break;
            };
            len += part.bytes.len();
            batch.push(part);
        }
        write(&ctx, batch).await;
    }
}

async fn write(ctx: &Context, batch: Vec<Part>) {
    let (parts, placed): (Vec<_>, Vec<_>) = batch.into_iter().map(|p| (p.bytes, p.placed)).unzip();
    let blob = Blob { parts };
    let mut pause = ms(ctx.settings.ledger.commit_ms);
    let id = loop {
        match ctx.write_blob(&blob).await {
            Ok(id) => break id,
            Err(_) => ctx.metrics.count(Counted::Log, "append lost"),
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    };
    ctx.metrics.count(Counted::Log, "append taken");
    for (index, placed) in placed.into_iter().enumerate() {
        let place = Place {
            offset: id.offset,
            stream: id.stream,
            index: u16::try_from(index).unwrap_or(u16::MAX),
        };
        // Nobody waits any more if the item was given up.
        let _ = placed.send(place);
    }
}
