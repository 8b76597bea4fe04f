//! A simulated entry node.

use std::sync::Arc;

use trefoillock_core::{
    CallRate, DataCentre, DrainedRuns, Incarnation, Map, Member, PoolPolicy, ServerId, Timestamp,
};
use trefoillock_policy::{Balancer, RetryBudget};

use super::server::Report;

/// The number of retries that an entry node may spend at its start.
const RETRY_BURST: u32 = 5;

/// A simulated entry node.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) balancer: Balancer,
    pub(crate) budget: RetryBudget,
    pub(crate) drained: DrainedRuns,
    pub(crate) limits: Map<ServerId, (Incarnation, CallRate)>,
    /// When this node first passed on an answer with a limit of the current statement of a run.
    pub(crate) told_limit: Map<(ServerId, Incarnation), Timestamp>,
    /// When this node first passed on an answer in which a run said that it leaves.
    pub(crate) told_leaving: Map<(ServerId, Incarnation), Timestamp>,
    pub(crate) calls: u64,
    pub(crate) answered: u64,
}

impl Entry {
    pub(crate) fn new(now: Timestamp, members: &[Arc<Member>]) -> Self {
        let data_centre = DataCentre::try_from("a".to_owned()).expect("a valid name");
        let policy = PoolPolicy {
            slow_start_s: 0,
            ..PoolPolicy::default()
        };
        let mut entry = Self {
            balancer: Balancer::new(policy, data_centre),
            budget: RetryBudget::with_burst(RETRY_BURST),
            drained: DrainedRuns::new(),
            limits: Map::default(),
            told_limit: Map::default(),
            told_leaving: Map::default(),
            calls: 0,
            answered: 0,
        };
        entry.set_members(now, members);
        entry
    }

    /// Applies a list of members; a run that has left stays out whatever the list says.
    pub(crate) fn set_members(&mut self, now: Timestamp, members: &[Arc<Member>]) {
        for member in members.iter().filter(|member| !member.is_up()) {
            self.drained.insert(member);
        }
        let available: Vec<_> = members
            .iter()
            .filter(|member| !self.drained.contains(member))
            .cloned()
            .collect();
        self.balancer.sync(now, &available);
    }

    /// Records what an answer says about the backend server.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        member: &Member,
        report: Report,
        members: &[Arc<Member>],
    ) {
        let incarnation = member.announcement.incarnation;
        let run = (member.id.clone(), incarnation);
        if report.is_leaving && self.drained.insert(member) {
            self.told_leaving.entry(run.clone()).or_insert(now);
            self.set_members(now, members);
        }
        if let Some(limit) = report.load.limit {
            self.limits
                .insert(member.id.clone(), (incarnation, limit.rate));
            self.told_limit.entry(run).or_insert(now);
        } else {
            self.limits.remove(&member.id);
            self.told_limit.remove(&run);
        }
    }

    /// The limit that this run of a backend server has stated, as far as this node knows.
    pub(crate) fn known_limit(&self, member: &Member) -> Option<CallRate> {
        let (incarnation, rate) = self.limits.get(&member.id)?;
        (*incarnation == member.announcement.incarnation).then_some(*rate)
    }
}
