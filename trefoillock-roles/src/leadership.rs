//! Determines whether this replica leads and publishes it together with the configuration.
//!
//! The replica counts as leader only while it holds a lease confirmed by a quorum and has passed a
//! read barrier, so that it never publishes a configuration older than an acknowledged edit.

use std::{
    fmt,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::sync::watch;
use trefoillock_control::{ControlState, LeadershipRole};
use trefoillock_core::{Config, Term};
use trefoillock_process::{BootInstant, Event};
use trefoillock_replica::{ReadError, ReplicaHandle, ReplicaRole, ReplicaStatus};

use crate::{process_context::ProcessContext, shared_store::SharedStore};

#[cfg(test)]
mod tests;

/// The time between two confirmations of the leadership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// The longest wait for the read barrier of one confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether this replica leads, and in which term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Leadership {
    /// The term in which the replica leads. `None` if it does not lead.
    pub(crate) term: Option<Term>,
}

/// The term in which this replica led last. It stays the same while the lease lapses, since no
/// other replica leads in that term.
#[derive(Debug, Default)]
pub(crate) struct LastLedTerm(Option<Term>);

impl LastLedTerm {
    /// Returns whether this replica begins to lead in another term than the last one in which it led.
    /// What it learned as leader of that term then no longer holds.
    pub(crate) fn begins_anew(&mut self, leadership: Leadership) -> bool {
        let is_new = leadership.term.is_some() && leadership.term != self.0;
        if is_new {
            self.0 = leadership.term;
        }
        is_new
    }
}

/// Why this replica does not count as leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConfirmationError {
    /// Another replica leads, or none.
    Follower,
    /// The replica leads, but no quorum has granted it a lease.
    NoLease,
    /// The read barrier did not pass before the lease ended or within [`CONFIRM_TIMEOUT`].
    BarrierTimedOut,
    /// The replica refused the read barrier.
    BarrierRefused,
    /// The lease ended while the read barrier passed.
    LeaseEnded,
}

impl fmt::Display for ConfirmationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Follower => "follower",
            Self::NoLease => "no-lease",
            Self::BarrierTimedOut => "barrier-timed-out",
            Self::BarrierRefused => "barrier-refused",
            Self::LeaseEnded => "lease-ended",
        })
    }
}

/// Waits until the lease ends. Never returns if there is none.
async fn wait_for_lease_end(end: Option<BootInstant>) {
    match end {
        Some(end) => tokio::time::sleep(end.saturating_duration_since(BootInstant::now())).await,
        None => std::future::pending().await,
    }
}

