//! Probes for a better parent while the present one has lost the leader.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::Timestamp;

use super::{Link, LinkAction, LinkId, MAX_CONCURRENT_LINKS, MAX_REDIRECTS, Uplink};
use crate::{
    LinkEnd, ParentAddress,
    timing::{ATTACH_TIMEOUT, ATTEMPT_LIFETIME, CONFIRMATION_TIMEOUT, PROBE_INTERVAL},
};

/// The largest random jitter added to [`PROBE_INTERVAL`], in milliseconds.
const PROBE_JITTER_MS: u64 = 3_000;

impl Uplink {
    /// Records for how long the parent, or a relay above it, has searched for a parent of its own;
    /// zero if the path to the leader is complete.
    pub fn set_parent_search(&mut self, now: Timestamp, duration: Duration) {
        self.parent_searching_since = (!duration.is_zero()).then(|| now - duration);
    }

    /// Returns for how long this node, or a relay above it, has searched for a parent; zero if the
    /// path to the leader is complete as far as this node knows.
    #[must_use]
    pub fn search_duration(&self, now: Timestamp) -> Duration {
        let since = self.searching_since.or(self.parent_searching_since);
        since.map(|since| now.since(since)).unwrap_or_default()
    }

    /// Sends probes for a better parent while the present one has no path to the leader: to one
    /// control replica after another, and after a whole round again at [`PROBE_INTERVAL`].
    pub(super) fn check_probes(&mut self, now: Timestamp, parent: Link, rng: &mut Pcg64Mcg) {
        if !self.is_cut_off(now) {
            self.stop_probes();
            self.next_probe = now;
            return;
        }
        let expired = |link: &Link| now.since(link.last_received) >= ATTEMPT_LIFETIME;
        while let Some(link) = self.probes.iter().copied().find(expired) {
            self.end_probe(link.id);
        }
        if now < self.next_probe || self.probes.len() >= MAX_CONCURRENT_LINKS {
            return;
        }
        let probes = &self.probes;
        let is_asked = |address| probes.iter().any(|link| link.address == address);
        let Some(address) = self.candidates.next_control(is_asked) else {
            return;
        };
        self.avoid_relay(parent);
        let link = self.new_link(now, address, true);
        self.probes.push(link);
        self.probed += 1;
        self.next_probe = if self.probed < self.candidates.control_count() {
            now + ATTACH_TIMEOUT
        } else {
            self.probed = 0;
            now + PROBE_INTERVAL + Duration::from_millis(rng.random_range(0..=PROBE_JITTER_MS))
        };
    }

    /// Returns whether the parent has had no path to the leader for too long.
    fn is_cut_off(&self, now: Timestamp) -> bool {
        let is_over_limit = |since| now.since(since) >= self.parent_search_limit;
        self.parent_searching_since.is_some_and(is_over_limit)
            || now.since(self.last_confirmed) >= CONFIRMATION_TIMEOUT
    }

    pub(super) fn stop_probes(&mut self) {
        let probes = std::mem::take(&mut self.probes);
        let closed = probes.iter().map(|link| LinkAction::Close(link.id));
        self.actions.extend(closed);
        self.probed = 0;
    }

    pub(super) fn end_probe(&mut self, id: LinkId) -> Option<Link> {
        let index = self.probes.iter().position(|link| link.id == id)?;
        self.actions.push(LinkAction::Close(id));
        Some(self.probes.remove(index))
    }

    /// Sends the probe on to the leader, or attaches to the parent that the leader chose.
    pub(super) fn on_probe_redirect(&mut self, now: Timestamp, probe: Link, to: ParentAddress) {
        let Some(parent) = self.parent else {
            return;
        };
        let is_to_leader = !to.is_relay() && to != probe.address;
        if is_to_leader && self.redirects < MAX_REDIRECTS {
            if self.probes.iter().all(|link| link.address != to) {
                self.redirects += 1;
                let link = self.new_link(now, to, true);
                self.probes.push(link);
            }
        } else if to != parent.address {
            self.redirects = 0;
            self.avoid_relay(parent);
            self.end_link(now, parent.id, LinkEnd::BetterParent);
            self.target = Some(to);
            self.next_attempt = now;
        }
    }
}
