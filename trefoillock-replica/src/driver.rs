//! The task that runs a [`Replica`]: it passes inputs to it and executes its effects.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Interval, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{LogIndex, ReplicaId, Timestamp};
use trefoillock_process::BootInstant;

use crate::{
    BatchId, ChangeError, Content, Effect, Entry, Envelope, FolderError, MembershipChange, Payload,
    Position, ProposeError, ProposeRefusal, ReadError, ReadId, Replica, ReplicaSettings,
    ReplicaStatus, Snapshot, StateMachine,
    disk_thread::DiskThread,
    monotonic_clock::MonotonicClock,
    peers::Peers,
    waiters::{ChangeAnswer, ProposeAnswer, Waiter, Waiters},
};

#[cfg(test)]
mod tests;

/// The maximum number of commands or messages that are processed before their effects are executed.
const MAX_BATCHED_INPUTS: usize = 256;
/// The number of ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 5;

/// A request from a handle, with the channel for its answer.
#[derive(Debug)]
pub(crate) enum Command {
    Propose(Vec<u8>, oneshot::Sender<ProposeAnswer>),
    Change(MembershipChange, oneshot::Sender<ChangeAnswer>),
    Read(oneshot::Sender<Result<LogIndex, ReadError>>),
}

/// The channels from which the task receives its inputs.
#[derive(Debug)]
pub(crate) struct Inputs {
    pub(crate) commands: mpsc::Receiver<Command>,
    pub(crate) inbox: mpsc::Receiver<Envelope>,
    pub(crate) synced: mpsc::UnboundedReceiver<Result<BatchId, FolderError>>,
}

/// The state of the task.
pub(crate) struct Driver {
    pub(crate) settings: ReplicaSettings,
    pub(crate) replica: Replica,
    pub(crate) state_machine: Box<dyn StateMachine>,
    pub(crate) clock: MonotonicClock,
    pub(crate) disk: DiskThread,
    pub(crate) peers: Peers,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) lease: watch::Sender<Option<BootInstant>>,
    pub(crate) waiters: Waiters,
    pub(crate) reads: BTreeMap<ReadId, oneshot::Sender<Result<LogIndex, ReadError>>>,
    pub(crate) last_read_id: u64,
    /// The address in the last message of each replica, used for those that are not members.
    pub(crate) addresses: BTreeMap<ReplicaId, SocketAddr>,
    /// The time of the last message of each replica.
    pub(crate) last_heard: Arc<Mutex<BTreeMap<ReplicaId, Instant>>>,
}

impl Driver {
    /// Runs until `stop` is cancelled or the replica fails, then waits for the disk thread to end.
    pub(crate) async fn run(mut self, mut inputs: Inputs, stop: CancellationToken) {
        if let Err(failure) = self.run_loop(&mut inputs, &stop).await {
            let failure = Some(Arc::from(failure));
            self.status.send_modify(|status| status.failure = failure);
        }
        let Self { disk, status, .. } = self;
        drop(disk);
        while inputs.synced.recv().await.is_some() {}
        drop(status);
    }

