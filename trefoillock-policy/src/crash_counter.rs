//! Counts the backend server crashes that occurred while a request was running, by request.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{CrashReport, Fingerprint, Incarnation, Map, ServerId, Timestamp};

/// The number of distinct crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;
/// The time after its last crash for which a suspected request is remembered.
const SUSPECT_LIFETIME: Duration = Duration::from_mins(10);
/// The duration of a quarantine.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// The maximum number of suspected requests, and also of quarantined requests, that are remembered.
const MAX_REQUESTS: usize = 1_024;

/// A request that was running during at least one crash and is not quarantined.
#[derive(Debug)]
struct Suspect {
    crashes: Vec<(ServerId, Incarnation)>,
    last_crash_at: Timestamp,
}

/// Counts distinct crashes of backend servers by the request that was running, and quarantines
/// requests.
///
/// A crash is identified by the backend server and its incarnation, so reports of one crash by
/// several nodes count once. At its second distinct crash a request is quarantined for ten minutes;
/// a suspected request is forgotten ten minutes after its last crash. Memory is bounded: when it is
/// full, the suspect with the oldest crash or the quarantine that ends first is evicted.
#[derive(Debug, Default)]
pub struct CrashCounter {
    suspects: Map<Fingerprint, Suspect>,
    quarantined: BTreeMap<Fingerprint, Timestamp>,
}

impl CrashCounter {
    /// Creates a counter that has counted no crash.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a crash. Returns whether it caused the request to be quarantined.
    pub fn record(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        self.expire(now);
        let fingerprint = report.fingerprint;
        if self.quarantined.contains_key(&fingerprint) {
            return false;
        }
        self.evict_suspect_for(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: Vec::new(),
            last_crash_at: now,
        });
        let crash = (report.server.clone(), report.incarnation);
        if !suspect.crashes.contains(&crash) {
            suspect.crashes.push(crash);
            suspect.last_crash_at = now;
        }
        if suspect.crashes.len() < CRASHES_TO_QUARANTINE {
            return false;
        }
        self.suspects.remove(&fingerprint);
        self.quarantine(fingerprint, now + QUARANTINE_TIME);
        true
    }

    /// Removes a request from the suspects because a backend server has answered it in full. A
    /// quarantine stays in force.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        if !self.suspects.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Whether a request is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.quarantined
            .get(&fingerprint)
            .is_some_and(|until| now < *until)
    }

    /// The quarantined requests with the end of each quarantine.
    #[must_use]
    pub const fn quarantined(&self) -> &BTreeMap<Fingerprint, Timestamp> {
        &self.quarantined
    }

    /// Removes quarantines that have ended and suspects whose last crash is too long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.quarantined.retain(|_, until| now < *until);
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_crash_at) < SUSPECT_LIFETIME);
    }

    /// Evicts the suspect with the oldest crash if adding this one would exceed the limit.
    fn evict_suspect_for(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_REQUESTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash_at);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&oldest);
        }
    }

    fn quarantine(&mut self, fingerprint: Fingerprint, until: Timestamp) {
        if self.quarantined.len() >= MAX_REQUESTS {
            let first_to_end = self.quarantined.iter().min_by_key(|(_, until)| **until);
            if let Some(first_to_end) = first_to_end.map(|(fingerprint, _)| *fingerprint) {
                self.quarantined.remove(&first_to_end);
            }
        }
        self.quarantined.insert(fingerprint, until);
    }
}
