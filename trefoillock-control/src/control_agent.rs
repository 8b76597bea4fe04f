//! Runs [`ControlMachine`] on a control replica: connects it to the sockets, to the replica's state
//! and to the receivers of its outputs.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{
    CrashReport, DrainedRuns, Evidence, Fingerprint, Guard, Members, Timestamp,
};
use trefoillock_process::BootInstant;
use trefoillock_rpc::RpcServer;

use crate::{
    ControlEffect, ControlMachine, ControlState, FleetStatus,
    child_server::{self, CONTROL_PATH, ChildEvent, ChildSenders, EVENT_QUEUE_CAPACITY},
    clock::Clock,
};

/// The interval at which the timers of the state machine run.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The interval at which the outputs are published.
const OUTPUT_INTERVAL: Duration = Duration::from_millis(100);
/// The capacity of the queue of evidence; while it is full, evidence is aggregated further.
const EVIDENCE_QUEUE_CAPACITY: usize = 64;
/// The capacity of the queue of crash reports; reports beyond it are dropped.
const CRASH_QUEUE_CAPACITY: usize = 1_024;

/// The inputs of the distribution from the control replica.
#[derive(Debug)]
pub struct ControlInputs {
    /// The role, the configuration and the addresses of the replicas.
    pub state: watch::Receiver<ControlState>,
    /// The end of the lease of the replica; `None` without a lease.
    pub lease: watch::Receiver<Option<BootInstant>>,
    /// The request fingerprints that nodes must refuse, each with the end of its quarantine.
    pub quarantined: watch::Receiver<BTreeMap<Fingerprint, Timestamp>>,
    /// The runs of backend servers whose departure is in the replicated log, as far as the replica
    /// has applied it.
    pub departures: watch::Receiver<Arc<DrainedRuns>>,
}

/// The outputs of the distribution for the control replica. They are current only on the leader.
#[derive(Debug)]
pub struct ControlOutputs {
    /// The last published member list.
    pub members: watch::Receiver<Arc<Members>>,
    /// The status of the fleet.
    pub fleet: watch::Receiver<FleetStatus>,
    /// The nodes that can guard idempotency keys; empty until a new leader has published its first
    /// member list.
    pub guards: watch::Receiver<Arc<Vec<Guard>>>,
    /// Evidence from the nodes; each count is delivered at most once.
    pub evidence: mpsc::Receiver<Evidence>,
    /// Crash reports from the nodes, without duplicates while the same process leads.
    pub crashes: mpsc::Receiver<CrashReport>,
}

struct OutputSenders {
    members: watch::Sender<Arc<Members>>,
    fleet: watch::Sender<FleetStatus>,
    guards: watch::Sender<Arc<Vec<Guard>>>,
    evidence: mpsc::Sender<Evidence>,
    crashes: mpsc::Sender<CrashReport>,
}

/// Serves nodes on a control replica while it leads, and redirects them to the leader otherwise.
pub struct ControlAgent {
    machine: ControlMachine,
    inputs: ControlInputs,
    senders: OutputSenders,
    children: ChildSenders,
    events_tx: mpsc::Sender<ChildEvent>,
    events: mpsc::Receiver<ChildEvent>,
    clock: Clock,
}

