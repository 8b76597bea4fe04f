//! Flap damping: hides backend servers that restart too often from the member list for a while.

use std::time::Duration;

use trefoillock_core::{
    Announcement, Incarnation, InstanceId, Map, Member, MemberState, ServerId, Timestamp,
};

use crate::NodeRecord;

/// The number of starts, each within [`START_WINDOW`] of the previous one, that are not damped.
const MAX_UNDAMPED_STARTS: u32 = 3;
/// The time after the last start or announcement after which the count of starts begins anew.
const START_WINDOW: Duration = Duration::from_mins(1);
/// The first suppression time of a backend server; it doubles with each further start.
const INITIAL_SUPPRESSION: Duration = Duration::from_secs(5);
/// The longest suppression time of a backend server.
const MAX_SUPPRESSION: Duration = Duration::from_mins(1);

/// A run of the process of a backend server.
#[derive(Debug, PartialEq, Eq)]
struct Run {
    incarnation: Incarnation,
    instance: Option<InstanceId>,
}

impl From<&Announcement> for Run {
    fn from(announcement: &Announcement) -> Self {
        Self {
            incarnation: announcement.incarnation,
            instance: announcement.instance.clone(),
        }
    }
}

#[derive(Debug)]
struct StartHistory {
    count: u32,
    last_seen: Timestamp,
    suppressed_until: Timestamp,
    /// The latest incarnation that was announced.
    incarnation: Incarnation,
    /// The last run that counted as a start.
    last_start: Option<Run>,
}

/// Suppresses backend servers that start too often, and announcements of older incarnations.
#[derive(Debug, Default)]
pub(crate) struct FlapDamper {
    servers: Map<ServerId, StartHistory>,
}

impl FlapDamper {
    /// Records the announcements of a node. A run that is announced again, because its node started
    /// again or its lease had ended, is not another start.
    pub(crate) fn record_announcements(&mut self, now: Timestamp, record: &NodeRecord) {
        for announcement in &record.announcements {
            let id = ServerId {
                node: record.node.clone(),
                address: announcement.address,
            };
            let history = self.servers.entry(id).or_insert(StartHistory {
                count: 0,
                last_seen: now,
                suppressed_until: Timestamp::EPOCH,
                incarnation: announcement.incarnation,
                last_start: None,
            });
            history.incarnation = history.incarnation.max(announcement.incarnation);
            let run = Run::from(announcement);
            let is_latest = run.incarnation == history.incarnation;
            let is_counted = history.last_start.as_ref() == Some(&run);
            if announcement.state == MemberState::Up && is_latest && !is_counted {
                history.record_start(now);
                history.last_start = Some(run);
            } else {
                history.last_seen = history.last_seen.max(now);
            }
        }
    }

    /// Returns whether a backend server may be in the member list.
    #[must_use]
    pub(crate) fn allows(&self, now: Timestamp, member: &Member) -> bool {
        self.servers.get(&member.id).is_none_or(|history| {
            history.suppressed_until <= now
                && member.announcement.incarnation >= history.incarnation
        })
    }

    /// Removes the entries of backend servers that are neither suppressed nor recently announced or
    /// started.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.servers.retain(|_, history| {
            now.since(history.last_seen) < START_WINDOW || history.suppressed_until > now
        });
    }
}

impl StartHistory {
    fn record_start(&mut self, now: Timestamp) {
        self.count = if now.since(self.last_seen) < START_WINDOW {
            self.count + 1
        } else {
            1
        };
        self.last_seen = now;
        if self.count > MAX_UNDAMPED_STARTS {
            let doublings = (self.count - MAX_UNDAMPED_STARTS - 1).min(8);
            let suppression = INITIAL_SUPPRESSION
                .saturating_mul(1 << doublings)
                .min(MAX_SUPPRESSION);
            self.suppressed_until = now + suppression;
        }
    }
}
