//! The backend servers of a pool and how long they have been up.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{
    Incarnation, Member, Members, Pool, ServerId, ServiceName, Timestamp, VersionLabel,
};

/// The shortest time for which a backend server that appears counts as cold.
const MIN_COLD: Duration = Duration::from_secs(20);
/// The part of a pool's slots on cold backend servers from which its latencies are left out, in
/// percent.
const COLD_PERCENT: u32 = 20;

/// The time for which a backend server that has gone is remembered.
const FORGET: Duration = Duration::from_mins(2);

/// A backend server that was seen to take work.
#[derive(Debug, Clone)]
struct Seen {
    incarnation: Incarnation,
    since: Timestamp,
    last: Timestamp,
    /// Whether it was there when this leader looked first.
    is_initial: bool,
    service: ServiceName,
    version: VersionLabel,
}

impl Seen {
    fn new(now: Timestamp, member: &Member, is_initial: bool) -> Self {
        Self {
            incarnation: member.announcement.incarnation,
            since: now,
            last: now,
            is_initial,
            service: member.announcement.service.clone(),
            version: member.announcement.version.clone(),
        }
    }
}

/// What a pool can carry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PoolServers {
    /// Slots of all backend servers that take work.
    pub(crate) slots: u32,
    /// Slots of those that have just appeared.
    pub(crate) cold_slots: u32,
}

impl PoolServers {
    /// Whether no backend server takes work.
    pub(crate) const fn is_empty(self) -> bool {
        self.slots == 0
    }

    /// Whether so many backend servers are cold that latencies say little of the version.
    pub(crate) const fn is_cold(self) -> bool {
        self.cold_slots * 100 > self.slots * COLD_PERCENT
    }

    /// Whether no backend server is warm.
    pub(crate) const fn is_all_cold(self) -> bool {
        self.slots > 0 && self.cold_slots == self.slots
    }
}

/// Remembers when backend servers appeared.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerWatch {
    seen: BTreeMap<ServerId, Seen>,
    has_synced: bool,
}

impl ServerWatch {
    /// Takes in the present list of members.
    pub(crate) fn sync(&mut self, now: Timestamp, members: &Members) {
        self.seen.retain(|_, seen| now.since(seen.last) < FORGET);
        let is_initial = !self.has_synced;
        self.has_synced = true;
        for (id, member) in &members.servers {
            let seen = self.seen.entry(id.clone());
            let seen = seen.or_insert_with(|| Seen::new(now, member, is_initial));
            if seen.incarnation != member.announcement.incarnation {
                *seen = Seen::new(now, member, false);
            }
            seen.last = now;
        }
    }

    /// Whether a backend server belongs, or belonged of late, to a pool.
    pub(crate) fn is_in(&self, server: &ServerId, pool: &Pool) -> bool {
        let seen = self.seen.get(server);
        seen.is_some_and(|seen| seen.service == pool.service && pool.versions.holds(&seen.version))
    }

    /// The backend servers of a pool that take work.
    ///
    /// Past the canary a new leader takes those that it finds for warm.
    pub(crate) fn of_pool(
        &self,
        now: Timestamp,
        members: &Members,
        pool: &Pool,
        is_past_canary: bool,
    ) -> PoolServers {
        let cold = Duration::from_secs(u64::from(pool.policy.slow_start_s) * 2).max(MIN_COLD);
        let is_cold = |member: &Member| {
            let seen = self.seen.get(&member.id);
            seen.is_none_or(|seen| {
                let is_trusted = seen.is_initial && is_past_canary;
                !is_trusted && now.since(seen.since) < cold
            })
        };
        let mut servers = PoolServers::default();
        for member in members.up_in(pool) {
            let slots = member.announcement.slots.min(pool.policy.slots);
            servers.slots = servers.slots.saturating_add(slots);
            if is_cold(member) {
                servers.cold_slots = servers.cold_slots.saturating_add(slots);
            }
        }
        servers
    }
}
