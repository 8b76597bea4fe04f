//! Runs [`NodeMachine`] on a node: connects it to its parent, to its children and to the rest of
//! the node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{
    Announcement, Config, CrashReport, Error, Evidence, Map, Members, Peer, Step,
};
use trefoillock_process::BootInstant;
use trefoillock_rpc::{RpcClient, RpcServer, Token, TrafficCounter};

use crate::{
    DownMessage, LinkEnd, LinkId, NodeEffect, NodeIdentity, NodeMachine, ParentAddress,
    ParentEvent, ParentKind, UpMessage,
    child_server::{
        self, CONTROL_PATH, ChildEvent, ChildSenders, EVENT_QUEUE_CAPACITY, RELAY_PATH,
    },
    clock::Clock,
    round_times::{Confirmation, RoundTimes},
};

/// The interval at which the timers of the state machine run.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The capacity of the queue of messages to the parent; messages beyond it are dropped and sent
/// again later.
const LINK_QUEUE_CAPACITY: usize = 64;
/// The capacity of the queue of parent events; events beyond it are dropped.
const PARENT_EVENT_CAPACITY: usize = 64;

/// Evidence that was collected on this node since it was last passed to the agent.
#[derive(Debug, Clone, Default)]
pub struct LocalEvidence {
    /// Counts of call outcomes of moves and service levels.
    pub evidence: Evidence,
    /// Crash reports of the backend servers on the node's VM.
    pub crashes: Vec<CrashReport>,
}

/// The inputs of the distribution from the node.
#[derive(Debug)]
pub struct NodeInputs {
    /// The announcements of the backend servers on the node's VM.
    pub announcements: watch::Receiver<Vec<Announcement>>,
    /// Evidence, as it is collected.
    pub evidence: mpsc::Receiver<LocalEvidence>,
}

/// The outputs of the distribution for the node.
#[derive(Debug)]
pub struct NodeOutputs {
    /// The configuration by which to serve calls; `None` until a live leader has confirmed one.
    pub config: watch::Receiver<Option<Arc<Config>>>,
    /// The member list; empty until a live leader has confirmed one.
    pub members: watch::Receiver<Arc<Members>>,
    /// The last round that a live leader confirmed; it keeps rising while the node can reach a
    /// leader.
    pub confirmed_round: watch::Receiver<u64>,
    /// The last confirmation of a live leader.
    pub confirmation: watch::Receiver<Option<Confirmation>>,
    /// The mesh addresses of all known control replicas.
    pub control: watch::Receiver<Vec<SocketAddr>>,
    /// What happens to the connection to the parent, for the log.
    pub parent_events: mpsc::Receiver<ParentEvent>,
}

struct ParentLink {
    messages: mpsc::Sender<UpMessage>,
    stop: CancellationToken,
}

enum LinkEvent {
    Message(LinkId, Box<DownMessage>),
    Closed(LinkId, LinkEnd),
}

/// Attaches a node to the distribution tree, holds the versions that it receives and relays them to
/// other nodes.
pub struct NodeAgent {
    machine: NodeMachine,
    inputs: NodeInputs,
    config: watch::Sender<Option<Arc<Config>>>,
    members: watch::Sender<Arc<Members>>,
    confirmed_round: watch::Sender<u64>,
    confirmation: watch::Sender<Option<Confirmation>>,
    control: watch::Sender<Vec<SocketAddr>>,
    round_times: RoundTimes,
    parent_events: mpsc::Sender<ParentEvent>,
    token: Token,
    traffic: Arc<TrafficCounter>,
    links: Map<LinkId, ParentLink>,
    link_events_tx: mpsc::Sender<LinkEvent>,
    link_events: mpsc::Receiver<LinkEvent>,
    children: ChildSenders,
    child_events_tx: mpsc::Sender<ChildEvent>,
    child_events: mpsc::Receiver<ChildEvent>,
    clock: Clock,
}

