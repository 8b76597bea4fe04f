//! Answers the requests of operators from the state of this control replica.
//!
//! Reads pass a read barrier and changes go through the replicated log, so a replica that does not
//! lead refuses both with `NotLeader` and names the leader it knows.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture};
use tokio::{sync::watch, time::Instant};
use trefoillock_control::FleetStatus;
use trefoillock_core::{
    ConfigVersion, DataCentre, Edit, EditAnswer, Members, Move, MoveId, RawTables, Rollout,
    ServiceName, Tables, Timestamp, VersionLabel,
};
use trefoillock_operator::{
    ApiError, ApiErrorKind, BurnReport, CancelReport, CheckReport, EditReport, EvacuationsReport,
    MemberRow, MembersReport, MovesReport, OperatorService, ReplicaChange, ReplicaRow, RolloutRow,
    RolloutsReport, StatusReport, TablesReport, VersionCount, WorkspaceRow, WorkspacesReport,
};
use trefoillock_policy::BurnMeter;
use trefoillock_process::Event;
use trefoillock_replica::{
    ChangeError, MemberRole, MembershipManager, ProposeError, ReplicaHandle,
};
use trefoillock_store::{Command, CommandAnswer, ConfigDocument, ReplaceAnswer, TablesReplacement};

use crate::{
    in_force_gate::{InForce, InForceGate},
    process_context::ProcessContext,
    shared_store::SharedStore,
};

/// The implementation of [`OperatorService`] on a control replica.
pub(crate) struct OperatorApi {
    pub(crate) context: ProcessContext,
    pub(crate) replica: ReplicaHandle,
    pub(crate) store: SharedStore,
    pub(crate) members: watch::Receiver<Arc<Members>>,
    pub(crate) fleet: watch::Receiver<FleetStatus>,
    pub(crate) in_force_gate: Arc<InForceGate>,
    pub(crate) burn_meter: Arc<Mutex<BurnMeter>>,
    pub(crate) membership_manager: Option<MembershipManager>,
}

type Reply<'a, T> = BoxFuture<'a, Result<T, ApiError>>;

impl OperatorApi {
    /// Waits until this replica has applied every entry that was committed before the request, or
    /// refuses the request if this replica does not lead.
    async fn wait_until_current(&self) -> Result<(), ApiError> {
        match self.replica.read_barrier().await {
            Ok(_) => Ok(()),
            Err(error) => Err(self.not_leader(error.to_string())),
        }
    }

    /// Returns the error of a replica that does not lead, with the leader's address if it is known.
    fn not_leader(&self, message: String) -> ApiError {
        let status = self.replica.status();
        let status = status.borrow();
        let leader = status.leader_address().filter(|(id, _)| *id != status.id);
        let leader = leader.map(|(_, address)| address);
        ApiError::new(ApiErrorKind::NotLeader, message).with_leader(leader)
    }

    /// Checks that enough replicas vote for acknowledged changes to survive the number of lost
    /// replicas that the system is configured to tolerate.
    fn require_enough_voters(&self) -> Result<(), ApiError> {
        let has_enough_voters = self
            .membership_manager
            .as_ref()
            .is_none_or(MembershipManager::has_enough_voters);
        if has_enough_voters {
            return Ok(());
        }
        Err(self.not_leader("too few replicas vote yet".to_owned()))
    }

    async fn propose(&self, command: Command) -> Result<CommandAnswer, ApiError> {
        let internal = |message: String| ApiError::new(ApiErrorKind::Internal, message);
        let command = command
            .encode()
            .map_err(|error| internal(error.to_string()))?;
        let (_, answer) = self
            .replica
            .propose(command)
            .await
            .map_err(|error| match error {
                ProposeError::NotLeader { .. } => self.not_leader(error.to_string()),
                _ => propose_error(&error),
            })?;
        CommandAnswer::decode(&answer).map_err(|error| internal(error.to_string()))
    }

    fn status_report(&self) -> StatusReport {
        let replica = self.replica.status().borrow().clone();
        let fleet = self.fleet.borrow().clone();
        let store = self.store.lock();
        let rows = replica
            .members
            .members()
            .iter()
            .map(|(id, member)| ReplicaRow {
                id: *id,
                address: member.address,
                voter: member.role == MemberRole::Voter,
                leader: replica.leader == Some(*id),
            });
        let versions = fleet
            .versions
            .nodes
            .iter()
            .map(|(version, nodes)| VersionCount {
                version: *version,
                nodes: *nodes as usize,
            });
        StatusReport {
            term: replica.term,
            version: store.config().version(),
            tables_version: store.config().tables_version(),
            nodes: fleet.nodes as usize,
            versions: versions.collect(),
            lagging: fleet.lagging.iter().map(|(_, node)| node.clone()).collect(),
            replicas: rows.collect(),
            running_moves: store.running_moves().count(),
            evacuations: EvacuationsReport::new(store.config().evacuations(), self.now())
                .evacuations,
        }
    }

