//! Counts how often each request ran.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

/// The number of runs of each request on all backend servers that share the counter.
#[derive(Debug, Clone, Default)]
pub struct RunCounter {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl RunCounter {
    /// Creates a counter without runs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a run of the request with this identity.
    pub fn record(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.to_owned()).or_default() += 1;
    }

    /// The number of runs of the request with this identity.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(id).copied().unwrap_or(0)
    }

    /// The total number of runs of all requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.values().map(|count| u64::from(*count)).sum()
    }

    /// The number of runs by request identity.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<String, u32> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The identities of requests that ran more than once and match a predicate.
    #[must_use]
    pub fn repeated(&self, matches_id: impl Fn(&str) -> bool) -> Vec<String> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let repeated = runs
            .iter()
            .filter(|(id, count)| **count > 1 && matches_id(id));
        repeated.map(|(id, _)| id.clone()).collect()
    }
}
