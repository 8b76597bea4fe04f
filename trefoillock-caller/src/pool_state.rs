//! What an entry node knows of the backend servers of one pool.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use trefoillock_core::{DataCentre, Member, Pool, RouteClass, ServerId, Timestamp};
use trefoillock_policy::{
    Attempt, Balancer, CallResult, LoadHint, RetryBudget, RetryDecision, retry_decision,
};

#[derive(Debug)]
struct State {
    members: Arc<[Arc<Member>]>,
    balancer: Balancer,
    budget: RetryBudget,
}

/// The balancer and the retry budget of one pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    state: Mutex<State>,
}

impl PoolState {
    pub(crate) fn new(pool: &Pool, data_centre: DataCentre, retry_burst: u32) -> Self {
        Self {
            state: Mutex::new(State {
                members: Arc::default(),
                balancer: Balancer::new(pool.policy, data_centre),
                budget: RetryBudget::with_burst(retry_burst),
            }),
        }
    }

    /// Takes the present members of the pool.
    pub(crate) fn sync(&self, now: Timestamp, pool: &Pool, members: Arc<[Arc<Member>]>) {
        let mut state = self.lock();
        if !Arc::ptr_eq(&state.members, &members) {
            state.balancer.set_policy(pool.policy);
            state.balancer.sync(now, &members);
            state.members = members;
        }
    }

    /// Chooses a backend server and counts the start of a call.
    pub(crate) fn start(
        &self,
        now: Timestamp,
        draw: u64,
        class: RouteClass,
        exclude: &[ServerId],
    ) -> Option<Arc<Member>> {
        let mut state = self.lock();
        let id = state.balancer.pick(now, draw, class, exclude)?;
        let member = state
            .members
            .iter()
            .find(|member| member.id == id)
            .cloned()?;
        state.balancer.started(now, &id);
        Some(member)
    }

    /// Counts the end of a call.
    pub(crate) fn ended(
        &self,
        now: Timestamp,
        id: &ServerId,
        result: CallResult,
        hint: Option<LoadHint>,
    ) {
        self.lock().balancer.ended(now, id, result, hint);
    }

    /// Whether there is a backend server that was not tried.
    pub(crate) fn has_other(&self, tried: &[ServerId]) -> bool {
        let state = self.lock();
        let mut members = state.members.iter();
        members.any(|member| !tried.contains(&member.id))
    }

    /// Pays into the retry budget for a call that was answered.
    pub(crate) fn deposit(&self) {
        self.lock().budget.deposit();
    }

    /// Decides whether a call is tried again.
    pub(crate) fn retry(&self, now: Timestamp, attempt: &Attempt) -> RetryDecision {
        retry_decision(now, attempt, &mut self.lock().budget)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
