//! Three replicas on loopback sockets with data folders on disk.

mod support;

use std::{path::Path, time::Duration};

use support::{
    HANG_TIMEOUT, RunningReplica, listener, listener_at, settings, start, wait_for_leader,
    wait_until_applied,
};
use trefoillock_core::{LogIndex, ReplicaId};
use trefoillock_process::BootInstant;
use trefoillock_replica::{ChangeError, ProposeError, ReadError, ReplicaHandle};

async fn start_three(root: &Path) -> Vec<RunningReplica> {
    let mut listeners = Vec::new();
    for _ in 0..3 {
        listeners.push(listener().await);
    }
    let ids = (1..).map(ReplicaId::new);
    let addresses = listeners.iter().map(|(_, address)| *address);
    let peers: Vec<_> = ids.zip(addresses).collect();
    let mut replicas = Vec::new();
    for (id, (listener, address)) in (1..).zip(listeners) {
        let settings = settings(root, id, address).peers(peers.clone());
        ReplicaHandle::init_voter_folder(&settings).expect("an empty folder");
        replicas.push(start(settings, listener));
    }
    replicas
}

/// Proposes a command at the current leader until it is answered.
async fn propose(replicas: &[RunningReplica], command: &str) -> LogIndex {
    let attempts = async {
        loop {
            let leader_index = wait_for_leader(replicas).await;
            match replicas[leader_index].handle.propose(command.into()).await {
                Ok((index, _)) => return index,
                Err(ProposeError::NotLeader { .. } | ProposeError::DidNotCommit) => {}
                Err(error) => panic!("{error}"),
            }
        }
    };
    let waited = tokio::time::timeout(HANG_TIMEOUT, attempts).await;
    waited.expect("an answer in time")
}