    fn evacuations_report(&self) -> EvacuationsReport {
        let config = self.store.lock().config().clone();
        EvacuationsReport::new(config.evacuations(), self.now())
    }

    /// Checks that a data centre is known: from the settings, from a backend server, or because it is
    /// evacuated.
    async fn require_known(&self, data_centre: &DataCentre) -> Result<(), ApiError> {
        let settings = self.context.settings.control.as_ref();
        if settings.is_some_and(|control| control.data_centres.contains(data_centre)) {
            return Ok(());
        }
        // Only the leader knows the backend servers.
        self.wait_until_current().await?;
        let config = self.store.lock().config().clone();
        let members = self.members.borrow().clone();
        let mut members = members.servers.values();
        let is_known = config.evacuations().contains_key(data_centre)
            || members.any(|member| member.data_centre == *data_centre);
        if is_known {
            return Ok(());
        }
        let fleet = self.fleet.borrow().clone();
        if !fleet.is_leading || !fleet.knows_fleet {
            // A new leader may not have heard of the data centre yet.
            return Err(self.not_leader("the backend servers are not known yet".to_owned()));
        }
        let message = format!("there is no data centre {data_centre}");
        Err(ApiError::new(ApiErrorKind::NotFound, message))
    }

    /// Proposes an order about an evacuation. `event` is written unless the order is already in
    /// effect.
    async fn order_evacuation(
        &self,
        data_centre: &DataCentre,
        order: Command,
        event: Event,
    ) -> Result<EvacuationsReport, ApiError> {
        self.require_enough_voters()?;
        self.require_known(data_centre).await?;
        let changed = match self.propose(order).await? {
            CommandAnswer::Evacuation(changed) => changed,
            other => return Err(unexpected_answer(&other)),
        };
        if changed {
            let version = self.store.lock().config().version();
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("data-centre", data_centre), ("version", &version)];
            self.context.events.write(event, &fields);
        }
        Ok(self.evacuations_report())
    }

    fn log_edit(&self, id: &trefoillock_core::EditId, answer: &EditAnswer) {
        match answer {
            EditAnswer::Accepted { version, moves } => {
                let moves = moves.len();
                let fields: [(&str, &dyn std::fmt::Display); 3] =
                    [("id", id), ("version", version), ("moves", &moves)];
                self.context.events.write(Event::EditAccepted, &fields);
                self.context.metrics.edits_accepted.inc();
            }
            EditAnswer::Refused(refusal) => {
                self.context
                    .events
                    .write(Event::EditRefused, &[("id", id), ("reason", refusal)]);
                self.context.metrics.edits_refused.inc();
            }
        }
    }

    /// Waits until all nodes serve a version, for a limited time. Unreachable nodes receive it when they
    /// reconnect.
    async fn wait_until_in_force(&self, revision: u64, version: ConfigVersion) {
        let start = Instant::now();
        let in_force = self.in_force_gate.wait(start, version).await;
        let millis = start.elapsed().as_millis();
        let fleet = self.fleet.borrow().clone();
        let lagging = fleet.lagging.iter().map(|(_, node)| node.as_str());
        let lagging: Vec<&str> = lagging.collect();
        let lost = fleet.lost_count;
        let (in_force, lagging) = (in_force == InForce::Everywhere, lagging.join(" "));
        let fields: [(&str, &dyn std::fmt::Display); 6] = [
            ("revision", &revision),
            ("version", &version),
            ("in-force", &in_force),
            ("millis", &millis),
            ("lagging", &lagging),
            ("lost", &lost),
        ];
        self.context
            .events
            .write(Event::DocumentAcknowledged, &fields);
    }

    fn log_rollout_order(
        &self,
        service: &ServiceName,
        version: &VersionLabel,
        deadline: Timestamp,
    ) {
        let fields: [(&str, &dyn std::fmt::Display); 3] = [
            ("service", service),
            ("version", version),
            ("deadline", &deadline),
        ];
        self.context.events.write(Event::RolloutOrdered, &fields);
    }

    fn log_replacement(&self, revision: u64, answer: ReplaceAnswer) {
        match answer {
            ReplaceAnswer::Accepted(version) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("revision", &revision), ("version", &version)];
                self.context.events.write(Event::DocumentAccepted, &fields);
                self.context.metrics.edits_accepted.inc();
            }
            ReplaceAnswer::Conflict { current } | ReplaceAnswer::NotNewer { current } => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("revision", &revision), ("current", &current)];
                self.context.events.write(Event::DocumentRefused, &fields);
                self.context.metrics.edits_refused.inc();
            }
        }
    }

    async fn change_membership(&self, change: ReplicaChange) -> Result<(), ChangeError> {
        match change {
            ReplicaChange::Add { id, address } => self.replica.add_learner(id, address).await,
            ReplicaChange::Promote { id } => self.replica.promote(id).await,
            ReplicaChange::Remove { id } => self.replica.remove(id).await,
        }
    }
}

