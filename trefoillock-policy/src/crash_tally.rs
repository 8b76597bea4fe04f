//! Counts the crashes in which a request was being run.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{CrashReport, Fingerprint, Incarnation, Map, ServerId, Timestamp};

/// Distinct crashes after which a request is refused.
const CRASHES_TO_QUARANTINE: usize = 2;
/// The time within which the crashes must lie.
const CRASH_WINDOW: Duration = Duration::from_mins(10);
/// The time for which a request is refused.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// The most requests that are suspected, and the most that are refused.
const MAX_FINGERPRINTS: usize = 1_024;

/// The crashes of one request.
#[derive(Debug)]
struct Suspect {
    crashes: Vec<(ServerId, Incarnation)>,
    last: Timestamp,
}

/// Counts distinct crashes of backend servers by the request that was being run.
///
/// A crash is one run of one backend server: reports of the same run from several nodes count
/// once. At the second distinct crash within ten minutes the request is quarantined for ten
/// minutes. The memory is bounded; when it is full, the oldest entry goes.
#[derive(Debug, Default)]
pub struct CrashTally {
    suspects: Map<Fingerprint, Suspect>,
    quarantined: BTreeMap<Fingerprint, Timestamp>,
}

impl CrashTally {
    /// Creates a tally without crashes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a crash and returns whether the request became quarantined by it.
    pub fn record(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        self.expire(now);
        let fingerprint = report.fingerprint;
        if self.quarantined.contains_key(&fingerprint) {
            return false;
        }
        self.make_room_for(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: Vec::new(),
            last: now,
        });
        let crash = (report.server.clone(), report.incarnation);
        if !suspect.crashes.contains(&crash) {
            suspect.crashes.push(crash);
            suspect.last = now;
        }
        if suspect.crashes.len() < CRASHES_TO_QUARANTINE {
            return false;
        }
        self.suspects.remove(&fingerprint);
        self.quarantine(fingerprint, now + QUARANTINE_TIME);
        true
    }

    /// Clears a request of suspicion, because a backend server has answered it in full.
    pub fn answered(&mut self, fingerprint: Fingerprint) {
        if !self.suspects.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Whether a request is refused.
    #[must_use]
    pub fn is_quarantined(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.quarantined
            .get(&fingerprint)
            .is_some_and(|until| now < *until)
    }

    /// The requests that are refused, with the time until which they are.
    #[must_use]
    pub const fn quarantined(&self) -> &BTreeMap<Fingerprint, Timestamp> {
        &self.quarantined
    }

    /// Forgets what is out of time.
    pub fn expire(&mut self, now: Timestamp) {
        self.quarantined.retain(|_, until| now < *until);
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) < CRASH_WINDOW);
    }

    /// Forgets the oldest suspect if a new one would be too many.
    fn make_room_for(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_FINGERPRINTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&oldest);
        }
    }

    fn quarantine(&mut self, fingerprint: Fingerprint, until: Timestamp) {
        if self.quarantined.len() >= MAX_FINGERPRINTS {
            let first = self.quarantined.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.quarantined.remove(&first);
            }
        }
        self.quarantined.insert(fingerprint, until);
    }
}
