//! Watches the configurations of all nodes while the demonstration runs.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio_util::sync::CancellationToken;
use trefoillock_core::ConfigVersion;

use super::fleet::Observers;

/// The time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// What was seen that breaks a promise.
#[derive(Debug, Clone, Default)]
pub(crate) struct Seen {
    /// The number of looks at a node's configuration.
    pub(crate) looks: u64,
    /// Nodes that went back to an older version.
    pub(crate) went_back: Vec<String>,
    /// Configurations with a route to a missing pool, or whose content does not have its hash.
    pub(crate) broken: Vec<String>,
}

/// Looks at every node until it is stopped.
pub(crate) struct Watcher {
    seen: Arc<Mutex<Seen>>,
    stop: CancellationToken,
}

impl Watcher {
    /// Starts to look.
    pub(crate) fn start(observers: Observers) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let stop = CancellationToken::new();
        tokio::spawn(watch(observers, seen.clone(), stop.clone()));
        Self { seen, stop }
    }

    /// Stops to look and returns what was seen.
    pub(crate) fn finish(&self) -> Seen {
        self.stop.cancel();
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

async fn watch(observers: Observers, seen: Arc<Mutex<Seen>>, stop: CancellationToken) {
    let mut highest: BTreeMap<String, ConfigVersion> = BTreeMap::new();
    let mut tick = tokio::time::interval(LOOK_INTERVAL);
    while stop.run_until_cancelled(tick.tick()).await.is_some() {
        let now: Vec<_> = {
            let observers = observers.lock().unwrap_or_else(PoisonError::into_inner);
            observers
                .iter()
                .map(|(name, o)| (name.clone(), o.config()))
                .collect()
        };
        let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, config) in now {
            let Some(config) = config else { continue };
            seen.looks += 1;
            let held = highest.entry(name.clone()).or_default();
            if config.version() < *held {
                seen.went_back
                    .push(format!("{name}: {held} to {}", config.version()));
            }
            if config.version() > *held {
                if let Err(error) = config.check() {
                    seen.broken.push(format!("{name}: {error}"));
                }
                *held = config.version();
            }
        }
    }
}
