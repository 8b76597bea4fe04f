//! Which part of the quotas of one slot a guard may use, over changes of the guards.

use std::{collections::VecDeque, time::Duration};

use trefoillock_core::{Guard, GuardSet, Incarnation, NodeId, Timestamp};

/// The time since a confirmed question to the leader after which a guard stops granting.
///
/// A node asks every 0.4 s, and each relay above it adds up to 0.4 s, so the newest confirmed
/// question is about 1.5 s old. The rest covers the election of a leader and the change to another
/// parent.
pub const LEASE: Duration = Duration::from_secs(5);

/// The time for which a guard whose part begins or grows waits from the moment at which it learned
/// the configuration, unless all earlier guards have released their parts.
///
/// It exceeds [`LEASE`] by the time for which a leader may still confirm the previous configuration
/// while it waits for its read barrier, and by clocks whose rates differ by 1%.
pub const HANDOVER: Duration = Duration::from_secs(6);

/// The part of the quotas of one slot that a guard may use: one of a number of equal parts.
#[derive(Debug, Clone, Default)]
pub(super) struct SlotPart {
    epoch: u64,
    learned: Timestamp,
    /// The number of guards among which the quotas are divided; `None` while this guard may not use
    /// a part.
    current: Option<usize>,
    /// Larger parts and when they may be used, in this order.
    pending: VecDeque<(Timestamp, usize)>,
    /// Whether it is known that nobody uses a part by an earlier set.
    is_clean: bool,
    /// Whether it is known that nobody used a part by a set before the previous one when a guard of
    /// the previous set applied this one.
    previous_was_clean: bool,
    /// The guards of the previous set that are not known to have applied this one or to have ended;
    /// `None` if the previous set is not known.
    unreleased: Option<Vec<Guard>>,
}

impl SlotPart {
    /// Applies the guards of the slot from a newer configuration.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        set: &GuardSet,
        node: &NodeId,
        incarnation: Incarnation,
    ) {
        if set.epoch <= self.epoch {
            return;
        }
        self.advance(now);
        let follows = set.epoch == self.epoch + 1;
        // Before the first set of a slot nobody held a part.
        let is_first = set.epoch == 1;
        self.previous_was_clean = is_first || (follows && self.is_clean(now));
        self.is_clean = is_first;
        self.epoch = set.epoch;
        self.learned = now;
        self.unreleased = unreleased(set, node);
        let mut guards = set.guards.iter();
        if !guards.any(|guard| guard.node == *node && guard.incarnation == incarnation) {
            self.current = None;
            self.pending.clear();
            return;
        }
        let guards = set.guards.len();
        if follows {
            self.current = self.current.map(|current| current.max(guards));
            for (_, part) in &mut self.pending {
                *part = guards.max(*part);
            }
        } else {
            self.current = None;
            self.pending.clear();
        }
        if is_first {
            self.current = Some(guards);
        }
        let last = self.pending.back().map(|(_, part)| *part);
        if last.or(self.current) != Some(guards) {
            self.pending.push_back((now + HANDOVER, guards));
        }
        self.check_released(now);
    }

    /// The number of guards among which the quotas are divided, if this guard may use its part.
    pub(super) const fn current(&self) -> Option<usize> {
        self.current
    }

    /// The number of the newest set that was applied.
    pub(super) const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether nobody used a part by a set before the previous one when this guard applied the
    /// newest set.
    pub(super) const fn previous_was_clean(&self) -> bool {
        self.previous_was_clean
    }

    /// Starts to use pending parts whose time has come. Returns when the last of them began.
    pub(super) fn advance(&mut self, now: Timestamp) -> Option<Timestamp> {
        let mut started = None;
        while let Some((at, guards)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.current = Some(guards);
            started = Some(at);
        }
        started
    }

    /// Whether this guard uses a part or will.
    pub(super) fn is_guard(&self) -> bool {
        self.current.is_some() || !self.pending.is_empty()
    }

    /// The guards of the previous set that must release their parts before this guard knows that
    /// no part of an earlier set is used.
    pub(super) fn unreleased(&self, now: Timestamp) -> &[Guard] {
        if self.is_clean(now) || !self.is_guard() {
            return &[];
        }
        self.unreleased.as_deref().unwrap_or_default()
    }

    /// Records that a guard of the previous set has applied the set of `epoch` or a later one.
    pub(super) fn record_release(
        &mut self,
        now: Timestamp,
        guard: &Guard,
        epoch: u64,
        was_clean: bool,
    ) {
        if epoch < self.epoch {
            return;
        }
        if let Some(unreleased) = &mut self.unreleased {
            unreleased.retain(|known| known != guard);
        }
        self.previous_was_clean |= was_clean && epoch == self.epoch;
        self.check_released(now);
    }

    /// Uses the whole part of the newest set once no part of an earlier set is in use.
    fn check_released(&mut self, now: Timestamp) {
        let is_released = self.unreleased.as_ref().is_some_and(Vec::is_empty);
        if is_released && self.previous_was_clean && !self.is_clean {
            self.is_clean = true;
            for (at, _) in &mut self.pending {
                *at = now.min(*at);
            }
        }
    }

    fn is_clean(&self, now: Timestamp) -> bool {
        self.is_clean || now.since(self.learned) >= HANDOVER
    }
}

/// The guards of the previous set that may still use a part by it; `None` if it is not known.
fn unreleased(set: &GuardSet, node: &NodeId) -> Option<Vec<Guard>> {
    if set.previous_epoch + 1 != set.epoch || set.previous.is_empty() {
        return None;
    }
    // A later run of the same node proves that the earlier one has ended.
    let has_ended = |guard: &Guard| {
        let mut later = set.guards.iter();
        later.any(|later| later.node == guard.node && later.incarnation > guard.incarnation)
    };
    let previous = set.previous.iter();
    let alive = previous.filter(|guard| guard.node != *node && !has_ended(guard));
    Some(alive.cloned().collect())
}
