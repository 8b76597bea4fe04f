//! Damping of backend servers that come and go.

use std::time::Duration;

use trefoillock_core::{Announcement, Incarnation, Map, Member, MemberState, ServerId, Timestamp};

use crate::NodeRecord;

/// The number of starts within [`MEMORY`] that are not damped.
const FREE_STARTS: u32 = 3;
/// The time after which a start is forgotten.
const MEMORY: Duration = Duration::from_mins(1);
/// The time for which a backend server is held back at first; it doubles with each start.
const FIRST_HOLD: Duration = Duration::from_secs(5);
/// The longest time for which a backend server is held back.
const MAX_HOLD: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Starts {
    count: u32,
    last: Timestamp,
    hold_until: Timestamp,
    incarnation: Incarnation,
}

/// Holds back backend servers that start too often, and announcements of runs that have ended.
#[derive(Debug, Default)]
pub(crate) struct FlapDamper {
    servers: Map<ServerId, Starts>,
}

impl FlapDamper {
    /// Notes the announcements of a node, given those that were known before.
    pub(crate) fn note(&mut self, now: Timestamp, record: &NodeRecord, before: &[Announcement]) {
        for announcement in &record.announcements {
            let is_up = announcement.state == MemberState::Up;
            let was_up = before.iter().any(|known| {
                known.address == announcement.address
                    && known.incarnation == announcement.incarnation
                    && known.state == MemberState::Up
            });
            let id = ServerId {
                node: record.node.clone(),
                address: announcement.address,
            };
            let starts = self.servers.entry(id).or_insert(Starts {
                count: 0,
                last: now,
                hold_until: Timestamp::EPOCH,
                incarnation: announcement.incarnation,
            });
            starts.incarnation = starts.incarnation.max(announcement.incarnation);
            if is_up && !was_up {
                starts.note(now);
            } else {
                starts.last = starts.last.max(now);
            }
        }
    }

    /// Whether nodes shall know of a backend server.
    #[must_use]
    pub(crate) fn allows(&self, now: Timestamp, member: &Member) -> bool {
        self.servers.get(&member.id).is_none_or(|starts| {
            starts.hold_until <= now && member.announcement.incarnation >= starts.incarnation
        })
    }

    /// Forgets backend servers that have not started for a while.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.servers
            .retain(|_, starts| now.since(starts.last) < MEMORY || starts.hold_until > now);
    }
}

impl Starts {
    fn note(&mut self, now: Timestamp) {
        self.count = if now.since(self.last) < MEMORY {
            self.count + 1
        } else {
            1
        };
        self.last = now;
        if self.count > FREE_STARTS {
            let doublings = (self.count - FREE_STARTS - 1).min(8);
            let hold = FIRST_HOLD.saturating_mul(1 << doublings).min(MAX_HOLD);
            self.hold_until = now + hold;
        }
    }
}