impl NodeAgent {
    /// Creates the agent of a node.
    ///
    /// `control` are the mesh addresses of the control replicas from the settings.
    #[must_use]
    pub fn new(
        identity: NodeIdentity,
        control: Vec<SocketAddr>,
        token: Token,
        traffic: Arc<TrafficCounter>,
        inputs: NodeInputs,
    ) -> (Self, NodeOutputs) {
        let (link_events_tx, link_events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (child_events_tx, child_events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (config_tx, config) = watch::channel(None);
        let (members_tx, members) = watch::channel(Arc::default());
        let (round_tx, confirmed_round) = watch::channel(0);
        let (confirmation_tx, confirmation) = watch::channel(None);
        let (control_tx, control_rx) = watch::channel(control.clone());
        let (parent_events_tx, parent_events) = mpsc::channel(PARENT_EVENT_CAPACITY);
        let rng = Pcg64Mcg::seed_from_u64(rand::random());
        let agent = Self {
            machine: NodeMachine::new(identity, control, rng),
            inputs,
            config: config_tx,
            members: members_tx,
            confirmed_round: round_tx,
            confirmation: confirmation_tx,
            control: control_tx,
            round_times: RoundTimes::default(),
            parent_events: parent_events_tx,
            token,
            traffic,
            links: Map::default(),
            link_events_tx,
            link_events,
            children: ChildSenders::default(),
            child_events_tx,
            child_events,
            clock: Clock::start(),
        };
        (
            agent,
            NodeOutputs {
                config,
                members,
                confirmed_round,
                confirmation,
                control: control_rx,
                parent_events,
            },
        )
    }

    /// Adds the call by which children attach to the handlers of an RPC server.
    #[must_use]
    pub fn add_rpc_handlers(&self, server: RpcServer) -> RpcServer {
        child_server::add_attach_call(server, RELAY_PATH, self.child_events_tx.clone())
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.inputs.announcements.mark_changed();
        loop {
            // Rounds that start in this turn are counted from before it, at most a tick too early.
            let before = BootInstant::now();
            tokio::select! {
                () = stop.cancelled() => break,
                Ok(()) = self.inputs.announcements.changed() => {
                    let announcements = self.inputs.announcements.borrow_and_update().clone();
                    self.machine.set_announcements(&announcements);
                }
                Some(local) = self.inputs.evidence.recv() => {
                    self.machine.add_evidence(&local.evidence, local.crashes);
                }
                Some(event) = self.link_events.recv() => self.on_link_event(event),
                Some(event) = self.child_events.recv() => self.on_child_event(event),
                _ = tick.tick() => self.machine.on_tick(self.clock.now()),
            }
            self.round_times.record(self.machine.round(), before);
            self.run_effects();
            self.report_parent_events();
            self.publish();
        }
        for link in self.links.values() {
            link.stop.cancel();
        }
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        let now = self.clock.now();
        match event {
            LinkEvent::Message(link, message) => {
                self.machine.on_parent_message(now, link, &message);
            }
            LinkEvent::Closed(link, reason) => {
                self.close_link(link);
                self.machine.on_link_closed(now, link, reason);
            }
        }
    }

    fn on_child_event(&mut self, event: ChildEvent) {
        let now = self.clock.now();
        match event {
            ChildEvent::Opened(key, sender) => self.children.open(key, sender),
            ChildEvent::Message(key, message) => {
                self.machine.on_child_message(now, key, &message);
            }
            ChildEvent::Closed(key) => {
                self.children.close(key);
                self.machine.on_child_closed(key);
            }
        }
    }

    fn run_effects(&mut self) {
        for effect in self.machine.take_effects() {
            match effect {
                NodeEffect::OpenLink(link, address) => self.open_link(link, address),
                NodeEffect::SendUp(link, message) => self.send_up(link, message),
                NodeEffect::CloseLink(link) => self.close_link(link),
                NodeEffect::SendDown(key, message) => self.children.send(key, message),
                NodeEffect::CloseChild(key) => self.children.close(key),
            }
        }
    }

    fn open_link(&mut self, link: LinkId, address: ParentAddress) {
        let (tx, rx) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let stop = CancellationToken::new();
        let client = RpcClient::new(address.address, self.token.clone(), self.traffic.clone());
        let events = self.link_events_tx.clone();
        let task_stop = stop.clone();
        tokio::spawn(async move {
            let task = run_link(link, address, client, rx, events);
            task_stop.run_until_cancelled(task).await;
        });
        let messages = tx;
        self.links.insert(link, ParentLink { messages, stop });
    }

    fn send_up(&self, link: LinkId, message: UpMessage) {
        if let Some(link) = self.links.get(&link)
            && link.messages.try_send(message).is_err()
        {
            log::debug!("dropped a message to the parent: its queue is full or closed");
        }
    }

    fn close_link(&mut self, link: LinkId) {
        if let Some(link) = self.links.remove(&link) {
            link.stop.cancel();
        }
    }

    fn report_parent_events(&mut self) {
        for event in self.machine.take_parent_events() {
            if self.parent_events.try_send(event).is_err() {
                log::debug!("dropped a parent event: the queue is full or closed");
            }
        }
    }

    fn publish(&mut self) {
        let round = self.machine.confirmed_round();
        let is_new = self
            .confirmed_round
            .send_if_modified(|last| std::mem::replace(last, round) != round);
        if is_new && let Some(asked_at) = self.round_times.take(round) {
            let version = self.machine.confirmed_config();
            self.confirmation
                .send_replace(Some(Confirmation { asked_at, version }));
        }
        let control = self.machine.control_replicas();
        self.control.send_if_modified(|last| {
            let is_new = last != control;
            if is_new {
                control.clone_into(last);
            }
            is_new
        });
        let config = self.machine.config();
        self.config.send_if_modified(|last| {
            let is_new = last.as_ref().map(|c| c.version()) != config.map(|c| c.version());
            if is_new {
                *last = config.cloned();
            }
            is_new
        });
        let Some(members) = self.machine.members() else {
            return;
        };
        self.members.send_if_modified(|last| {
            let is_new = last.version != members.version;
            if is_new {
                *last = members.clone();
            }
            is_new
        });
    }
}

/// Opens a connection to a parent and forwards its messages as events until it ends.
async fn run_link(
    link: LinkId,
    address: ParentAddress,
    client: RpcClient,
    messages: mpsc::Receiver<UpMessage>,
    events: mpsc::Sender<LinkEvent>,
) {
    let path = match address.kind {
        ParentKind::Control => CONTROL_PATH,
        ParentKind::Relay => RELAY_PATH,
    };
    let opened = client.streaming(path, ReceiverStream::new(messages)).await;
    let reason = match opened {
        Ok(mut answers) => {
            while let Some(Ok(message)) = answers.next().await {
                let event = LinkEvent::Message(link, Box::new(message));
                if events.send(event).await.is_err() {
                    return;
                }
            }
            LinkEnd::Closed
        }
        Err(status) => {
            let address_text = address.address.to_string();
            let peer = match address.kind {
                ParentKind::Control => Peer::Control(address_text),
                ParentKind::Relay => Peer::Node(address_text),
            };
            log::debug!("{}", Error::new(Step::Connect, peer, status));
            LinkEnd::Unreachable
        }
    };
    // The receiver is dropped only when the process stops, so a failed send can be ignored.
    let _ = events.send(LinkEvent::Closed(link, reason)).await;
}