/// Waits until a lease is granted. Never returns if there already is one.
async fn wait_for_lease(
    end: Option<BootInstant>,
    lease: &mut watch::Receiver<Option<BootInstant>>,
) {
    if end.is_some() || lease.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Returns the configuration as it is after the read barrier, or why the barrier failed.
///
/// While a new leader waits for the barrier, it applies the entries that were committed under
/// earlier leaders. A configuration read before the barrier may thus be older than the last
/// acknowledged edit.
async fn read_config_after(
    barrier: impl Future<Output = Result<(), ConfirmationError>>,
    config: &mut watch::Receiver<Arc<Config>>,
) -> Result<Arc<Config>, ConfirmationError> {
    barrier.await.map(|()| config.borrow_and_update().clone())
}

/// Returns the role that a replica has in the distribution.
fn leadership_role(
    status: &ReplicaStatus,
    confirmation: Result<(), ConfirmationError>,
) -> LeadershipRole {
    let term = status.term;
    match (confirmation, status.role) {
        (Ok(()), _) => LeadershipRole::Leading { term },
        (Err(_), ReplicaRole::Leader) => LeadershipRole::Unconfirmed { term },
        (Err(_), _) => LeadershipRole::Following {
            leader: status.leader_address().map(|(_, address)| address),
        },
    }
}

/// Publishes whether this replica leads to the distribution and to the tasks of the leader.
pub(crate) struct LeadershipPublisher {
    context: ProcessContext,
    replica: ReplicaHandle,
    store: SharedStore,
}

impl LeadershipPublisher {
    pub(crate) const fn new(
        context: ProcessContext,
        replica: ReplicaHandle,
        store: SharedStore,
    ) -> Self {
        Self {
            context,
            replica,
            store,
        }
    }

    /// Runs until the process shuts down.
    pub(crate) async fn run(
        self,
        state: watch::Sender<ControlState>,
        leadership: watch::Sender<Leadership>,
    ) {
        let mut status = self.replica.status();
        let mut lease = self.replica.lease();
        let mut config = self.store.subscribe_config();
        let mut tick = tokio::time::interval(CONFIRM_INTERVAL);
        loop {
            let lease_end = (*lease.borrow()).filter(|end| *end > BootInstant::now());
            tokio::select! {
                () = self.context.shutdown.cancelled() => return,
                () = wait_for_lease_end(lease_end) => {}
                () = wait_for_lease(lease_end, &mut lease) => {}
                _ = tick.tick() => {}
                Ok(()) = status.changed() => {}
                Ok(()) = config.changed() => {}
                else => return,
            }
            let current_status = status.borrow_and_update().clone();
            let confirmed_config = if current_status.role == ReplicaRole::Leader {
                read_config_after(self.confirm_leadership(&lease), &mut config).await
            } else {
                Err(ConfirmationError::Follower)
            };
            let confirmation = confirmed_config.as_ref().map(|_| ()).map_err(|e| *e);
            let current_config =
                confirmed_config.unwrap_or_else(|_| config.borrow_and_update().clone());
            self.publish(
                &current_status,
                confirmation,
                &current_config,
                &state,
                &leadership,
            );
        }
    }

    /// Confirms that this replica holds a lease and has applied every entry that was committed
    /// before this call. Returns no later than the lease ends.
    async fn confirm_leadership(
        &self,
        lease: &watch::Receiver<Option<BootInstant>>,
    ) -> Result<(), ConfirmationError> {
        let lease_end = || (*lease.borrow()).filter(|end| *end > BootInstant::now());
        let Some(end) = lease_end() else {
            return Err(ConfirmationError::NoLease);
        };
        let limit = end.saturating_duration_since(BootInstant::now());
        let barrier = tokio::time::timeout(limit.min(CONFIRM_TIMEOUT), self.replica.read_barrier());
        match barrier.await {
            Ok(Ok(_)) if lease_end().is_some() => Ok(()),
            Ok(Ok(_)) => Err(ConfirmationError::LeaseEnded),
            Ok(Err(ReadError::NotLeader { .. })) => Err(ConfirmationError::BarrierRefused),
            Ok(Err(ReadError::TimedOut)) | Err(_) => Err(ConfirmationError::BarrierTimedOut),
        }
    }

    fn publish(
        &self,
        status: &ReplicaStatus,
        confirmation: Result<(), ConfirmationError>,
        config: &Arc<Config>,
        state: &watch::Sender<ControlState>,
        leadership: &watch::Sender<Leadership>,
    ) {
        let term = confirmation.is_ok().then_some(status.term);
        let leader = status.leader_address().map(|(_, address)| address);
        let role = leadership_role(status, confirmation);
        let members = status.members.members().values();
        let replicas: Vec<_> = members.map(|member| member.address).collect();
        state.send_if_modified(|published| {
            let is_new = published.role != role
                || published.replicas != replicas
                || !Arc::ptr_eq(&published.config, config);
            if is_new {
                *published = ControlState {
                    role,
                    config: config.clone(),
                    replicas,
                };
            }
            is_new
        });
        let previous = leadership.borrow().term;
        leadership
            .send_if_modified(|last| std::mem::replace(last, Leadership { term }).term != term);
        self.log_term_change(previous, term, confirmation);
        let metrics = &self.context.metrics;
        metrics.term.set(status.term.get());
        metrics.is_leader.set(u64::from(term.is_some()));
        metrics.config_version.set(config.version().get());
        self.context
            .health
            .control_lacks_leader
            .store(leader.is_none() && term.is_none(), Ordering::Relaxed);
    }

    fn log_term_change(
        &self,
        previous: Option<Term>,
        current: Option<Term>,
        confirmation: Result<(), ConfirmationError>,
    ) {
        if previous == current {
            return;
        }
        if let Some(term) = previous {
            let reason = confirmation
                .err()
                .map_or_else(|| "new-term".to_owned(), |e| e.to_string());
            self.context
                .events
                .write(Event::LeaderLost, &[("term", &term), ("reason", &reason)]);
        }
        if let Some(term) = current {
            self.context
                .events
                .write(Event::LeaderElected, &[("term", &term)]);
        }
    }
}
