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
    ChangeError, DueChange, JoinCandidate, MemberContact, MembershipChange, Refusal, ReplicaHandle,
    ReplicaRole, ReplicaStatus, next_membership_change,
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
/// The path of announcements that a replica stops.
const STOP_PATH: &str = "/trefoillock.replica/stop";
/// The timeout of one announcement that a replica stops.
const STOP_NOTICE_TIMEOUT: Duration = Duration::from_millis(200);
/// The time after its announcement in which messages of a replica that stops may still arrive.
const STOP_TIME: Duration = Duration::from_secs(1);

/// A request to join the membership.
#[data]
struct JoinRequest {
    system: String,
    candidate: JoinCandidate,
}

/// The answer to a [`JoinRequest`].
#[data]
struct JoinAnswer {
    /// The address of the leader if it is known.
    leader: Option<SocketAddr>,
    /// Whether the leader knows that the candidate was removed and cannot return under its identity.
    #[serde(default)]
    must_discard_identity: bool,
}

/// The announcement of a replica that its process stops.
#[data]
struct StopNotice {
    system: String,
    id: ReplicaId,
}

/// The answer to a [`StopNotice`].
#[data]
struct StopNoticeAnswer;

/// Changes the membership while this replica leads, and requests to join while it does not vote.
#[derive(Debug, Clone)]
pub struct MembershipManager {
    replica: ReplicaHandle,
    system: Arc<str>,
    token: Token,
    own: JoinCandidate,
    target_voters: usize,
    candidates: Arc<Mutex<BTreeMap<ReplicaId, (JoinCandidate, Instant)>>>,
    /// When each replica announced its stop.
    announced_stops: Arc<Mutex<BTreeMap<ReplicaId, Instant>>>,
    identity_discarded: CancellationToken,
}

impl MembershipManager {
    /// Creates the manager of a replica in a system that is to have `target_voters` voters.
    #[must_use]
    pub fn new(
        replica: ReplicaHandle,
        system: &str,
        token: Token,
        own: JoinCandidate,
        target_voters: usize,
    ) -> Self {
        Self {
            replica,
            system: Arc::from(system),
            token,
            own,
            target_voters,
            candidates: Arc::default(),
            announced_stops: Arc::default(),
            identity_discarded: CancellationToken::new(),
        }
    }

    /// Adds the handlers of join requests and of announced stops to a server.
    #[must_use]
    pub fn add_rpc_handlers(&self, server: RpcServer) -> RpcServer {
        let manager = self.clone();
        let server = server.unary(JOIN_PATH, move |req: JoinRequest| {
            let answer = manager.handle_join(Instant::now(), &req);
            async move { Ok(answer) }
        });
        let manager = self.clone();
        server.unary(STOP_PATH, move |notice: StopNotice| {
            manager.handle_stop_notice(Instant::now(), &notice);
            async move { Ok(StopNoticeAnswer) }
        })
    }

    fn handle_join(&self, now: Instant, req: &JoinRequest) -> JoinAnswer {
        let status = self.replica.status().borrow().clone();
        let JoinCandidate { id, disk, .. } = req.candidate;
        let is_of_system = *req.system == *self.system;
        if is_of_system {
            self.candidates().insert(id, (req.candidate, now));
        }
        let may_return = disk.is_some_and(|disk| status.members.may_readmit(id, disk));
        let is_leader = status.role == ReplicaRole::Leader;
        JoinAnswer {
            leader: status.leader_address().map(|(_, address)| address),
            must_discard_identity: is_of_system
                && is_leader
                && status.members.is_removed(id)
                && !may_return,
        }
    }

    fn handle_stop_notice(&self, now: Instant, notice: &StopNotice) {
        if *notice.system == *self.system {
            self.announced_stops().insert(notice.id, now);
        }
    }