fn propose_error(error: &ProposeError) -> ApiError {
    let kind = match error {
        ProposeError::NotLeader { .. } | ProposeError::DidNotCommit | ProposeError::Busy => {
            ApiErrorKind::NotLeader
        }
        ProposeError::TooLarge => ApiErrorKind::BadRequest,
        ProposeError::Unknown => ApiErrorKind::Unknown,
    };
    ApiError::new(kind, error.to_string())
}

fn change_error(error: &ChangeError) -> ApiError {
    let kind = match error {
        ChangeError::NotLeader => ApiErrorKind::NotLeader,
        _ => ApiErrorKind::BadRequest,
    };
    ApiError::new(kind, error.to_string())
}

fn unexpected_answer(answer: &CommandAnswer) -> ApiError {
    ApiError::new(
        ApiErrorKind::Internal,
        format!("unexpected answer {answer:?}"),
    )
}

impl OperatorService for OperatorApi {
    fn now(&self) -> Timestamp {
        self.context.clock.now()
    }

    fn status(&self) -> Reply<'_, StatusReport> {
        async {
            self.wait_until_current().await?;
            Ok(self.status_report())
        }
        .boxed()
    }

    fn tables(&self) -> Reply<'_, TablesReport> {
        async {
            self.wait_until_current().await?;
            let config = self.store.lock().config().clone();
            Ok(TablesReport {
                version: config.version(),
                tables_version: config.tables_version(),
                tables: RawTables::from(config.tables()),
            })
        }
        .boxed()
    }

    fn workspaces(&self) -> Reply<'_, WorkspacesReport> {
        async {
            self.wait_until_current().await?;
            let config = self.store.lock().config().clone();
            let workspaces = config.tables().workspaces();
            let rows = workspaces.into_iter().flatten();
            Ok(WorkspacesReport {
                tables_version: config.tables_version(),
                needs_keys: workspaces.is_some(),
                workspaces: rows.map(|(_, row)| WorkspaceRow::from(&**row)).collect(),
            })
        }
        .boxed()
    }

    fn check(&self, tables: Tables) -> Reply<'_, CheckReport> {
        async move {
            self.wait_until_current().await?;
            let config = self.store.lock().config().clone();
            Ok(CheckReport {
                errors: None,
                difference: Some(config.tables().diff(&tables)),
                tables_version: config.tables_version(),
            })
        }
        .boxed()
    }

    fn edit(&self, edit: Edit) -> Reply<'_, EditReport> {
        async move {
            let id = edit.id.clone();
            match self.propose(Command::Edit(edit)).await? {
                CommandAnswer::Edit(answer) => {
                    self.log_edit(&id, &answer);
                    Ok(EditReport { answer })
                }
                other => Err(unexpected_answer(&other)),
            }
        }
        .boxed()
    }

    fn replace(&self, document: ConfigDocument, tables: Tables) -> Reply<'_, ReplaceAnswer> {
        async move {
            self.require_enough_voters()?;
            let (revision, at) = (document.revision, self.now());
            let new = TablesReplacement {
                document,
                tables,
                at,
            };
            match self.propose(Command::Replace(Box::new(new))).await? {
                CommandAnswer::Replace(answer) => {
                    self.log_replacement(revision, answer);
                    if let ReplaceAnswer::Accepted(version) = answer {
                        self.wait_until_in_force(revision, version).await;
                    }
                    Ok(answer)
                }
                other => Err(unexpected_answer(&other)),
            }
        }
        .boxed()
    }

    fn document(&self) -> Reply<'_, Option<ConfigDocument>> {
        async {
            self.wait_until_current().await?;
            let document = self.store.lock().document().cloned();
            if let Some(document) = &document {
                let term = self.replica.status().borrow().term;
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("revision", &document.revision), ("term", &term)];
                self.context.events.write(Event::DocumentRead, &fields);
            }
            Ok(document)
        }
        .boxed()
    }

    fn start_rollout(
        &self,
        service: ServiceName,
        version: VersionLabel,
        within: Duration,
    ) -> Reply<'_, bool> {
        async move {
            self.require_enough_voters()?;
            let at = self.now();
            let deadline = at + within;
            self.log_rollout_order(&service, &version, deadline);
            let command = Command::StartRollout {
                service,
                version,
                at,
                deadline,
            };
            match self.propose(command).await? {
                CommandAnswer::Rollout(ordered) => Ok(ordered),
                other => Err(unexpected_answer(&other)),
            }
        }
        .boxed()
    }

    fn rollout(&self, service: ServiceName) -> Reply<'_, Option<Rollout>> {
        async move {
            self.wait_until_current().await?;
            Ok(self.store.lock().rollouts().get(&service).cloned())
        }
        .boxed()
    }

    fn rollouts(&self) -> Reply<'_, RolloutsReport> {
        async {
            self.wait_until_current().await?;
            let control = self.context.settings.control.as_ref();
            let limits = control.map(|control| control.rollouts).unwrap_or_default();
            let store = self.store.lock();
            let rollouts = store.rollouts().values();
            let rows = rollouts.map(|rollout| RolloutRow::new(rollout, &limits));
            Ok(RolloutsReport {
                rollouts: rows.collect(),
            })
        }
        .boxed()
    }

    fn moves(&self) -> Reply<'_, MovesReport> {
        async {
            self.wait_until_current().await?;
            let store = self.store.lock();
            let mut moves: Vec<Move> = store.running_moves().cloned().collect();
            let mut ended: Vec<Move> = store.ended_moves().cloned().collect();
            ended.reverse();
            moves.append(&mut ended);
            Ok(MovesReport { moves })
        }
        .boxed()
    }

    fn cancel(&self, id: MoveId) -> Reply<'_, CancelReport> {
        async move {
            let at = self.now();
            match self.propose(Command::CancelMove { id, at }).await? {
                CommandAnswer::Cancel(answer) => Ok(CancelReport { answer }),
                other => Err(unexpected_answer(&other)),
            }
        }
        .boxed()
    }

    fn start_evacuation(&self, data_centre: DataCentre) -> Reply<'_, EvacuationsReport> {
        async move {
            let order = Command::StartEvacuation {
                data_centre: data_centre.clone(),
                at: self.now(),
            };
            self.order_evacuation(&data_centre, order, Event::EvacuationStarted)
                .await
        }
        .boxed()
    }

    fn finish_evacuation(&self, data_centre: DataCentre) -> Reply<'_, EvacuationsReport> {
        async move {
            let order = Command::FinishEvacuation {
                data_centre: data_centre.clone(),
            };
            self.order_evacuation(&data_centre, order, Event::EvacuationFinished)
                .await
        }
        .boxed()
    }

    fn evacuations(&self) -> Reply<'_, EvacuationsReport> {
        async {
            self.wait_until_current().await?;
            Ok(self.evacuations_report())
        }
        .boxed()
    }

    fn members(&self) -> Reply<'_, MembersReport> {
        async {
            self.wait_until_current().await?;
            let members = self.members.borrow().clone();
            let rows = members.servers.values().map(|member| MemberRow {
                id: member.id.clone(),
                data_centre: member.data_centre.clone(),
                service: member.announcement.service.clone(),
                version: member.announcement.version.clone(),
                state: member.announcement.state,
            });
            Ok(MembersReport {
                members: rows.collect(),
            })
        }
        .boxed()
    }

    fn burn(&self) -> Reply<'_, BurnReport> {
        async {
            self.wait_until_current().await?;
            let burn = self
                .burn_meter
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            Ok(burn.report(self.now()))
        }
        .boxed()
    }

    fn change_replicas(&self, change: ReplicaChange) -> Reply<'_, StatusReport> {
        async move {
            let text = format!("{change:?}");
            self.change_membership(change)
                .await
                .map_err(|error| change_error(&error))?;
            self.context
                .events
                .write(Event::ReplicaChanged, &[("change", &text)]);
            Ok(self.status_report())
        }
        .boxed()
    }
}
