//! The waiting calls of one kind in one lane.

use std::collections::BTreeMap;

use trefoillock_core::Timestamp;

use super::{Position, Tier, WaitingCall};

/// The waiting calls of one kind by tier, each in the order in which they start.
#[derive(Debug, Default)]
pub(crate) struct KindQueue {
    timely: BTreeMap<Position, WaitingCall>,
    late: BTreeMap<Position, WaitingCall>,
}

impl KindQueue {
    pub(crate) fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of calls in a tier.
    pub(crate) fn count(&self, tier: Tier) -> usize {
        self.tier(tier).len()
    }

    /// The first call of a tier with its position.
    pub(crate) fn first_of(&self, tier: Tier) -> Option<(Position, &WaitingCall)> {
        let (position, waiting) = self.tier(tier).first_key_value()?;
        Some((*position, waiting))
    }

    /// The call that starts first, with its order.
    pub(super) fn first(&self) -> Option<((Tier, Position), &WaitingCall)> {
        let in_tier = |tier| Some((tier, self.first_of(tier)?));
        let (tier, (position, waiting)) = in_tier(Tier::Timely).or_else(|| in_tier(Tier::Late))?;
        Some(((tier, position), waiting))
    }

    /// The call that starts last, with its order.
    pub(super) fn last(&self) -> Option<((Tier, Position), &WaitingCall)> {
        let in_tier = |tier| Some((tier, self.tier(tier).last_key_value()?));
        let (tier, (position, waiting)) = in_tier(Tier::Late).or_else(|| in_tier(Tier::Timely))?;
        Some(((tier, *position), waiting))
    }

    /// The number of timely calls that start before a new one with the given objective. Counts from
    /// the end, where most new calls belong.
    pub(super) fn timely_before(&self, objective: Option<Timestamp>) -> usize {
        let later = self.timely.range((objective, u64::MAX)..).count();
        self.timely.len() - later
    }

    pub(super) fn insert(&mut self, position: Position, waiting: WaitingCall) {
        self.tier_mut(waiting.tier).insert(position, waiting);
    }

    pub(super) fn remove(&mut self, tier: Tier, position: Position) -> Option<WaitingCall> {
        self.tier_mut(tier).remove(&position)
    }

    const fn tier(&self, tier: Tier) -> &BTreeMap<Position, WaitingCall> {
        match tier {
            Tier::Timely => &self.timely,
            Tier::Late => &self.late,
        }
    }

    const fn tier_mut(&mut self, tier: Tier) -> &mut BTreeMap<Position, WaitingCall> {
        match tier {
            Tier::Timely => &mut self.timely,
            Tier::Late => &mut self.late,
        }
    }
}
