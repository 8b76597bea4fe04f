//! The role of a control replica: takes part in the replicated log and, while it leads,
//! distributes configurations and member lists, decides on moves and answers operators.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::watch;
use trefoillock_control::{
    ControlAgent, ControlInputs, ControlState, LeadershipRole, RecordAnswer, add_record_call,
};
use trefoillock_core::{Departure, Error, NodeId, Peer, Step};
use trefoillock_policy::BurnMeter;
use trefoillock_process::{BootstrapMode, ControlSettings, Event};
use trefoillock_replica::{
    DataFolder, DueChange, MembershipChange, MembershipManager, Refusal, ReplicaHandle,
};
use trefoillock_rpc::{RpcServer, TrafficCounter};
use trefoillock_store::Command;

use crate::{
    data_folder::{SYSTEM_NAME, replica_settings},
    event_log::EventLog,
    guard_driver::GuardDriver,
    in_force_gate::InForceGate,
    leader_driver::{LeaderChannels, LeaderDriver},
    leadership::{self, Leadership},
    operator_service::OperatorApi,
    process_context::ProcessContext,
    shared_store::SharedStore,
};

/// The longest time after its acceptance for which the acknowledgement of a document waits until all
/// nodes serve it. A node that was lost without notice is no longer counted by then.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(2_200);

/// A running control replica.
pub(crate) struct ControlRole {
    replica: ReplicaHandle,
    membership_manager: Option<MembershipManager>,
    settings: ControlSettings,
}

impl ControlRole {
    /// Opens the data folder and the sockets of the replica and starts its tasks.
    pub(crate) async fn start(
        context: &ProcessContext,
        settings: &ControlSettings,
    ) -> Result<Self, Error> {
        let mesh = context.listen(settings.mesh).await?;
        let operators = context.listen(settings.operators).await?;
        let store = SharedStore::new();
        let log = replica_settings(&context.settings, settings)?;
        let replica = ReplicaHandle::start(log, Box::new(store.clone()), context.shutdown.clone())?;
        let membership_manager = membership_manager(context, settings, &replica);

        let config = store.subscribe_config().borrow().clone();
        let initial_state = ControlState {
            role: LeadershipRole::Following { leader: None },
            config,
            replicas: Vec::new(),
        };
        let (state_tx, state) = watch::channel(initial_state);
        let (quarantined_tx, quarantined) = watch::channel(BTreeMap::new());
        let inputs = ControlInputs {
            state,
            lease: replica.lease(),
            quarantined,
            departures: store.subscribe_drained_runs(),
        };
        let (agent, outputs) = ControlAgent::new(settings.mesh, inputs);
        let traffic = Arc::new(TrafficCounter::new());
        let server = RpcServer::new(context.token.clone(), traffic.clone());
        let server = agent.add_rpc_handlers(replica.add_rpc_handlers(server));
        let (recording, voters) = (replica.clone(), membership_manager.clone());
        let mut server = add_record_call(server, move |node, departure| {
            record_departure(recording.clone(), voters.clone(), node, departure)
        });
        if let (Some(manager), BootstrapMode::FromSeeds { seeds, .. }) =
            (&membership_manager, &settings.bootstrap)
        {
            server = manager.add_rpc_handlers(server);
            let events = context.events;
            let on_change = move |due: &DueChange| write_membership_change(events, due);
            let changes = manager.clone();
            let changes = changes.maintain_membership(on_change, context.shutdown.clone());
            context.tasks.spawn(changes);
            let join_task = manager.clone();
            let join_task = join_task.request_membership(seeds.clone(), context.shutdown.clone());
            context.tasks.spawn(join_task);
        }
        context.spawn_server("mesh", server.serve(mesh, context.shutdown.clone()));
        context.tasks.spawn(agent.run(context.shutdown.clone()));

        let (leadership_tx, leadership) = watch::channel(Leadership::default());
        let publisher =
            leadership::LeadershipPublisher::new(context.clone(), replica.clone(), store.clone());
        context.tasks.spawn(publisher.run(state_tx, leadership_tx));

        let burn_meter = Arc::new(Mutex::new(BurnMeter::new()));
        let api = OperatorApi {
            context: context.clone(),
            replica: replica.clone(),
            store: store.clone(),
            members: outputs.members.clone(),
            fleet: outputs.fleet.clone(),
            in_force_gate: Arc::new(InForceGate::new(outputs.fleet.clone(), IN_FORCE_LIMIT)),
            burn_meter: burn_meter.clone(),
            membership_manager: membership_manager.clone(),
        };
        let operator_server =
            context
                .protocol
                .serve_operators(operators, Arc::new(api), context.shutdown.clone());
        context.spawn_server("operators", operator_server);

        let guards = GuardDriver::new(
            context.clone(),
            replica.clone(),
            store.clone(),
            traffic.clone(),
        );
        let guards = guards.run(leadership.clone(), outputs.guards.clone());
        context.tasks.spawn(guards);
        let driver = LeaderDriver::new(
            context.clone(),
            replica.clone(),
            store,
            burn_meter,
            traffic,
            settings.rollouts,
        );
        let channels = LeaderChannels {
            leadership,
            outputs,
            quarantined: quarantined_tx,
        };
        context.tasks.spawn(driver.run(channels));
        Ok(Self {
            replica,
            membership_manager,
            settings: settings.clone(),
        })
    }

