//! Compares [`Balancer`] with a simple reference model, and simulates it with failing, misreporting
//! and new servers in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    Announcement, DataCentre, Incarnation, Member, MemberState, NodeId, PoolPolicy, RouteClass,
    ServerId, ServiceName, Timestamp, VersionLabel,
};
use trefoillock_policy::{Balancer, CallResult, LoadHint, TimeHint};

const START: Timestamp = Timestamp::from_secs(1_000);
const SLOTS: u32 = 9;

fn data_centre(name: &str) -> DataCentre {
    DataCentre::try_from(name).expect("valid name")
}

fn member(number: usize, data_centre_name: &str, state: MemberState) -> Arc<Member> {
    let port = u16::try_from(8_000 + number).expect("a port");
    Arc::new(Member {
        id: ServerId {
            node: NodeId::try_from(format!("node-{number:02}")).expect("valid name"),
            address: ([127, 0, 0, 1], port).into(),
        },
        announcement: Announcement {
            address: ([127, 0, 0, 1], port).into(),
            service: ServiceName::try_from("register").expect("valid name"),
            version: VersionLabel::try_from("1").expect("valid name"),
            incarnation: Incarnation::new(1),
            slots: SLOTS,
            connections: 120,
            state,
            instance: None,
        },
        peer_address: ([127, 0, 0, 1], 1).into(),
        data_centre: data_centre(data_centre_name),
        node_incarnation: Incarnation::new(1),
    })
}

fn members(count: usize) -> Vec<Arc<Member>> {
    (0..count)
        .map(|number| member(number, "a", MemberState::Up))
        .collect()
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small count"))
}

fn balancer(members: &[Arc<Member>], slow_start_s: u32) -> Balancer {
    let policy = PoolPolicy {
        slow_start_s,
        ..PoolPolicy::default()
    };
    let mut balancer = Balancer::new(policy, data_centre("a"));
    balancer.sync(START, members);
    balancer
}

#[derive(Debug, Clone)]
enum Op {
    Pick {
        draw: u64,
        excluded: Vec<usize>,
    },
    End {
        at: usize,
        result: CallResult,
    },
    SetState {
        server: usize,
        state: Option<MemberState>,
    },
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let result = prop_oneof![
        Just(CallResult::Answered(Duration::from_millis(5))),
        Just(CallResult::Failed),
        Just(CallResult::Overloaded),
        Just(CallResult::Cancelled),
    ];
    let state = prop_oneof![
        Just(None),
        Just(Some(MemberState::Up)),
        Just(Some(MemberState::Draining)),
    ];
    prop_oneof![
        4 => (any::<u64>(), prop::collection::vec(0..6_usize, 0..3))
            .prop_map(|(draw, excluded)| Op::Pick { draw, excluded }),
        3 => (any::<usize>(), result).prop_map(|(at, result)| Op::End { at, result }),
        1 => (0..6_usize, state).prop_map(|(server, state)| Op::SetState { server, state }),
        1 => (1..3_000_u64).prop_map(Op::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The reference model keeps a list of the servers that may be picked and of the calls in
    /// flight. The balancer must pick from the list whenever it is not empty, count the same calls,
    /// and never eject a majority.
    #[test]
    fn picks_match_the_reference_model(ops in prop::collection::vec(op(), 1..300)) {
        let mut states = [Some(MemberState::Up); 6];
        let mut in_flight: Vec<ServerId> = Vec::new();
        let all = members(6);
        let mut balancer = balancer(&all, 10);
        let mut now = START;
        for op in ops {
            match op {
                Op::Pick { draw, excluded } => {
                    let class = RouteClass::ALL[usize::from(draw % 2 == 0)];
                    let exclude: Vec<_> = excluded.iter().map(|at| all[*at].id.clone()).collect();
                    let allowed: Vec<&ServerId> = (0..6)
                        .filter(|at| states[*at] == Some(MemberState::Up))
                        .filter(|at| !excluded.contains(at))
                        .map(|at| &all[at].id)
                        .collect();
                    let picked = balancer.pick(now, draw, class, &exclude);
                    prop_assert_eq!(picked.is_some(), !allowed.is_empty());
                    if let Some(picked) = picked {
                        prop_assert!(allowed.contains(&&picked));
                        balancer.record_start(now, &picked);
                        in_flight.push(picked);
                    }
                }
                Op::End { at, result } if !in_flight.is_empty() => {
                    let id = in_flight.swap_remove(at % in_flight.len());
                    balancer.record_end(now, &id, result, None);
                }
                Op::SetState { server, state } => {
                    states[server] = state;
                    if state != Some(MemberState::Up) {
                        in_flight.retain(|id| *id != all[server].id);
                    }
                    let present = (0..6).filter_map(|at| Some(member(at, "a", states[at]?)));
                    balancer.sync(now, &present.collect::<Vec<_>>());
                }
                Op::Wait(millis) => now = now + Duration::from_millis(millis),
                Op::End { .. } => {}
            }
            for member in &all {
                let count = in_flight.iter().filter(|id| **id == member.id).count();
                prop_assert_eq!(balancer.in_flight(&member.id) as usize, count);
            }
            prop_assert!(2 * balancer.ejected() <= 6);
        }
    }
}

/// How a simulated server behaves and what load it reports.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    ReportsTruthfully,
    ReportsIdle,
    ReportsFull,
    /// Reports the same number of calls forever.
    ReportsFixed(u32),
    Fails,
    /// Takes this multiple of the usual service time and reports that it is idle.
    Slow(f64),
}

/// Simulates calls in virtual time from one entry node to servers with unbounded queues.
struct Simulation {
    behaviours: Vec<Behaviour>,
    /// The load as a share of the capacity of all servers.
    load: f64,
    calls: usize,
}

const SERVICE: Duration = Duration::from_millis(20);

struct Server {
    behaviour: Behaviour,
    running: u32,
    free_at: Vec<Timestamp>,
}

impl Server {
    fn start(&mut self, now: Timestamp, draw: f64) -> Timestamp {
        self.running += 1;
        let factor = match self.behaviour {
            Behaviour::Slow(factor) => factor,
            Behaviour::Fails => 0.01,
            _ => 1.0,
        };
        let slot = self.free_at.iter_mut().min().expect("a slot");
        let end = now.max(*slot) + SERVICE.mul_f64(factor * (0.5 + draw));
        *slot = end;
        end
    }

