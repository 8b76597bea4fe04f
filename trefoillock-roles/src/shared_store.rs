//! Shares the table store between the replicated log, which writes it, and its readers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use trefoillock_core::{Config, LogIndex, Term};
use trefoillock_replica::{RestoreError, StateMachine};
use trefoillock_store::{CommandAnswer, TableStore};

/// The table store of a control replica, as the state machine of the replicated log.
///
/// Clones share the store. Each change of the configuration is published to subscribers.
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

    /// Locks the store. The guard must not be held across an `await`.
    pub(crate) fn lock(&self) -> MutexGuard<'_, TableStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to the configuration. The receiver also sees changes of replayed log entries and
    /// of restored snapshots.
    pub(crate) fn subscribe_config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    fn publish(&self, config: Arc<Config>) {
        self.config.send_if_modified(|published| {
            let is_new = !Arc::ptr_eq(published, &config);
            if is_new {
                *published = config;
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
