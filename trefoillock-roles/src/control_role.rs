//! The role of a control replica: the replicated log, the distribution, the moves and the
//! operators.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use tokio::sync::watch;
use trefoillock_control::{DistributionSource, SourceInputs, SourceRole, SourceState};
use trefoillock_core::{Error, Peer, Step};
use trefoillock_policy::BurnMeter;
use trefoillock_process::ControlSettings;
use trefoillock_replica::ReplicaHandle;
use trefoillock_rpc::{RpcServer, Traffic};

use crate::{
    cx::Cx,
    founding::replica_settings,
    guard_driver::GuardDriver,
    leader_driver::{LeaderDriver, LeaderInputs},
    leadership::{self, Leadership},
    operator_service::OperatorApi,
    shared_store::SharedStore,
};

/// A running control replica.
pub(crate) struct ControlRole {
    replica: ReplicaHandle,
}

impl ControlRole {
    /// Opens the data folder and the sockets of the replica and starts its tasks.
    pub(crate) async fn start(cx: &Cx, settings: &ControlSettings) -> Result<Self, Error> {
        let mesh = cx.listen(settings.mesh).await?;
        let operators = cx.listen(settings.operators).await?;
        let store = SharedStore::new();
        let replica = ReplicaHandle::start(
            replica_settings(&cx.settings, settings),
            Box::new(store.clone()),
            cx.finish.clone(),
        )?;

        let config = store.config().borrow().clone();
        let following = SourceState {
            role: SourceRole::Following { leader: None },
            config,
        };
        let (state_tx, state) = watch::channel(following);
        let (quarantined_tx, quarantined) = watch::channel(BTreeMap::new());
        let (source, outputs) =
            DistributionSource::new(settings.mesh, SourceInputs { state, quarantined });
        let traffic = Arc::new(Traffic::new());
        let server = RpcServer::new(cx.token.clone(), traffic.clone());
        let server = source.rpc_routes(replica.rpc_routes(server));
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
        };
        let interface = trefoillock_operator::serve(
            operators,
            Arc::new(api),
            cx.token.clone(),
            cx.finish.clone(),
        );
        cx.spawn_server("operators", interface);

        let guards = GuardDriver::new(cx.clone(), replica.clone(), store.clone(), traffic.clone());
        cx.tasks
            .spawn(guards.run(leadership.clone(), outputs.guards.clone()));
        let driver = LeaderDriver::new(cx.clone(), replica.clone(), store, burn, traffic);
        let inputs = LeaderInputs {
            leadership,
            outputs,
            quarantined: quarantined_tx,
        };
        cx.tasks.spawn(driver.run(inputs));
        Ok(Self { replica })
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
            if status.changed().await.is_err() {
                return Error::new(Step::Commit, peer(), "the replica has stopped");
            }
        }
    }

    /// Waits until the data folder is closed.
    pub(crate) async fn stopped(self) {
        self.replica.stopped().await;
    }
}