    fn hint(&self) -> LoadHint {
        let calls = match self.behaviour {
            Behaviour::ReportsIdle | Behaviour::Slow(_) => 0,
            Behaviour::ReportsFull => 3 * SLOTS,
            Behaviour::ReportsFixed(calls) => calls,
            _ => self.running,
        };
        LoadHint {
            running: calls.min(SLOTS),
            queued: calls.saturating_sub(SLOTS),
            slots: SLOTS,
            queue_delay_us: 0,
            limit: None,
            time: None,
        }
    }
}

impl Simulation {
    /// Returns the number of calls that each server received, as a multiple of the fair share, and
    /// the 99th percentile of the latency.
    fn run(&self) -> (Vec<f64>, Duration) {
        let count = self.behaviours.len();
        let all = members(count);
        let mut balancer = balancer(&all, 0);
        let mut rng = Pcg64Mcg::seed_from_u64(5);
        let new_server = |behaviour: &Behaviour| Server {
            behaviour: *behaviour,
            running: 0,
            free_at: vec![START; SLOTS as usize],
        };
        let mut servers: Vec<Server> = self.behaviours.iter().map(new_server).collect();
        let mut ends: BinaryHeap<Reverse<(Timestamp, usize, Timestamp)>> = BinaryHeap::new();
        let mut received: BTreeMap<usize, usize> = BTreeMap::new();
        let mut latencies = Vec::new();
        let mut now = START;
        let rate = self.load * float(count) * f64::from(SLOTS) / SERVICE.as_secs_f64();
        for _ in 0..self.calls {
            now = now + Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate);
            while let Some(Reverse((end, at, start))) = ends.pop() {
                if end > now {
                    ends.push(Reverse((end, at, start)));
                    break;
                }
                servers[at].running -= 1;
                let latency = end.since(start);
                let result = if servers[at].behaviour == Behaviour::Fails {
                    CallResult::Failed
                } else {
                    latencies.push(latency);
                    CallResult::Answered(latency)
                };
                let hint = servers[at].hint();
                balancer.record_end(end, &all[at].id, result, Some(hint));
            }
            let picked = balancer.pick(now, rng.random(), RouteClass::Lookup, &[]);
            let picked = picked.expect("servers are up");
            let at = all.iter().position(|member| member.id == picked);
            let at = at.expect("a member");
            balancer.record_start(now, &picked);
            *received.entry(at).or_default() += 1;
            ends.push(Reverse((servers[at].start(now, rng.random()), at, now)));
        }
        latencies.sort();
        let fair = float(self.calls) / float(count);
        let share = |at: usize| float(received.get(&at).copied().unwrap_or(0)) / fair;
        let p99 = latencies[latencies.len() * 99 / 100];
        ((0..count).map(share).collect(), p99)
    }
}