    fn announced_stops(&self) -> std::sync::MutexGuard<'_, BTreeMap<ReplicaId, Instant>> {
        self.announced_stops
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the leader has said that this replica was removed and cannot return under its
    /// identity, because its disk is not known to be the one that it had.
    pub async fn wait_until_identity_discarded(&self) {
        self.identity_discarded.cancelled().await;
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

    /// Executes due membership changes while this replica leads, until `stop` is cancelled, and then
    /// announces to the other members that this replica stops.
    ///
    /// `on_change` is called with each change that was committed.
    pub async fn maintain_membership(
        self,
        on_change: impl Fn(&DueChange),
        stop: CancellationToken,
    ) {
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
            if let Some(due) = self.next_due_change(now, since, &status)
                && self.change(&due.change).await
            {
                on_change(&due);
            }
        }
        self.announce_stop().await;
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
    ) -> Option<DueChange> {
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
        let announced_stops = {
            let mut stops = self.announced_stops();
            stops.retain(|id, _| status.members.get(*id).is_some());
            stops.clone()
        };
        let contact = |id: ReplicaId| {
            if id == status.id {
                return MemberContact::default();
            }
            let heard = last_heard.get(&id).copied();
            let since = heard.map_or(leading_since, |at| at.max(leading_since));
            let has_announced_stop = announced_stops
                .get(&id)
                .is_some_and(|at| heard.is_none_or(|heard| heard < *at + STOP_TIME));
            MemberContact {
                silence: now.duration_since(since),
                has_announced_stop,
            }
        };
        next_membership_change(&status.members, &candidates, contact, self.target_voters)
    }

    /// Executes a change. Returns whether it was committed.
    async fn change(&self, change: &MembershipChange) -> bool {
        let result = match *change {
            MembershipChange::AddLearner { id, address } => {
                self.replica.add_learner(id, address).await
            }
            MembershipChange::Promote { id } => self.replica.promote(id).await,
            MembershipChange::Remove { id } => self.replica.remove(id).await,
            MembershipChange::Readmit { id, address, disk } => {
                self.replica.readmit(id, address, disk).await
            }
        };
        match result {
            Ok(()) => true,
            // The next check tries again.
            Err(ChangeError::InProgress | ChangeError::NotCaughtUp(_)) => false,
            Err(error) => {
                log::debug!("membership change {change:?} failed: {error}");
                false
            }
        }
    }

    /// Announces to the other members that this replica stops, so that it is removed before one
    /// that is only cut off if it does not return.
    async fn announce_stop(&self) {
        let status = self.replica.status().borrow().clone();
        let traffic = Arc::new(TrafficCounter::new());
        let others = status.members.members().iter();
        let notices = others.filter(|(id, _)| **id != self.own.id).map(|(_, m)| {
            let client = RpcClient::new(m.address, self.token.clone(), traffic.clone());
            let notice = StopNotice {
                system: self.system.to_string(),
                id: self.own.id,
            };
            async move {
                let answer =
                    client.unary::<_, StopNoticeAnswer>(STOP_PATH, notice, STOP_NOTICE_TIMEOUT);
                // A member that is down or cut off needs no notice.
                drop(answer.await);
            }
        });
        futures::future::join_all(notices).await;
    }

    /// Requests to join while this replica does not vote or was removed, until `stop` is cancelled.
    ///
    /// The requests go to the last known leader, or else to all seeds and known members.
    pub async fn request_membership(self, seeds: Vec<SocketAddr>, stop: CancellationToken) {
        let traffic = Arc::new(TrafficCounter::new());
        let mut known_leader = None;
        loop {
            let status = self.replica.status().borrow().clone();
            let is_removed = status.refusal == Some(Refusal::Removed);
            if is_removed || !status.members.is_voter(self.own.id) {
                let known = status.members.members().values().map(|m| m.address);
                let targets: BTreeSet<SocketAddr> = match known_leader.take() {
                    Some(leader) => BTreeSet::from([leader]),
                    None => seeds.iter().copied().chain(known).collect(),
                };
                let others = targets
                    .into_iter()
                    .filter(|address| *address != self.own.address);
                let requests = others.map(|address| self.request_join(address, &traffic));
                let answers = futures::future::join_all(requests).await;
                let answers: Vec<JoinAnswer> = answers.into_iter().flatten().collect();
                if is_removed && answers.iter().any(|answer| answer.must_discard_identity) {
                    self.identity_discarded.cancel();
                }
                known_leader = answers.iter().find_map(|answer| answer.leader);
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
        traffic: &Arc<TrafficCounter>,
    ) -> Option<JoinAnswer> {
        let client = RpcClient::new(address, self.token.clone(), traffic.clone());
        let req = JoinRequest {
            system: self.system.to_string(),
            candidate: self.own,
        };
        let answer = client.unary::<_, JoinAnswer>(JOIN_PATH, req, JOIN_REQUEST_TIMEOUT);
        // The next request goes to the other known addresses too.
        answer.await.ok()
    }
}
