//! The search for a parent and the supervision of the connection to it, as a state machine.
//!
//! It opens at most one connection to a parent and one probe. A probe asks a control replica for a
//! better parent while the node stays attached to its present one.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{Timestamp, data};

use crate::{
    Backoff, LinkEnd, ParentAddress, ParentEvent,
    timing::{ATTACH_TIMEOUT, CONFIRMATION_TIMEOUT, PROBE_INTERVAL, SILENCE_TIMEOUT},
};

/// The largest number of redirects that are followed without a backoff delay.
const MAX_REDIRECTS: u32 = 6;
/// The largest random jitter added to [`PROBE_INTERVAL`], in milliseconds.
const PROBE_JITTER_MS: u64 = 3_000;
/// The number of retry answers of one peer after which another peer is tried.
const MAX_RETRIES: u32 = 4;

/// Identifies a connection to a parent within one process of the node.
#[data(key)]
pub struct LinkId(u64);

/// An action on connections that the caller must carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection and send the full state.
    Open {
        /// The identifier of the new connection.
        link: LinkId,
        /// The address to connect to.
        address: ParentAddress,
        /// Whether the connection is a probe, which only asks for a better parent.
        is_probe: bool,
    },
    /// Close a connection.
    Close(LinkId),
}

#[derive(Debug, Clone, Copy)]
struct Link {
    id: LinkId,
    address: ParentAddress,
    last_received: Timestamp,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Waiting { until: Timestamp },
    Opening(Link),
    Attached(Link),
}

/// Attaches the node to a parent, and to another one when the parent falls silent or has lost its
/// own path to the leader.
#[derive(Debug)]
pub struct Uplink {
    /// The control replicas from the settings.
    seeds: Vec<SocketAddr>,
    /// The control replicas that the leader listed last.
    learned: Vec<SocketAddr>,
    /// The learned replicas followed by the remaining seeds, without duplicates.
    control: Vec<SocketAddr>,
    alternates: Vec<SocketAddr>,
    phase: Phase,
    probe: Option<Link>,
    next_probe: Timestamp,
    last_confirmed: Timestamp,
    /// The address to try next, if a peer named it; otherwise the candidates are tried in turn.
    target: Option<ParentAddress>,
    avoid: Option<SocketAddr>,
    /// A running index into the candidates, which are the control replicas and the alternates.
    next_candidate: usize,
    redirects: u32,
    retries: u32,
    backoff: Backoff,
    last_link_number: u64,
    actions: Vec<LinkAction>,
    /// The start of the present search for a parent; `None` while attached.
    searching_since: Option<Timestamp>,
    events: Vec<ParentEvent>,
}

impl Uplink {
    /// Creates an uplink that first tries a randomly chosen control replica.
    #[must_use]
    pub fn new(control: Vec<SocketAddr>, rng: &mut Pcg64Mcg) -> Self {
        let next_candidate = rng.random_range(0..control.len().max(1));
        Self {
            seeds: control.clone(),
            learned: Vec::new(),
            control,
            alternates: Vec::new(),
            phase: Phase::Waiting {
                until: Timestamp::EPOCH,
            },
            probe: None,
            next_probe: Timestamp::EPOCH,
            last_confirmed: Timestamp::EPOCH,
            target: None,
            avoid: None,
            next_candidate,
            redirects: 0,
            retries: 0,
            backoff: Backoff::default(),
            last_link_number: 0,
            actions: Vec::new(),
            searching_since: None,
            events: Vec::new(),
        }
    }

    /// Runs the timers: opens a due connection, gives up a silent parent, and starts a due probe.
    pub fn on_tick(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) {
        match self.phase {
            Phase::Waiting { until } if until <= now => self.open(now),
            Phase::Opening(link) if now.since(link.last_received) >= ATTACH_TIMEOUT => {
                self.on_failure(now, link, LinkEnd::Silent, rng);
            }
            Phase::Attached(link) if now.since(link.last_received) >= SILENCE_TIMEOUT => {
                self.on_failure(now, link, LinkEnd::Silent, rng);
            }
            Phase::Attached(_) => self.check_probe(now, rng),
            Phase::Waiting { .. } | Phase::Opening(_) => {}
        }
    }

    fn open(&mut self, now: Timestamp) {
        let Some(address) = self.target.take().or_else(|| self.next_address()) else {
            return;
        };
        self.searching_since.get_or_insert(now);
        let link = self.new_link(now, address, false);
        self.phase = Phase::Opening(link);
    }

    /// Returns the next address to try: the control replicas in turn, and the alternates as well
    /// once there were more failed attempts than replicas.
    fn next_address(&mut self) -> Option<ParentAddress> {
        let is_control_unreachable = self.backoff.attempts() as usize > self.control.len();
        let alternates = if is_control_unreachable {
            self.alternates.len()
        } else {
            0
        };
        let count = self.control.len() + alternates;
        let index = self.next_candidate % count.max(1);
        self.next_candidate = self.next_candidate.wrapping_add(1);
        let alternate_index = index.checked_sub(self.control.len());
        match alternate_index {
            None => self.control.get(index).copied().map(ParentAddress::control),
            Some(index) => self
                .alternates
                .get(index)
                .copied()
                .map(ParentAddress::relay),
        }
    }

