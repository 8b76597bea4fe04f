//! Capacity of a pool: the backend servers that accept work, and how long they have been up.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{
    Incarnation, Member, Members, Pool, ServerId, ServiceName, Timestamp, VersionLabel,
};

/// Shortest time for which a new backend server counts as cold.
const MIN_COLD_TIME: Duration = Duration::from_secs(20);
/// Percentage of a pool's slots on cold backend servers above which its latencies are not
/// compared.
const MAX_COLD_PERCENT: u32 = 20;

/// How long a backend server is remembered after it has gone.
const RETENTION: Duration = Duration::from_mins(2);

/// A backend server that has been seen accepting work.
#[derive(Debug, Clone)]
struct SeenServer {
    incarnation: Incarnation,
    up_since: Timestamp,
    last_seen: Timestamp,
    /// Whether it was already up when this leader first looked.
    is_initial: bool,
    service: ServiceName,
    version: VersionLabel,
}

impl SeenServer {
    fn new(now: Timestamp, member: &Member, is_initial: bool) -> Self {
        Self {
            incarnation: member.announcement.incarnation,
            up_since: now,
            last_seen: now,
            is_initial,
            service: member.announcement.service.clone(),
            version: member.announcement.version.clone(),
        }
    }
}

/// Slots of the backend servers of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PoolCapacity {
    /// Slots of all backend servers that accept work.
    pub(crate) slots: u32,
    /// Slots of those backend servers that are cold.
    pub(crate) cold_slots: u32,
}

impl PoolCapacity {
    /// Whether no backend server accepts work.
    pub(crate) const fn is_empty(self) -> bool {
        self.slots == 0
    }

    /// Whether so many backend servers are cold that latencies say little about the version.
    pub(crate) const fn is_cold(self) -> bool {
        self.cold_slots * 100 > self.slots * MAX_COLD_PERCENT
    }

    /// Whether every backend server is cold.
    pub(crate) const fn is_all_cold(self) -> bool {
        self.slots > 0 && self.cold_slots == self.slots
    }
}

/// Records since when each backend server has been up.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerTracker {
    seen: BTreeMap<ServerId, SeenServer>,
    has_members: bool,
}

impl ServerTracker {
    /// Updates the records from the current list of members.
    pub(crate) fn update(&mut self, now: Timestamp, members: &Members) {
        self.seen
            .retain(|_, seen| now.since(seen.last_seen) < RETENTION);
        let is_initial = !self.has_members;
        self.has_members = true;
        for (id, member) in &members.servers {
            let seen = self.seen.entry(id.clone());
            let seen = seen.or_insert_with(|| SeenServer::new(now, member, is_initial));
            if seen.incarnation != member.announcement.incarnation {
                *seen = SeenServer::new(now, member, false);
            }
            seen.last_seen = now;
        }
    }

    /// Whether a backend server belongs to a pool, or did until recently.
    pub(crate) fn is_in_pool(&self, server: &ServerId, pool: &Pool) -> bool {
        let seen = self.seen.get(server);
        seen.is_some_and(|seen| {
            seen.service == pool.service && pool.versions.contains(&seen.version)
        })
    }

    /// Returns the slots of the backend servers of a pool that accept work.
    ///
    /// A new leader does not know since when the servers that it finds have been up. Past the
    /// canary stage it treats them as warm.
    pub(crate) fn pool_capacity(
        &self,
        now: Timestamp,
        members: &Members,
        pool: &Pool,
        is_past_canary: bool,
    ) -> PoolCapacity {
        let cold_time =
            Duration::from_secs(u64::from(pool.policy.slow_start_s) * 2).max(MIN_COLD_TIME);
        let is_cold = |member: &Member| {
            let seen = self.seen.get(&member.id);
            seen.is_none_or(|seen| {
                let is_assumed_warm = seen.is_initial && is_past_canary;
                !is_assumed_warm && now.since(seen.up_since) < cold_time
            })
        };
        let mut capacity = PoolCapacity::default();
        for member in members.available_in(pool) {
            let slots = member.announcement.slots.min(pool.policy.slots);
            capacity.slots = capacity.slots.saturating_add(slots);
            if is_cold(member) {
                capacity.cold_slots = capacity.cold_slots.saturating_add(slots);
            }
        }
        capacity
    }
}