    async fn run_loop(
        &mut self,
        inputs: &mut Inputs,
        stop: &CancellationToken,
    ) -> Result<(), String> {
        let mut ticks = self.tick_interval();
        let mut commands = Vec::with_capacity(MAX_BATCHED_INPUTS);
        let mut messages = Vec::with_capacity(MAX_BATCHED_INPUTS);
        self.execute_effects()?;
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = ticks.tick() => self.tick(),
                result = inputs.synced.recv() => {
                    let result = result.ok_or("the disk thread has ended")?;
                    let batch = result.map_err(|error| error.to_string())?;
                    let now = self.read_clock();
                    self.replica.report_synced(now, batch);
                }
                count = inputs.inbox.recv_many(&mut messages, MAX_BATCHED_INPUTS) => {
                    if count == 0 {
                        return Ok(());
                    }
                    messages.drain(..).for_each(|envelope| self.receive(envelope));
                }
                count = inputs.commands.recv_many(&mut commands, MAX_BATCHED_INPUTS) => {
                    if count == 0 {
                        return Ok(());
                    }
                    commands.drain(..).for_each(|command| self.handle_command(command));
                }
            }
            self.execute_effects()?;
            self.publish_status();
        }
    }

    fn tick_interval(&self) -> Interval {
        let heartbeat = self.settings.timing.heartbeat;
        let period = (heartbeat / TICKS_PER_HEARTBEAT).max(Duration::from_millis(1));
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks
    }

    /// Returns the present time. If the VM was suspended since the last input, the replica gives up
    /// its lease before it handles the next one.
    fn read_clock(&mut self) -> Timestamp {
        if self.clock.detect_jump() {
            self.replica.report_clock_jump();
        }
        self.clock.now()
    }

    fn tick(&mut self) {
        let now = self.read_clock();
        self.replica.tick(now);
        self.waiters.answer_expired(now);
        self.reads.retain(|_, waiting| !waiting.is_closed());
    }

    fn receive(&mut self, envelope: Envelope) {
        let is_addressed_here =
            envelope.system == self.settings.system && envelope.to == self.settings.id;
        let from = envelope.from;
        if !is_addressed_here || from.id == self.settings.id {
            return;
        }
        self.addresses.insert(from.id, envelope.address);
        let mut last_heard = self
            .last_heard
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_heard.insert(from.id, Instant::now());
        drop(last_heard);
        let now = self.read_clock();
        self.replica.receive(now, from, envelope.message);
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.read_clock();
        let deadline = now + self.settings.answer_timeout;
        match command {
            Command::Propose(bytes, answer) => {
                match self.replica.propose(now, Payload::from(bytes)) {
                    Ok(position) => {
                        let waiter = Waiter::Proposal(answer);
                        self.waiters.insert(position, deadline, waiter);
                    }
                    Err(refusal) => drop(answer.send(Err(self.propose_error(refusal)))),
                }
            }
            Command::Change(change, answer) => match self.replica.change_members(now, &change) {
                Ok(position) => {
                    let waiter = Waiter::Change(answer);
                    self.waiters.insert(position, deadline, waiter);
                }
                Err(error) => drop(answer.send(Err(error))),
            },
            Command::Read(answer) => {
                self.last_read_id += 1;
                let id = ReadId::new(self.last_read_id);
                self.reads.insert(id, answer);
                self.replica.read(now, id);
            }
        }
    }

    fn propose_error(&self, refusal: ProposeRefusal) -> ProposeError {
        match refusal {
            ProposeRefusal::NotLeader => ProposeError::NotLeader {
                leader: self.other_leader(),
            },
            ProposeRefusal::TooLarge => ProposeError::TooLarge,
            ProposeRefusal::Busy => ProposeError::Busy,
        }
    }

    /// Returns the leader and its address; `None` if this replica leads or no leader is known.
    fn other_leader(&self) -> Option<(ReplicaId, SocketAddr)> {
        let leader = self.replica.leader().filter(|&id| id != self.settings.id)?;
        Some((leader, self.address_of(leader)?))
    }

    fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let member = self.replica.membership().get(id);
        member
            .map(|member| member.address)
            .or_else(|| self.addresses.get(&id).copied())
    }

    /// Executes effects until the replica returns none.
    fn execute_effects(&mut self) -> Result<(), String> {
        loop {
            let effects = self.replica.take_effects();
            if effects.is_empty() {
                return Ok(());
            }
            for effect in effects {
                self.execute_effect(effect)?;
            }
        }
    }

    fn execute_effect(&mut self, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Write { batch, writes } => self.disk.write(batch, writes),
            Effect::Send { to, message } => {
                if let Some(address) = self.address_of(to) {
                    let envelope = Envelope {
                        system: self.settings.system.clone(),
                        from: self.replica.identity(),
                        address: self.settings.address,
                        to,
                        message,
                    };
                    self.peers.send(address, envelope);
                }
            }
            Effect::Apply(entries) => entries.iter().for_each(|entry| self.apply(entry)),
            Effect::Restore(snapshot) => self.restore(&snapshot)?,
            Effect::TakeSnapshot { position } => self.take_snapshot(position),
            Effect::ReadReady(id) => self.answer_read(id, Ok(self.replica.applied())),
            Effect::ReadFailed(id) => {
                let leader = self.other_leader();
                self.answer_read(id, Err(ReadError::NotLeader { leader }));
            }
            Effect::Halt { reason } => return Err(reason),
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) {
        let Position { term, index } = entry.position;
        let answer = match &entry.content {
            Content::Command(command) => self.state_machine.apply(index, term, command.as_slice()),
            Content::Blank | Content::Members(_) => Vec::new(),
        };
        self.waiters.answer_applied(entry.position, answer);
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), String> {
        self.waiters.answer_restored(snapshot.position.index);
        let bytes = snapshot.data.as_slice();
        let restored = self.state_machine.restore(bytes);
        restored.map_err(|error| format!("the snapshot cannot be restored: {error}"))
    }

    fn take_snapshot(&mut self, position: Position) {
        let data = Payload::from(self.state_machine.snapshot());
        self.replica
            .record_snapshot(self.clock.now(), position, data);
    }

    fn answer_read(&mut self, id: ReadId, answer: Result<LogIndex, ReadError>) {
        if let Some(waiting) = self.reads.remove(&id) {
            let _ = waiting.send(answer);
        }
    }

    fn publish_status(&self) {
        let status = ReplicaStatus::from_replica(&self.replica);
        // The instant is read before the clock, so the published lease never ends later than the
        // real one.
        let instant = BootInstant::now();
        let now = self.clock.now();
        let lease = status.lease_until.map(|until| instant + until.since(now));
        self.lease.send_replace(lease);
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }
}

impl From<oneshot::error::RecvError> for ProposeError {
    fn from(_: oneshot::error::RecvError) -> Self {
        Self::Unknown
    }
}

impl From<oneshot::error::RecvError> for ChangeError {
    fn from(_: oneshot::error::RecvError) -> Self {
        Self::Unknown
    }
}
