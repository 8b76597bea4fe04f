//! A loop over nodes, callers and the controller, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    CrashReport, Evidence, Fingerprint, Incarnation, Members, Move, MoveId, MoveState, Share,
    Tables, Timestamp,
};
use trefoillock_moves::{CallResult, LocalJudge, MoveController, NodeReport};

use super::{
    members::{FULL_LOAD, NEW_SERVERS, NODES, ROUTES, members, moves, tables},
    model::{self, Conditions},
    outcome::{RouteResult, RunResult},
    sampling::{happens, poisson},
    scenario::{Controller, Scenario, Version},
    weather::Weather,
};

/// The length of a tick.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two reports of a node.
const REPORT_TICKS: u64 = 10;
/// Ticks between two decisions.
const DECIDE_TICKS: u64 = 5;
/// Ticks without a leader at a change.
const LEADER_GAP_TICKS: u64 = 20;
/// Ticks for which a node counts as reporting after its last report.
const REPORTING_TICKS: u64 = 30;
/// Ticks for which a crashed backend server is down.
const CRASH_TICKS: u64 = 50;
/// Ticks that a run goes on after the deadline, so that the last step reaches every node.
const TAIL_TICKS: u64 = 20;
/// The evidence at which an ideal observer is sure: a false-alarm rate of 1e-4.
const SURE: f64 = 9.21;
/// The start of each run.
const START: Timestamp = Timestamp::from_secs(1_000_000);

/// How a node divides the calls of a route.
#[derive(Debug, Clone, Copy, Default)]
struct View {
    step: u32,
    share: Share,
    is_final: bool,
}

/// A node with what control has sent it.
#[derive(Debug, Default)]
struct Node {
    judge: LocalJudge,
    views: [View; ROUTES],
    inbox: Vec<(u64, usize, View)>,
    last_report: Option<u64>,
}

/// A backend server of the new version.
#[derive(Debug, Clone, Copy, Default)]
struct Server {
    run: u64,
    up_since: Option<u64>,
    down_until: u64,
}

struct Cluster {
    scenario: Scenario,
    controller: Controller,
    weather: Weather,
    rng: Pcg64Mcg,
    tick: u64,
    tables: Tables,
    moves: Vec<Move>,
    decider: MoveController,
    leader_from: u64,
    share_steps: u64,
    nodes: Vec<Node>,
    servers: [Server; NEW_SERVERS],
    members: Members,
    reports: BTreeMap<u64, Vec<Evidence>>,
    routes: [RouteResult; ROUTES],
    load: f64,
    log_ratio: f64,
    shown: Option<u64>,
    zero: Option<u64>,
}

/// Runs a scenario to its end.
#[must_use]
pub fn run(scenario: &Scenario, controller: Controller) -> RunResult {
    let mut cluster = Cluster::new(scenario, controller);
    let ticks = ticks(scenario.deadline) + TAIL_TICKS;
    while cluster.tick < ticks && !cluster.is_over() {
        cluster.step();
    }
    cluster.into_result()
}

fn ticks(span: Duration) -> u64 {
    u64::try_from(span.as_millis() / TICK.as_millis()).unwrap_or(u64::MAX)
}

impl Cluster {
    fn new(scenario: &Scenario, controller: Controller) -> Self {
        let tables = tables();
        Self {
            scenario: *scenario,
            controller,
            weather: Weather::new(scenario),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            tick: 0,
            moves: moves(&tables, START, scenario.deadline),
            tables,
            decider: MoveController::new(),
            leader_from: 0,
            share_steps: 0,
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            servers: [Server::default(); NEW_SERVERS],
            members: Members::default(),
            reports: BTreeMap::new(),
            routes: [RouteResult::default(); ROUTES],
            load: 0.0,
            log_ratio: 0.0,
            shown: None,
            zero: None,
        }
    }

    fn now(&self) -> Timestamp {
        START + self.since_start()
    }

    fn since_start(&self) -> Duration {
        TICK * u32::try_from(self.tick).unwrap_or(u32::MAX)
    }

    fn step(&mut self) {
        self.tick += 1;
        self.update_servers();
        self.update_nodes();
        self.take_calls();
        self.send_reports();
        self.deliver_reports();
        match self.controller {
            Controller::Ours => self.decide(),
            Controller::Naive => self.follow_clock(),
        }
        self.note_zero();
    }

