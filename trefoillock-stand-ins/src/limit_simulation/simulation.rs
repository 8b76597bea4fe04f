//! Runs one simulation: the events of callers, nodes and backend servers in the order of time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    DEFAULT_PRIORITY, Incarnation, Map, Member, MemberState, RefusalReason, RouteClass, ServerId,
    Timestamp,
};
use trefoillock_policy::{
    Attempt, CallResult, Demand, Lane, Offer, RetryDecision, SentState, Ticket, retry_decision,
};

use super::{
    Fault, Outcome, Scenario, checks,
    entry::Entry,
    scenario::{LENGTH, START},
    server::{Destination, Report, Server, Start},
};

/// The time that a message between two nodes takes.
const HOP: Duration = Duration::from_micros(1_500);
/// The time that the next list of members takes.
const MEMBERS_DELAY: Duration = Duration::from_millis(100);
/// The time that a node takes to start again.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// The time for which the list of members does not change when the leader is lost.
const LEADER_LOSS: Duration = Duration::from_secs(3);
/// How long a backend server goes on after it has first said that it leaves.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// The time after which an entry node counts as told.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// The length of a burst, and the factor on the rate of calls.
const BURST: (Duration, f64) = (Duration::from_secs(2), 3.0);
/// How long a caller waits, and the time by which an answer should arrive.
const DEADLINE: Duration = Duration::from_secs(1);
const OBJECTIVE: Duration = Duration::from_millis(300);
/// The largest number of backend servers that a call is sent to.
const MAX_SENDS: u32 = 2;

/// The identity of a call.
pub(crate) type CallId = u64;

/// A call on its way.
#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    entry_run: u64,
    class: RouteClass,
    arrived: Timestamp,
    deadline: Timestamp,
    target: Option<Arc<Member>>,
    tried: Vec<ServerId>,
    attempts: u32,
    is_return: bool,
}

#[derive(Debug, Clone)]
enum Event {
    /// A call arrives at an entry node, which draws the time of the next one.
    Arrive(usize),
    /// A caller comes back after a refusal.
    Return(Call),
    /// A call reaches the node beside a backend server.
    Deliver(CallId, usize),
    /// Turns and expired calls are due at a run of a destination node.
    Check(usize, u64),
    /// A backend server has run a call.
    Finish(CallId, Ticket, usize, u64),
    /// The answer reaches the entry node.
    Answer(CallId, Report),
    /// A refusal reaches the entry node.
    Refuse(CallId, RefusalReason, Duration),
    Fault(Fault),
    /// A destination node runs again.
    DestinationUp(usize),
    /// A leaving backend server ends, and its successor starts.
    Succeed(usize, Incarnation),
    /// The leader publishes the list of members.
    Publish,
}

/// An event at its time; events at one time are in the order of their creation.
#[derive(Debug)]
struct Scheduled {
    at: Timestamp,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: Pcg64Mcg,
    now: Timestamp,
    events: BinaryHeap<Reverse<Scheduled>>,
    next_number: u64,
    entries: Vec<Entry>,
    entry_runs: Vec<u64>,
    servers: Vec<Server>,
    calls: Map<CallId, Call>,
    published: Vec<Arc<Member>>,
    leader_lost_until: Timestamp,
    burst_until: Timestamp,
    outcome: Outcome,
}

/// Runs a scenario and checks its bounds.
#[must_use]
pub fn run(scenario: &Scenario) -> Outcome {
    let servers: Vec<Server> = (0..scenario.servers)
        .map(|number| Server::new(number, START))
        .collect();
    let published: Vec<_> = servers.iter().map(|server| server.member.clone()).collect();
    let entries = (0..scenario.entries).map(|_| Entry::new(START, &published));
    let mut simulation = Simulation {
        scenario,
        rng: Pcg64Mcg::seed_from_u64(scenario.seed ^ 0x5eed),
        now: START,
        events: BinaryHeap::new(),
        next_number: 0,
        entries: entries.collect(),
        entry_runs: vec![0; scenario.entries],
        servers,
        calls: Map::default(),
        published,
        leader_lost_until: START,
        burst_until: START,
        outcome: Outcome {
            seed: scenario.seed,
            ..Outcome::default()
        },
    };
    for entry in 0..scenario.entries {
        simulation.schedule(Duration::ZERO, Event::Arrive(entry));
    }
    for (at, fault) in &scenario.faults {
        simulation.schedule(at.since(START), Event::Fault(*fault));
    }
    simulation.run();
    checks::check(
        scenario,
        &simulation.servers,
        &simulation.entries,
        simulation.outcome,
    )
}

