//! The search for a parent, and the connection to it.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{Timestamp, data};

use crate::{
    Backoff, ParentAddress,
    timing::{ATTACH_TIMEOUT, CONFIRMATION_TIMEOUT, PROBE_INTERVAL, SILENCE_TIMEOUT},
};

/// The largest number of redirects that are followed without a pause.
const MAX_REDIRECTS: u32 = 6;
/// The largest random addition to the time between two probes, in milliseconds.
const PROBE_JITTER_MS: u64 = 3_000;
/// The number of times that one peer is asked again before another one is.
const MAX_RETRIES: u32 = 4;

/// A connection to a parent, numbered by the node.
#[data(key)]
pub struct LinkId(u64);

/// What to do about connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection and send the state as a whole.
    Open {
        /// The connection.
        link: LinkId,
        /// The address.
        address: ParentAddress,
        /// Whether this only asks for a better parent.
        is_probe: bool,
    },
    /// Close a connection.
    Close(LinkId),
}

#[derive(Debug, Clone, Copy)]
struct Link {
    id: LinkId,
    address: ParentAddress,
    heard: Timestamp,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Waiting { until: Timestamp },
    Opening(Link),
    Attached(Link),
}

/// The node's side of the tree: looks for a parent, keeps to it while it lives, and looks for
/// another one when it falls silent or has lost its own way to the leader.
#[derive(Debug)]
pub struct Uplink {
    /// The control replicas that the settings name.
    seeds: Vec<SocketAddr>,
    /// The control replicas that the leader named last.
    learned: Vec<SocketAddr>,
    /// Both, each once.
    control: Vec<SocketAddr>,
    alternates: Vec<SocketAddr>,
    phase: Phase,
    probe: Option<Link>,
    next_probe: Timestamp,
    last_confirmed: Timestamp,
    target: Option<ParentAddress>,
    avoid: Option<SocketAddr>,
    attempt: usize,
    redirects: u32,
    retries: u32,
    backoff: Backoff,
    next_link: u64,
    actions: Vec<LinkAction>,
}

