//! The simulation loop over nodes, callers and the controller in virtual time.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    CrashReport, Evidence, Fingerprint, Incarnation, Members, Move, MoveId, MoveState, Share,
    Tables, Timestamp,
};
use trefoillock_moves::{EvidenceCoverage, LocalAnalysis, MoveCallResult, MoveController};

use super::{
    fault_schedule::FaultSchedule,
    members::{FULL_LOAD, NEW_SERVERS, NODES, ROUTES, members, moves, tables},
    model::{self, Conditions},
    outcome::{RouteResult, RunResult},
    sampling::{happens, poisson},
    scenario::{Controller, Scenario, Version},
};

/// The virtual time of one tick.
const TICK: Duration = Duration::from_millis(100);
/// The number of ticks between two reports of a node.
const REPORT_TICKS: u64 = 10;
/// The number of ticks between two decisions of the controller.
const DECIDE_TICKS: u64 = 5;
/// The number of ticks without a leader when the leader changes.
const LEADER_GAP_TICKS: u64 = 20;
/// The number of ticks for which a node counts as reporting after its last report.
const REPORTING_TICKS: u64 = 30;
/// The number of ticks for which a crashed backend server is down.
const CRASH_TICKS: u64 = 50;
/// The number of ticks that a run continues after the deadline, so that the last step reaches every
/// node.
const TICKS_AFTER_DEADLINE: u64 = 20;
/// The log-likelihood ratio at which the ideal observer detects a bad version: ln(1e4), a
/// false-alarm rate of 1e-4.
const DETECTION_LOG_RATIO: f64 = 9.21;
/// The virtual time at which each run starts.
const START: Timestamp = Timestamp::from_secs(1_000_000);

/// The step and share of a route's move as a node knows them.
#[derive(Debug, Clone, Copy, Default)]
struct RouteView {
    step: u32,
    share: Share,
    is_final: bool,
}

/// A node and the updates that are on their way to it, as (arrival tick, route, update).
#[derive(Debug, Default)]
struct Node {
    analysis: LocalAnalysis,
    views: [RouteView; ROUTES],
    inbox: Vec<(u64, usize, RouteView)>,
    last_report: Option<u64>,
}

/// A backend server of the new version. `incarnation` counts its starts; the other fields are
/// ticks.
#[derive(Debug, Clone, Copy, Default)]
struct Server {
    incarnation: u64,
    up_since: Option<u64>,
    down_until: u64,
}

struct Simulation {
    scenario: Scenario,
    controller: Controller,
    fault_schedule: FaultSchedule,
    rng: Pcg64Mcg,
    tick: u64,
    tables: Tables,
    moves: Vec<Move>,
    move_controller: MoveController,
    no_leader_until: u64,
    share_steps: u64,
    nodes: Vec<Node>,
    servers: [Server; NEW_SERVERS],
    members: Members,
    reports: BTreeMap<u64, Vec<Evidence>>,
    routes: [RouteResult; ROUTES],
    load: f64,
    log_ratio: f64,
    detectable_at: Option<u64>,
    last_bad_share_at: Option<u64>,
}

/// Simulates a scenario until all nodes know that every move has ended, or shortly after the
/// deadline.
#[must_use]
pub fn run(scenario: &Scenario, controller: Controller) -> RunResult {
    let mut simulation = Simulation::new(scenario, controller);
    let ticks = ticks(scenario.deadline) + TICKS_AFTER_DEADLINE;
    while simulation.tick < ticks && !simulation.is_finished() {
        simulation.simulate_tick();
    }
    simulation.into_result()
}

fn ticks(span: Duration) -> u64 {
    u64::try_from(span.as_millis() / TICK.as_millis()).unwrap_or(u64::MAX)
}

impl Simulation {
    fn new(scenario: &Scenario, controller: Controller) -> Self {
        let tables = tables();
        Self {
            scenario: *scenario,
            controller,
            fault_schedule: FaultSchedule::new(scenario),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            tick: 0,
            moves: moves(&tables, START, scenario.deadline),
            tables,
            move_controller: MoveController::new(),
            no_leader_until: 0,
            share_steps: 0,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            servers: [Server::default(); NEW_SERVERS],
            members: Members::default(),
            reports: BTreeMap::new(),
            routes: [RouteResult::default(); ROUTES],
            load: 0.0,
            log_ratio: 0.0,
            detectable_at: None,
            last_bad_share_at: None,
        }
    }