    /// Whether every move has ended and every node knows.
    fn is_over(&self) -> bool {
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
            let shall_be_up =
                since_start >= self.weather.arrival(number) && self.tick >= server.down_until;
            if shall_be_up && server.up_since.is_none() {
                server.up_since = Some(self.tick);
                server.run += 1;
                has_changed = true;
            } else if !shall_be_up && server.up_since.is_some() {
                server.up_since = None;
                has_changed = true;
            }
        }
        if has_changed {
            let up = self.up_servers();
            let up: Vec<_> = up.iter().map(|n| (*n, self.servers[*n].run)).collect();
            self.members = members(&self.scenario, &up);
        }
    }

    fn up_servers(&self) -> Vec<usize> {
        let numbered = self.servers.iter().enumerate();
        let up = numbered.filter(|(_, server)| server.up_since.is_some());
        up.map(|(number, _)| number).collect()
    }

    /// Lets the nodes take in what control sent.
    fn update_nodes(&mut self) {
        let since_start = self.since_start();
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if self.weather.is_cut_off(since_start, number) {
                continue;
            }
            if self.tick >= self.leader_from {
                node.judge.confirm(START + since_start);
            }
            for at in (0..node.inbox.len()).rev() {
                if node.inbox[at].0 > self.tick {
                    continue;
                }
                let (_, route, view) = node.inbox.swap_remove(at);
                if view.step > node.views[route].step {
                    node.views[route] = view;
                    node.judge.set_step(id_of(route), view.step);
                }
            }
        }
    }

    fn take_calls(&mut self) {
        let up = self.up_servers();
        let mean = f64::from(self.scenario.rate) * TICK.as_secs_f64();
        let mut new_calls = 0;
        for route in 0..ROUTES {
            for _ in 0..poisson(&mut self.rng, mean) {
                new_calls += u64::from(self.take_call(route, &up, false));
            }
            if self.weather.sends_poison(self.since_start()) && route == 0 {
                self.take_call(route, &up, true);
            }
        }
        self.update_load(new_calls, up.len());
    }

    /// Follows the part of the new pool's capacity that is in use.
    #[expect(clippy::cast_precision_loss)]
    fn update_load(&mut self, new_calls: u64, up: usize) {
        let all = f64::from(self.scenario.rate) * ROUTES as f64 * TICK.as_secs_f64();
        let capacity = all / FULL_LOAD * up.max(1) as f64 / NEW_SERVERS as f64;
        self.load += (new_calls as f64 / capacity - self.load) * 0.1;
    }

    /// Takes one call and tells whether the new pool got it.
    fn take_call(&mut self, route: usize, up: &[usize], is_poison: bool) -> bool {
        let node = self.rng.random_range(0..NODES);
        let view = self.nodes[node].views[route];
        let draw = self.rng.random_range(0..Share::PARTS);
        let is_cut = self.nodes[node].judge.cut(id_of(route))
            || self.nodes[node].judge.is_unsupervised(self.now());
        let is_new = view.share.takes(draw) && !is_cut;
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
            let judge = &mut self.nodes[node].judge;
            judge.set_step(id_of(route), view.step);
            judge.record(now, id_of(route), view.step, is_new, result);
        }
        is_new
    }

    fn is_done(&self, route: usize) -> bool {
        self.moves[route].state == MoveState::Done
    }

    fn old_call(&mut self, route: usize, is_poison: bool) -> CallResult {
        if is_poison {
            return CallResult::Crashed;
        }
        let part = 1.0 - (self.load / FULL_LOAD).min(1.0);
        let cx = Conditions {
            since_start: self.since_start(),
            route,
            load: self.weather.old_load(part),
            slowness: 1.0,
        };
        model::call(&mut self.rng, Version::Good, &cx).result
    }

    fn new_call(&mut self, route: usize, up: &[usize], is_poison: bool) -> CallResult {
        if up.is_empty() {
            return CallResult::Refused;
        }
        let server = self.weather.pick_server(&mut self.rng, up);
        if self.weather.is_restarting(self.since_start(), server) {
            return self.call_to_restarting_node();
        }
        let up_since = self.servers[server].up_since.unwrap_or(self.tick);
        let age = TICK * u32::try_from(self.tick - up_since).unwrap_or(u32::MAX);
        let cx = Conditions {
            since_start: self.since_start(),
            route,
            load: self.load,
            slowness: self.weather.slowness(server, age),
        };
        let call = model::call(&mut self.rng, self.scenario.version, &cx);
        let is_done = self.is_done(route);
        self.routes[route].bad_calls += u64::from(call.is_bad && !is_done);
        if call.is_bad && !is_done {
            self.log_ratio += call.log_ratio;
            if self.log_ratio >= SURE && self.shown.is_none() {
                self.shown = Some(self.tick);
            }
        }
        if is_poison || call.result == CallResult::Crashed {
            self.report_crash(server, is_poison);
            self.servers[server].down_until = self.tick + CRASH_TICKS;
            return CallResult::Crashed;
        }
        call.result
    }

    /// Tells control of a crash. A poison request has the same fingerprint at each send.
    fn report_crash(&mut self, server: usize, is_poison: bool) {
        let fingerprint = if is_poison {
            u64::from(self.weather.poison_number(self.since_start()))
        } else {
            self.rng.random()
        };
        let up = [(server, self.servers[server].run)];
        for id in members(&self.scenario, &up).servers.into_keys() {
            self.decider.observe_crash(&CrashReport {
                fingerprint: Fingerprint::new(fingerprint),
                server: id,
                incarnation: Incarnation::new(self.servers[server].run),
            });
        }
    }

    /// The node is down: calls are refused, but for those that were in flight when it went.
    fn call_to_restarting_node(&mut self) -> CallResult {
        if !self.weather.loses_calls(self.since_start()) {
            return CallResult::Refused;
        }
        if happens(&mut self.rng, 0.2) {
            return CallResult::Failed;
        }
        CallResult::NodeLost
    }

    fn send_reports(&mut self) {
        let since_start = self.since_start();
        for (number, node) in (0..).zip(&mut self.nodes) {
            if !(self.tick + number).is_multiple_of(REPORT_TICKS) {
                continue;
            }
            let evidence = node.judge.take_report();
            let place = usize::try_from(number).unwrap_or(0);
            let is_lost = self.weather.is_cut_off(since_start, place)
                || self.weather.is_restarting(since_start, place)
                || self.weather.loses_report(&mut self.rng);
            if is_lost {
                continue;
            }
            let at = self.tick + self.weather.report_delay(&mut self.rng);
            node.last_report = Some(at);
            self.reports.entry(at).or_default().push(evidence);
        }
    }

    /// Gives control the reports that arrive, added up by the relays.
    fn deliver_reports(&mut self) {
        let Some(reports) = self.reports.remove(&self.tick) else {
            return;
        };
        if self.tick < self.leader_from {
            return;
        }
        let mut sum = Evidence::default();
        for report in &reports {
            sum.merge(report);
        }
        let now = self.now();
        self.decider.observe(now, &sum);
    }

    fn decide(&mut self) {
        if !self.tick.is_multiple_of(DECIDE_TICKS) || self.tick < self.leader_from {
            return;
        }
        let reporting = self.nodes.iter().filter(|node| {
            let last = node.last_report.map(|at| at + REPORTING_TICKS);
            last.is_some_and(|until| until >= self.tick)
        });
        let report = NodeReport {
            nodes_reporting: u32::try_from(reporting.count()).unwrap_or(0),
            nodes_expected: u32::try_from(NODES).unwrap_or(0),
        };
        let now = self.now();
        let steps = self
            .decider
            .decide(now, &self.moves, &self.tables, &self.members, report);
        if steps.is_empty() {
            return;
        }
        let mut has_moved = false;
        for step in steps {
            let Some(route) = self.moves.iter().position(|m| m.id == step.id) else {
                continue;
            };
            let action = &mut self.moves[route];
            assert!(step.step == action.step + 1 && !action.state.is_final());
            has_moved |= action.share != step.share;
            action.step = step.step;
            action.state = step.state;
            action.share = step.share;
            action.stepped = step.at;
            action.evidence = step.evidence;
            self.distribute(route);
        }
        let number = self.share_steps;
        self.share_steps += u64::from(has_moved);
        if has_moved && self.weather.changes_leader(number) {
            self.decider = MoveController::new();
            self.leader_from = self.tick + LEADER_GAP_TICKS;
        }
    }

    /// Raises all shares with the clock.
    fn follow_clock(&mut self) {
        if !self.tick.is_multiple_of(REPORT_TICKS) {
            return;
        }
        let now = self.now();
        let part = self.since_start().as_secs_f64() / self.scenario.deadline.as_secs_f64();
        for route in 0..ROUTES {
            let action = &mut self.moves[route];
            if action.state.is_final() {
                continue;
            }
            action.step += 1;
            action.share = Share::from_fraction(part);
            action.stepped = now;
            action.state = if part >= 1.0 {
                MoveState::Done
            } else {
                MoveState::Ramping
            };
            self.distribute(route);
        }
    }

    /// Sends the state of a move to all nodes.
    fn distribute(&mut self, route: usize) {
        let action = &self.moves[route];
        let view = View {
            step: action.step,
            share: action.share,
            is_final: action.state.is_final(),
        };
        for node in &mut self.nodes {
            let at = self.tick + self.rng.random_range(1..=4);
            node.inbox.push((at, route, view));
        }
    }

    /// Notes the last tick at which a node gave calls of a bad route to the new version.
    fn note_zero(&mut self) {
        let version = self.scenario.version;
        let now = self.now();
        let is_open = |node: &Node, route: usize| {
            version.is_bad_on(route)
                && node.views[route].share > Share::ZERO
                && !node.judge.cut(id_of(route))
                && !node.judge.is_unsupervised(now)
        };
        let any_open = self
            .nodes
            .iter()
            .any(|node| (0..ROUTES).any(|route| is_open(node, route)));
        if any_open {
            self.zero = Some(self.tick);
        }
    }

    fn into_result(self) -> RunResult {
        let time = |tick: Option<u64>| tick.map(|t| TICK * u32::try_from(t).unwrap_or(u32::MAX));
        RunResult {
            version: self.scenario.version,
            moves: self.moves,
            routes: self.routes,
            shown: time(self.shown),
            zero: time(self.zero),
            deadline: self.scenario.deadline,
        }
    }
}

fn id_of(route: usize) -> MoveId {
    MoveId::new(route as u64)
}