impl Uplink {
    /// Creates an uplink that starts at one of the control replicas.
    #[must_use]
    pub fn new(control: Vec<SocketAddr>, rng: &mut Pcg64Mcg) -> Self {
        let attempt = rng.random_range(0..control.len().max(1));
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
            attempt,
            redirects: 0,
            retries: 0,
            backoff: Backoff::default(),
            next_link: 0,
            actions: Vec::new(),
        }
    }

    /// Does what is due at this time.
    pub fn on_tick(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) {
        match self.phase {
            Phase::Waiting { until } if until <= now => self.open(now),
            Phase::Opening(link) if now.since(link.heard) >= ATTACH_TIMEOUT => {
                self.fail(now, link, rng);
            }
            Phase::Attached(link) if now.since(link.heard) >= SILENCE_TIMEOUT => {
                self.fail(now, link, rng);
            }
            Phase::Attached(_) => self.probe(now, rng),
            Phase::Waiting { .. } | Phase::Opening(_) => {}
        }
    }

    fn open(&mut self, now: Timestamp) {
        let Some(address) = self.target.take().or_else(|| self.next_address()) else {
            return;
        };
        let link = self.link(now, address, false);
        self.phase = Phase::Opening(link);
    }

    /// The next address to ask: the control replicas in turn, and other relays too once none
    /// of the replicas answered.
    fn next_address(&mut self) -> Option<ParentAddress> {
        let is_control_out = self.backoff.attempts() as usize > self.control.len();
        let others = if is_control_out {
            self.alternates.len()
        } else {
            0
        };
        let count = self.control.len() + others;
        let at = self.attempt % count.max(1);
        self.attempt = self.attempt.wrapping_add(1);
        let alternate = at.checked_sub(self.control.len());
        match alternate {
            None => self.control.get(at).copied().map(ParentAddress::control),
            Some(at) => self.alternates.get(at).copied().map(ParentAddress::relay),
        }
    }

    fn link(&mut self, now: Timestamp, address: ParentAddress, is_probe: bool) -> Link {
        self.next_link += 1;
        let id = LinkId(self.next_link);
        self.actions.push(LinkAction::Open {
            link: id,
            address,
            is_probe,
        });
        Link {
            id,
            address,
            heard: now,
        }
    }

    fn fail(&mut self, now: Timestamp, link: Link, rng: &mut Pcg64Mcg) {
        self.actions.push(LinkAction::Close(link.id));
        self.stop_probe();
        self.note_failed(link);
        self.redirects = 0;
        let time = self.backoff.next(rng);
        self.wait(now, time);
    }

    fn note_failed(&mut self, link: Link) {
        if link.address.is_relay() {
            self.avoid = Some(link.address.address);
        }
    }

    fn wait(&mut self, now: Timestamp, time: Duration) {
        self.phase = Phase::Waiting { until: now + time };
    }

    /// Looks for a better parent when the present one has lost its way to the leader.
    fn probe(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) {
        if let Some(link) = self.probe {
            if now.since(link.heard) >= ATTACH_TIMEOUT {
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
        let at = self.attempt % self.control.len();
        self.attempt = self.attempt.wrapping_add(1);
        if let Some(address) = self.control.get(at).copied() {
            let address = ParentAddress::control(address);
            self.probe = Some(self.link(now, address, true));
        }
    }

    fn stop_probe(&mut self) {
        if let Some(link) = self.probe.take() {
            self.actions.push(LinkAction::Close(link.id));
        }
    }

    /// Notes that a parent accepted this node.
    pub fn on_welcome(&mut self, now: Timestamp, id: LinkId) {
        if let Phase::Opening(link) = self.phase
            && link.id == id
        {
            self.phase = Phase::Attached(Link { heard: now, ..link });
            self.last_confirmed = now;
            self.redirects = 0;
            self.retries = 0;
            self.backoff.reset();
        }
    }

    /// Follows a redirect.
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
        self.actions.push(LinkAction::Close(id));
        self.redirects += 1;
        let is_loop = self.redirects > MAX_REDIRECTS || to == link.address;
        if is_loop {
            self.redirects = 0;
            let time = self.backoff.next(rng);
            self.wait(now, time);
            return;
        }
        self.target = Some(to);
        self.wait(now, Duration::ZERO);
    }

    /// Asks the leader, or moves to the parent that the leader named.
    fn on_probe_redirect(&mut self, now: Timestamp, probe: Link, to: ParentAddress) {
        let Phase::Attached(link) = self.phase else {
            return;
        };
        let asks_leader = !to.is_relay() && to != probe.address;
        if asks_leader && self.redirects < MAX_REDIRECTS {
            self.redirects += 1;
            self.probe = Some(self.link(now, to, true));
        } else if to != link.address {
            self.redirects = 0;
            self.note_failed(link);
            self.actions.push(LinkAction::Close(link.id));
            self.target = Some(to);
            self.wait(now, Duration::ZERO);
        }
    }

    /// Waits for as long as the peer said, and a little longer so that a herd spreads out.
    pub fn on_retry(&mut self, now: Timestamp, id: LinkId, after: Duration, rng: &mut Pcg64Mcg) {
        if self.probe.is_some_and(|probe| probe.id == id) {
            self.stop_probe();
            return;
        }
        let Some(link) = self.current().filter(|link| link.id == id) else {
            return;
        };
        self.actions.push(LinkAction::Close(id));
        let limit = u64::try_from(after.as_millis() / 4).unwrap_or(u64::MAX);
        let jitter = Duration::from_millis(rng.random_range(0..=limit));
        self.retries += 1;
        self.target = (self.retries < MAX_RETRIES).then_some(link.address);
        if self.target.is_none() {
            self.retries = 0;
            self.note_failed(link);
        }
        self.redirects = 0;
        self.wait(now, after + jitter);
    }

    /// Notes a message of the parent, and whether it brought a new confirmation of the leader.
    pub fn on_heard(&mut self, now: Timestamp, id: LinkId, is_confirmed: bool) {
        if let Phase::Attached(link) = &mut self.phase
            && link.id == id
        {
            link.heard = now;
            if is_confirmed {
                self.last_confirmed = now;
            }
        }
    }

    /// Leaves a parent that hangs below this node.
    pub fn on_loop(&mut self, now: Timestamp, id: LinkId, rng: &mut Pcg64Mcg) {
        self.alternates.clear();
        self.on_closed(now, id, rng);
    }

    /// Notes that a connection ended.
    pub fn on_closed(&mut self, now: Timestamp, id: LinkId, rng: &mut Pcg64Mcg) {
        if self.probe.is_some_and(|probe| probe.id == id) {
            self.probe = None;
        } else if let Some(link) = self.current().filter(|link| link.id == id) {
            self.fail(now, link, rng);
        }
    }

    /// Sets the relays to try when no control replica answers.
    pub fn set_alternates(&mut self, alternates: &[SocketAddr]) {
        self.alternates.clear();
        self.alternates.extend_from_slice(alternates);
    }

    /// Notes the control replicas that the leader named; those of the settings stay known.
    pub fn learn_control(&mut self, learned: &[SocketAddr]) {
        if !learned.is_empty() && learned != self.learned {
            self.learned = learned.to_vec();
            self.join_control();
        }
    }

    /// Replaces the control replicas that the settings name.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.join_control();
    }

    fn join_control(&mut self) {
        self.control.clone_from(&self.learned);
        let missing = self
            .seeds
            .iter()
            .filter(|seed| !self.learned.contains(seed));
        self.control.extend(missing);
    }

    /// The control replicas that the leader named last.
    #[must_use]
    pub fn known_control(&self) -> &[SocketAddr] {
        &self.learned
    }

    /// The connection to the parent that accepted this node.
    #[must_use]
    pub const fn attached(&self) -> Option<LinkId> {
        match self.phase {
            Phase::Attached(link) => Some(link.id),
            Phase::Waiting { .. } | Phase::Opening(_) => None,
        }
    }

    /// The address of the parent, if it is a relay.
    #[must_use]
    pub fn relay(&self) -> Option<SocketAddr> {
        let link = self.current()?;
        link.address.is_relay().then_some(link.address.address)
    }

    /// The relay that failed this node before.
    #[must_use]
    pub const fn avoid(&self) -> Option<SocketAddr> {
        self.avoid
    }

    /// Takes what is to be done about connections.
    pub fn take_actions(&mut self) -> Vec<LinkAction> {
        std::mem::take(&mut self.actions)
    }

    const fn current(&self) -> Option<Link> {
        match self.phase {
            Phase::Opening(link) | Phase::Attached(link) => Some(link),
            Phase::Waiting { .. } => None,
        }
    }
}
