//! Shares the table store between the replicated log, which writes it, and its readers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use trefoillock_core::{Config, DrainedRuns, LogIndex, Term};
use trefoillock_replica::{RestoreError, StateMachine};
use trefoillock_store::{CommandAnswer, TableStore};

/// The table store of a control replica, as the state machine of the replicated log.
///
/// Clones share the store. Each change of the configuration and of the recorded departures is
/// published to subscribers.
#[derive(Debug, Clone)]
pub(crate) struct SharedStore {
    store: Arc<Mutex<TableStore>>,
    config: watch::Sender<Arc<Config>>,
    drained: watch::Sender<Arc<DrainedRuns>>,
}

impl SharedStore {
    pub(crate) fn new() -> Self {
        let store = TableStore::new();
        let config = watch::Sender::new(store.config().clone());
        let drained = watch::Sender::new(store.drained_runs().clone());
        Self {
            store: Arc::new(Mutex::new(store)),
            config,
            drained,
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

    /// Subscribes to the runs of backend servers whose departure is recorded, as
    /// [`Self::subscribe_config`] does to the configuration.
    pub(crate) fn subscribe_drained_runs(&self) -> watch::Receiver<Arc<DrainedRuns>> {
        self.drained.subscribe()
    }

    /// Publishes the state of the store after a change.
    fn publish(&self) {
        let (config, drained) = {
            let store = self.lock();
            (store.config().clone(), store.drained_runs().clone())
        };
        // The departures come first: who sees a configuration also sees what was recorded before it.
        publish_if_new(&self.drained, drained);
        publish_if_new(&self.config, config);
    }
}

fn publish_if_new<T>(sender: &watch::Sender<Arc<T>>, value: Arc<T>) {
    sender.send_if_modified(|published| {
        let is_new = !Arc::ptr_eq(published, &value);
        if is_new {
            *published = value;
        }
        is_new
    });
}

impl StateMachine for SharedStore {
    fn apply(&mut self, index: LogIndex, _term: Term, command: &[u8]) -> Vec<u8> {
        let answer: CommandAnswer = self.lock().apply_encoded(index, command);
        self.publish();
        answer.encode().unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.lock().snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.lock().restore(snapshot)?;
        self.publish();
        Ok(())
    }
}
