//! The publication of member lists by the leader.

use std::{sync::Arc, time::Duration};

use trefoillock_core::{Members, Timestamp};

use super::ControlMachine;
use crate::{
    MembersDelta, MembersUpdate, Payload,
    timing::{LEADER_GRACE, LEADER_GRACE_LIMIT},
};

/// The time after which a new leader waits only for [`PARTIAL_FLEET_PERCENT`] of the known backend
/// servers.
const PARTIAL_FLEET_GRACE: Duration = Duration::from_millis(1_200);
/// The time after which a new leader publishes an incomplete member list if no node holds one. A
/// node that holds a list would have attached by then, within one
/// [`RETRY_DELAY`](super::RETRY_DELAY).
const NEW_FLEET_GRACE: Duration = Duration::from_millis(160);
/// The share of the known backend servers, in percent, that a new leader waits for after
/// [`PARTIAL_FLEET_GRACE`].
const PARTIAL_FLEET_PERCENT: u64 = 90;

impl ControlMachine {
    /// Returns whether the leader may publish: always after its first member list, and before it
    /// once enough of the fleet has attached.
    pub(super) fn may_publish(&self, now: Timestamp) -> bool {
        if self.has_published {
            return true;
        }
        let elapsed = now.since(self.leading_since);
        let announced = self.node_table.announced_servers() as u64 * 100;
        let known = u64::from(self.max_servers_known);
        // In a newly started fleet no node holds a list, so an incomplete one is better than none.
        let is_new_fleet = known == 0;
        let is_complete = announced >= known * 100;
        let is_mostly_complete = announced >= known * PARTIAL_FLEET_PERCENT;
        // Before a node has attached, neither its servers nor those that it knows are counted.
        let is_enough = announced > 0
            && ((elapsed >= NEW_FLEET_GRACE && is_new_fleet)
                || (elapsed >= LEADER_GRACE && is_complete)
                || (elapsed >= PARTIAL_FLEET_GRACE && is_mostly_complete));
        is_enough || elapsed >= LEADER_GRACE_LIMIT
    }

    pub(super) fn publish(&mut self, now: Timestamp) {
        self.last_publish = now;
        self.is_dirty = false;
        let old = self.distributor.members().clone();
        let servers = self.node_table.servers(now);
        if self.has_published && servers == old.servers && self.quarantined == old.quarantined {
            return;
        }
        self.version.sequence += 1;
        let members = Members {
            version: self.version,
            servers,
            quarantined: self.quarantined.clone(),
        };
        let is_delta = self.has_published;
        let update = if is_delta {
            MembersUpdate::Delta(MembersDelta::between(&old, &members))
        } else {
            MembersUpdate::Snapshot(members.clone())
        };
        self.has_published = true;
        let payload = Payload::encode(&update);
        self.distributor
            .set_members(Arc::new(members), payload, is_delta);
    }
}
