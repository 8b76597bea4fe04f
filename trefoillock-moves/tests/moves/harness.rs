//! Harness that runs one move with scripted evidence in virtual time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use trefoillock_core::{
    Announcement, CrashReport, DataCentre, Evidence, Fingerprint, Incarnation, Member, MemberState,
    Members, Move, MoveEvidence, MoveId, MoveState, NodeId, PoolEvidence, PoolName, RawTables,
    RouteName, ServerId, ServiceName, Share, Tables, Timestamp, VersionLabel,
};
use trefoillock_moves::{EvidenceCoverage, MoveController};

const TABLES: &str = r#"{
  "routes": [{ "name": "positions", "match": { "path_prefix": "/positions" },
               "class": "lookup", "pool": "desk-v2", "timeout_ms": 800 },
             { "name": "premiums", "match": { "path_prefix": "/premiums" },
               "class": "posting", "pool": "desk-v2", "timeout_ms": 800 }],
  "pools": [{ "name": "desk-v1", "service": "treaty-desk", "version": "1" },
            { "name": "desk-v2", "service": "treaty-desk", "version": "2" }]
}"#;

/// Calls of the route per second.
const RATE: u64 = 1_000;

pub(crate) struct Harness {
    pub(crate) route_move: Move,
    pub(crate) highest_share: Share,
    pub(crate) lose_evidence: bool,
    pub(crate) reporting: u32,
    pub(crate) servers: u16,
    /// A move of another route to the same pool; its state does not change.
    pub(crate) sibling: Option<Move>,
    /// Slots of each backend server of the new pool.
    pub(crate) slots: u32,
    /// Latency of the answers of the new pool.
    pub(crate) new_latency: Duration,
    /// Answers of the new pool that are cut off, per thousand calls.
    pub(crate) new_aborted_permille: u64,
    /// Number of steps by which reports lag behind the move.
    pub(crate) report_lag_steps: u32,
    /// Number of nodes that cut the new pool; reported once.
    pub(crate) cuts: u32,
    now: Timestamp,
    controller: MoveController,
    tables: Tables,
}

impl Harness {
    pub(crate) fn new(deadline_s: u64) -> Self {
        let raw = RawTables::from_json(TABLES).expect("valid JSON");
        let now = Timestamp::from_secs(1_000);
        let name = |text| PoolName::try_from(text).expect("valid name");
        let route_move = Move {
            id: MoveId::new(1),
            route: RouteName::try_from("positions").expect("valid name"),
            from: name("desk-v1"),
            to: name("desk-v2"),
            deadline: now + Duration::from_secs(deadline_s),
            started: now,
            state: MoveState::WaitingForServers,
            share: Share::ZERO,
            step: 0,
            stepped: now,
            evidence: String::new(),
        };
        Self {
            route_move,
            highest_share: Share::ZERO,
            lose_evidence: false,
            reporting: 6,
            servers: 6,
            sibling: None,
            slots: 9,
            new_latency: Duration::from_millis(10),
            new_aborted_permille: 0,
            report_lag_steps: 0,
            cuts: 0,
            now,
            controller: MoveController::new(),
            tables: Tables::try_from(raw).expect("valid tables"),
        }
    }

    pub(crate) fn change_leader(&mut self) {
        self.controller = MoveController::new();
    }

    /// Runs for some seconds. `failures` gives the failures of the old and the new pool per
    /// thousand calls, by second.
    pub(crate) fn run(&mut self, seconds: u64, failures: impl Fn(u64) -> (u64, u64)) {
        for second in 0..seconds {
            self.now = self.now + Duration::from_secs(1);
            if self.route_move.state.is_final() {
                return;
            }
            let (old, new) = failures(second);
            self.report(old, new);
            self.decide();
        }
    }

    fn report(&mut self, old_permille: u64, new_permille: u64) {
        if self.lose_evidence {
            return;
        }
        let new_calls = RATE * u64::from(self.route_move.share.ppm()) / u64::from(Share::PARTS);
        let evidence = MoveEvidence {
            step: self.route_move.step.saturating_sub(self.report_lag_steps),
            old: pool(RATE - new_calls, old_permille, Duration::from_millis(10)),
            new: self.new_pool(new_calls, new_permille),
            local_cuts: std::mem::take(&mut self.cuts),
        };
        let moves = BTreeMap::from([(self.route_move.id, evidence)]);
        self.controller.add_evidence(
            self.now,
            &Evidence {
                moves,
                ..Evidence::default()
            },
        );
    }

    fn new_pool(&self, calls: u64, permille: u64) -> PoolEvidence {
        let mut new = pool(
            calls,
            permille + self.new_aborted_permille,
            self.new_latency,
        );
        new.aborted = calls * self.new_aborted_permille / 1_000;
        new
    }

    /// Reports to the controller a crash of a backend server of the new pool.
    pub(crate) fn crash(&mut self, fingerprint: u64) {
        for server in members(1, self.slots).servers.into_keys() {
            self.controller.add_crash(&CrashReport {
                fingerprint: Fingerprint::new(fingerprint),
                server,
                incarnation: Incarnation::new(1),
            });
        }
    }

    fn decide(&mut self) {
        let coverage = EvidenceCoverage {
            nodes_reporting: self.reporting,
            nodes_expected: 6,
        };
        let members = members(self.servers, self.slots);
        let moves = [&self.route_move].into_iter().chain(&self.sibling);
        let steps = self
            .controller
            .decide(self.now, moves, &self.tables, &members, coverage);
        let id = self.route_move.id;
        let steps: Vec<_> = steps.into_iter().filter(|step| step.id == id).collect();
        assert!(steps.len() <= 1);
        for step in steps {
            assert_eq!(step.step, self.route_move.step + 1);
            self.route_move.step = step.step;
            self.route_move.state = step.state;
            self.route_move.share = step.share;
            self.route_move.stepped = step.at;
            self.route_move.evidence = step.evidence;
            self.highest_share = self.highest_share.max(step.share);
        }
    }
}

fn pool(calls: u64, permille: u64, latency: Duration) -> PoolEvidence {
    let mut pool = PoolEvidence::default();
    let failures = calls * permille / 1_000;
    (0..failures).for_each(|_| pool.record_failure());
    (failures..calls).for_each(|_| pool.record_answer(latency));
    pool
}

fn members(servers: u16, slots: u32) -> Members {
    let mut members = Members::default();
    for number in 0..servers {
        let address = ([127, 0, 0, 1], 9_000 + number).into();
        let id = ServerId {
            node: NodeId::try_from(format!("node-{number}")).expect("valid name"),
            address,
        };
        let announcement = Announcement {
            address,
            service: ServiceName::try_from("treaty-desk").expect("valid name"),
            version: VersionLabel::try_from("2").expect("valid name"),
            incarnation: Incarnation::new(1),
            slots,
            connections: 120,
            state: MemberState::Up,
            instance: None,
        };
        let member = Member {
            id: id.clone(),
            announcement,
            peer_address: address,
            data_centre: DataCentre::try_from("wa-west-a").expect("valid name"),
            node_incarnation: Incarnation::new(1),
        };
        members.servers.insert(id, Arc::new(member));
    }
    members
}