    fn now(&self) -> Timestamp {
        START + self.since_start()
    }

    fn since_start(&self) -> Duration {
        TICK * u32::try_from(self.tick).unwrap_or(u32::MAX)
    }

    fn simulate_tick(&mut self) {
        self.tick += 1;
        self.update_servers();
        self.update_nodes();
        self.simulate_calls();
        self.send_reports();
        self.deliver_reports();
        match self.controller {
            Controller::Ours => self.decide(),
            Controller::Naive => self.raise_shares_linearly(),
        }
        self.record_nonzero_share();
    }

    /// Whether every move has ended and every node knows it.
    fn is_finished(&self) -> bool {
        self.moves.iter().all(|m| m.state.is_final())
            && self
                .nodes
                .iter()
                .all(|n| n.views.iter().all(|v| v.is_final))
    }

    fn update_servers(&mut self) {
        let since_start = self.since_start();
        let mut has_changed = false;
        for (number, server) in self.servers.iter_mut().enumerate() {
            let should_be_up = since_start >= self.fault_schedule.arrival(number)
                && self.tick >= server.down_until;
            if should_be_up && server.up_since.is_none() {
                server.up_since = Some(self.tick);
                server.incarnation += 1;
                has_changed = true;
            } else if !should_be_up && server.up_since.is_some() {
                server.up_since = None;
                has_changed = true;
            }
        }
        if has_changed {
            let up = self.up_servers();
            let up: Vec<_> = up
                .iter()
                .map(|n| (*n, self.servers[*n].incarnation))
                .collect();
            self.members = members(&self.scenario, &up);
        }
    }

    fn up_servers(&self) -> Vec<usize> {
        let numbered = self.servers.iter().enumerate();
        let up = numbered.filter(|(_, server)| server.up_since.is_some());
        up.map(|(number, _)| number).collect()
    }

