//! The thread that writes and syncs.

use std::{sync::mpsc, thread};

use tokio::sync::mpsc::UnboundedSender;

use crate::{DataFolder, FolderError, Ticket, Write};

/// A batch of writes with its ticket.
type Batch = (Ticket, Vec<Write>);

/// Hands batches to the thread; the thread ends when this is dropped.
#[derive(Debug)]
pub(crate) struct DiskThread {
    batches: mpsc::Sender<Batch>,
}

impl DiskThread {
    /// Starts the thread. It reports the ticket of each synced batch, or the first error.
    pub(crate) fn start(
        folder: DataFolder,
        synced: UnboundedSender<Result<Ticket, FolderError>>,
    ) -> Result<Self, std::io::Error> {
        let (batches, rx) = mpsc::channel();
        let name = "replica-disk".to_owned();
        thread::Builder::new()
            .name(name)
            .spawn(move || run(folder, &rx, &synced))?;
        Ok(Self { batches })
    }

    pub(crate) fn write(&self, ticket: Ticket, writes: Vec<Write>) {
        // A send fails only after an error, which the thread has reported.
        let _ = self.batches.send((ticket, writes));
    }
}

fn run(
    mut folder: DataFolder,
    batches: &mpsc::Receiver<Batch>,
    synced: &UnboundedSender<Result<Ticket, FolderError>>,
) {
    while let Ok((mut ticket, mut writes)) = batches.recv() {
        while let Ok((later, more)) = batches.try_recv() {
            ticket = later;
            writes.extend(more);
        }
        let result = folder.write(&writes).map(|()| ticket);
        let failed = result.is_err();
        if synced.send(result).is_err() || failed {
            return;
        }
    }
}
