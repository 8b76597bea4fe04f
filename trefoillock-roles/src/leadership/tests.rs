//! Tests of the role and the configuration that a replica publishes to the distribution.

use std::sync::Arc;

use tokio::sync::watch;
use trefoillock_control::LeadershipRole;
use trefoillock_core::{
    Config, ConfigVersion, Edit, EditId, LogIndex, ReplicaId, Tables, Term, Timestamp,
};
use trefoillock_replica::{Membership, ReplicaRole, ReplicaStatus};
use trefoillock_store::{Command, TableStore};

use super::{ConfirmationError, LastLedTerm, Leadership, leadership_role, read_config_after};

/// Returns the configuration after an edit at the given log index.
fn config(index: u64) -> Arc<Config> {
    let mut store = TableStore::new();
    let edit = Edit {
        id: EditId::try_from("edit").expect("a valid name"),
        base: ConfigVersion::ZERO,
        tables: Tables::default(),
        at: Timestamp::from_secs(1),
    };
    store.apply(LogIndex::new(index), Command::Edit(edit));
    Arc::new(store.config().as_ref().clone())
}

#[tokio::test]
async fn the_configuration_is_read_after_the_barrier() {
    let (tx, mut rx) = watch::channel(config(1));
    let barrier = async {
        tx.send_replace(config(9));
        Ok(())
    };
    let read = read_config_after(barrier, &mut rx).await.expect("a leader");
    assert_eq!(read.version(), ConfigVersion::new(9));
}

#[tokio::test]
async fn without_a_passed_barrier_there_is_no_configuration() {
    let (_tx, mut rx) = watch::channel(config(1));
    let barrier = async { Err(ConfirmationError::BarrierTimedOut) };
    let read = read_config_after(barrier, &mut rx).await;
    assert_eq!(read, Err(ConfirmationError::BarrierTimedOut));
}

#[test]
fn a_leader_without_a_lease_is_unconfirmed() {
    let term = Term::new(4);
    let status = ReplicaStatus {
        id: ReplicaId::new(1),
        role: ReplicaRole::Leader,
        term,
        leader: Some(ReplicaId::new(1)),
        commit: LogIndex::new(1),
        applied: LogIndex::new(1),
        last_index: LogIndex::new(1),
        members: Membership::default(),
        lease_until: None,
        refusal: None,
        failure: None,
    };
    let role = leadership_role(&status, Err(ConfirmationError::NoLease));
    assert_eq!(role, LeadershipRole::Unconfirmed { term });
    assert_eq!(
        leadership_role(&status, Ok(())),
        LeadershipRole::Leading { term }
    );
    let follower = ReplicaStatus {
        role: ReplicaRole::Follower,
        leader: None,
        ..status
    };
    let role = leadership_role(&follower, Err(ConfirmationError::Follower));
    assert_eq!(role, LeadershipRole::Following { leader: None });
}

#[test]
fn a_lapse_of_the_lease_begins_no_new_leadership() {
    let in_term = |term| Leadership {
        term: Some(Term::new(term)),
    };
    let mut last_led_term = LastLedTerm::default();
    assert!(!last_led_term.begins_anew(Leadership::default()));
    assert!(last_led_term.begins_anew(in_term(4)));
    assert!(!last_led_term.begins_anew(Leadership::default()));
    assert!(!last_led_term.begins_anew(in_term(4)));
    assert!(last_led_term.begins_anew(in_term(6)));
}