impl Simulation<'_> {
    fn run(&mut self) {
        while let Some(Reverse(next)) = self.events.pop() {
            self.now = next.at;
            self.handle(next.event);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.events.push(Reverse(Scheduled {
            at: self.now + after,
            number,
            event,
        }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(entry) => self.arrive(entry),
            Event::Return(call) => self.begin(call),
            Event::Deliver(id, server) => self.deliver(id, server),
            Event::Check(server, run) => {
                if self.servers[server].destination_runs == run {
                    self.check(server);
                }
            }
            Event::Finish(id, ticket, server, run) => self.finish(id, ticket, server, run),
            Event::Answer(id, report) => self.answer(id, report),
            Event::Refuse(id, reason, retry_after) => self.refuse(id, reason, retry_after),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::DestinationUp(server) => {
                let server = &mut self.servers[server];
                if server.destination.is_none() {
                    server.destination = Some(Destination::new());
                }
            }
            Event::Succeed(server, incarnation) => {
                if self.servers[server].member.announcement.incarnation == incarnation {
                    self.restart_server(server);
                }
            }
            Event::Publish => self.publish(),
        }
    }

    fn arrive(&mut self, entry: usize) {
        if self.now.since(START) >= LENGTH {
            return;
        }
        let mut per_s = self.scenario.calls_per_s(entry);
        if self.now < self.burst_until {
            per_s *= BURST.1;
        }
        let pause = -self.rng.random_range(1e-9_f64..1.0).ln() / per_s;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrive(entry));
        let class = match self.rng.random_range(0..10) {
            0..3 => RouteClass::Posting,
            3..9 => RouteClass::Lookup,
            _ => RouteClass::Background,
        };
        self.outcome.calls += 1;
        self.entries[entry].calls += 1;
        self.begin(Call {
            entry,
            entry_run: 0,
            class,
            arrived: self.now,
            deadline: self.now + DEADLINE,
            target: None,
            tried: Vec::new(),
            attempts: 0,
            is_return: false,
        });
    }

    fn begin(&mut self, mut call: Call) {
        call.entry_run = self.entry_runs[call.entry];
        let id = self.next_number;
        self.next_number += 1;
        self.calls.insert(id, call);
        self.send(id);
    }

    /// Sends a call to a backend server that was not tried.
    fn send(&mut self, id: CallId) {
        let draw = self.rng.random();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let balancer = &mut self.entries[call.entry].balancer;
        let lane = Lane::new(DEFAULT_PRIORITY, call.class);
        if let Some(wait) = balancer.refusal_wait(self.now, lane, &call.tried) {
            self.outcome.refused_at_entries += 1;
            self.end_refused(id, wait);
            return;
        }
        let picked = balancer.pick(self.now, draw, call.class, &call.tried);
        let position = |id: &ServerId| self.servers.iter().position(|s| s.member.id == *id);
        let Some(server) = picked.as_ref().and_then(position) else {
            self.calls.remove(&id);
            return;
        };
        let target = &self.servers[server].member;
        balancer.record_start(self.now, &target.id);
        call.tried.push(target.id.clone());
        call.target = Some(target.clone());
        call.attempts += 1;
        self.schedule(HOP, Event::Deliver(id, server));
    }

    fn deliver(&mut self, id: CallId, at: usize) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let entry = &self.entries[call.entry];
        let server = &mut self.servers[at];
        let is_current = call.target.as_ref() == Some(&server.member);
        let known = entry.known_limit(&server.member);
        let Some(destination) = server.destination.as_mut().filter(|_| is_current) else {
            self.schedule(
                HOP,
                Event::Refuse(id, RefusalReason::Draining, Duration::ZERO),
            );
            return;
        };
        let admission = &mut destination.admission;
        if !destination.has_stated && admission.rate_limit().is_none() {
            admission.set_rate_limit(self.now, known);
        }
        let mut demand = Demand::new(call.class, call.deadline);
        if self.scenario.has_objectives {
            demand = demand.objective(call.arrived + OBJECTIVE);
        }
        let ticket = Ticket::new(id);
        match admission.offer(self.now, ticket, demand) {
            Offer::Admitted => self.start(id, ticket, at),
            Offer::Queued => {
                destination.waiting.insert(ticket, id);
            }
            Offer::Refused(reason) => {
                let retry_after = admission.retry_after(self.now);
                self.schedule(HOP, Event::Refuse(id, reason, retry_after));
            }
        }
        self.check(at);
    }

    /// A call starts at a backend server.
    fn start(&mut self, id: CallId, ticket: Ticket, at: usize) {
        let service_time = Duration::from_millis(self.rng.random_range(20..140));
        let server = &mut self.servers[at];
        let run = (
            server.member.id.clone(),
            server.member.announcement.incarnation,
        );
        let call = &self.calls[&id];
        let entry = &self.entries[call.entry];
        let told_at = entry.told_limit.get(&run);
        let is_told = told_at.is_some_and(|told| call.arrived >= *told + TOLD_AFTER);
        let is_told_leaving = entry.told_leaving.get(&run);
        if is_told_leaving.is_some_and(|told| call.arrived > *told) {
            let bound = format!("a call reached {} after it had said it leaves", run.0);
            self.outcome.broken.push(bound);
        }
        self.outcome.started_limited += u64::from(server.limit.is_some());
        let at_run = server.destination_runs;
        let now = self.now;
        server.record().starts.push(Start { at: now, is_told });
        self.schedule(service_time, Event::Finish(id, ticket, at, at_run));
    }

    /// Starts the calls whose turn has come, refuses those that have waited too long, and plans the
    /// next check.
    fn check(&mut self, at: usize) {
        let now = self.now;
        let run = self.servers[at].destination_runs;
        let Some(destination) = &mut self.servers[at].destination else {
            return;
        };
        let admitted = destination.admission.admit_waiting(now);
        let expired = destination.admission.expire(now);
        let started: Vec<_> = admitted
            .iter()
            .filter_map(|ticket| Some((*ticket, destination.waiting.remove(ticket)?)))
            .collect();
        let refused: Vec<_> = expired
            .iter()
            .filter_map(|call| Some((call.reason, destination.waiting.remove(&call.ticket)?)))
            .collect();
        let retry_after = destination.admission.retry_after(now);
        let turn = destination.admission.next_turn(now);
        let expiry = destination.admission.next_expiry(now);
        let next = [turn, expiry].into_iter().flatten().min();
        let next = next.map(|next| next.max(now + Duration::from_millis(1)));
        let is_planned = destination
            .next_check
            .is_some_and(|planned| planned > now && next.is_none_or(|next| planned <= next));
        if let Some(next) = next.filter(|_| !is_planned) {
            destination.next_check = Some(next);
            self.schedule(next.since(now), Event::Check(at, run));
        }
        for (ticket, id) in started {
            self.start(id, ticket, at);
        }
        for (reason, id) in refused {
            self.schedule(HOP, Event::Refuse(id, reason, retry_after));
        }
    }

    fn finish(&mut self, id: CallId, ticket: Ticket, at: usize, run: u64) {
        let (now, server) = (self.now, &mut self.servers[at]);
        if server.destination_runs != run {
            self.lose(id);
            return;
        }
        let (limit, is_leaving) = (server.limit, server.is_leaving);
        let Some(destination) = &mut server.destination else {
            return;
        };
        let admission = &mut destination.admission;
        destination.has_stated = true;
        if admission.rate_limit() != limit {
            admission.set_rate_limit(now, limit);
        }
        let begins_to_leave = is_leaving && !destination.is_leaving;
        if begins_to_leave {
            destination.is_leaving = true;
            admission.set_draining(true);
        }
        let admitted = admission.release(now, ticket);
        let started: Vec<_> = admitted
            .iter()
            .filter_map(|ticket| Some((*ticket, destination.waiting.remove(ticket)?)))
            .collect();
        let report = Report {
            load: destination.admission.hint(now),
            is_leaving: destination.is_leaving,
        };
        for (ticket, id) in started {
            self.start(id, ticket, at);
        }
        if begins_to_leave {
            let mut member = self.servers[at].member.as_ref().clone();
            member.announcement.state = MemberState::Draining;
            self.servers[at].member = Arc::new(member);
            self.schedule(MEMBERS_DELAY, Event::Publish);
        }
        self.schedule(HOP, Event::Answer(id, report));
        self.check(at);
    }

    /// Ends a call whose backend server or node has ended.
    fn lose(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id)
            && call.entry_run == self.entry_runs[call.entry]
            && let Some(target) = &call.target
        {
            let balancer = &mut self.entries[call.entry].balancer;
            balancer.record_end(self.now, &target.id, CallResult::Cancelled, None);
        }
    }

    fn answer(&mut self, id: CallId, mut report: Report) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let Some(target) = call
            .target
            .filter(|_| call.entry_run == self.entry_runs[call.entry])
        else {
            return;
        };
        let entry = &mut self.entries[call.entry];
        entry.record_report(self.now, &target, report, &self.published);
        if !self.scenario.entries_learn {
            report.load.limit = None;
        }
        let latency = self.now.since(call.arrived);
        entry
            .balancer
            .record_hint(self.now, &target.id, report.load);
        let result = CallResult::Answered(latency);
        entry
            .balancer
            .record_end(self.now, &target.id, result, None);
        entry.budget.deposit();
        if self.now <= call.deadline {
            entry.answered += 1;
            self.outcome.answered += 1;
        }
    }

    fn refuse(&mut self, id: CallId, reason: RefusalReason, retry_after: Duration) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let Some(target) = call
            .target
            .filter(|_| call.entry_run == self.entry_runs[call.entry])
        else {
            self.calls.remove(&id);
            return;
        };
        let entry = &mut self.entries[call.entry];
        let result = match reason {
            RefusalReason::RateLimited if self.scenario.entries_learn => CallResult::RateLimited {
                lane: Lane::new(DEFAULT_PRIORITY, call.class),
                wait: retry_after,
            },
            RefusalReason::Draining => CallResult::Failed,
            _ => CallResult::Overloaded,
        };
        entry
            .balancer
            .record_end(self.now, &target.id, result, None);
        self.outcome.sent_in_vain += u64::from(reason == RefusalReason::RateLimited);
        let attempt = Attempt {
            class: call.class,
            sent: SentState::NotSent,
            outcome: trefoillock_core::Outcome::DidNotRun,
            reason,
            attempts: call.attempts,
            sends: 0,
            max_sends: MAX_SENDS,
            deadline: call.deadline,
        };
        if retry_decision(self.now, &attempt, &mut entry.budget) == RetryDecision::Retry {
            self.send(id);
            return;
        }
        self.end_refused(id, retry_after);
    }

    /// Ends a refused call; its caller comes back once, after the time that it was told.
    fn end_refused(&mut self, id: CallId, retry_after: Duration) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let comes_back = !call.is_return && self.now + retry_after < call.deadline;
        if comes_back && !retry_after.is_zero() {
            let next = Call {
                target: None,
                tried: Vec::new(),
                attempts: 0,
                is_return: true,
                ..call
            };
            self.schedule(retry_after, Event::Return(next));
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Limit(server, limit) => self.servers[server].set_limit(self.now, limit),
            Fault::Leave(at) => {
                let server = &mut self.servers[at];
                server.is_leaving = true;
                let incarnation = server.member.announcement.incarnation;
                self.schedule(LEAVING_TIME, Event::Succeed(at, incarnation));
            }
            Fault::RestartServer(server) => self.restart_server(server),
            Fault::RestartDestination(server) => {
                self.servers[server].restart_destination();
                self.schedule(RESTART_TIME, Event::DestinationUp(server));
            }
            Fault::RestartEntry(entry) => {
                self.entry_runs[entry] += 1;
                let (calls, answered) = (self.entries[entry].calls, self.entries[entry].answered);
                self.entries[entry] = Entry {
                    calls,
                    answered,
                    ..Entry::new(self.now, &self.published)
                };
            }
            Fault::LoseLeader => self.leader_lost_until = self.now + LEADER_LOSS,
            Fault::Burst => self.burst_until = self.now + BURST.0,
        }
    }

    fn restart_server(&mut self, server: usize) {
        self.servers[server].restart(self.now);
        self.schedule(MEMBERS_DELAY, Event::Publish);
    }

    fn publish(&mut self) {
        if self.now < self.leader_lost_until {
            let wait = self.leader_lost_until.since(self.now);
            self.schedule(wait, Event::Publish);
            return;
        }
        self.published = self.servers.iter().map(|s| s.member.clone()).collect();
        for entry in &mut self.entries {
            entry.set_members(self.now, &self.published);
        }
    }
}
