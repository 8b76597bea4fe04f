//! Checks the configurations of all nodes periodically while the demonstration runs.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio_util::sync::CancellationToken;
use trefoillock_core::ConfigVersion;

use super::fleet::Observers;

/// The time between two checks of all nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The number of checks and the violations that were found.
#[derive(Debug, Clone, Default)]
pub(crate) struct Findings {
    /// The number of checked configurations; each check of a node counts.
    pub(crate) checks: u64,
    /// The nodes that went back to an older version, with both versions.
    pub(crate) reverted: Vec<String>,
    /// The nodes with an inconsistent configuration, with the error: a route to a missing pool, or
    /// a hash that does not match the content.
    pub(crate) broken: Vec<String>,
}

/// A background task that checks every node until it is stopped.
pub(crate) struct Watcher {
    findings: Arc<Mutex<Findings>>,
    stop: CancellationToken,
}

impl Watcher {
    /// Starts checking the nodes.
    pub(crate) fn start(observers: Observers) -> Self {
        let findings = Arc::new(Mutex::new(Findings::default()));
        let stop = CancellationToken::new();
        tokio::spawn(watch(observers, findings.clone(), stop.clone()));
        Self { findings, stop }
    }

    /// Stops checking and returns the findings.
    pub(crate) fn finish(&self) -> Findings {
        self.stop.cancel();
        self.findings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

async fn watch(observers: Observers, findings: Arc<Mutex<Findings>>, stop: CancellationToken) {
    let mut highest: BTreeMap<String, ConfigVersion> = BTreeMap::new();
    let mut tick = tokio::time::interval(CHECK_INTERVAL);
    while stop.run_until_cancelled(tick.tick()).await.is_some() {
        let now: Vec<_> = {
            let observers = observers.lock().unwrap_or_else(PoisonError::into_inner);
            observers
                .iter()
                .map(|(name, o)| (name.clone(), o.config()))
                .collect()
        };
        let mut findings = findings.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, config) in now {
            let Some(config) = config else { continue };
            findings.checks += 1;
            let newest = highest.entry(name.clone()).or_default();
            if config.version() < *newest {
                findings
                    .reverted
                    .push(format!("{name}: {newest} to {}", config.version()));
            }
            if config.version() > *newest {
                if let Err(error) = config.validate() {
                    findings.broken.push(format!("{name}: {error}"));
                }
                *newest = config.version();
            }
        }
    }
}
