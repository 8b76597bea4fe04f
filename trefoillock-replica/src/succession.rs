//! Which replicas vote, when replicas take each other in without an operator.

use std::net::SocketAddr;

use trefoillock_core::{ReplicaId, data};

use crate::{MemberRole, Membership, MembershipChange};

/// A replica that asks to be taken in.
#[data(key)]
pub struct Candidate {
    /// Its identity, drawn when its data folder was made.
    pub id: ReplicaId,
    /// Its mesh address.
    pub address: SocketAddr,
}

/// Chooses the next change of the membership, if one is due.
///
/// A voter is given up once a replica with another identity asks from its address, because a
/// machine has one data folder, or once it is silent. It leaves only after its successor has
/// caught up and votes, so entries are never held by fewer disks than before. `silent` tells
/// whether a replica was not heard of for long; `wanted` is the number of voters to keep.
#[must_use]
pub fn next_change(
    members: &Membership,
    candidates: &[Candidate],
    silent: impl Fn(ReplicaId) -> bool,
    wanted: usize,
) -> Option<MembershipChange> {
    let voters = members.voters().count();
    let lost = |id: ReplicaId| {
        let address = members.get(id).map(|member| member.address);
        let is_succeeded = candidates
            .iter()
            .any(|candidate| candidate.id != id && Some(candidate.address) == address);
        is_succeeded || silent(id)
    };
    if voters > wanted
        && let Some(id) = members.voters().find(|id| lost(*id))
    {
        return Some(MembershipChange::Remove { id });
    }
    let mut learners = members
        .members()
        .iter()
        .filter(|(_, member)| member.role == MemberRole::Learner);
    if let Some((id, _)) = learners.find(|(id, _)| lost(**id)) {
        return Some(MembershipChange::Remove { id: *id });
    }
    let is_new = |candidate: &&Candidate| {
        members.get(candidate.id).is_none() && !members.is_removed(candidate.id)
    };
    if let Some(candidate) = candidates.iter().find(is_new) {
        return Some(MembershipChange::AddLearner {
            id: candidate.id,
            address: candidate.address,
        });
    }
    let has_place = voters < wanted || (voters == wanted && members.voters().any(lost));
    let is_learner = |candidate: &&Candidate| {
        let member = members.get(candidate.id);
        member.is_some_and(|member| member.role == MemberRole::Learner)
    };
    let next = candidates.iter().find(is_learner).filter(|_| has_place)?;
    Some(MembershipChange::Promote { id: next.id })
}
