//! The limits on the rate of calls that backend servers have stated in responses to this node.

use trefoillock_core::{Map, Member, Members, ServerId};

use crate::{KnownLimit, ServerReport};

/// The number of limits from which on those of unknown backend servers are forgotten.
const MAX_LIMITS: usize = 8_192;

/// The limits on the rate of calls that backend servers have stated in responses to this node.
///
/// They are kept while a backend server is missing in the list of members, because that happens
/// when its node restarts and has forgotten them.
#[derive(Debug, Clone, Default)]
pub(crate) struct StatedLimits {
    limits: Map<ServerId, KnownLimit>,
}

impl StatedLimits {
    /// The limit that this run of a backend server has stated.
    pub(crate) fn get(&self, member: &Member) -> Option<KnownLimit> {
        let known = self.limits.get(&member.id).copied();
        known.filter(|known| known.incarnation == member.announcement.incarnation)
    }

    /// Whether [`Self::record`] would change anything.
    pub(crate) fn differs_from(&self, member: &Member, report: &ServerReport) -> bool {
        let rate = report.load.limit.map(|limit| limit.rate);
        self.get(member).map(|known| known.rate) != rate
    }

    /// Records what a backend server has stated. If there are too many limits, those of backend
    /// servers that are not in the list of members are removed.
    pub(crate) fn record(&mut self, member: &Member, report: &ServerReport, members: &Members) {
        let Some(limit) = report.load.limit else {
            self.limits.remove(&member.id);
            return;
        };
        let known = KnownLimit {
            rate: limit.rate,
            incarnation: member.announcement.incarnation,
        };
        self.limits.insert(member.id.clone(), known);
        if self.limits.len() > MAX_LIMITS {
            self.limits.retain(|id, _| members.servers.contains_key(id));
        }
    }
}