impl ControlAgent {
    /// Creates the agent of a control replica that accepts nodes on `address`.
    #[must_use]
    pub fn new(address: SocketAddr, inputs: ControlInputs) -> (Self, ControlOutputs) {
        let (events_tx, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (members_tx, members) = watch::channel(Arc::default());
        let (fleet_tx, fleet) = watch::channel(FleetStatus::default());
        let (guards_tx, guards) = watch::channel(Arc::default());
        let (evidence_tx, evidence) = mpsc::channel(EVIDENCE_QUEUE_CAPACITY);
        let (crashes_tx, crashes) = mpsc::channel(CRASH_QUEUE_CAPACITY);
        let agent = Self {
            machine: ControlMachine::new(address),
            inputs,
            senders: OutputSenders {
                members: members_tx,
                fleet: fleet_tx,
                guards: guards_tx,
                evidence: evidence_tx,
                crashes: crashes_tx,
            },
            children: ChildSenders::default(),
            events_tx,
            events,
            clock: Clock::start(),
        };
        let outputs = ControlOutputs {
            members,
            fleet,
            guards,
            evidence,
            crashes,
        };
        (agent, outputs)
    }

    /// Adds the call by which nodes attach to the handlers of an RPC server.
    #[must_use]
    pub fn add_rpc_handlers(&self, server: RpcServer) -> RpcServer {
        child_server::add_attach_call(server, CONTROL_PATH, self.events_tx.clone())
    }

    /// Serves nodes until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_output = Timestamp::EPOCH;
        self.inputs.state.mark_changed();
        self.inputs.quarantined.mark_changed();
        self.inputs.departures.mark_changed();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Ok(()) = self.inputs.state.changed() => {
                    self.update_lease();
                    let state = self.inputs.state.borrow_and_update().clone();
                    // A new leader must know all departures before it publishes a member list.
                    self.update_departures();
                    self.machine.set_state(self.clock.now(), &state);
                }
                Ok(()) = self.inputs.departures.changed() => self.update_departures(),
                Ok(()) = self.inputs.quarantined.changed() => {
                    let quarantined = self.inputs.quarantined.borrow_and_update().clone();
                    self.machine.set_quarantined(quarantined);
                }
                Some(event) = self.events.recv() => self.on_event(event),
                _ = tick.tick() => {
                    self.update_lease();
                    let now = self.clock.now();
                    self.machine.on_tick(now);
                    if now.since(last_output) >= OUTPUT_INTERVAL {
                        last_output = now;
                        self.publish();
                    }
                }
            }
            self.run_effects();
        }
    }

    /// Compares the end of the lease with the present time. Messages that arrived while the VM was
    /// suspended are handled before the replica notices that it does not lead any more.
    fn update_lease(&mut self) {
        let end = *self.inputs.lease.borrow();
        let holds_lease = end.is_some_and(|end| end > BootInstant::now());
        self.machine.set_lease_held(holds_lease);
    }

    fn update_departures(&mut self) {
        let departures = self.inputs.departures.borrow_and_update().clone();
        self.machine.set_departures(departures);
    }

    fn on_event(&mut self, event: ChildEvent) {
        self.update_lease();
        let now = self.clock.now();
        match event {
            ChildEvent::Opened(key, sender) => self.children.open(key, sender),
            ChildEvent::Message(key, message) => self.machine.on_child_message(now, key, &message),
            ChildEvent::Closed(key) => {
                self.children.close(key);
                self.machine.on_child_closed(now, key);
            }
        }
    }

    fn run_effects(&mut self) {
        for effect in self.machine.take_effects() {
            match effect {
                ControlEffect::Send(key, message) => self.children.send(key, message),
                ControlEffect::Close(key) => self.children.close(key),
            }
        }
    }

    fn publish(&mut self) {
        let senders = &self.senders;
        let members = self.machine.members();
        senders.members.send_if_modified(|last| {
            let is_new = last.version != members.version;
            if is_new {
                *last = members.clone();
            }
            is_new
        });
        send_if_changed(&senders.fleet, self.machine.status());
        send_if_changed(&senders.guards, Arc::new(self.machine.guards()));
        if let Ok(permit) = senders.evidence.try_reserve() {
            let evidence = self.machine.take_evidence();
            if !evidence.is_empty() {
                permit.send(evidence);
            }
        }
        for crash in self.machine.take_crashes() {
            if senders.crashes.try_send(crash).is_err() {
                log::debug!("dropped a crash report: the queue is full or closed");
            }
        }
    }
}

/// Sends a value if it differs from the last one.
fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|last| {
        let is_new = *last != value;
        if is_new {
            *last = value;
        }
        is_new
    });
}
