//! The role of a control replica: the replicated log, the distribution, the moves and the
//! operators.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::sync::watch;
use trefoillock_control::{DistributionSource, SourceInputs, SourceRole, SourceState};
use trefoillock_core::{Error, Peer, Step};
use trefoillock_policy::BurnMeter;
use trefoillock_process::{ControlSettings, Founding};
use trefoillock_replica::{Admittance, Candidate, DataFolder, Refusal, ReplicaHandle};
use trefoillock_rpc::{RpcServer, Traffic};

use crate::{
    cx::Cx,
    founding::{SYSTEM, replica_settings},
    guard_driver::GuardDriver,
    leader_driver::{LeaderDriver, LeaderInputs},
    leadership::{self, Leadership},
    operator_service::OperatorApi,
    shared_store::SharedStore,
};

/// A running control replica.
pub(crate) struct ControlRole {
    replica: ReplicaHandle,
    settings: ControlSettings,
}

impl ControlRole {
    /// Opens the data folder and the sockets of the replica and starts its tasks.
    pub(crate) async fn start(cx: &Cx, settings: &ControlSettings) -> Result<Self, Error> {
        let mesh = cx.listen(settings.mesh).await?;
        let operators = cx.listen(settings.operators).await?;
        let store = SharedStore::new();
        let log = replica_settings(&cx.settings, settings)?;
        let own = Candidate {
            id: log.id(),
            address: settings.mesh,
        };
        let replica = ReplicaHandle::start(log, Box::new(store.clone()), cx.finish.clone())?;
        let admittance = admittance(settings, &replica, own);

        let config = store.config().borrow().clone();
        let following = SourceState {
            role: SourceRole::Following { leader: None },
            config,
            replicas: Vec::new(),
        };
        let (state_tx, state) = watch::channel(following);
        let (quarantined_tx, quarantined) = watch::channel(BTreeMap::new());
        let (source, outputs) =
            DistributionSource::new(settings.mesh, SourceInputs { state, quarantined });
        let traffic = Arc::new(Traffic::new());
        let server = RpcServer::new(cx.token.clone(), traffic.clone());
        let mut server = source.rpc_routes(replica.rpc_routes(server));
        if let Some((admittance, seeds)) = &admittance {
            server = admittance.rpc_routes(server);
            cx.tasks.spawn(admittance.clone().keep(cx.finish.clone()));
            let asking = admittance.clone();
            let asking = asking.ask(seeds.clone(), cx.token.clone(), cx.finish.clone());
            cx.tasks.spawn(asking);
        }
        cx.spawn_server("mesh", server.serve(mesh, cx.finish.clone()));
        cx.tasks.spawn(source.run(cx.finish.clone()));

        let (leadership_tx, leadership) = watch::channel(Leadership::default());
        let publisher = leadership::Publisher::new(cx.clone(), replica.clone(), store.clone());
        cx.tasks.spawn(publisher.run(state_tx, leadership_tx));

        let burn = Arc::new(Mutex::new(BurnMeter::new()));
        let api = OperatorApi {
            cx: cx.clone(),
            replica: replica.clone(),
            store: store.clone(),
            members: outputs.members.clone(),
            fleet: outputs.status.clone(),
            burn: burn.clone(),
            admittance: admittance.map(|(admittance, _)| admittance),
        };
        let interface = cx
            .edges
            .serve_operators(operators, Arc::new(api), cx.finish.clone());
        cx.spawn_server("operators", interface);

        if cx.settings.calls.idempotency_keys {
            let (cx, replica) = (cx.clone(), replica.clone());
            let guards = GuardDriver::new(cx.clone(), replica, store.clone(), traffic.clone());
            let guards = guards.run(leadership.clone(), outputs.guards.clone());
            cx.tasks.spawn(guards);
        }
        let driver = LeaderDriver::new(cx.clone(), replica.clone(), store, burn, traffic);
        let inputs = LeaderInputs {
            leadership,
            outputs,
            quarantined: quarantined_tx,
        };
        cx.tasks.spawn(driver.run(inputs));
        Ok(Self {
            replica,
            settings: settings.clone(),
        })
    }

    /// Waits until the replica fails, and tells why.
    pub(crate) async fn failed(&self) -> Error {
        let mut status = self.replica.status();
        loop {
            let failure = status.borrow_and_update().failure.clone();
            let peer = || Peer::Platform("data folder".to_owned());
            if let Some(failure) = failure {
                return Error::new(Step::Sync, peer(), failure.to_string());
            }
            if let Some(refusal) = status.borrow().refused
                && matches!(self.settings.founding, Founding::BySeeds { .. })
            {
                return self.discard(refusal);
            }
            if status.changed().await.is_err() {
                return Error::new(Step::Commit, peer(), "the replica has stopped");
            }
        }
    }

    /// Gives up an identity that the other replicas no longer know. The next start takes a new
    /// one.
    fn discard(&self, refusal: Refusal) -> Error {
        let peer = Peer::Platform("data folder".to_owned());
        match DataFolder::discard(&self.settings.data_folder) {
            Ok(()) => Error::new(
                Step::Commit,
                peer,
                format!("the identity is over: {refusal:?}"),
            ),
            Err(error) => error.into(),
        }
    }

    /// Waits until the data folder is closed.
    pub(crate) async fn stopped(self) {
        self.replica.stopped().await;
    }
}

/// How replicas take each other in, with the addresses at which they find each other.
fn admittance(
    settings: &ControlSettings,
    replica: &ReplicaHandle,
    own: Candidate,
) -> Option<(Admittance, Vec<SocketAddr>)> {
    match &settings.founding {
        Founding::ByOperators { .. } => None,
        Founding::BySeeds { seeds, voters, .. } => {
            let admittance = Admittance::new(replica.clone(), SYSTEM, own, *voters);
            Some((admittance, seeds.clone()))
        }
    }
}
