//! What must hold after each event.

use std::{collections::BTreeMap, sync::Arc};

use trefoillock_control::{FleetStatus, Held, NodeMachine};
use trefoillock_core::{Config, ConfigVersion, Map, Members, MembersVersion, NodeId};

/// What was true so far, and what must hold from then on.
#[derive(Debug, Default)]
pub struct Checks {
    configs: BTreeMap<ConfigVersion, u64>,
    members: BTreeMap<MembersVersion, Arc<Members>>,
    served: Map<usize, ConfigVersion>,
    held: Map<(usize, u64), Held>,
}

impl Checks {
    /// Notes a configuration that was accepted.
    pub fn note_config(&mut self, config: &Config) {
        self.configs.insert(config.version(), config.hash());
    }

    /// Notes a list of members that a leader published.
    pub fn note_members(&mut self, members: &Arc<Members>) {
        self.members
            .entry(members.version)
            .or_insert_with(|| members.clone());
    }

    /// Checks one node.
    ///
    /// # Panics
    ///
    /// Panics if a rule is broken.
    pub fn check_node(&mut self, at: usize, run: u64, node: &NodeMachine) {
        let held = node.held();
        let before = self.held.insert((at, run), held).unwrap_or_default();
        assert!(
            held.config.version >= before.config.version && held.members >= before.members,
            "node {at} went back from {before:?} to {held:?}"
        );
        if let Some(config) = node.config() {
            let served = self.served.entry(at).or_default();
            assert!(
                config.version() >= *served,
                "node {at} served {served} and now serves {}",
                config.version()
            );
            if config.version() > *served {
                assert_eq!(config.check(), Ok(()), "node {at} serves a broken version");
                let accepted = self.configs.get(&config.version());
                assert_eq!(
                    accepted,
                    Some(&config.hash()),
                    "node {at} serves other content"
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
                "node {at} holds a list of no leader"
            );
        }
    }

    /// Checks that a leader that says so is right: all nodes that it knows serve the newest.
    ///
    /// # Panics
    ///
    /// Panics if a rule is broken.
    pub fn check_status(&self, status: &FleetStatus, known: impl Iterator<Item = NodeId>) {
        if !status.is_in_force() {
            return;
        }
        for node in known {
            let at = node.as_str().trim_start_matches("vm-").parse::<usize>();
            let served = at.ok().and_then(|at| self.served.get(&at)).copied();
            assert!(
                served.unwrap_or_default() >= status.newest,
                "{node} serves {served:?}, but {} is said to be in force",
                status.newest
            );
        }
    }
}
