//! The table store as the state machine of the replicated log, shared with the readers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use trefoillock_core::{Config, LogIndex, Term};
use trefoillock_replica::{RestoreError, StateMachine};
use trefoillock_store::{CommandAnswer, TableStore};

/// The table store of a replica. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct SharedStore {
    store: Arc<Mutex<TableStore>>,
    config: watch::Sender<Arc<Config>>,
}

impl SharedStore {
    pub(crate) fn new() -> Self {
        let store = TableStore::new();
        let config = watch::Sender::new(store.config().clone());
        Self {
            store: Arc::new(Mutex::new(store)),
            config,
        }
    }

    /// Locks the store. The guard must not be held over an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, TableStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration, as it changes.
    pub(crate) fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    fn publish(&self, config: Arc<Config>) {
        self.config.send_if_modified(|held| {
            let is_new = !Arc::ptr_eq(held, &config);
            if is_new {
                *held = config;
            }
            is_new
        });
    }
}

impl StateMachine for SharedStore {
    fn apply(&mut self, index: LogIndex, _term: Term, command: &[u8]) -> Vec<u8> {
        let (answer, config) = {
            let mut store = self.lock();
            let answer: CommandAnswer = store.apply_encoded(index, command);
            (answer, store.config().clone())
        };
        self.publish(config);
        answer.encode().unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.lock().snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let config = {
            let mut store = self.lock();
            store.restore(snapshot)?;
            store.config().clone()
        };
        self.publish(config);
        Ok(())
    }
}
