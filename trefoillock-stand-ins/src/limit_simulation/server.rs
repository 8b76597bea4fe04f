//! A simulated backend server with the node beside it.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use trefoillock_core::{
    Announcement, CallRate, DataCentre, Incarnation, Map, Member, MemberState, NodeId, ServerId,
    ServiceName, Timestamp, VersionLabel,
};
use trefoillock_policy::{Admission, LoadHint, Ticket};

use super::simulation::CallId;

/// The number of calls that a backend server runs at once.
const SLOTS: u32 = 12;
/// The longest time that a call without an objective waits.
const QUEUE_TIME: Duration = Duration::from_millis(200);

/// A time during which a backend server stated one limit, or none.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitSpan {
    pub(crate) from: Timestamp,
    pub(crate) limit: Option<CallRate>,
}

/// A call that has reached a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Start {
    pub(crate) at: Timestamp,
    /// Whether its entry node had passed on an answer with a limit half a second before.
    pub(crate) is_told: bool,
}

/// One run of a backend server, as it is checked.
#[derive(Debug, Default)]
pub(crate) struct RunRecord {
    pub(crate) spans: Vec<LimitSpan>,
    pub(crate) starts: Vec<Start>,
    pub(crate) ended_at: Option<Timestamp>,
}

/// The node beside a backend server, in one run of the node.
#[derive(Debug)]
pub(crate) struct Destination {
    pub(crate) admission: Admission,
    pub(crate) has_stated: bool,
    pub(crate) is_leaving: bool,
    pub(crate) waiting: Map<Ticket, CallId>,
    /// The time of the next check for turns and expired calls that is planned.
    pub(crate) next_check: Option<Timestamp>,
}

impl Destination {
    pub(crate) fn new() -> Self {
        Self {
            admission: Admission::new(SLOTS, 2 * SLOTS, QUEUE_TIME),
            has_stated: false,
            is_leaving: false,
            waiting: Map::default(),
            next_check: None,
        }
    }
}

/// What a backend server says in an answer, and what its node reports with it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Report {
    pub(crate) load: LoadHint,
    pub(crate) is_leaving: bool,
}

/// A simulated backend server with the node beside it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) member: Arc<Member>,
    pub(crate) limit: Option<CallRate>,
    pub(crate) is_leaving: bool,
    /// The run of the node; `None` while it restarts.
    pub(crate) destination: Option<Destination>,
    /// The runs of the node so far. Calls of an earlier run are lost.
    pub(crate) destination_runs: u64,
    pub(crate) records: VecDeque<RunRecord>,
}

impl Server {
    pub(crate) fn new(number: usize, now: Timestamp) -> Self {
        let port = u16::try_from(9_000 + number).unwrap_or(u16::MAX);
        let address = ([127, 0, 0, 1], port).into();
        let name = |text: &str| text.to_owned();
        let member = Member {
            id: ServerId {
                node: NodeId::try_from(format!("node-{number}")).expect("a valid name"),
                address,
            },
            announcement: Announcement {
                address,
                service: ServiceName::try_from(name("register")).expect("a valid name"),
                version: VersionLabel::try_from(name("1")).expect("a valid name"),
                incarnation: Incarnation::new(1),
                slots: SLOTS,
                connections: 2 * SLOTS,
                state: MemberState::Up,
                instance: None,
            },
            peer_address: address,
            data_centre: DataCentre::try_from(name("a")).expect("a valid name"),
            node_incarnation: Incarnation::new(1),
        };
        let mut server = Self {
            member: Arc::new(member),
            limit: None,
            is_leaving: false,
            destination: Some(Destination::new()),
            destination_runs: 0,
            records: VecDeque::from([RunRecord::default()]),
        };
        server.set_limit(now, None);
        server
    }

    /// The record of the current run.
    pub(crate) fn record(&mut self) -> &mut RunRecord {
        self.records.back_mut().expect("a run")
    }

    pub(crate) fn set_limit(&mut self, now: Timestamp, limit: Option<CallRate>) {
        self.limit = limit;
        self.record().spans.push(LimitSpan { from: now, limit });
    }

    /// Starts the next run of the backend server.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        self.record().ended_at = Some(now);
        self.records.push_back(RunRecord::default());
        let mut member = self.member.as_ref().clone();
        member.announcement.incarnation = member.announcement.incarnation.next();
        self.member = Arc::new(member);
        self.is_leaving = false;
        self.set_limit(now, None);
        self.restart_destination();
        self.destination = Some(Destination::new());
    }

    /// Stops the node beside the backend server, which loses all its calls.
    pub(crate) fn restart_destination(&mut self) {
        self.destination = None;
        self.destination_runs += 1;
    }
}
