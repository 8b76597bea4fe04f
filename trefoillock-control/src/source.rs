//! The part of a control replica that nodes attach to.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{CrashReport, Evidence, Fingerprint, Guard, Members, Timestamp};
use trefoillock_rpc::RpcServer;

use crate::{
    FleetStatus, SourceEffect, SourceMachine, SourceState,
    child_server::{self, CONTROL_PATH, ChildEvent, ChildSenders, EVENT_QUEUE},
    clock::Clock,
};

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(25);
/// The time between two publications of status, guards and evidence.
const OUTPUT_INTERVAL: Duration = Duration::from_millis(200);
/// The number of sums of evidence that wait to be taken.
const EVIDENCE_QUEUE: usize = 64;
/// The number of crash reports that wait to be taken.
const CRASH_QUEUE: usize = 1_024;

/// What the distribution is told by the control replica.
#[derive(Debug)]
pub struct SourceInputs {
    /// Role and configuration.
    pub state: watch::Receiver<SourceState>,
    /// Requests that nodes shall refuse, with the time until which they do.
    pub quarantined: watch::Receiver<BTreeMap<Fingerprint, Timestamp>>,
}

/// What the distribution tells the control replica. Only that of the leader is current.
#[derive(Debug)]
pub struct SourceOutputs {
    /// The list of members as published.
    pub members: watch::Receiver<Arc<Members>>,
    /// Who serves what.
    pub status: watch::Receiver<FleetStatus>,
    /// The nodes that can guard idempotency keys; empty while a new leader has not heard enough.
    pub guards: watch::Receiver<Arc<Vec<Guard>>>,
    /// Evidence, each count at most once.
    pub evidence: mpsc::Receiver<Evidence>,
    /// Crash reports, each once for a leader.
    pub crashes: mpsc::Receiver<CrashReport>,
}

struct Senders {
    members: watch::Sender<Arc<Members>>,
    status: watch::Sender<FleetStatus>,
    guards: watch::Sender<Arc<Vec<Guard>>>,
    evidence: mpsc::Sender<Evidence>,
    crashes: mpsc::Sender<CrashReport>,
}

/// Serves nodes on a control replica while it leads, and sends them to the leader otherwise.
pub struct DistributionSource {
    machine: SourceMachine,
    inputs: SourceInputs,
    senders: Senders,
    children: ChildSenders,
    events_tx: mpsc::Sender<ChildEvent>,
    events: mpsc::Receiver<ChildEvent>,
    clock: Clock,
}

impl DistributionSource {
    /// Creates the source of a control replica that nodes reach at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, inputs: SourceInputs) -> (Self, SourceOutputs) {
        let (events_tx, events) = mpsc::channel(EVENT_QUEUE);
        let (members_tx, members) = watch::channel(Arc::default());
        let (status_tx, status) = watch::channel(FleetStatus::default());
        let (guards_tx, guards) = watch::channel(Arc::default());
        let (evidence_tx, evidence) = mpsc::channel(EVIDENCE_QUEUE);
        let (crashes_tx, crashes) = mpsc::channel(CRASH_QUEUE);
        let source = Self {
            machine: SourceMachine::new(address),
            inputs,
            senders: Senders {
                members: members_tx,
                status: status_tx,
                guards: guards_tx,
                evidence: evidence_tx,
                crashes: crashes_tx,
            },
            children: ChildSenders::default(),
            events_tx,
            events,
            clock: Clock::start(),
        };
        let outputs = SourceOutputs {
            members,
            status,
            guards,
            evidence,
            crashes,
        };
        (source, outputs)
    }

    /// Adds the calls of nodes to the handlers of a listening socket.
    #[must_use]
    pub fn rpc_routes(&self, server: RpcServer) -> RpcServer {
        child_server::add_route(server, CONTROL_PATH, self.events_tx.clone())
    }

    /// Serves nodes until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_output = Timestamp::EPOCH;
        self.inputs.state.mark_changed();
        self.inputs.quarantined.mark_changed();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Ok(()) = self.inputs.state.changed() => {
                    let state = self.inputs.state.borrow_and_update().clone();
                    self.machine.set_state(self.clock.now(), &state);
                }
                Ok(()) = self.inputs.quarantined.changed() => {
                    let quarantined = self.inputs.quarantined.borrow_and_update().clone();
                    self.machine.set_quarantined(quarantined);
                }
                Some(event) = self.events.recv() => self.on_event(event),
                _ = tick.tick() => {
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

    fn on_event(&mut self, event: ChildEvent) {
        let now = self.clock.now();
        match event {
            ChildEvent::Opened(key, sender) => self.children.open(key, sender),
            ChildEvent::Message(key, message) => self.machine.on_message(now, key, &message),
            ChildEvent::Closed(key) => {
                self.children.close(key);
                self.machine.on_closed(now, key);
            }
        }
    }

    fn run_effects(&mut self) {
        for effect in self.machine.take_effects() {
            match effect {
                SourceEffect::Send(key, message) => self.children.send(key, message),
                SourceEffect::Close(key) => self.children.close(key),
            }
        }
    }

    fn publish(&mut self) {
        let senders = &self.senders;
        let members = self.machine.members();
        senders.members.send_if_modified(|held| {
            let is_new = held.version != members.version;
            if is_new {
                *held = members.clone();
            }
            is_new
        });
        replace(&senders.status, self.machine.status());
        replace(&senders.guards, Arc::new(self.machine.guards()));
        if let Ok(permit) = senders.evidence.try_reserve() {
            let evidence = self.machine.take_evidence();
            if !evidence.is_empty() {
                permit.send(evidence);
            }
        }
        for crash in self.machine.take_crashes() {
            if senders.crashes.try_send(crash).is_err() {
                log::debug!("a crash report was dropped");
            }
        }
    }
}

/// Sends a value if it differs from the one before.
fn replace<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|held| {
        let is_new = *held != value;
        if is_new {
            *held = value;
        }
        is_new
    });
}
