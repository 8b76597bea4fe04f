//! The thread that writes to the data folder and syncs it, so that syncs do not block the runtime.

use std::{sync::mpsc, thread};

use tokio::sync::mpsc::UnboundedSender;

use crate::{BatchId, DataFolder, FolderError, Write};

/// A batch of writes with its number.
type Batch = (BatchId, Vec<Write>);

/// The sending side of the disk thread. The thread ends when this is dropped.
#[derive(Debug)]
pub(crate) struct DiskThread {
    batches: mpsc::Sender<Batch>,
}

impl DiskThread {
    /// Starts the thread.
    ///
    /// The thread reports the number of the last batch of each sync on `synced`. It reports the
    /// first error and ends.
    pub(crate) fn start(
        folder: DataFolder,
        synced: UnboundedSender<Result<BatchId, FolderError>>,
    ) -> Result<Self, std::io::Error> {
        let (batches, rx) = mpsc::channel();
        let name = "replica-disk".to_owned();
        thread::Builder::new()
            .name(name)
            .spawn(move || run(folder, &rx, &synced))?;
        Ok(Self { batches })
    }

    /// Queues a batch of writes.
    pub(crate) fn write(&self, id: BatchId, writes: Vec<Write>) {
        // A send fails only after an error that the thread has reported.
        let _ = self.batches.send((id, writes));
    }
}

fn run(
    mut folder: DataFolder,
    batches: &mpsc::Receiver<Batch>,
    synced: &UnboundedSender<Result<BatchId, FolderError>>,
) {
    while let Ok((mut id, mut writes)) = batches.recv() {
        while let Ok((later, more)) = batches.try_recv() {
            id = later;
            writes.extend(more);
        }
        let result = folder.write(&writes).map(|()| id);
        let failed = result.is_err();
        if synced.send(result).is_err() || failed {
            return;
        }
    }
}
