//! The policy of automatic membership changes when machines are lost, wiped and replaced.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::ReplicaId;
use trefoillock_replica::{
    JoinCandidate, MemberRole, Membership, MembershipChange, next_membership_change,
};

const TARGET_VOTERS: usize = 5;

fn address(machine: u64) -> SocketAddr {
    let port = 7_000 + u16::try_from(machine).expect("a small number");
    ([127, 0, 0, 1], port).into()
}

fn candidate(id: u64, machine: u64) -> JoinCandidate {
    JoinCandidate {
        id: ReplicaId::new(id),
        address: address(machine),
    }
}

fn voters(machines: &[u64]) -> Membership {
    let voters = machines.iter().map(|m| (ReplicaId::new(*m), address(*m)));
    Membership::of_voters(&voters.collect::<Vec<_>>())
}

/// Applies changes until none is due. Returns them.
fn apply_due_changes(
    members: &mut Membership,
    candidates: &[JoinCandidate],
    silent: &BTreeSet<u64>,
) -> Vec<MembershipChange> {
    let mut changes = Vec::new();
    let is_silent = |id: ReplicaId| silent.contains(&id.get());
    while let Some(change) = next_membership_change(members, candidates, is_silent, TARGET_VOTERS) {
        *members = members.with_change(&change).expect("a valid change");
        changes.push(change);
        assert!(changes.len() < 32, "{changes:?}");
    }
    changes
}

#[test]
fn the_first_voters_add_the_other_replicas_as_voters() {
    let mut members = voters(&[1, 2, 3]);
    apply_due_changes(
        &mut members,
        &[candidate(104, 4), candidate(105, 5)],
        &BTreeSet::new(),
    );
    assert_eq!(members.voters().count(), TARGET_VOTERS);
}

#[test]
fn a_wiped_replica_is_replaced_before_it_is_removed() {
    let mut members = voters(&[1, 2, 3, 4, 5]);
    let changes = apply_due_changes(&mut members, &[candidate(102, 2)], &BTreeSet::new());
    let id = ReplicaId::new(102);
    let expected = [
        MembershipChange::AddLearner {
            id,
            address: address(2),
        },
        MembershipChange::Promote { id },
        MembershipChange::Remove {
            id: ReplicaId::new(2),
        },
    ];
    assert_eq!(changes, expected);
}

#[test]
fn a_spare_replica_is_promoted_only_when_a_voter_is_silent() {
    let mut members = voters(&[1, 2, 3, 4, 5]);
    apply_due_changes(&mut members, &[candidate(106, 6)], &BTreeSet::new());
    let role = members.get(ReplicaId::new(106)).map(|member| member.role);
    assert_eq!(role, Some(MemberRole::Learner));
    apply_due_changes(&mut members, &[candidate(106, 6)], &BTreeSet::from([3]));
    assert!(members.is_voter(ReplicaId::new(106)));
    assert!(members.is_removed(ReplicaId::new(3)));
}

/// Whichever machines are wiped and join again, the number of voters is never below the target
/// number and at most one above it.
#[test]
fn the_number_of_voters_is_the_target_or_one_more() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut members = voters(&[1, 2, 3, 4, 5]);
        let mut ids: Vec<u64> = vec![1, 2, 3, 4, 5];
        for step in 0..20 {
            let machine = rng.random_range(0..ids.len());
            let id = 1_000 + seed * 100 + step;
            ids[machine] = id;
            let rejoining = candidate(id, machine as u64 + 1);
            while let Some(change) =
                next_membership_change(&members, &[rejoining], |_| false, TARGET_VOTERS)
            {
                members = members.with_change(&change).expect("a valid change");
                let count = members.voters().count();
                assert!(
                    (TARGET_VOTERS..=TARGET_VOTERS + 1).contains(&count),
                    "seed {seed}: {count}"
                );
            }
            assert!(members.is_voter(rejoining.id), "seed {seed}, step {step}");
        }
    }
}
