//! The state that an entry node keeps for each pool.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use trefoillock_core::{DataCentre, Member, Pool, RouteClass, ServerId, Timestamp};
use trefoillock_policy::{
    Attempt, Balancer, CallResult, Lane, LoadHint, RetryBudget, RetryDecision, retry_decision,
};

#[derive(Debug)]
struct State {
    members: Arc<[Arc<Member>]>,
    balancer: Balancer,
    budget: RetryBudget,
}

/// The members, balancer and retry budget of one pool.
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

    /// Replaces the members of the pool; does nothing if the list is the same.
    pub(crate) fn set_members(&self, now: Timestamp, pool: &Pool, members: Arc<[Arc<Member>]>) {
        let mut state = self.lock();
        if !Arc::ptr_eq(&state.members, &members) {
            state.balancer.set_policy(pool.policy);
            state.balancer.sync(now, &members);
            state.members = members;
        }
    }

    /// The time until there is room if no backend server that is not in `exclude` would take a call
    /// of this lane now, because of their limits on the rate.
    pub(crate) fn refusal_wait(
        &self,
        now: Timestamp,
        lane: Lane,
        exclude: &[ServerId],
    ) -> Option<Duration> {
        self.lock().balancer.refusal_wait(now, lane, exclude)
    }

    /// The backend server that would take a call of this lane first, of those that would not take it now.
    pub(crate) fn next_with_room(
        &self,
        now: Timestamp,
        lane: Lane,
        exclude: &[ServerId],
    ) -> Option<Arc<Member>> {
        let state = self.lock();
        let id = state.balancer.next_with_room(now, lane, exclude)?;
        state.members.iter().find(|m| m.id == *id).cloned()
    }

    /// Chooses a backend server that is not in `exclude` for a call that should be answered within
    /// `objective`, and counts the start of an attempt. `None` if there is none.
    pub(crate) fn start_attempt(
        &self,
        now: Timestamp,
        random: u64,
        class: RouteClass,
        objective: Option<Duration>,
        exclude: &[ServerId],
    ) -> Option<Arc<Member>> {
        let mut state = self.lock();
        let balancer = &state.balancer;
        let id = balancer.pick_within(now, random, class, objective, exclude)?;
        let member = state
            .members
            .iter()
            .find(|member| member.id == id)
            .cloned()?;
        state.balancer.record_start(now, &id);
        Some(member)
    }

    /// Applies a load hint that arrived with the head of a response.
    pub(crate) fn record_hint(&self, now: Timestamp, id: &ServerId, hint: LoadHint) {
        self.lock().balancer.record_hint(now, id, hint);
    }

    /// The backend server that should be asked for its load next; `None` if there is none now.
    pub(crate) fn next_ask(&self, now: Timestamp) -> Option<Arc<Member>> {
        let mut state = self.lock();
        let id = state.balancer.next_ask(now)?;
        state.members.iter().find(|m| m.id == id).cloned()
    }

    /// Counts the end of an attempt.
    pub(crate) fn end_attempt(&self, now: Timestamp, id: &ServerId, result: CallResult) {
        self.lock().balancer.record_end(now, id, result, None);
    }

    /// Whether the pool has a backend server that is not in `tried`.
    pub(crate) fn has_untried(&self, tried: &[ServerId]) -> bool {
        let state = self.lock();
        let mut members = state.members.iter();
        members.any(|member| !tried.contains(&member.id))
    }

    /// Whether the data centre of a backend server has another one of the pool that is not in `tried`.
    pub(crate) fn has_untried_beside(&self, server: &ServerId, tried: &[ServerId]) -> bool {
        let state = self.lock();
        let Some(refusing) = state.members.iter().find(|member| member.id == *server) else {
            return false;
        };
        let mut beside = state
            .members
            .iter()
            .filter(|member| member.data_centre == refusing.data_centre);
        beside.any(|member| !tried.contains(&member.id))
    }

    /// The backend servers of the pool in the data centre of the given one, including it.
    pub(crate) fn servers_beside(&self, server: &ServerId) -> Vec<ServerId> {
        let state = self.lock();
        let Some(known) = state.members.iter().find(|member| member.id == *server) else {
            return Vec::new();
        };
        let beside = state
            .members
            .iter()
            .filter(|member| member.data_centre == known.data_centre);
        beside.map(|member| member.id.clone()).collect()
    }

    /// Adds a deposit to the retry budget, for a call that was answered.
    pub(crate) fn deposit(&self) {
        self.lock().budget.deposit();
    }

    /// Decides whether a call is retried. A retry is withdrawn from the budget.
    pub(crate) fn decide_retry(&self, now: Timestamp, attempt: &Attempt) -> RetryDecision {
        retry_decision(now, attempt, &mut self.lock().budget)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
