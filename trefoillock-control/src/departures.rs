//! Records departures of backend servers in the replicated log, at the request of nodes.
//!
//! A node keeps nothing over a restart, so it acknowledges a departure only once the log holds it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use futures::{StreamExt, stream::FuturesUnordered};
use rand::RngExt;
use tokio::{
    sync::watch,
    time::{Instant, MissedTickBehavior},
};
use trefoillock_core::{Departure, Error, NodeId, Peer, Step, data};
use trefoillock_rpc::{RpcClient, RpcServer, Token, TrafficCounter};

/// The RPC path on which control replicas record departures.
const RECORD_PATH: &str = "/trefoillock.control/record-departure";
/// The time after which another control replica is asked as well.
const NEXT_REPLICA_DELAY: Duration = Duration::from_millis(80);
/// The largest number of control replicas that are asked at the same time.
const MAX_PENDING: usize = 4;

/// A request to record a departure.
#[data]
struct RecordRequest {
    node: NodeId,
    departure: Departure,
}

/// The answer of a control replica to a request to record a departure.
#[data]
pub enum RecordAnswer {
    /// The departure is committed in the replicated log.
    Recorded,
    /// The replica does not lead; it may know the address of the leader.
    NotLeader(Option<SocketAddr>),
}

/// Adds the call that records departures to a server. `record` returns once the departure of a
/// backend server beside a node is committed, or why it is not.
#[must_use]
pub fn add_record_call<F, Fut>(server: RpcServer, record: F) -> RpcServer
where
    F: Fn(NodeId, Departure) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = RecordAnswer> + Send + 'static,
{
    server.unary(RECORD_PATH, move |req: RecordRequest| {
        let answer = record(req.node, req.departure);
        async move { Ok(answer.await) }
    })
}

/// no control replica has recorded the departure in time
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct NotRecorded;

impl std::error::Error for NotRecorded {}

/// Asks the control replicas to record departures of the backend servers beside a node.
#[derive(Debug)]
pub struct DepartureRecorder {
    node: NodeId,
    control: watch::Receiver<Vec<SocketAddr>>,
    token: Token,
    traffic: Arc<TrafficCounter>,
}

impl DepartureRecorder {
    /// Creates the recorder of a node. `control` are the mesh addresses of the control replicas, as
    /// far as the node knows them.
    #[must_use]
    pub const fn new(
        node: NodeId,
        control: watch::Receiver<Vec<SocketAddr>>,
        token: Token,
        traffic: Arc<TrafficCounter>,
    ) -> Self {
        Self {
            node,
            control,
            token,
            traffic,
        }
    }

    /// Returns once a departure is committed in the replicated log.
    ///
    /// One control replica after the other is asked until one answers, and the leader as soon as one
    /// names it.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica has confirmed it by `until`. It may be committed all the same.
    pub async fn record(&self, departure: &Departure, until: Instant) -> Result<(), NotRecorded> {
        let replicas = self.control.borrow().clone();
        let first = rand::rng().random_range(0..replicas.len().max(1));
        let mut candidates = replicas.iter().copied().cycle().skip(first);
        let mut pending = FuturesUnordered::new();
        let mut asked: Vec<SocketAddr> = Vec::new();
        let mut next_replica = tokio::time::interval(NEXT_REPLICA_DELAY);
        next_replica.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(until) => return Err(NotRecorded),
                Some((replica, answer)) = pending.next() => {
                    asked.retain(|asked| *asked != replica);
                    match answer {
                        Some(RecordAnswer::Recorded) => return Ok(()),
                        Some(RecordAnswer::NotLeader(Some(leader))) if !asked.contains(&leader) => {
                            asked.push(leader);
                            pending.push(self.ask(leader, departure.clone(), until));
                        }
                        Some(RecordAnswer::NotLeader(_)) | None => {}
                    }
                }
                _ = next_replica.tick(), if asked.len() < MAX_PENDING => {
                    if let Some(replica) = candidates.next().filter(|next| !asked.contains(next)) {
                        asked.push(replica);
                        pending.push(self.ask(replica, departure.clone(), until));
                    }
                }
            }
        }
    }

    /// Asks one control replica. Returns `None` if it does not answer.
    async fn ask(
        &self,
        replica: SocketAddr,
        departure: Departure,
        until: Instant,
    ) -> (SocketAddr, Option<RecordAnswer>) {
        let client = RpcClient::new(replica, self.token.clone(), self.traffic.clone());
        let req = RecordRequest {
            node: self.node.clone(),
            departure,
        };
        let timeout = until.saturating_duration_since(Instant::now());
        let answer = client.unary::<_, RecordAnswer>(RECORD_PATH, req, timeout);
        let answer = answer.await.inspect_err(|status| {
            let peer = Peer::Control(replica.to_string());
            log::debug!("{}", Error::new(Step::Commit, peer, status.clone()));
        });
        (replica, answer.ok())
    }
}
