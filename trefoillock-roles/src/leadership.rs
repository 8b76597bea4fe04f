//! Whether this replica leads, under a lease that a quorum confirmed.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::sync::watch;
use trefoillock_control::{SourceRole, SourceState};
use trefoillock_core::{Config, Term};
use trefoillock_process::Event;
use trefoillock_replica::{ReplicaHandle, ReplicaStatus, RoleKind};

use crate::{cx::Cx, shared_store::SharedStore};

#[cfg(test)]
mod tests;

/// The time between two confirmations.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time that a confirmation may take.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether this replica leads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Leadership {
    /// The term in which the replica leads, if it does.
    pub(crate) term: Option<Term>,
}

/// Waits until a lease ends; without one, for ever.
async fn lapse(end: Option<Instant>) {
    match end {
        Some(end) => tokio::time::sleep_until(end.into()).await,
        None => std::future::pending().await,
    }
}

/// Waits until a lease is given; with one, for ever.
async fn gain(end: Option<Instant>, lease: &mut watch::Receiver<Option<Instant>>) {
    if end.is_some() || lease.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Returns the configuration after a barrier, or `None` if the barrier was not passed.
///
/// A new leader applies what was committed before it led while it waits at the barrier, so what
/// was read earlier may be older than what has been acknowledged.
async fn read_after(
    barrier: impl Future<Output = bool>,
    config: &mut watch::Receiver<Arc<Config>>,
) -> Option<Arc<Config>> {
    barrier.await.then(|| config.borrow_and_update().clone())
}

/// Tells the distribution and the moves whether this replica leads.
pub(crate) struct Publisher {
    cx: Cx,
    replica: ReplicaHandle,
    store: SharedStore,
}

impl Publisher {
    pub(crate) const fn new(cx: Cx, replica: ReplicaHandle, store: SharedStore) -> Self {
        Self { cx, replica, store }
    }

    /// Runs until the process finishes.
    pub(crate) async fn run(
        self,
        state: watch::Sender<SourceState>,
        leadership: watch::Sender<Leadership>,
    ) {
        let mut status = self.replica.status();
        let mut lease = self.replica.lease();
        let mut config = self.store.config();
        let mut tick = tokio::time::interval(CONFIRM_INTERVAL);
        loop {
            let lease_end = (*lease.borrow()).filter(|end| *end > Instant::now());
            tokio::select! {
                () = self.cx.finish.cancelled() => return,
                () = lapse(lease_end) => {}
                () = gain(lease_end, &mut lease) => {}
                _ = tick.tick() => {}
                Ok(()) = status.changed() => {}
                Ok(()) = config.changed() => {}
                else => return,
            }
            let now = status.borrow_and_update().clone();
            let confirmed = if now.role == RoleKind::Leader {
                read_after(self.confirm(&lease), &mut config).await
            } else {
                None
            };
            let is_leading = confirmed.is_some();
            let held = confirmed.unwrap_or_else(|| config.borrow_and_update().clone());
            self.publish(&now, is_leading, &held, &state, &leadership);
        }
    }

    /// Whether this replica leads under a lease and has applied every entry that was committed
    /// before. It is answered no later than the lease ends.
    async fn confirm(&self, lease: &watch::Receiver<Option<Instant>>) -> bool {
        let holds = || (*lease.borrow()).filter(|end| *end > Instant::now());
        let Some(end) = holds() else { return false };
        let limit = end.min(Instant::now() + CONFIRM_TIMEOUT);
        let barrier = tokio::time::timeout_at(limit.into(), self.replica.read_barrier());
        matches!(barrier.await, Ok(Ok(_))) && holds().is_some()
    }

    fn publish(
        &self,
        status: &ReplicaStatus,
        confirmed: bool,
        config: &Arc<Config>,
        state: &watch::Sender<SourceState>,
        leadership: &watch::Sender<Leadership>,
    ) {
        let term = confirmed.then_some(status.term);
        let leader = status.leader_address().map(|(_, address)| address);
        let role = match term {
            Some(term) => SourceRole::Leading { term },
            None if status.role == RoleKind::Leader => SourceRole::Following { leader: None },
            None => SourceRole::Following { leader },
        };
        let members = status.members.members().values();
        let replicas: Vec<_> = members.map(|member| member.address).collect();
        state.send_if_modified(|held| {
            let is_new = held.role != role
                || held.replicas != replicas
                || !Arc::ptr_eq(&held.config, config);
            if is_new {
                *held = SourceState {
                    role,
                    config: config.clone(),
                    replicas,
                };
            }
            is_new
        });
        let before = leadership.borrow().term;
        leadership
            .send_if_modified(|held| std::mem::replace(held, Leadership { term }).term != term);
        self.report(before, term);
        let metrics = &self.cx.metrics;
        metrics.term.set(status.term.get());
        metrics.is_leader.set(u64::from(term.is_some()));
        metrics.config_version.set(config.version().get());
        self.cx
            .health
            .control_waits
            .store(leader.is_none() && term.is_none(), Ordering::Relaxed);
    }

    fn report(&self, before: Option<Term>, now: Option<Term>) {
        if before == now {
            return;
        }
        if let Some(term) = before {
            self.cx.events.write(Event::LeaderLost, &[("term", &term)]);
        }
        if let Some(term) = now {
            self.cx
                .events
                .write(Event::LeaderElected, &[("term", &term)]);
        }
    }
}
