//! Invariants that are checked after each event of the simulation.
//!
//! - Between two restarts, a node never goes back to an older configuration or list of members.
//! - The version that a node serves never decreases, also across restarts.
//! - A node serves only configurations that were accepted, with intact content.
//! - A node holds only lists of members that a leader published.
//! - When a leader reports a configuration in force, all nodes that it knows serve it.

use std::{collections::BTreeMap, sync::Arc};

use trefoillock_control::{FleetStatus, HeldVersions, NodeMachine};
use trefoillock_core::{Config, ConfigVersion, Map, Members, MembersVersion, NodeId};

/// The state recorded so far, against which later events are checked.
#[derive(Debug, Default)]
pub struct Checks {
    configs: BTreeMap<ConfigVersion, u64>,
    members: BTreeMap<MembersVersion, Arc<Members>>,
    served: Map<usize, ConfigVersion>,
    held: Map<(usize, u64), HeldVersions>,
}

impl Checks {
    /// Records a configuration that was accepted.
    pub fn record_config(&mut self, config: &Config) {
        self.configs.insert(config.version(), config.hash());
    }

    /// Records a list of members that a leader published.
    pub fn record_members(&mut self, members: &Arc<Members>) {
        self.members
            .entry(members.version)
            .or_insert_with(|| members.clone());
    }

    /// Checks the invariants of one node. `incarnation` counts the starts of the node.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn check_node(&mut self, at: usize, incarnation: u64, node: &NodeMachine) {
        let held = node.held_versions();
        let before = self
            .held
            .insert((at, incarnation), held)
            .unwrap_or_default();
        assert!(
            held.config.version >= before.config.version && held.members >= before.members,
            "node {at} reverted from {before:?} to {held:?}"
        );
        if let Some(config) = node.config() {
            let served = self.served.entry(at).or_default();
            assert!(
                config.version() >= *served,
                "node {at} served {served} and now serves {}",
                config.version()
            );
            if config.version() > *served {
                assert_eq!(
                    config.validate(),
                    Ok(()),
                    "node {at} serves an inconsistent configuration"
                );
                let accepted = self.configs.get(&config.version());
                assert_eq!(
                    accepted,
                    Some(&config.hash()),
                    "node {at} serves content other than the accepted one"
                );
                *served = config.version();
            }
        }
        if let Some(members) = node.members()
            && held.members != before.members
        {
            let published = self.members.get(&members.version);
            assert_eq!(
                published,
                Some(members),
                "node {at} holds a list of members that no leader published"
            );
        }
    }

    /// Checks that if a leader reports the newest configuration in force, all nodes that it knows
    /// serve it.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn check_status(&self, status: &FleetStatus, known: impl Iterator<Item = NodeId>) {
        if !status.has_converged() {
            return;
        }
        for node in known {
            let at = node.as_str().trim_start_matches("vm-").parse::<usize>();
            let served = at.ok().and_then(|at| self.served.get(&at)).copied();
            assert!(
                served.unwrap_or_default() >= status.newest,
                "{node} serves {served:?}, but the leader reports {} in force",
                status.newest
            );
        }
    }
}