    /// Waits until the replica fails and returns the failure. With [`BootstrapMode::FromSeeds`], a
    /// disk that the other replicas refuse counts as a failure too, and so does a removal after which
    /// the replica cannot return under its identity.
    pub(crate) async fn wait_for_failure(&self) -> Error {
        let Some(manager) = &self.membership_manager else {
            return self.wait_for_replica_failure().await;
        };
        tokio::select! {
            failure = self.wait_for_replica_failure() => failure,
            () = manager.wait_until_identity_discarded() => {
                self.discard_identity(Refusal::Removed)
            }
        }
    }

    async fn wait_for_replica_failure(&self) -> Error {
        let mut status = self.replica.status();
        loop {
            let failure = status.borrow_and_update().failure.clone();
            let peer = || Peer::Platform("data folder".to_owned());
            if let Some(failure) = failure {
                return Error::new(Step::Sync, peer(), failure.to_string());
            }
            let refusal = status.borrow().refusal;
            if refusal == Some(Refusal::OtherDisk) && self.membership_manager.is_some() {
                return self.discard_identity(Refusal::OtherDisk);
            }
            if status.changed().await.is_err() {
                return Error::new(Step::Commit, peer(), "the replica has stopped");
            }
        }
    }

    /// Deletes the data folder of a replica whose identity the other replicas refuse. The next
    /// start takes a new identity.
    fn discard_identity(&self, refusal: Refusal) -> Error {
        let peer = Peer::Platform("data folder".to_owned());
        match DataFolder::delete_files(&self.settings.data_folder) {
            Ok(()) => Error::new(
                Step::Commit,
                peer,
                format!("the other replicas refuse the identity of this replica: {refusal:?}"),
            ),
            Err(error) => error.into(),
        }
    }

    /// Waits until the data folder is closed.
    pub(crate) async fn wait_until_closed(self) {
        self.replica.wait_until_stopped().await;
    }
}

/// Returns the membership manager, which adds, promotes and removes replicas without operators.
/// `None` if operators change the membership.
fn membership_manager(
    context: &ProcessContext,
    settings: &ControlSettings,
    replica: &ReplicaHandle,
) -> Option<MembershipManager> {
    let BootstrapMode::FromSeeds { voters, .. } = &settings.bootstrap else {
        return None;
    };
    let token = context.token.clone();
    let own = replica.join_candidate();
    let manager = MembershipManager::new(replica.clone(), SYSTEM_NAME, token, own, *voters);
    Some(manager)
}

/// Commits the departure of a backend server beside a node to the replicated log. Like an order of an
/// operator, it must survive the number of lost replicas that the system is configured to tolerate.
async fn record_departure(
    replica: ReplicaHandle,
    membership_manager: Option<MembershipManager>,
    node: NodeId,
    departure: Departure,
) -> RecordAnswer {
    let not_leader = || {
        let status = replica.status();
        let status = status.borrow();
        let leader = status.leader_address().filter(|(id, _)| *id != status.id);
        RecordAnswer::NotLeader(leader.map(|(_, address)| address))
    };
    let mut manager = membership_manager.iter();
    if !manager.all(MembershipManager::has_enough_voters) {
        return not_leader();
    }
    let command = match (Command::RecordDeparture { node, departure }).encode() {
        Ok(command) => command,
        Err(error) => {
            log::error!("a departure cannot be encoded: {error}");
            return not_leader();
        }
    };
    match replica.propose(command).await {
        Ok(_) => RecordAnswer::Recorded,
        Err(error) => {
            log::debug!("a departure was not committed: {error}");
            not_leader()
        }
    }
}

/// Logs a membership change that no operator ordered.
fn write_membership_change(events: EventLog, due: &DueChange) {
    let (change, id) = match due.change {
        MembershipChange::AddLearner { id, .. } => ("added", id),
        MembershipChange::Promote { id } => ("promoted", id),
        MembershipChange::Remove { id } => ("removed", id),
        MembershipChange::Readmit { id, .. } => ("readmitted", id),
    };
    events.write(
        Event::ReplicaChanged,
        &[
            ("change", &change),
            ("replica", &id),
            ("reason", &due.reason),
        ],
    );
}