    /// Applies the updates that have arrived at the nodes. A node that cannot reach the
    /// control replicas applies none.
    fn update_nodes(&mut self) {
        let since_start = self.since_start();
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if self.fault_schedule.is_cut_off(since_start, number) {
                continue;
            }
            if self.tick >= self.no_leader_until {
                node.analysis.record_confirmation(START + since_start);
            }
            for at in (0..node.inbox.len()).rev() {
                if node.inbox[at].0 > self.tick {
                    continue;
                }
                let (_, route, view) = node.inbox.swap_remove(at);
                if view.step > node.views[route].step {
                    node.views[route] = view;
                    node.analysis.set_step(id_of(route), view.step);
                }
            }
        }
    }

    fn simulate_calls(&mut self) {
        let up = self.up_servers();
        let mean = f64::from(self.scenario.rate) * TICK.as_secs_f64();
        let mut new_calls = 0;
        for route in 0..ROUTES {
            for _ in 0..poisson(&mut self.rng, mean) {
                new_calls += u64::from(self.simulate_call(route, &up, false));
            }
            if self.fault_schedule.sends_poison(self.since_start()) && route == 0 {
                self.simulate_call(route, &up, true);
            }
        }
        self.update_load(new_calls, up.len());
    }

    /// Updates the used fraction of the new pool's capacity, an exponential moving average with
    /// weight 0.1.
    #[expect(clippy::cast_precision_loss)]
    fn update_load(&mut self, new_calls: u64, up: usize) {
        let all = f64::from(self.scenario.rate) * ROUTES as f64 * TICK.as_secs_f64();
        let capacity = all / FULL_LOAD * up.max(1) as f64 / NEW_SERVERS as f64;
        self.load += (new_calls as f64 / capacity - self.load) * 0.1;
    }

    /// Simulates one call and returns whether the new pool took it.
    fn simulate_call(&mut self, route: usize, up: &[usize], is_poison: bool) -> bool {
        let node = self.rng.random_range(0..NODES);
        let view = self.nodes[node].views[route];
        let draw = self.rng.random_range(0..Share::PARTS);
        let is_cut = self.nodes[node].analysis.is_cut(id_of(route))
            || self.nodes[node].analysis.is_unsupervised(self.now());
        let is_new = view.share.contains_draw(draw) && !is_cut;
        let result = if is_new {
            self.new_call(route, up, is_poison)
        } else {
            self.old_call(route, is_poison)
        };
        let is_running = !self.moves[route].state.is_final();
        self.routes[route].calls += u64::from(is_running || is_new);
        self.routes[route].new_calls += u64::from(is_new && !self.is_done(route));
        if !view.is_final {
            let now = self.now();
            let analysis = &mut self.nodes[node].analysis;
            analysis.set_step(id_of(route), view.step);
            analysis.record_call(now, id_of(route), view.step, is_new, result);
        }
        is_new
    }

    fn is_done(&self, route: usize) -> bool {
        self.moves[route].state == MoveState::Done
    }

    fn old_call(&mut self, route: usize, is_poison: bool) -> MoveCallResult {
        if is_poison {
            return MoveCallResult::Crashed;
        }
        let old_fraction = 1.0 - (self.load / FULL_LOAD).min(1.0);
        let cx = Conditions {
            since_start: self.since_start(),
            route,
            load: self.fault_schedule.old_load(old_fraction),
            slowness: 1.0,
        };
        model::call(&mut self.rng, Version::Good, &cx).result
    }

    fn new_call(&mut self, route: usize, up: &[usize], is_poison: bool) -> MoveCallResult {
        if up.is_empty() {
            return MoveCallResult::Refused;
        }
        let server = self.fault_schedule.pick_server(&mut self.rng, up);
        if self
            .fault_schedule
            .is_restarting(self.since_start(), server)
        {
            return self.call_to_restarting_node();
        }
        let up_since = self.servers[server].up_since.unwrap_or(self.tick);
        let age = TICK * u32::try_from(self.tick - up_since).unwrap_or(u32::MAX);
        let cx = Conditions {
            since_start: self.since_start(),
            route,
            load: self.load,
            slowness: self.fault_schedule.slowness(server, age),
        };
        let call = model::call(&mut self.rng, self.scenario.version, &cx);
        let is_done = self.is_done(route);
        self.routes[route].bad_calls += u64::from(call.is_bad && !is_done);
        if call.is_bad && !is_done {
            self.log_ratio += call.log_ratio;
            if self.log_ratio >= DETECTION_LOG_RATIO && self.detectable_at.is_none() {
                self.detectable_at = Some(self.tick);
            }
        }
        if is_poison || call.result == MoveCallResult::Crashed {
            self.report_crash(server, is_poison);
            self.servers[server].down_until = self.tick + CRASH_TICKS;
            return MoveCallResult::Crashed;
        }
        call.result
    }

    /// Reports a crash to the controller. A poison request keeps its fingerprint each time it is
    /// sent.
    fn report_crash(&mut self, server: usize, is_poison: bool) {
        let fingerprint = if is_poison {
            u64::from(self.fault_schedule.poison_number(self.since_start()))
        } else {
            self.rng.random()
        };
        let up = [(server, self.servers[server].incarnation)];
        for id in members(&self.scenario, &up).servers.into_keys() {
            self.move_controller.add_crash(&CrashReport {
                fingerprint: Fingerprint::new(fingerprint),
                server: id,
                incarnation: Incarnation::new(self.servers[server].incarnation),
            });
        }
    }

    /// Returns the result of a call to a node that restarts: refused, unless the call was in flight
    /// when the node stopped.
    fn call_to_restarting_node(&mut self) -> MoveCallResult {
        if !self.fault_schedule.loses_calls(self.since_start()) {
            return MoveCallResult::Refused;
        }
        if happens(&mut self.rng, 0.2) {
            return MoveCallResult::Failed;
        }
        MoveCallResult::NodeLost
    }

    /// Sends the due reports of the nodes. Evidence of a report that is lost is not sent again.
    fn send_reports(&mut self) {
        let since_start = self.since_start();
        for (number, node) in (0..).zip(&mut self.nodes) {
            if !(self.tick + number).is_multiple_of(REPORT_TICKS) {
                continue;
            }
            let evidence = node.analysis.take_report();
            let index = usize::try_from(number).unwrap_or(0);
            let is_lost = self.fault_schedule.is_cut_off(since_start, index)
                || self.fault_schedule.is_restarting(since_start, index)
                || self.fault_schedule.loses_report(&mut self.rng);
            if is_lost {
                continue;
            }
            let at = self.tick + self.fault_schedule.report_delay(&mut self.rng);
            node.last_report = Some(at);
            self.reports.entry(at).or_default().push(evidence);
        }
    }

    /// Passes the reports that arrive at this tick to the controller as one sum, as relays would.
    fn deliver_reports(&mut self) {
        let Some(reports) = self.reports.remove(&self.tick) else {
            return;
        };
        if self.tick < self.no_leader_until {
            return;
        }
        let mut sum = Evidence::default();
        for report in &reports {
            sum.merge(report);
        }
        let now = self.now();
        self.move_controller.add_evidence(now, &sum);
    }

    /// Applies the steps that the controller decides from the evidence so far. Where the fault
    /// schedule says so, a change of a share is followed by a change of the leader, which loses the
    /// controller's state.
    fn decide(&mut self) {
        if !self.tick.is_multiple_of(DECIDE_TICKS) || self.tick < self.no_leader_until {
            return;
        }
        let reporting = self.nodes.iter().filter(|node| {
            let last = node.last_report.map(|at| at + REPORTING_TICKS);
            last.is_some_and(|until| until >= self.tick)
        });
        let coverage = EvidenceCoverage {
            nodes_reporting: u32::try_from(reporting.count()).unwrap_or(0),
            nodes_expected: u32::try_from(NODES).unwrap_or(0),
        };
        let now = self.now();
        let steps =
            self.move_controller
                .decide(now, &self.moves, &self.tables, &self.members, coverage);
        if steps.is_empty() {
            return;
        }
        let mut has_share_changed = false;
        for step in steps {
            let Some(route) = self.moves.iter().position(|m| m.id == step.id) else {
                continue;
            };
            let route_move = &mut self.moves[route];
            assert!(step.step == route_move.step + 1 && !route_move.state.is_final());
            has_share_changed |= route_move.share != step.share;
            route_move.step = step.step;
            route_move.state = step.state;
            route_move.share = step.share;
            route_move.stepped = step.at;
            route_move.evidence = step.evidence;
            self.distribute(route);
        }
        let step_index = self.share_steps;
        self.share_steps += u64::from(has_share_changed);
        if has_share_changed && self.fault_schedule.changes_leader(step_index) {
            self.move_controller = MoveController::new();
            self.no_leader_until = self.tick + LEADER_GAP_TICKS;
        }
    }

    /// Raises all shares linearly with time up to the deadline, the naive baseline.
    fn raise_shares_linearly(&mut self) {
        if !self.tick.is_multiple_of(REPORT_TICKS) {
            return;
        }
        let now = self.now();
        let fraction = self.since_start().as_secs_f64() / self.scenario.deadline.as_secs_f64();
        for route in 0..ROUTES {
            let route_move = &mut self.moves[route];
            if route_move.state.is_final() {
                continue;
            }
            route_move.step += 1;
            route_move.share = Share::from_fraction(fraction);
            route_move.stepped = now;
            route_move.state = if fraction >= 1.0 {
                MoveState::Done
            } else {
                MoveState::Ramping
            };
            self.distribute(route);
        }
    }

    /// Sends the state of a move to all nodes, with a delay of 1 to 4 ticks for each.
    fn distribute(&mut self, route: usize) {
        let route_move = &self.moves[route];
        let view = RouteView {
            step: route_move.step,
            share: route_move.share,
            is_final: route_move.state.is_final(),
        };
        for node in &mut self.nodes {
            let at = self.tick + self.rng.random_range(1..=4);
            node.inbox.push((at, route, view));
        }
    }

    /// Records the last tick at which some node sends calls of a bad route to the new version.
    fn record_nonzero_share(&mut self) {
        let version = self.scenario.version;
        let now = self.now();
        let sends_bad_calls = |node: &Node, route: usize| {
            version.is_bad_on(route)
                && node.views[route].share > Share::ZERO
                && !node.analysis.is_cut(id_of(route))
                && !node.analysis.is_unsupervised(now)
        };
        let any_node_sends = self
            .nodes
            .iter()
            .any(|node| (0..ROUTES).any(|route| sends_bad_calls(node, route)));
        if any_node_sends {
            self.last_bad_share_at = Some(self.tick);
        }
    }

    fn into_result(self) -> RunResult {
        let time = |tick: Option<u64>| tick.map(|t| TICK * u32::try_from(t).unwrap_or(u32::MAX));
        RunResult {
            version: self.scenario.version,
            moves: self.moves,
            routes: self.routes,
            detectable_at: time(self.detectable_at),
            last_bad_share_at: time(self.last_bad_share_at),
            deadline: self.scenario.deadline,
        }
    }
}

fn id_of(route: usize) -> MoveId {
    MoveId::new(route as u64)
}
