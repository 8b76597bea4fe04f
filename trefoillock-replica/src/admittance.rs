//! Replicas that take each other in: the shell around [`next_change`].

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio_util::sync::CancellationToken;
use trefoillock_core::{ReplicaId, data};
use trefoillock_rpc::{RpcClient, RpcServer, Token, Traffic};

use crate::{
    Candidate, ChangeError, MembershipChange, ReplicaHandle, ReplicaStatus, RoleKind, next_change,
};

const JOIN_PATH: &str = "/trefoillock.replica/join";
/// The time between two requests of a replica to be taken in.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// The longest time that one request to be taken in may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// The time for which a request to be taken in stands.
const CANDIDATE_LIFETIME: Duration = Duration::from_secs(3);
/// The time between two looks at the membership by the leader.
const KEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The time without a message after which a voter gives way to a replica that waits.
const SILENCE: Duration = Duration::from_secs(2);

/// A request to be taken in.
#[data]
struct JoinRequest {
    system: String,
    candidate: Candidate,
}

/// The answer to a request to be taken in: where the leader is, if it is known.
#[data]
struct JoinAnswer {
    leader: Option<SocketAddr>,
}

/// Takes other replicas in while this one leads, and asks to be taken in while it does not vote.
#[derive(Debug, Clone)]
pub struct Admittance {
    replica: ReplicaHandle,
    system: Arc<str>,
    own: Candidate,
    voters: usize,
    candidates: Arc<Mutex<BTreeMap<ReplicaId, (Candidate, Instant)>>>,
}

impl Admittance {
    /// Creates the admittance of a replica that keeps `voters` voters.
    #[must_use]
    pub fn new(replica: ReplicaHandle, system: &str, own: Candidate, voters: usize) -> Self {
        Self {
            replica,
            system: Arc::from(system),
            own,
            voters,
            candidates: Arc::default(),
        }
    }

    /// Adds the call by which replicas ask to be taken in.
    #[must_use]
    pub fn rpc_routes(&self, server: RpcServer) -> RpcServer {
        let admittance = self.clone();
        server.unary(JOIN_PATH, move |req: JoinRequest| {
            let answer = admittance.asked(Instant::now(), &req);
            async move { Ok(answer) }
        })
    }

    fn asked(&self, now: Instant, req: &JoinRequest) -> JoinAnswer {
        if *req.system == *self.system {
            let candidate = (req.candidate, now);
            self.candidates().insert(req.candidate.id, candidate);
        }
        let status = self.replica.status().borrow().clone();
        JoinAnswer {
            leader: status.leader_address().map(|(_, address)| address),
        }
    }

    fn candidates(&self) -> std::sync::MutexGuard<'_, BTreeMap<ReplicaId, (Candidate, Instant)>> {
        self.candidates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether as many replicas vote as are wanted.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let status = self.replica.status();
        status.borrow().members.voters().count() >= self.voters
    }

    /// Changes the membership while this replica leads, until `stop` is cancelled.
    pub async fn keep(self, stop: CancellationToken) {
        let tick = || tokio::time::sleep(KEEP_INTERVAL);
        let mut leading_since = None;
        while stop.run_until_cancelled(tick()).await.is_some() {
            let status = self.replica.status().borrow().clone();
            let now = Instant::now();
            if status.role != RoleKind::Leader {
                leading_since = None;
                continue;
            }
            let since = *leading_since.get_or_insert(now);
            if let Some(change) = self.due(now, since, &status) {
                self.change(&change).await;
            }
        }
    }

    fn due(
        &self,
        now: Instant,
        since: Instant,
        status: &ReplicaStatus,
    ) -> Option<MembershipChange> {
        let is_recent = |at: Instant| now.duration_since(at) < CANDIDATE_LIFETIME;
        let candidates: Vec<Candidate> = {
            let mut candidates = self.candidates();
            candidates.retain(|_, (_, at)| is_recent(*at));
            candidates
                .values()
                .map(|(candidate, _)| *candidate)
                .collect()
        };
        let heard = self.replica.heard();
        let silent = |id: ReplicaId| {
            let last = heard.get(&id).copied().unwrap_or(since).max(since);
            id != status.id && now.duration_since(last) >= SILENCE
        };
        next_change(&status.members, &candidates, silent, self.voters)
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
            // The next look tries again.
            Ok(()) | Err(ChangeError::InProgress | ChangeError::NotCaughtUp(_)) => {}
            Err(error) => log::debug!("{change:?}: {error}"),
        }
    }

    /// Asks to be taken in while this replica does not vote, until `stop` is cancelled.
    pub async fn ask(self, seeds: Vec<SocketAddr>, token: Token, stop: CancellationToken) {
        let traffic = Arc::new(Traffic::new());
        let mut hint = None;
        loop {
            let status = self.replica.status().borrow().clone();
            if !status.members.is_voter(self.own.id) {
                let known = status.members.members().values().map(|m| m.address);
                let targets: BTreeSet<SocketAddr> = match hint.take() {
                    Some(leader) => BTreeSet::from([leader]),
                    None => seeds.iter().copied().chain(known).collect(),
                };
                let others = targets.into_iter().filter(|at| *at != self.own.address);
                let asked = others.map(|address| self.ask_one(address, &token, &traffic));
                let answers = futures::future::join_all(asked).await;
                hint = answers.into_iter().flatten().next();
            }
            let pause = tokio::time::sleep(ASK_INTERVAL);
            if stop.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }

    async fn ask_one(
        &self,
        address: SocketAddr,
        token: &Token,
        traffic: &Arc<Traffic>,
    ) -> Option<SocketAddr> {
        let client = RpcClient::new(address, token.clone(), traffic.clone());
        let req = JoinRequest {
            system: self.system.to_string(),
            candidate: self.own,
        };
        let answer = client.unary::<_, JoinAnswer>(JOIN_PATH, req, ASK_TIMEOUT);
        answer.await.ok()?.leader
    }
}