    fn new_link(&mut self, now: Timestamp, address: ParentAddress, is_probe: bool) -> Link {
        self.last_link_number += 1;
        let id = LinkId(self.last_link_number);
        self.actions.push(LinkAction::Open {
            link: id,
            address,
            is_probe,
        });
        Link {
            id,
            address,
            last_received: now,
        }
    }

    fn on_failure(&mut self, now: Timestamp, link: Link, reason: LinkEnd, rng: &mut Pcg64Mcg) {
        self.leave(now, link, reason);
        self.stop_probe();
        self.avoid_failed_relay(link);
        self.redirects = 0;
        let delay = self.backoff.next_delay(rng);
        self.schedule_open(now, delay);
    }

    /// Closes the connection to the present or attempted parent.
    fn leave(&mut self, now: Timestamp, link: Link, reason: LinkEnd) {
        self.actions.push(LinkAction::Close(link.id));
        let parent = link.address;
        self.events.push(if self.attached() == Some(link.id) {
            self.searching_since = Some(now);
            ParentEvent::Lost {
                parent,
                reason,
                unconfirmed: now.since(self.last_confirmed),
            }
        } else {
            ParentEvent::AttemptFailed { parent, reason }
        });
    }

    fn avoid_failed_relay(&mut self, link: Link) {
        if link.address.is_relay() {
            self.avoid = Some(link.address.address);
        }
    }

    fn schedule_open(&mut self, now: Timestamp, delay: Duration) {
        self.phase = Phase::Waiting { until: now + delay };
    }

    /// Starts a probe for a better parent when the present one has not delivered a confirmation
    /// of the leader for [`CONFIRMATION_TIMEOUT`].
    fn check_probe(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) {
        if let Some(link) = self.probe {
            if now.since(link.last_received) >= ATTACH_TIMEOUT {
                self.stop_probe();
            }
            return;
        }
        let is_cut_off = now.since(self.last_confirmed) >= CONFIRMATION_TIMEOUT;
        if !is_cut_off || now < self.next_probe || self.control.is_empty() {
            return;
        }
        let jitter = rng.random_range(0..=PROBE_JITTER_MS);
        self.next_probe = now + PROBE_INTERVAL + Duration::from_millis(jitter);
        let index = self.next_candidate % self.control.len();
        self.next_candidate = self.next_candidate.wrapping_add(1);
        if let Some(address) = self.control.get(index).copied() {
            let address = ParentAddress::control(address);
            self.probe = Some(self.new_link(now, address, true));
        }
    }

    fn stop_probe(&mut self) {
        if let Some(link) = self.probe.take() {
            self.actions.push(LinkAction::Close(link.id));
        }
    }

    /// Handles a parent's acceptance of this node.
    pub fn on_welcome(&mut self, now: Timestamp, id: LinkId) {
        if let Phase::Opening(link) = self.phase
            && link.id == id
        {
            self.phase = Phase::Attached(Link {
                last_received: now,
                ..link
            });
            self.last_confirmed = now;
            let searching_since = self.searching_since.take();
            self.events.push(ParentEvent::Attached {
                parent: link.address,
                unattached: now.since(searching_since.unwrap_or(now)),
            });
            self.redirects = 0;
            self.retries = 0;
            self.backoff.reset();
        }
    }

    /// Handles a redirect: connects to the given parent, or backs off after too many redirects.
    pub fn on_redirect(
        &mut self,
        now: Timestamp,
        id: LinkId,
        to: ParentAddress,
        rng: &mut Pcg64Mcg,
    ) {
        if let Some(probe) = self.probe.filter(|probe| probe.id == id) {
            self.stop_probe();
            self.on_probe_redirect(now, probe, to);
            return;
        }
        let Some(link) = self.current().filter(|link| link.id == id) else {
            return;
        };
        self.redirects += 1;
        let is_loop = self.redirects > MAX_REDIRECTS || to == link.address;
        if is_loop {
            self.leave(now, link, LinkEnd::RedirectLoop);
            self.redirects = 0;
            let delay = self.backoff.next_delay(rng);
            self.schedule_open(now, delay);
            return;
        }
        self.leave(now, link, LinkEnd::Redirected);
        self.target = Some(to);
        self.schedule_open(now, Duration::ZERO);
    }

