//! The tasks of the leader: decides on moves and rollouts, quarantines requests that crash backend
//! servers, and measures service-level burn.
//!
//! Inputs are the evidence and crash reports of the nodes, the member list and the state of the
//! fleet; outputs are steps proposed to the replicated log and the set of quarantined requests.

use std::{
    borrow::Cow,
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::sync::watch;
use trefoillock_control::{ControlOutputs, FleetStatus};
use trefoillock_core::{
    Config, CrashReport, Evidence, Fingerprint, Members, Move, MoveId, Rollout, RolloutAllowance,
    RolloutLimits, RolloutStep, ServiceName, Timestamp,
};
use trefoillock_moves::{EvidenceCoverage, MoveController, RolloutController};
use trefoillock_policy::{BurnMeter, CrashCounter};
use trefoillock_process::Event;
use trefoillock_replica::ReplicaHandle;
use trefoillock_rpc::TrafficCounter;
use trefoillock_store::Command;

use crate::{
    leadership::{LastLedTerm, Leadership},
    move_event_log::MoveEventLog,
    process_context::ProcessContext,
    shared_store::SharedStore,
};

#[cfg(test)]
mod tests;

/// The time between two decisions on the moves and rollouts.
const DECIDE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of recently ended moves that are passed to the controller and the event log.
const MAX_ENDED_MOVES: usize = 32;

/// The channels of the driver. All are inputs but `quarantined`, which receives the quarantined
/// requests.
pub(crate) struct LeaderChannels {
    pub(crate) leadership: watch::Receiver<Leadership>,
    pub(crate) outputs: ControlOutputs,
    pub(crate) quarantined: watch::Sender<BTreeMap<Fingerprint, Timestamp>>,
}

/// Decides on moves and rollouts while this replica leads.
pub(crate) struct LeaderDriver {
    context: ProcessContext,
    replica: ReplicaHandle,
    store: SharedStore,
    burn_meter: Arc<Mutex<BurnMeter>>,
    traffic: Arc<TrafficCounter>,
    move_controller: MoveController,
    rollout_controller: RolloutController,
    crash_counter: CrashCounter,
    move_events: MoveEventLog,
    is_leading: bool,
    last_led_term: LastLedTerm,
}

impl LeaderDriver {
    pub(crate) fn new(
        context: ProcessContext,
        replica: ReplicaHandle,
        store: SharedStore,
        burn_meter: Arc<Mutex<BurnMeter>>,
        traffic: Arc<TrafficCounter>,
        limits: RolloutLimits,
    ) -> Self {
        let move_events = MoveEventLog::new(context.events);
        Self {
            context,
            replica,
            store,
            burn_meter,
            traffic,
            move_controller: MoveController::new(),
            rollout_controller: RolloutController::new().with_limits(limits),
            crash_counter: CrashCounter::new(),
            move_events,
            is_leading: false,
            last_led_term: LastLedTerm::default(),
        }
    }

    /// Runs until the process shuts down.
    pub(crate) async fn run(mut self, mut channels: LeaderChannels) {
        let mut tick = tokio::time::interval(DECIDE_INTERVAL);
        loop {
            tokio::select! {
                () = self.context.shutdown.cancelled() => return,
                Some(evidence) = channels.outputs.evidence.recv() =>
                    self.record_evidence(&evidence),
                Some(crash) = channels.outputs.crashes.recv() => {
                    self.record_crash(&crash, &channels.quarantined);
                }
                _ = tick.tick() => {
                    self.update_leadership(*channels.leadership.borrow_and_update());
                    let members = channels.outputs.members.borrow_and_update().clone();
                    let fleet = channels.outputs.fleet.borrow_and_update().clone();
                    self.decide_and_propose(&members, &fleet).await;
                }
            }
        }
    }

    /// Discards the evidence on moves and the crash counts when this replica begins to lead in a new
    /// term. What an earlier leader received is not replicated, so each leader starts without any.
    fn update_leadership(&mut self, leadership: Leadership) {
        self.is_leading = leadership.term.is_some();
        if self.last_led_term.begins_anew(leadership) {
            self.move_controller = MoveController::new();
            self.crash_counter = CrashCounter::new();
        }
    }

    fn record_evidence(&mut self, evidence: &Evidence) {
        let now = self.context.clock.now();
        self.move_controller.add_evidence(now, evidence);
        self.rollout_controller.add_evidence(now, evidence);
        let config = self.store.lock().config().clone();
        let mut burn = self
            .burn_meter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (name, count) in &evidence.service_levels {
            if let Some(route) = config.tables().routes().get(name) {
                burn.add(now, name, route.class, route.target, *count);
            }
        }
    }

    fn record_crash(
        &mut self,
        crash: &CrashReport,
        quarantined: &watch::Sender<BTreeMap<Fingerprint, Timestamp>>,
    ) {
        self.move_controller.add_crash(crash);
        let now = self.context.clock.now();
        let fingerprint = format!("{:016x}", crash.fingerprint.get());
        let server = crash.server.to_string();
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("server", &server), ("fingerprint", &fingerprint)];
        self.context.events.write(Event::ServerCrashed, &fields);
        if self.crash_counter.record(now, crash) {
            self.context
                .events
                .write(Event::RequestQuarantined, &[("fingerprint", &fingerprint)]);
            quarantined.send_replace(self.crash_counter.quarantined().clone());
        }
    }

    /// Decides on the moves and rollouts and proposes their next steps.
    async fn decide_and_propose(&mut self, members: &Members, fleet: &FleetStatus) {
        let (config, moves) = self.read_config_and_moves();
        self.update_metrics(&config, &moves, fleet);
        let members = members_not_evacuated(members, &config);
        let members = members.as_ref();
        let rollouts = self.store.lock().rollouts().clone();
        let now = self.context.clock.now();
        self.rollout_controller.track(now, &rollouts);
        if !self.is_leading || !fleet.is_leading {
            return;
        }
        self.move_events.log_changes(&moves);
        self.remove_burn_of_deleted_routes(&config);
        let coverage = EvidenceCoverage {
            nodes_reporting: fleet.nodes,
            nodes_expected: fleet.nodes.saturating_add(fleet.lost_count),
        };
        let has_converged = fleet.has_converged();
        let members_if_known = fleet.knows_fleet.then_some(members);
        let rollout_steps =
            self.rollout_controller
                .decide(now, &rollouts, members_if_known, has_converged);
        for step in &rollout_steps {
            self.log_rollout_step(step, &rollouts);
        }
        let allowances = members_if_known.map(|members| {
            let controller = &self.rollout_controller;
            controller.due_allowances(now, &rollouts, members)
        });
        let allowances = allowances.unwrap_or_default();
        for (id, allowance) in &allowances {
            self.log_allowance(*id, allowance, &rollouts);
        }
        let allowances = allowances
            .into_iter()
            .map(|(id, allowance)| Command::RolloutAllowance { id, allowance });
        let rollout_steps = rollout_steps.into_iter().map(Command::RolloutStep);
        let progress = self.rollout_controller.due_progress(now, &rollouts);
        let progress = progress
            .into_iter()
            .map(|(id, progress)| Command::RolloutProgress { id, progress });
        // A step that is not committed is decided again at the next tick.
        self.propose_all(allowances.chain(rollout_steps).chain(progress))
            .await;
        let steps = self
            .move_controller
            .decide(now, &moves, config.tables(), members, coverage);
        self.propose_all(steps.into_iter().map(Command::MoveStep))
            .await;
    }

    /// Proposes commands to the log. What fails is decided again from the replicated state.
    async fn propose_all(&self, commands: impl Iterator<Item = Command>) {
        let encoded = commands.filter_map(|command| {
            let encoded = command.encode();
            let encoded = encoded.inspect_err(|error| log::debug!("{command:?}: {error}"));
            encoded.ok()
        });
        let proposals = encoded.map(|command| self.replica.propose(command));
        let answers = futures::future::join_all(proposals).await;
        for error in answers.into_iter().filter_map(Result::err) {
            log::debug!("a proposal of the leader failed: {error}");
        }
    }

    fn log_allowance(
        &self,
        id: MoveId,
        allowance: &RolloutAllowance,
        rollouts: &BTreeMap<ServiceName, Rollout>,
    ) {
        let rollout = rollouts.values().find(|rollout| rollout.id == id);
        let service = rollout.map_or_else(String::new, |rollout| rollout.service.to_string());
        let before = rollout.map_or(0, |rollout| rollout.allowance.granted());
        let counts = self.rollout_controller.calls(id).unwrap_or_default();
        let parts = allowance.parts.iter();
        let parts = parts.map(|part| format!("{}={}", part.server, part.calls));
        let parts = parts.collect::<Vec<_>>().join(" ");
        let fields: [(&str, &dyn std::fmt::Display); 10] = [
            ("rollout", &id),
            ("service", &service),
            ("extension", &allowance.serial),
            ("purpose", &allowance.purpose.as_str()),
            ("granted", &allowance.granted()),
            ("before", &before),
            ("allowed", &counts.allowed),
            ("service-calls", &counts.service),
            ("version-calls", &counts.version),
            ("parts", &parts),
        ];
        self.context.events.write(Event::RolloutAllowance, &fields);
    }

    fn log_rollout_step(&self, step: &RolloutStep, rollouts: &BTreeMap<ServiceName, Rollout>) {
        let service = rollouts.values().find(|rollout| rollout.id == step.id);
        let service = service.map_or_else(String::new, |rollout| rollout.service.to_string());
        let state = format!("{:?}", step.state).to_lowercase();
        let fields: [(&str, &dyn std::fmt::Display); 6] = [
            ("rollout", &step.id),
            ("service", &service),
            ("step", &step.step),
            ("state", &state),
            ("share", &step.share),
            ("evidence", &step.evidence),
        ];
        self.context.events.write(Event::RolloutStepped, &fields);
    }

    /// Returns the configuration, the running moves and the [`MAX_ENDED_MOVES`] moves that ended
    /// last.
    fn read_config_and_moves(&self) -> (Arc<Config>, Vec<Move>) {
        let store = self.store.lock();
        let mut moves: Vec<Move> = store.running_moves().cloned().collect();
        let skipped = store.ended_moves().count().saturating_sub(MAX_ENDED_MOVES);
        moves.extend(store.ended_moves().skip(skipped).cloned());
        (store.config().clone(), moves)
    }

    fn update_metrics(&self, config: &Config, moves: &[Move], fleet: &FleetStatus) {
        let metrics = &self.context.metrics;
        let evacuated = u64::try_from(config.evacuations().len()).unwrap_or(u64::MAX);
        metrics.evacuated_data_centres.set(evacuated);
        metrics.nodes.set(fleet.nodes.into());
        metrics.nodes_current.set(fleet.current.into());
        let replica = self.replica.traffic();
        metrics
            .control_sent
            .set(self.traffic.bytes_sent() + replica.bytes_sent());
        metrics
            .control_received
            .set(self.traffic.bytes_received() + replica.bytes_received());
        metrics.set_moves(moves);
    }

    fn remove_burn_of_deleted_routes(&self, config: &Config) {
        let mut burn = self
            .burn_meter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        burn.retain(|route| config.tables().routes().contains_key(route));
    }
}

/// The members outside the evacuated data centres, on which the decisions on moves and rollouts are
/// based.
fn members_not_evacuated<'a>(members: &'a Members, config: &Config) -> Cow<'a, Members> {
    if config.evacuations().is_empty() {
        return Cow::Borrowed(members);
    }
    let mut remaining = members.clone();
    remaining
        .servers
        .retain(|_, member| !config.evacuations().contains_key(&member.data_centre));
    Cow::Owned(remaining)
}
