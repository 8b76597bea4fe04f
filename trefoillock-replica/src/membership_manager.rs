//! Automatic membership changes, executed over the network.
//!
//! Replicas that do not vote request to join; the leader collects these requests and executes the
//! changes that [`next_membership_change`] decides.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio_util::sync::CancellationToken;
use trefoillock_core::{ReplicaId, data};
use trefoillock_rpc::{RpcClient, RpcServer, Token, TrafficCounter};

use crate::{
    ChangeError, JoinCandidate, MembershipChange, ReplicaHandle, ReplicaRole, ReplicaStatus,
    next_membership_change,
};

/// The path of join requests.
const JOIN_PATH: &str = "/trefoillock.replica/join";
/// The interval between the join requests of a replica.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout of one join request.
const JOIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// The time for which a join request is valid.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_secs(3);
/// The interval at which the leader checks whether a membership change is due.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The time without a message after which a member counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to join the membership.
#[data]
struct JoinRequest {
    system: String,
    candidate: JoinCandidate,
}

/// The answer to a [`JoinRequest`], with the address of the leader if it is known.
#[data]
struct JoinAnswer {
    leader: Option<SocketAddr>,
}

/// Changes the membership while this replica leads, and requests to join while it does not vote.
#[derive(Debug, Clone)]
pub struct MembershipManager {
    replica: ReplicaHandle,
    system: Arc<str>,
    own: JoinCandidate,
    target_voters: usize,
    candidates: Arc<Mutex<BTreeMap<ReplicaId, (JoinCandidate, Instant)>>>,
}

impl MembershipManager {
    /// Creates the manager of a replica in a system that is to have `target_voters` voters.
    #[must_use]
    pub fn new(
        replica: ReplicaHandle,
        system: &str,
        own: JoinCandidate,
        target_voters: usize,
    ) -> Self {
        Self {
            replica,
            system: Arc::from(system),
            own,
            target_voters,
            candidates: Arc::default(),
        }
    }

    /// Adds the handler of join requests to a server.
    #[must_use]
    pub fn add_rpc_handlers(&self, server: RpcServer) -> RpcServer {
        let manager = self.clone();
        server.unary(JOIN_PATH, move |req: JoinRequest| {
            let answer = manager.handle_join(Instant::now(), &req);
            async move { Ok(answer) }
        })
    }

    fn handle_join(&self, now: Instant, req: &JoinRequest) -> JoinAnswer {
        if *req.system == *self.system {
            let candidate = (req.candidate, now);
            self.candidates().insert(req.candidate.id, candidate);
        }
        let status = self.replica.status().borrow().clone();
        JoinAnswer {
            leader: status.leader_address().map(|(_, address)| address),
        }
    }

    fn candidates(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<ReplicaId, (JoinCandidate, Instant)>> {
        self.candidates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the membership has the target number of voters.
    #[must_use]
    pub fn has_enough_voters(&self) -> bool {
        let status = self.replica.status();
        status.borrow().members.voters().count() >= self.target_voters
    }

    /// Executes due membership changes while this replica leads, until `stop` is cancelled.
    pub async fn maintain_membership(self, stop: CancellationToken) {
        let tick = || tokio::time::sleep(MEMBERSHIP_CHECK_INTERVAL);
        let mut leading_since = None;
        while stop.run_until_cancelled(tick()).await.is_some() {
            let status = self.replica.status().borrow().clone();
            let now = Instant::now();
            if status.role != ReplicaRole::Leader {
                leading_since = None;
                continue;
            }
            let since = *leading_since.get_or_insert(now);
            if let Some(change) = self.next_due_change(now, since, &status) {
                self.change(&change).await;
            }
        }
    }

    /// Returns the next membership change if one is due.
    ///
    /// `leading_since` is the time since which this replica leads. The silence of a voter counts
    /// from then at the earliest.
    fn next_due_change(
        &self,
        now: Instant,
        leading_since: Instant,
        status: &ReplicaStatus,
    ) -> Option<MembershipChange> {
        let is_recent = |at: Instant| now.duration_since(at) < JOIN_REQUEST_LIFETIME;
        let candidates: Vec<JoinCandidate> = {
            let mut candidates = self.candidates();
            candidates.retain(|_, (_, at)| is_recent(*at));
            candidates
                .values()
                .map(|(candidate, _)| *candidate)
                .collect()
        };
        let last_heard = self.replica.last_heard();
        let is_silent = |id: ReplicaId| {
            let last = last_heard
                .get(&id)
                .copied()
                .unwrap_or(leading_since)
                .max(leading_since);
            id != status.id && now.duration_since(last) >= SILENCE_TIMEOUT
        };
        next_membership_change(&status.members, &candidates, is_silent, self.target_voters)
    }

    async fn change(&self, change: &MembershipChange) {
        let result = match *change {
            MembershipChange::AddLearner { id, address } => {
                self.replica.add_learner(id, address).await
            }
            MembershipChange::Promote { id } => self.replica.promote(id).await,
            MembershipChange::Remove { id } => self.replica.remove(id).await,
        };
        match result {
            // The next check tries again.
            Ok(()) | Err(ChangeError::InProgress | ChangeError::NotCaughtUp(_)) => {}
            Err(error) => log::debug!("membership change {change:?} failed: {error}"),
        }
    }

    /// Requests to join while this replica does not vote, until `stop` is cancelled.
    ///
    /// The requests go to the last known leader, or else to all seeds and known members.
    pub async fn request_membership(
        self,
        seeds: Vec<SocketAddr>,
        token: Token,
        stop: CancellationToken,
    ) {
        let traffic = Arc::new(TrafficCounter::new());
        let mut known_leader = None;
        loop {
            let status = self.replica.status().borrow().clone();
            if !status.members.is_voter(self.own.id) {
                let known = status.members.members().values().map(|m| m.address);
                let targets: BTreeSet<SocketAddr> = match known_leader.take() {
                    Some(leader) => BTreeSet::from([leader]),
                    None => seeds.iter().copied().chain(known).collect(),
                };
                let others = targets
                    .into_iter()
                    .filter(|address| *address != self.own.address);
                let requests = others.map(|address| self.request_join(address, &token, &traffic));
                let answers = futures::future::join_all(requests).await;
                known_leader = answers.into_iter().flatten().next();
            }
            let pause = tokio::time::sleep(JOIN_REQUEST_INTERVAL);
            if stop.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }

    async fn request_join(
        &self,
        address: SocketAddr,
        token: &Token,
        traffic: &Arc<TrafficCounter>,
    ) -> Option<SocketAddr> {
        let client = RpcClient::new(address, token.clone(), traffic.clone());
        let req = JoinRequest {
            system: self.system.to_string(),
            candidate: self.own,
        };
        let answer = client.unary::<_, JoinAnswer>(JOIN_PATH, req, JOIN_REQUEST_TIMEOUT);
        answer.await.ok()?.leader
    }
}
