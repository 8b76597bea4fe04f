//! The search for a parent and the supervision of the connection to it, as a state machine.
//!
//! While it is not attached, the node asks one control replica after another. An attempt that is not
//! answered soon goes on beside the next one, because its answer may only be slow; the first parent
//! that accepts the node wins.
//!
//! While it is attached, the node asks the control replicas for a better parent by probes if its
//! present one has lost the leader. It stays with its parent until a probe names another one.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{Timestamp, data};

use crate::{
    Backoff, LinkEnd, ParentAddress, ParentEvent,
    timing::{ATTACH_TIMEOUT, ATTEMPT_LIFETIME, PARENT_SEARCH_LIMIT, SILENCE_TIMEOUT},
};

mod candidates;
mod probes;

use candidates::Candidates;

/// The largest number of redirects that are followed without a backoff delay.
const MAX_REDIRECTS: u32 = 6;
/// The largest random jitter added to [`PARENT_SEARCH_LIMIT`], in milliseconds. It spreads the
/// probes of the nodes below one relay.
const SEARCH_JITTER_MS: u64 = 200;
/// The number of retry answers of one peer after which another peer is tried.
const MAX_RETRIES: u32 = 4;
/// The largest number of attempts, or of probes, that wait for an answer at the same time.
const MAX_CONCURRENT_LINKS: usize = 3;

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