fn simulate(behaviour: Behaviour, load: f64) -> (Vec<f64>, Duration) {
    let mut behaviours = vec![Behaviour::ReportsTruthfully; 4];
    behaviours[0] = behaviour;
    let simulation = Simulation {
        behaviours,
        load,
        calls: 20_000,
    };
    let (shares, p99) = simulation.run();
    println!("{behaviour:?} at {load}: shares {shares:.2?}, p99 {p99:?}");
    (shares, p99)
}

#[test]
fn a_false_load_hint_neither_attracts_nor_repels_all_calls() {
    let misreporting = [
        Behaviour::ReportsIdle,
        Behaviour::ReportsFull,
        Behaviour::ReportsFixed(0),
        Behaviour::ReportsFixed(SLOTS),
        Behaviour::ReportsFixed(30 * SLOTS),
    ];
    for load in [0.1, 0.5, 0.8] {
        let (_, baseline) = simulate(Behaviour::ReportsTruthfully, load);
        for behaviour in misreporting {
            let (shares, p99) = simulate(behaviour, load);
            assert!(
                shares[0] > 0.2 && shares[0] < 1.8,
                "{behaviour:?}: {shares:?}"
            );
            assert!(
                p99 < baseline * 2,
                "{behaviour:?}: {p99:?} against {baseline:?}"
            );
        }
    }
}

#[test]
fn a_slow_server_gets_fewer_calls_although_it_reports_idle() {
    for load in [0.02, 0.3] {
        let (shares, _) = simulate(Behaviour::Slow(4.0), load);
        assert!(shares[0] < 0.3, "{shares:?}");
    }
}

#[test]
fn a_failing_server_is_ejected_although_it_answers_fast() {
    let (shares, _) = simulate(Behaviour::Fails, 0.3);
    assert!(shares[0] < 0.1, "{shares:?}");
}

fn fail(balancer: &mut Balancer, now: Timestamp, id: &ServerId, times: usize) {
    for _ in 0..times {
        balancer.record_start(now, id);
        balancer.record_end(now, id, CallResult::Failed, None);
    }
}

#[test]
fn a_majority_is_never_ejected() {
    let all = members(5);
    let mut balancer = balancer(&all, 0);
    for member in &all {
        fail(&mut balancer, START, &member.id, 50);
    }
    assert_eq!(balancer.ejected(), 2);
}

#[test]
fn an_ejected_server_is_readmitted_after_single_probes() {
    let all = members(3);
    let mut balancer = balancer(&all, 0);
    let bad = &all[0].id;
    fail(&mut balancer, START, bad, 5);
    assert_eq!(balancer.ejected(), 1);
    let picks = |balancer: &Balancer, now, class| {
        (0..100).any(|draw| balancer.pick(now, draw, class, &[]).as_ref() == Some(bad))
    };
    assert!(!picks(&balancer, START, RouteClass::Lookup));
    let later = START + Duration::from_secs(2);
    // A posting must not be a probe while lookups may be.
    assert!(!picks(&balancer, later, RouteClass::Posting));
    for _ in 0..3 {
        assert!(picks(&balancer, later, RouteClass::Lookup));
        balancer.record_start(later, bad);
        assert!(
            !picks(&balancer, later, RouteClass::Lookup),
            "one probe at a time"
        );
        let answered = CallResult::Answered(Duration::from_millis(1));
        balancer.record_end(later, bad, answered, None);
    }
    assert_eq!(balancer.ejected(), 0);
}

