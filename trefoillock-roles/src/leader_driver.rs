//! What only the leader does: it judges moves, tallies crashes and counts service-level burn.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::sync::watch;
use trefoillock_control::{FleetStatus, SourceOutputs};
use trefoillock_core::{
    Config, CrashReport, Evidence, Fingerprint, Members, Move, MoveStep, Rollout, RolloutStep,
    ServiceName, Term, Timestamp,
};
use trefoillock_moves::{MoveController, NodeReport, RolloutController};
use trefoillock_policy::{BurnMeter, CrashTally};
use trefoillock_process::Event;
use trefoillock_replica::ReplicaHandle;
use trefoillock_rpc::Traffic;
use trefoillock_store::Command;

use crate::{cx::Cx, leadership::Leadership, move_log::MoveLog, shared_store::SharedStore};

/// The time between two looks at the moves.
const DECIDE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of ended moves that the controller is told of.
const ENDED_MOVES_TOLD: usize = 32;

/// What the driver is told, and where it tells the quarantine.
pub(crate) struct LeaderInputs {
    pub(crate) leadership: watch::Receiver<Leadership>,
    pub(crate) outputs: SourceOutputs,
    pub(crate) quarantined: watch::Sender<BTreeMap<Fingerprint, Timestamp>>,
}

/// Drives the moves while this replica leads.
pub(crate) struct LeaderDriver {
    cx: Cx,
    replica: ReplicaHandle,
    store: SharedStore,
    burn: Arc<Mutex<BurnMeter>>,
    traffic: Arc<Traffic>,
    controller: MoveController,
    rollouts: RolloutController,
    crashes: CrashTally,
    log: MoveLog,
    term: Option<Term>,
}

impl LeaderDriver {
    pub(crate) fn new(
        cx: Cx,
        replica: ReplicaHandle,
        store: SharedStore,
        burn: Arc<Mutex<BurnMeter>>,
        traffic: Arc<Traffic>,
    ) -> Self {
        let log = MoveLog::new(cx.events);
        Self {
            cx,
            replica,
            store,
            burn,
            traffic,
            controller: MoveController::new(),
            rollouts: RolloutController::new(),
            crashes: CrashTally::new(),
            log,
            term: None,
        }
    }

    /// Runs until the process finishes.
    pub(crate) async fn run(mut self, mut inputs: LeaderInputs) {
        let mut tick = tokio::time::interval(DECIDE_INTERVAL);
        loop {
            tokio::select! {
                () = self.cx.finish.cancelled() => return,
                Some(evidence) = inputs.outputs.evidence.recv() => self.observe(&evidence),
                Some(crash) = inputs.outputs.crashes.recv() => {
                    self.count_crash(&crash, &inputs.quarantined);
                }
                _ = tick.tick() => {
                    self.follow(inputs.leadership.borrow_and_update().term);
                    let members = inputs.outputs.members.borrow_and_update().clone();
                    let fleet = inputs.outputs.status.borrow_and_update().clone();
                    self.step(&members, &fleet).await;
                }
            }
        }
    }

    /// Starts without evidence in each new term: what an earlier leader saw may be lost.
    fn follow(&mut self, term: Option<Term>) {
        if term != self.term {
            self.term = term;
            self.controller = MoveController::new();
            self.crashes = CrashTally::new();
        }
    }

    fn observe(&mut self, evidence: &Evidence) {
        let now = self.cx.clock.now();
        self.controller.observe(now, evidence);
        self.rollouts.observe(evidence);
        let config = self.store.lock().config().clone();
        let mut burn = self.burn.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, count) in &evidence.service_levels {
            if let Some(route) = config.tables().routes().get(name) {
                burn.add(now, name, route.class, route.target, *count);
            }
        }
    }

    fn count_crash(
        &mut self,
        crash: &CrashReport,
        quarantined: &watch::Sender<BTreeMap<Fingerprint, Timestamp>>,
    ) {
        self.controller.observe_crash(crash);
        let now = self.cx.clock.now();
        let fingerprint = format!("{:016x}", crash.fingerprint.get());
        let server = crash.server.to_string();
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("server", &server), ("fingerprint", &fingerprint)];
        self.cx.events.write(Event::ServerCrashed, &fields);
        if self.crashes.record(now, crash) {
            self.cx
                .events
                .write(Event::RequestQuarantined, &[("fingerprint", &fingerprint)]);
            quarantined.send_replace(self.crashes.quarantined().clone());
        }
    }

    /// Decides on the moves and proposes the steps.
    async fn step(&mut self, members: &Members, fleet: &FleetStatus) {
        let (config, moves) = self.read();
        self.measure(&moves, fleet);
        let rollouts = self.store.lock().rollouts().clone();
        let now = self.cx.clock.now();
        self.rollouts.follow(now, &rollouts);
        if self.term.is_none() || !fleet.is_leading {
            return;
        }
        self.log.follow(&moves);
        self.forget_removed_routes(&config);
        let report = NodeReport {
            nodes_reporting: fleet.nodes,
            nodes_expected: fleet.nodes.saturating_add(fleet.lost_count),
        };
        let is_in_force = fleet.is_in_force();
        let rollout_steps = self.rollouts.decide(now, &rollouts, members, is_in_force);
        for step in rollout_steps {
            self.report_step(&step, &rollouts);
            if let Ok(command) = Command::RolloutStep(step).encode() {
                // A step that is not taken is decided again.
                let _ = self.replica.propose(command).await;
            }
        }
        let steps = self
            .controller
            .decide(now, &moves, config.tables(), members, report);
        let proposals = steps.into_iter().map(|step| propose(&self.replica, step));
        futures::future::join_all(proposals).await;
    }

    /// The configuration, the running moves and the moves that ended of late.
    fn report_step(&self, step: &RolloutStep, rollouts: &BTreeMap<ServiceName, Rollout>) {
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
        self.cx.events.write(Event::RolloutStepped, &fields);
    }

    fn read(&self) -> (Arc<Config>, Vec<Move>) {
        let store = self.store.lock();
        let mut moves: Vec<Move> = store.running_moves().cloned().collect();
        let ended = store.ended_moves().count().saturating_sub(ENDED_MOVES_TOLD);
        moves.extend(store.ended_moves().skip(ended).cloned());
        (store.config().clone(), moves)
    }

    fn measure(&self, moves: &[Move], fleet: &FleetStatus) {
        let metrics = &self.cx.metrics;
        metrics.nodes.set(fleet.nodes.into());
        metrics.nodes_current.set(fleet.current.into());
        let replica = self.replica.traffic();
        metrics
            .control_sent
            .set(self.traffic.sent() + replica.sent());
        metrics
            .control_received
            .set(self.traffic.received() + replica.received());
        metrics.set_moves(moves);
    }

    fn forget_removed_routes(&self, config: &Config) {
        let mut burn = self.burn.lock().unwrap_or_else(PoisonError::into_inner);
        burn.retain(|route| config.tables().routes().contains_key(route));
    }
}

/// Proposes a step. A step that gets no answer is decided anew from the replicated state.
async fn propose(replica: &ReplicaHandle, step: MoveStep) {
    if let Ok(command) = Command::MoveStep(step).encode() {
        let _ = replica.propose(command).await;
    }
}