/// Requests a membership change at the current leader until it succeeds or is refused permanently.
async fn change<F>(
    replicas: &[RunningReplica],
    mut attempt: impl FnMut(ReplicaHandle) -> F,
) -> Result<(), ChangeError>
where
    F: Future<Output = Result<(), ChangeError>>,
{
    let attempts = async {
        loop {
            let leader_index = wait_for_leader(replicas).await;
            match attempt(replicas[leader_index].handle.clone()).await {
                Err(
                    ChangeError::NotLeader
                    | ChangeError::InProgress
                    | ChangeError::NotCaughtUp(_)
                    | ChangeError::DidNotCommit,
                ) => tokio::task::yield_now().await,
                answer => return answer,
            }
        }
    };
    let waited = tokio::time::timeout(HANG_TIMEOUT, attempts).await;
    waited.expect("a change in time")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_leader_is_replaced_by_a_new_replica() {
    let root = tempfile::tempdir().expect("a folder");
    let mut replicas = start_three(root.path()).await;
    propose(&replicas, "one").await;
    let leader_index = wait_for_leader(&replicas).await;
    let old = replicas.swap_remove(leader_index);
    let old_id = old.handle.status().borrow().id;
    old.stop().await;

    let second = propose(&replicas, "two").await;
    for replica in &replicas {
        wait_until_applied(replica, second).await;
        assert_eq!(
            replica.state_machine.commands(),
            [b"one".to_vec(), b"two".to_vec()]
        );
    }

    let (listener, address) = listener().await;
    let joining = settings(root.path(), 4, address);
    ReplicaHandle::init_joining_folder(&joining).expect("an empty folder");
    let id = ReplicaId::new(4);
    replicas.push(start(joining, listener));
    let add = |handle: ReplicaHandle| async move { handle.add_learner(id, address).await };
    let promote = |handle: ReplicaHandle| async move { handle.promote(id).await };
    let remove = |handle: ReplicaHandle| async move { handle.remove(old_id).await };
    let add_old = |handle: ReplicaHandle| async move { handle.add_learner(old_id, address).await };
    assert_eq!(change(&replicas, add).await, Ok(()));
    assert_eq!(change(&replicas, promote).await, Ok(()));
    assert_eq!(change(&replicas, remove).await, Ok(()));
    let again = change(&replicas, add_old).await;
    assert_eq!(again, Err(ChangeError::IdentityUsed(old_id)));

    let third = propose(&replicas, "three").await;
    for replica in &replicas {
        wait_until_applied(replica, third).await;
        assert_eq!(replica.state_machine.commands().len(), 3);
    }
    // A second failure right after the replacement loses nothing.
    let leader_index = wait_for_leader(&replicas).await;
    replicas.swap_remove(leader_index).stop().await;
    let fourth = propose(&replicas, "four").await;
    for replica in &replicas {
        wait_until_applied(replica, fourth).await;
        assert_eq!(replica.state_machine.commands().len(), 4);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_replicas_restart_with_the_committed_commands() {
    let root = tempfile::tempdir().expect("a folder");
    let replicas = start_three(root.path()).await;
    for n in 0..20 {
        propose(&replicas, &n.to_string()).await;
    }
    for replica in replicas {
        replica.stop().await;
    }
    let mut replicas = Vec::new();
    let (free, address) = listener().await;
    let isolated = ReplicaHandle::start(
        settings(root.path(), 1, address),
        Box::new(support::RecordingStateMachine::default()),
        tokio_util::sync::CancellationToken::new(),
    );
    // The other members are stopped, so the replica reaches none of the addresses in its log.
    let isolated = isolated.expect("a replica");
    let refused = isolated.propose(b"x".to_vec()).await;
    assert!(matches!(refused, Err(ProposeError::NotLeader { .. })));
    let read = isolated.read_barrier().await;
    assert!(matches!(read, Err(ReadError::NotLeader { .. })));
    let in_use = start_error(root.path(), address);
    assert!(in_use.contains("another process uses"), "{in_use}");
    drop(free);
    let members = isolated.status().borrow().members.clone();
    drop(isolated);
    for (id, member) in members.members().iter().skip(1) {
        let listener = listener_at(member.address).await;
        let settings = settings(root.path(), id.get(), member.address);
        replicas.push(start(settings, listener));
    }
    let last = propose(&replicas, "last").await;
    wait_until_applied(&replicas[0], last).await;
    assert_eq!(replicas[0].state_machine.commands().len(), 21);
    let leader_index = wait_for_leader(&replicas).await;
    let read = replicas[leader_index].handle.read_barrier().await;
    assert!(read.expect("a current state") >= last);
}

fn start_error(root: &Path, address: std::net::SocketAddr) -> String {
    let stop = tokio_util::sync::CancellationToken::new();
    let machine = Box::new(support::RecordingStateMachine::default());
    let again = ReplicaHandle::start(settings(root, 1, address), machine, stop);
    again.expect_err("the folder is locked").to_string()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_loses_its_quorum_loses_its_lease() {
    let root = tempfile::tempdir().expect("a folder");
    let mut replicas = start_three(root.path()).await;
    propose(&replicas, "one").await;
    let leader_index = wait_for_leader(&replicas).await;
    let alone = replicas.swap_remove(leader_index);
    let mut lease = alone.handle.lease();
    let holds = |end: &Option<BootInstant>| end.is_some_and(|end| end > BootInstant::now());
    let waited = tokio::time::timeout(HANG_TIMEOUT, lease.wait_for(holds)).await;
    assert!(
        waited.is_ok_and(|lease| lease.is_ok()),
        "a leader holds a lease"
    );
    for replica in replicas {
        replica.stop().await;
    }
    // The last published instant is an upper bound of the lease.
    let waiting = async {
        while holds(&alone.handle.lease().borrow()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(HANG_TIMEOUT, waiting).await;
    waited.expect("the lease ends");
    assert!(alone.handle.read_barrier().await.is_err());
    assert!(!holds(&alone.handle.lease().borrow()));
    alone.stop().await;
}
