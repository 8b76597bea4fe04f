//! The policy of automatic membership changes when machines are lost, wiped and replaced.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::ReplicaId;
use trefoillock_replica::{
    ChangeError, ChangeReason, DiskId, DueChange, JoinCandidate, MemberContact, MemberRole,
    Membership, MembershipChange, next_membership_change,
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
        disk: Some(DiskId::new(id)),
    }
}

/// What is heard from a member that has been silent for a number of seconds.
const fn silent_for(seconds: u64) -> MemberContact {
    MemberContact {
        silence: Duration::from_secs(seconds),
        has_announced_stop: false,
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
    let contact = |id: ReplicaId| silent_for(u64::from(silent.contains(&id.get())) * 3);
    while let Some(due) = next_membership_change(members, candidates, contact, TARGET_VOTERS) {
        let change = due.change;
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
            while let Some(due) =
                next_membership_change(&members, &[rejoining], |_| silent_for(0), TARGET_VOTERS)
            {
                members = members.with_change(&due.change).expect("a valid change");
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

/// Returns the next change among six voters of which some are silent.
fn next_of_six(contacts: &[(u64, MemberContact)], candidates: &[JoinCandidate]) -> DueChange {
    let members = voters(&[1, 2, 3, 4, 5, 6]);
    let contacts: BTreeMap<u64, MemberContact> = contacts.iter().copied().collect();
    let contact = |id: ReplicaId| contacts.get(&id.get()).copied().unwrap_or_default();
    next_membership_change(&members, candidates, contact, TARGET_VOTERS).expect("a change is due")
}

#[test]
fn the_voter_that_is_silent_for_longest_is_removed_first() {
    let due = next_of_six(&[(2, silent_for(3)), (4, silent_for(5))], &[]);
    let id = ReplicaId::new(4);
    assert_eq!(due.change, MembershipChange::Remove { id });
    let millis = 5_000;
    assert_eq!(due.reason, ChangeReason::Silent { millis });
}

#[test]
fn a_voter_that_announced_its_stop_is_removed_before_one_that_is_silent_for_longer() {
    let stopped = MemberContact {
        silence: Duration::from_secs(3),
        has_announced_stop: true,
    };
    let due = next_of_six(&[(2, silent_for(5)), (4, stopped)], &[]);
    let id = ReplicaId::new(4);
    assert_eq!(due.change, MembershipChange::Remove { id });
    assert_eq!(due.reason, ChangeReason::Stopped);
}

#[test]
fn a_voter_whose_machine_runs_another_replica_is_removed_first() {
    let stopped = MemberContact {
        silence: Duration::from_secs(9),
        has_announced_stop: true,
    };
    let due = next_of_six(&[(2, stopped)], &[candidate(105, 5)]);
    let id = ReplicaId::new(5);
    assert_eq!(due.change, MembershipChange::Remove { id });
    assert_eq!(due.reason, ChangeReason::Replaced);
}

#[test]
fn a_voter_that_announced_its_stop_and_is_heard_from_stays() {
    let restarted = MemberContact {
        silence: Duration::from_millis(100),
        has_announced_stop: true,
    };
    let members = voters(&[1, 2, 3, 4, 5, 6]);
    let due = next_membership_change(&members, &[], |_| restarted, TARGET_VOTERS);
    assert_eq!(due, None);
}

#[test]
fn a_learner_that_still_requests_to_join_is_not_removed() {
    let mut members = voters(&[1, 2, 3, 4, 5]);
    let joining = candidate(106, 6);
    let silent = BTreeSet::from([106]);
    let changes = apply_due_changes(&mut members, &[joining], &silent);
    let id = joining.id;
    let address = joining.address;
    assert_eq!(changes, [MembershipChange::AddLearner { id, address }]);
    assert_eq!(
        apply_due_changes(&mut members, &[], &silent),
        [MembershipChange::Remove { id }]
    );
}

/// A replica was cut off while another one was lost for good, and was removed in its place.
#[test]
fn a_removed_replica_returns_with_its_disk_in_place_of_the_lost_one() {
    let mut members = voters(&[1, 2, 3, 4, 5]);
    for id in 1..=5 {
        members = members.with_disk(ReplicaId::new(id), DiskId::new(id));
    }
    let remove = MembershipChange::Remove {
        id: ReplicaId::new(2),
    };
    members = members.with_change(&remove).expect("a valid change");
    let returning = candidate(2, 2);
    apply_due_changes(&mut members, &[returning], &BTreeSet::from([3]));
    assert!(members.is_voter(returning.id));
    assert!(!members.is_removed(returning.id));
}

#[test]
fn a_removed_replica_without_its_disk_does_not_return() {
    let id = ReplicaId::new(2);
    let mut members = voters(&[1, 2, 3, 4, 5]).with_disk(id, DiskId::new(2));
    let remove = MembershipChange::Remove { id };
    members = members.with_change(&remove).expect("a valid change");
    let (address, disk) = (address(2), DiskId::new(99));
    let readmit = MembershipChange::Readmit { id, address, disk };
    let refused = members.with_change(&readmit);
    assert_eq!(refused, Err(ChangeError::IdentityUsed(id)));
    for disk in [None, Some(disk)] {
        let blank = JoinCandidate { id, address, disk };
        assert_eq!(
            apply_due_changes(&mut members, &[blank], &BTreeSet::from([3])),
            []
        );
    }
}
