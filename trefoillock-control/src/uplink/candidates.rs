//! The addresses at which a node looks for a parent.

use std::net::SocketAddr;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::ParentAddress;

/// The control replica that was the parent until its connection failed.
#[derive(Debug, Clone, Copy)]
struct LostReplica {
    address: SocketAddr,
    /// The number of other candidates to try before it.
    others_first: usize,
}

/// The control replicas and relays that a node may ask for a parent, in turn.
#[derive(Debug)]
pub(super) struct Candidates {
    /// The control replicas from the settings.
    seeds: Vec<SocketAddr>,
    /// The control replicas that the leader listed last.
    learned: Vec<SocketAddr>,
    /// The learned replicas followed by the remaining seeds, without duplicates.
    control: Vec<SocketAddr>,
    alternates: Vec<SocketAddr>,
    lost: Option<LostReplica>,
    /// A running index into the candidates.
    next: usize,
}

impl Candidates {
    /// Creates the candidates from the control replicas in the settings, of which a random one is
    /// first.
    pub(super) fn new(seeds: Vec<SocketAddr>, rng: &mut Pcg64Mcg) -> Self {
        let next = rng.random_range(0..seeds.len().max(1));
        Self {
            control: seeds.clone(),
            seeds,
            learned: Vec::new(),
            alternates: Vec::new(),
            lost: None,
            next,
        }
    }

    /// Returns the next control replica that `is_asked` does not exclude.
    pub(super) fn next_control(
        &mut self,
        is_asked: impl Fn(ParentAddress) -> bool,
    ) -> Option<ParentAddress> {
        self.next_of(self.control.len(), is_asked)
    }

    /// Returns the next control replica or alternate that `is_asked` does not exclude.
    pub(super) fn next_control_or_alternate(
        &mut self,
        is_asked: impl Fn(ParentAddress) -> bool,
    ) -> Option<ParentAddress> {
        self.next_of(self.control.len() + self.alternates.len(), is_asked)
    }

    fn next_of(
        &mut self,
        count: usize,
        is_asked: impl Fn(ParentAddress) -> bool,
    ) -> Option<ParentAddress> {
        for _ in 0..count {
            let address = self.get(self.next % count)?;
            self.next = self.next.wrapping_add(1);
            if !self.is_postponed(address) && !is_asked(address) {
                if let Some(lost) = &mut self.lost {
                    lost.others_first = lost.others_first.saturating_sub(1);
                }
                return Some(address);
            }
        }
        let lost = self.lost.take()?;
        let address = ParentAddress::control(lost.address);
        (!is_asked(address)).then_some(address)
    }

    fn is_postponed(&self, address: ParentAddress) -> bool {
        let is_postponed = |lost: LostReplica| {
            lost.others_first > 0 && address == ParentAddress::control(lost.address)
        };
        self.lost.is_some_and(is_postponed)
    }

    fn get(&self, index: usize) -> Option<ParentAddress> {
        match index.checked_sub(self.control.len()) {
            None => self.control.get(index).copied().map(ParentAddress::control),
            Some(index) => self
                .alternates
                .get(index)
                .copied()
                .map(ParentAddress::relay),
        }
    }

    /// Sets the control replica that is tried after the others; `None` if all are tried in turn.
    pub(super) fn set_lost(&mut self, lost: Option<SocketAddr>) {
        let others_first = self.control.len().saturating_sub(1);
        self.lost = lost.map(|address| LostReplica {
            address,
            others_first,
        });
    }

    /// Sets the relays to try when no control replica answers.
    pub(super) fn set_alternates(&mut self, alternates: &[SocketAddr]) {
        self.alternates.clear();
        self.alternates.extend_from_slice(alternates);
    }

    /// Sets the control replicas that the leader listed.
    pub(super) fn set_learned(&mut self, learned: &[SocketAddr]) {
        if !learned.is_empty() && learned != self.learned {
            self.learned = learned.to_vec();
            self.rebuild_control();
        }
    }

    /// Replaces the control replicas from the settings.
    pub(super) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
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
    pub(super) fn learned(&self) -> &[SocketAddr] {
        &self.learned
    }

    /// Returns the control replicas.
    pub(super) fn control(&self) -> &[SocketAddr] {
        &self.control
    }

    /// Returns the number of control replicas.
    pub(super) const fn control_count(&self) -> usize {
        self.control.len()
    }
}