/// Attaches the node to a parent, and to another one when the parent falls silent or has lost its
/// own path to the leader.
#[derive(Debug)]
pub struct Uplink {
    candidates: Candidates,
    parent: Option<Link>,
    /// The attempts to attach that wait for an answer, oldest first.
    attempts: Vec<Link>,
    /// The connection by which the node sent its full state last.
    last_attempt: Option<LinkId>,
    next_attempt: Timestamp,
    /// The probes that wait for an answer, oldest first.
    probes: Vec<Link>,
    /// The number of control replicas that the present round of probes has asked.
    probed: usize,
    next_probe: Timestamp,
    last_confirmed: Timestamp,
    /// Since when the parent, or a relay above it, has searched for a parent of its own.
    parent_searching_since: Option<Timestamp>,
    /// [`PARENT_SEARCH_LIMIT`] plus the jitter of this node.
    parent_search_limit: Duration,
    /// The address to try next, if a peer named it; otherwise the candidates are tried in turn.
    target: Option<ParentAddress>,
    avoid: Option<SocketAddr>,
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
        let candidates = Candidates::new(control, rng);
        let jitter = Duration::from_millis(rng.random_range(0..=SEARCH_JITTER_MS));
        Self {
            candidates,
            parent: None,
            attempts: Vec::new(),
            last_attempt: None,
            next_attempt: Timestamp::EPOCH,
            probes: Vec::new(),
            probed: 0,
            next_probe: Timestamp::EPOCH,
            last_confirmed: Timestamp::EPOCH,
            parent_searching_since: None,
            parent_search_limit: PARENT_SEARCH_LIMIT + jitter,
            target: None,
            avoid: None,
            redirects: 0,
            retries: 0,
            backoff: Backoff::default(),
            last_link_number: 0,
            actions: Vec::new(),
            searching_since: None,
            events: Vec::new(),
        }
    }

    /// Runs the timers: opens due connections, gives up those that are not answered, and starts due
    /// probes.
    pub fn on_tick(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) {
        match self.parent {
            Some(link) if now.since(link.last_received) >= SILENCE_TIMEOUT => {
                self.on_failure(now, link.id, LinkEnd::Silent, rng);
            }
            Some(link) => self.check_probes(now, link, rng),
            None => {
                self.expire_attempts(now, rng);
                self.open_due_attempt(now);
            }
        }
    }

    fn expire_attempts(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) {
        let is_expired = |link: &Link| now.since(link.last_received) >= ATTEMPT_LIFETIME;
        while let Some(link) = self.attempts.iter().copied().find(is_expired) {
            self.on_failure(now, link.id, LinkEnd::Silent, rng);
        }
    }

    fn open_due_attempt(&mut self, now: Timestamp) {
        if now < self.next_attempt || self.attempts.len() >= self.max_attempts() {
            return;
        }
        let Some(address) = self.target.take().or_else(|| self.next_address()) else {
            return;
        };
        if let Some(slow) = self.attempts.last().copied() {
            self.avoid_relay(slow);
        }
        self.searching_since.get_or_insert(now);
        self.next_attempt = now + ATTACH_TIMEOUT;
        let link = self.new_link(now, address, false);
        self.last_attempt = Some(link.id);
        self.attempts.push(link);
    }

    /// Returns the number of attempts that may wait for an answer: only one once each control
    /// replica was tried in vain, so that an outage causes little load.
    fn max_attempts(&self) -> usize {
        if self.has_tried_all_replicas() {
            1
        } else {
            MAX_CONCURRENT_LINKS
        }
    }

    fn has_tried_all_replicas(&self) -> bool {
        self.backoff.attempts() as usize > self.candidates.control_count()
    }

    /// Returns the next address to try: the control replicas in turn, and the alternates as well
    /// once there were more failed attempts than replicas.
    fn next_address(&mut self) -> Option<ParentAddress> {
        let includes_alternates = self.has_tried_all_replicas();
        let attempts = &self.attempts;
        let is_asked = |address| attempts.iter().any(|link| link.address == address);
        if includes_alternates {
            self.candidates.next_control_or_alternate(is_asked)
        } else {
            self.candidates.next_control(is_asked)
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

    /// Ends the attachment or an attempt, and schedules the next attempt after a backoff delay.
    fn on_failure(&mut self, now: Timestamp, id: LinkId, reason: LinkEnd, rng: &mut Pcg64Mcg) {
        let was_attached = self.attached() == Some(id);
        let Some(link) = self.end_link(now, id, reason) else {
            return;
        };
        self.avoid_relay(link);
        if was_attached && !link.address.is_relay() {
            self.candidates.set_lost(Some(link.address.address));
        }
        self.redirects = 0;
        let peers = self.candidates.control_count();
        let due = now + self.backoff.next_delay(peers, rng);
        self.next_attempt = if self.attempts.is_empty() {
            due
        } else {
            self.next_attempt.min(due)
        };
    }

    /// Removes and closes the connection to the parent or that of an attempt, and returns it.
    fn end_link(&mut self, now: Timestamp, id: LinkId, reason: LinkEnd) -> Option<Link> {
        if let Some(link) = self.parent.take_if(|link| link.id == id) {
            self.stop_probes();
            self.parent_searching_since = None;
            self.searching_since = Some(now);
            self.events.push(ParentEvent::Lost {
                parent: link.address,
                reason,
                unconfirmed: now.since(self.last_confirmed),
            });
            self.actions.push(LinkAction::Close(id));
            return Some(link);
        }
        let index = self.attempts.iter().position(|link| link.id == id)?;
        let link = self.attempts.remove(index);
        self.events.push(ParentEvent::AttemptFailed {
            parent: link.address,
            reason,
        });
        self.actions.push(LinkAction::Close(id));
        Some(link)
    }

    fn avoid_relay(&mut self, link: Link) {
        if link.address.is_relay() {
            self.avoid = Some(link.address.address);
        }
    }

    /// Handles a parent's acceptance of this node. Returns whether the parent must be sent the full
    /// state anew, because it was sent to another peer after this one.
    #[must_use]
    pub fn on_welcome(&mut self, now: Timestamp, id: LinkId) -> bool {
        let Some(index) = self.attempts.iter().position(|link| link.id == id) else {
            return false;
        };
        let link = Link {
            last_received: now,
            ..self.attempts.remove(index)
        };
        while let Some(other) = self.attempts.last().copied() {
            self.end_link(now, other.id, LinkEnd::OtherAttached);
        }
        self.parent = Some(link);
        self.last_confirmed = now;
        self.next_probe = now;
        let searching_since = self.searching_since.take();
        self.events.push(ParentEvent::Attached {
            parent: link.address,
            unattached: now.since(searching_since.unwrap_or(now)),
        });
        self.candidates.set_lost(None);
        self.target = None;
        self.redirects = 0;
        self.retries = 0;
        self.backoff.reset();
        self.last_attempt != Some(id)
    }

    /// Handles a redirect: connects to the given parent, or backs off after too many redirects.
    pub fn on_redirect(
        &mut self,
        now: Timestamp,
        id: LinkId,
        to: ParentAddress,
        rng: &mut Pcg64Mcg,
    ) {
        if let Some(probe) = self.end_probe(id) {
            self.on_probe_redirect(now, probe, to);
            return;
        }
        let Some(link) = self.link(id) else {
            return;
        };
        self.redirects += 1;
        if self.redirects > MAX_REDIRECTS || to == link.address {
            self.on_failure(now, id, LinkEnd::RedirectLoop, rng);
            return;
        }
        self.end_link(now, id, LinkEnd::Redirected);
        if self.attempts.iter().all(|link| link.address != to) {
            self.target = Some(to);
            self.next_attempt = now;
        }
    }

    /// Handles a retry answer: waits for the given time plus up to a quarter of it as jitter, so
    /// that many nodes that were rejected together do not return together.
    pub fn on_retry(&mut self, now: Timestamp, id: LinkId, after: Duration, rng: &mut Pcg64Mcg) {
        if self.end_probe(id).is_some() {
            return;
        }
        let Some(link) = self.end_link(now, id, LinkEnd::Retry) else {
            return;
        };
        let max_jitter_ms = u64::try_from(after.as_millis() / 4).unwrap_or(u64::MAX);
        let jitter = Duration::from_millis(rng.random_range(0..=max_jitter_ms));
        self.retries += 1;
        self.target = (self.retries < MAX_RETRIES).then_some(link.address);
        if self.target.is_none() {
            self.retries = 0;
            self.avoid_relay(link);
        }
        self.redirects = 0;
        self.next_attempt = now + after + jitter;
    }

    /// Records a message of the parent; `is_confirmed` tells whether it confirmed a new round.
    pub fn on_parent_message(&mut self, now: Timestamp, id: LinkId, is_confirmed: bool) {
        if let Some(link) = self.parent.as_mut().filter(|link| link.id == id) {
            link.last_received = now;
            if is_confirmed {
                self.last_confirmed = now;
            }
        }
    }

    /// Leaves a parent whose path to the leader leads through this node.
    pub fn on_routing_loop(&mut self, now: Timestamp, id: LinkId, rng: &mut Pcg64Mcg) {
        self.candidates.set_alternates(&[]);
        self.on_failure(now, id, LinkEnd::RoutingLoop, rng);
    }

    /// Handles the end of a connection.
    pub fn on_closed(&mut self, now: Timestamp, id: LinkId, reason: LinkEnd, rng: &mut Pcg64Mcg) {
        if self.end_probe(id).is_none() {
            self.on_failure(now, id, reason, rng);
        }
    }

    /// Sets the relays to try when no control replica answers.
    pub fn set_alternates(&mut self, alternates: &[SocketAddr]) {
        self.candidates.set_alternates(alternates);
    }

    /// Sets the control replicas that the leader listed; those from the settings are kept too.
    pub fn set_learned_control(&mut self, learned: &[SocketAddr]) {
        self.candidates.set_learned(learned);
    }

    /// Replaces the control replicas from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.candidates.set_seeds(seeds);
    }

    /// Returns the control replicas that the leader listed last.
    #[must_use]
    pub fn learned_control(&self) -> &[SocketAddr] {
        self.candidates.learned()
    }

    /// Returns all known control replicas: those that the leader listed last, and those from the
    /// settings.
    #[must_use]
    pub fn control_replicas(&self) -> &[SocketAddr] {
        self.candidates.control()
    }

    /// Returns the connection to the parent that accepted this node, if it is attached.
    #[must_use]
    pub fn attached(&self) -> Option<LinkId> {
        self.parent.map(|link| link.id)
    }

    /// Returns whether a connection is that of an attempt or a probe that waits for an answer.
    #[must_use]
    pub fn is_asking(&self, id: LinkId) -> bool {
        let mut links = self.attempts.iter().chain(&self.probes);
        links.any(|link| link.id == id)
    }

    /// Returns the address of the present parent, or of the one that was asked last, if it is a
    /// relay.
    #[must_use]
    pub fn parent_relay(&self) -> Option<SocketAddr> {
        let link = self.parent.or(self.attempts.last().copied())?;
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

    /// Returns the connection to the parent or that of an attempt.
    fn link(&self, id: LinkId) -> Option<Link> {
        let mut links = self.parent.iter().chain(&self.attempts);
        links.find(|link| link.id == id).copied()
    }
}