#[test]
fn a_failed_probe_prolongs_the_ejection() {
    let all = members(3);
    let mut balancer = balancer(&all, 0);
    let bad = &all[0].id;
    fail(&mut balancer, START, bad, 5);
    let later = START + Duration::from_secs(2);
    fail(&mut balancer, later, bad, 1);
    let picked = balancer.pick(later + Duration::from_secs(3), 1, RouteClass::Lookup, &[]);
    assert_ne!(picked.as_ref(), Some(bad));
    let picked = balancer.pick(later + Duration::from_secs(4), 1, RouteClass::Lookup, &[]);
    assert_eq!(picked.as_ref(), Some(bad));
}

/// The share of picks that a server gets at a point in time. Picks are not counted as calls.
fn share_of(balancer: &Balancer, now: Timestamp, id: &ServerId) -> f64 {
    let is_picked = |draw: &u64| {
        let picked = balancer.pick(now, *draw, RouteClass::Posting, &[]);
        picked.as_ref() == Some(id)
    };
    float((0..10_000).filter(is_picked).count()) / 10_000.0
}

#[test]
fn a_new_server_starts_slowly() {
    let mut balancer = balancer(&members(3), 10);
    let later = START + Duration::from_mins(1);
    let all = members(4);
    balancer.sync(later, &all);
    let new = &all[3].id;
    let at_first = share_of(&balancer, later, new);
    let halfway = share_of(&balancer, later + Duration::from_secs(5), new);
    let at_last = share_of(&balancer, later + Duration::from_secs(10), new);
    println!("slow start: {at_first}, {halfway}, {at_last}");
    // The fair share is 0.25; the new server gets about a tenth and then half of it.
    assert!((0.005..0.06).contains(&at_first));
    assert!((0.08..0.2).contains(&halfway));
    assert!((0.2..0.3).contains(&at_last));
}

/// Guards against a server that is left out for tens of seconds because its first call, on a new
/// connection, took long.
#[test]
fn one_slow_call_does_not_outweigh_the_expected_time() {
    const EXPECTED: Duration = Duration::from_millis(10);
    let all = members(2);
    let mut balancer = balancer(&all, 0);
    let hint = LoadHint {
        running: 0,
        queued: 0,
        slots: SLOTS,
        queue_delay_us: 0,
        limit: None,
        time: Some(TimeHint {
            wait_us: 0,
            service_us: 10_000,
            usual_us: 10_000,
        }),
    };
    let mut call = |now, id, latency| {
        balancer.record_start(now, id);
        balancer.record_end(now, id, CallResult::Answered(latency), Some(hint));
    };
    let (slow_at_first, other) = (&all[0].id, &all[1].id);
    call(START, slow_at_first, 5 * EXPECTED);
    call(START, other, EXPECTED);
    for id in [slow_at_first, other] {
        call(START, id, EXPECTED);
    }
    let share = share_of(&balancer, START, slow_at_first);
    assert!((0.4..0.6).contains(&share), "{share}");
}

#[test]
fn calls_stay_in_the_data_centre_until_it_is_overloaded() {
    let local = member(0, "a", MemberState::Up);
    let mut all = vec![local.clone()];
    all.extend((1..4).map(|number| member(number, "b", MemberState::Up)));
    let mut balancer = balancer(&all, 0);
    assert!((share_of(&balancer, START, &local.id) - 1.0).abs() < 1e-9);
    for _ in 0..SLOTS {
        balancer.record_start(START, &local.id);
    }
    assert!(share_of(&balancer, START, &local.id) < 0.05);
    for _ in 0..SLOTS {
        balancer.record_end(START, &local.id, CallResult::Cancelled, None);
    }
    assert!((share_of(&balancer, START, &local.id) - 1.0).abs() < 1e-9);
    for _ in 0..20 {
        balancer.record_start(START, &local.id);
        balancer.record_end(START, &local.id, CallResult::Overloaded, None);
    }
    assert!(share_of(&balancer, START, &local.id) < 0.2);
}

#[test]
fn a_draining_or_removed_server_gets_no_call() {
    let mut all = members(2);
    let mut balancer = balancer(&all, 10);
    fail(&mut balancer, START, &all[0].id, 4);
    all[0] = member(0, "a", MemberState::Draining);
    balancer.sync(START, &all);
    assert_eq!(balancer.len(), 1);
    assert!(share_of(&balancer, START, &all[0].id) < 1e-9);
    balancer.sync(START, &[]);
    assert_eq!(balancer.pick(START, 1, RouteClass::Lookup, &[]), None);
}