    /// Sends the probe on to the leader, or attaches to the parent that the leader chose.
    fn on_probe_redirect(&mut self, now: Timestamp, probe: Link, to: ParentAddress) {
        let Phase::Attached(link) = self.phase else {
            return;
        };
        let is_to_leader = !to.is_relay() && to != probe.address;
        if is_to_leader && self.redirects < MAX_REDIRECTS {
            self.redirects += 1;
            self.probe = Some(self.new_link(now, to, true));
        } else if to != link.address {
            self.redirects = 0;
            self.avoid_failed_relay(link);
            self.leave(now, link, LinkEnd::BetterParent);
            self.target = Some(to);
            self.schedule_open(now, Duration::ZERO);
        }
    }

    /// Handles a retry answer: waits for the given time plus up to a quarter of it as jitter, so
    /// that many nodes that were rejected together do not return together.
    pub fn on_retry(&mut self, now: Timestamp, id: LinkId, after: Duration, rng: &mut Pcg64Mcg) {
        if self.probe.is_some_and(|probe| probe.id == id) {
            self.stop_probe();
            return;
        }
        let Some(link) = self.current().filter(|link| link.id == id) else {
            return;
        };
        self.leave(now, link, LinkEnd::Retry);
        let max_jitter_ms = u64::try_from(after.as_millis() / 4).unwrap_or(u64::MAX);
        let jitter = Duration::from_millis(rng.random_range(0..=max_jitter_ms));
        self.retries += 1;
        self.target = (self.retries < MAX_RETRIES).then_some(link.address);
        if self.target.is_none() {
            self.retries = 0;
            self.avoid_failed_relay(link);
        }
        self.redirects = 0;
        self.schedule_open(now, after + jitter);
    }

    /// Records a message of the parent; `is_confirmed` tells whether it confirmed a new round.
    pub fn on_parent_message(&mut self, now: Timestamp, id: LinkId, is_confirmed: bool) {
        if let Phase::Attached(link) = &mut self.phase
            && link.id == id
        {
            link.last_received = now;
            if is_confirmed {
                self.last_confirmed = now;
            }
        }
    }

    /// Leaves a parent whose path to the leader leads through this node.
    pub fn on_routing_loop(&mut self, now: Timestamp, id: LinkId, rng: &mut Pcg64Mcg) {
        self.alternates.clear();
        self.on_ended(now, id, LinkEnd::RoutingLoop, rng);
    }

    /// Handles the end of a connection.
    pub fn on_closed(&mut self, now: Timestamp, id: LinkId, rng: &mut Pcg64Mcg) {
        self.on_ended(now, id, LinkEnd::Closed, rng);
    }

    fn on_ended(&mut self, now: Timestamp, id: LinkId, reason: LinkEnd, rng: &mut Pcg64Mcg) {
        if self.probe.is_some_and(|probe| probe.id == id) {
            self.probe = None;
        } else if let Some(link) = self.current().filter(|link| link.id == id) {
            self.on_failure(now, link, reason, rng);
        }
    }

    /// Sets the relays to try when no control replica answers.
    pub fn set_alternates(&mut self, alternates: &[SocketAddr]) {
        self.alternates.clear();
        self.alternates.extend_from_slice(alternates);
    }

    /// Sets the control replicas that the leader listed; those from the settings are kept too.
    pub fn set_learned_control(&mut self, learned: &[SocketAddr]) {
        if !learned.is_empty() && learned != self.learned {
            self.learned = learned.to_vec();
            self.rebuild_control();
        }
    }

    /// Replaces the control replicas from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.rebuild_control();
    }

    fn rebuild_control(&mut self) {
        self.control.clone_from(&self.learned);
        let missing = self
            .seeds
            .iter()
            .filter(|seed| !self.learned.contains(seed));
        self.control.extend(missing);
    }

    /// Returns the control replicas that the leader listed last.
    #[must_use]
    pub fn learned_control(&self) -> &[SocketAddr] {
        &self.learned
    }

    /// Returns the connection to the parent that accepted this node, if it is attached.
    #[must_use]
    pub const fn attached(&self) -> Option<LinkId> {
        match self.phase {
            Phase::Attached(link) => Some(link.id),
            Phase::Waiting { .. } | Phase::Opening(_) => None,
        }
    }

    /// Returns the address of the present or attempted parent, if it is a relay.
    #[must_use]
    pub fn parent_relay(&self) -> Option<SocketAddr> {
        let link = self.current()?;
        link.address.is_relay().then_some(link.address.address)
    }

    /// Returns the relay on which an attachment failed last; it should not be chosen again.
    #[must_use]
    pub const fn avoid(&self) -> Option<SocketAddr> {
        self.avoid
    }

    /// Removes and returns the pending actions on connections, in order.
    pub fn take_actions(&mut self) -> Vec<LinkAction> {
        std::mem::take(&mut self.actions)
    }

    /// Removes and returns what happened to the connections to parents, in order.
    pub fn take_events(&mut self) -> Vec<ParentEvent> {
        std::mem::take(&mut self.events)
    }

    const fn current(&self) -> Option<Link> {
        match self.phase {
            Phase::Opening(link) | Phase::Attached(link) => Some(link),
            Phase::Waiting { .. } => None,
        }
    }
}
