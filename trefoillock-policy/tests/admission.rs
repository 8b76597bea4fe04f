//! Compares [`Admission`] with a simple reference model, and simulates it under overload in virtual
//! time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{RefusalReason, RouteClass, Timestamp};
use trefoillock_policy::{Admission, Demand, Offer, Ticket};

const SLOTS: u32 = 9;
const CONNECTIONS: u32 = 120;
const QUEUE_TIME: Duration = Duration::from_millis(100);
const START: Timestamp = Timestamp::from_secs(1_000);

fn admission() -> Admission {
    Admission::new(SLOTS, CONNECTIONS, QUEUE_TIME)
}

/// The order in which classes get a slot, as specified; lower goes first.
fn class_order(class: RouteClass) -> u32 {
    match class {
        RouteClass::Posting => 0,
        RouteClass::Export => 1,
        RouteClass::Lookup => 2,
        RouteClass::Background => 3,
    }
}

/// A reference model that searches plain lists. It has no overload state.
#[derive(Default)]
struct ReferenceModel {
    running: Vec<(u64, RouteClass)>,
    waiting: Vec<(u64, RouteClass)>,
    others_offered_at: Option<Timestamp>,
}

impl ReferenceModel {
    fn has_slot(&self, now: Timestamp, class: RouteClass) -> bool {
        let is_export = |(_, class): &&(u64, RouteClass)| *class == RouteClass::Export;
        let exports = self.running.iter().filter(is_export).count();
        let others = self
            .others_offered_at
            .is_some_and(|at| now.since(at).as_secs() < 5);
        let limit = if others { 6 } else { 9 };
        self.running.len() < 9 && (class != RouteClass::Export || exports < limit)
    }

    fn offer(&mut self, now: Timestamp, ticket: u64, class: RouteClass) -> Offer {
        if matches!(class, RouteClass::Lookup | RouteClass::Posting) {
            self.others_offered_at = Some(now);
        }
        let blocked = self
            .waiting
            .iter()
            .any(|(_, class)| self.has_slot(now, *class));
        if self.has_slot(now, class) && !blocked {
            self.running.push((ticket, class));
            return Offer::Admitted;
        }
        self.waiting.push((ticket, class));
        Offer::Queued
    }

    fn leave(&mut self, now: Timestamp, ticket: u64) -> Vec<Ticket> {
        self.running.retain(|(other, _)| *other != ticket);
        self.waiting.retain(|(other, _)| *other != ticket);
        let mut admitted = Vec::new();
        loop {
            let can_start = self
                .waiting
                .iter()
                .filter(|(_, class)| self.has_slot(now, *class));
            let next = can_start.min_by_key(|(ticket, class)| (class_order(*class), *ticket));
            let Some(next) = next.copied() else {
                return admitted;
            };
            self.waiting.retain(|other| *other != next);
            self.running.push(next);
            admitted.push(Ticket::new(next.0));
        }
    }
}

#[derive(Debug, Clone)]
enum Op {
    Offer(RouteClass),
    Release(usize),
    Withdraw(usize),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0..4_usize).prop_map(|at| Op::Offer(RouteClass::ALL[at])),
        3 => any::<usize>().prop_map(Op::Release),
        1 => any::<usize>().prop_map(Op::Withdraw),
        2 => (1..8_u64).prop_map(Op::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// While the queue delay is too short for overload, each answer equals that of the model.
    #[test]
    fn answers_match_the_reference_model(ops in prop::collection::vec(op(), 1..200)) {
        let mut admission = Admission::new(SLOTS, CONNECTIONS, Duration::from_mins(10));
        let mut model = ReferenceModel::default();
        let mut now = START;
        let deadline = START + Duration::from_hours(1);
        for (number, op) in ops.into_iter().enumerate() {
            match op {
                Op::Offer(class) => {
                    let ticket = number as u64;
                    let offer =
                        admission.offer(now, Ticket::new(ticket), Demand::new(class, deadline));
                    prop_assert_eq!(offer, model.offer(now, ticket, class));
                }
                Op::Release(at) if !model.running.is_empty() => {
                    let ticket = model.running[at % model.running.len()].0;
                    let admitted = admission.release(now, Ticket::new(ticket));
                    prop_assert_eq!(admitted, model.leave(now, ticket));
                }
                Op::Withdraw(at) if !model.waiting.is_empty() => {
                    let ticket = model.waiting[at % model.waiting.len()].0;
                    let admitted = admission.withdraw(now, Ticket::new(ticket));
                    prop_assert_eq!(admitted, model.leave(now, ticket));
                }
                Op::Wait(millis) => now = now + Duration::from_millis(millis),
                _ => {}
            }
            prop_assert!(admission.expire(now).is_empty());
            let hint = admission.hint(now);
            prop_assert_eq!(hint.running as usize, model.running.len());
            prop_assert_eq!(hint.queued as usize, model.waiting.len());
        }
    }

    /// For any sequence of operations, the slots are not exceeded, and each call is answered
    /// exactly once, within the queue time.
    #[test]
    fn every_call_is_answered_once(ops in prop::collection::vec(op(), 1..400)) {
        let mut admission = admission();
        let mut waiting: BTreeMap<Ticket, Timestamp> = BTreeMap::new();
        let mut running: Vec<Ticket> = Vec::new();
        let mut now = START;
        for (number, op) in ops.into_iter().enumerate() {
            let mut admitted = Vec::new();
            match op {
                Op::Offer(class) => {
                    let ticket = Ticket::new(number as u64);
                    let deadline = now + Duration::from_millis(60 + number as u64 % 200);
                    match admission.offer(now, ticket, Demand::new(class, deadline)) {
                        Offer::Admitted => admitted.push(ticket),
                        Offer::Queued => {
                            waiting.insert(ticket, now);
                        }
                        Offer::Refused(_) => {}
                    }
                }
                Op::Release(at) if !running.is_empty() => {
                    let ticket = running.swap_remove(at % running.len());
                    admitted = admission.release(now, ticket);
                }
                Op::Withdraw(at) if !waiting.is_empty() => {
                    let ticket = *waiting.keys().nth(at % waiting.len()).expect("not empty");
                    waiting.remove(&ticket);
                    admitted = admission.withdraw(now, ticket);
                }
                Op::Wait(millis) => now = now + Duration::from_millis(millis * 3),
                _ => {}
            }
            for ticket in admitted {
                waiting.remove(&ticket);
                running.push(ticket);
            }
            for refused in admission.expire(now) {
                prop_assert!(waiting.remove(&refused.ticket).is_some());
            }
            prop_assert!(running.len() <= SLOTS as usize);
            prop_assert!(waiting.values().all(|since| now.since(*since) < QUEUE_TIME));
            prop_assert_eq!(admission.hint(now).queued as usize, waiting.len());
        }
    }
}

/// The results for the calls of one class.
#[derive(Debug, Default, Clone, Copy)]
struct ClassStats {
    offered: f64,
    /// The number of calls that were answered by their deadline.
    in_time: f64,
    /// The total service time of these calls, in seconds.
    in_time_s: f64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End(Ticket),
    Expire,
}

/// Simulates one backend server under a constant load.
struct OverloadSimulation {
    load: f64,
    /// The share of each class in the offered calls, in the order of `RouteClass::ALL`.
    mix: [f64; 4],
    service: Duration,
    deadline: Duration,
    span: Duration,
}

impl OverloadSimulation {
    fn run(&self, seed: u64) -> BTreeMap<RouteClass, ClassStats> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut admission = admission();
        let mut stats: BTreeMap<RouteClass, ClassStats> = BTreeMap::new();
        let mut calls: BTreeMap<Ticket, (RouteClass, Timestamp, Duration)> = BTreeMap::new();
        let mut events = BinaryHeap::from([Reverse((START, Event::Arrive))]);
        let rate = self.load * f64::from(SLOTS) / self.service.as_secs_f64();
        let mut next = 0;
        let mut expiry = None;
        while let Some((now, event)) = next_event(&mut events, expiry) {
            if now >= START + self.span {
                break;
            }
            let mut admitted = Vec::new();
            match event {
                Event::Arrive => {
                    let gap = -rng.random::<f64>().max(1e-9).ln() / rate;
                    events.push(Reverse((now + Duration::from_secs_f64(gap), Event::Arrive)));
                    let class = self.class(rng.random());
                    let time = self.service.mul_f64(0.5 + rng.random::<f64>());
                    let ticket = Ticket::new(next);
                    next += 1;
                    stats.entry(class).or_default().offered += 1.0;
                    calls.insert(ticket, (class, now + self.deadline, time));
                    if admission.offer(now, ticket, Demand::new(class, now + self.deadline))
                        == Offer::Admitted
                    {
                        admitted.push(ticket);
                    }
                }
                Event::End(ticket) => {
                    let (class, deadline, time) = calls.remove(&ticket).expect("a running call");
                    if now <= deadline {
                        let class_stats = stats.entry(class).or_default();
                        class_stats.in_time += 1.0;
                        class_stats.in_time_s += time.as_secs_f64();
                    }
                    admitted = admission.release(now, ticket);
                }
                Event::Expire => {}
            }
            for ticket in admitted {
                let time = calls[&ticket].2;
                events.push(Reverse((now + time, Event::End(ticket))));
            }
            for refused in admission.expire(now) {
                calls.remove(&refused.ticket);
            }
            assert!(admission.hint(now).running <= SLOTS);
            expiry = admission.next_expiry(now);
        }
        stats
    }

    fn class(&self, draw: f64) -> RouteClass {
        let mut left = draw;
        for (class, share) in RouteClass::ALL.into_iter().zip(self.mix) {
            if left < share {
                return class;
            }
            left -= share;
        }
        RouteClass::Background
    }

    /// The service time of calls answered in time, as a share of the capacity of all slots.
    fn goodput(&self, stats: &BTreeMap<RouteClass, ClassStats>, classes: &[RouteClass]) -> f64 {
        let good: f64 = classes
            .iter()
            .filter_map(|class| stats.get(class))
            .map(|class_stats| class_stats.in_time_s)
            .sum();
        good / (f64::from(SLOTS) * self.span.as_secs_f64())
    }
}

/// Removes the next event. The expiry of a waiting call is an event that is not in the heap.
fn next_event(
    events: &mut BinaryHeap<Reverse<(Timestamp, Event)>>,
    expiry: Option<Timestamp>,
) -> Option<(Timestamp, Event)> {
    let first = events.peek().map(|Reverse((at, _))| *at)?;
    match expiry {
        Some(expiry) if expiry < first => Some((expiry, Event::Expire)),
        _ => events.pop().map(|Reverse(event)| event),
    }
}

const FOREGROUND_CLASSES: [RouteClass; 3] =
    [RouteClass::Posting, RouteClass::Export, RouteClass::Lookup];

fn answered(stats: &BTreeMap<RouteClass, ClassStats>, class: RouteClass) -> f64 {
    let class_stats = stats.get(&class).copied().unwrap_or_default();
    class_stats.in_time / class_stats.offered.max(1.0)
}

/// At three times the capacity, the goodput of all classes but background stays at or above 90% of
/// the capacity, for any mix of classes, service time and caller timeout.
#[test]
fn goodput_stays_high_at_three_times_the_capacity() {
    let mixes = [
        [0.4, 0.2, 0.1, 0.3],
        [0.8, 0.0, 0.0, 0.2],
        [0.0, 0.8, 0.0, 0.2],
        [0.0, 0.0, 0.9, 0.1],
        [0.6, 0.1, 0.0, 0.3],
    ];
    let times = [(1, 50), (20, 60), (20, 1_000), (40, 150), (200, 800)];
    for mix in mixes {
        for (service_ms, deadline_ms) in times {
            let overload = OverloadSimulation {
                load: 3.0,
                mix,
                service: Duration::from_millis(service_ms),
                deadline: Duration::from_millis(deadline_ms),
                span: Duration::from_secs(if service_ms == 1 { 5 } else { 60 }),
            };
            let stats = overload.run(1);
            let goodput = overload.goodput(&stats, &FOREGROUND_CLASSES);
            println!("mix {mix:?}, {service_ms} ms, {deadline_ms} ms: goodput {goodput:.3}");
            assert!(
                goodput >= 0.9,
                "{mix:?}, {service_ms}, {deadline_ms}: {goodput}"
            );
        }
    }
}

/// Under overload, background checks are refused first, then lookups; postings and exports last.
#[test]
fn classes_are_shed_in_order() {
    let overload = OverloadSimulation {
        load: 3.0,
        mix: [0.4, 0.15, 0.05, 0.4],
        service: Duration::from_millis(20),
        deadline: Duration::from_secs(1),
        span: Duration::from_mins(1),
    };
    let stats = overload.run(2);
    let shares: Vec<f64> = [
        RouteClass::Posting,
        RouteClass::Lookup,
        RouteClass::Background,
    ]
    .map(|class| answered(&stats, class))
    .to_vec();
    println!("answered: postings, lookups, background checks {shares:.3?}");
    // Postings and exports need 60% of the slots, so none of them has to be refused.
    assert!(shares[0] >= 0.99, "{shares:?}");
    assert!(shares[1] > 5.0 * shares[2], "{shares:?}");
    assert!(answered(&stats, RouteClass::Export) >= 0.9, "{stats:?}");
}

#[test]
fn long_exports_leave_slots_to_other_calls() {
    let mut admission = admission();
    let deadline = START + Duration::from_hours(1);
    let lookup = admission.offer(
        START,
        Ticket::new(0),
        Demand::new(RouteClass::Lookup, deadline),
    );
    assert_eq!(lookup, Offer::Admitted);
    for number in 1..20 {
        let _ = admission.offer(
            START,
            Ticket::new(number),
            Demand::new(RouteClass::Export, deadline),
        );
    }
    let posting = admission.offer(
        START,
        Ticket::new(100),
        Demand::new(RouteClass::Posting, deadline),
    );
    assert_eq!(posting, Offer::Admitted);
}

#[test]
fn draining_refuses_new_and_waiting_calls_and_lets_running_ones_end() {
    let mut admission = admission();
    let deadline = START + Duration::from_secs(10);
    let offers: Vec<Offer> = (0..12)
        .map(|n| {
            admission.offer(
                START,
                Ticket::new(n),
                Demand::new(RouteClass::Posting, deadline),
            )
        })
        .collect();
    assert_eq!(offers.iter().filter(|o| **o == Offer::Queued).count(), 3);
    admission.set_draining(true);
    let refused = admission.expire(START);
    assert_eq!(refused.len(), 3);
    assert!(refused.iter().all(|r| r.reason == RefusalReason::Draining));
    let late = admission.offer(
        START,
        Ticket::new(99),
        Demand::new(RouteClass::Posting, deadline),
    );
    assert_eq!(late, Offer::Refused(RefusalReason::Draining));
    for number in 0..9 {
        assert!(!admission.is_idle());
        assert!(admission.release(START, Ticket::new(number)).is_empty());
    }
    assert!(admission.is_idle());
}

#[test]
fn an_expired_lease_stops_new_calls_until_it_is_renewed() {
    let mut admission = admission();
    let deadline = START + Duration::from_mins(1);
    let lease = START + Duration::from_secs(3);
    admission.renew_lease(lease);
    let mut offer = |at, n| {
        admission.offer(
            at,
            Ticket::new(n),
            Demand::new(RouteClass::Lookup, deadline),
        )
    };
    assert_eq!(offer(START, 1), Offer::Admitted);
    assert_eq!(offer(lease, 2), Offer::Refused(RefusalReason::Draining));
    admission.renew_lease(lease + Duration::from_secs(3));
    let renewed = admission.offer(
        lease,
        Ticket::new(3),
        Demand::new(RouteClass::Lookup, deadline),
    );
    assert_eq!(renewed, Offer::Admitted);
}

#[test]
fn waiting_calls_are_refused_when_the_lease_expires() {
    let mut admission = Admission::new(1, 1, Duration::from_secs(30));
    let deadline = START + Duration::from_mins(1);
    let lease = START + Duration::from_secs(3);
    admission.renew_lease(lease);
    let _ = admission.offer(
        START,
        Ticket::new(1),
        Demand::new(RouteClass::Posting, deadline),
    );
    let _ = admission.offer(
        START,
        Ticket::new(2),
        Demand::new(RouteClass::Posting, deadline),
    );
    assert_eq!(admission.next_expiry(START), Some(lease));
    assert!(admission.release(lease, Ticket::new(1)).is_empty());
    assert_eq!(admission.expire(lease)[0].reason, RefusalReason::Draining);
}

#[test]
fn connections_are_bounded() {
    let mut admission = admission();
    assert!((0..CONNECTIONS).all(|_| admission.open_connection()));
    assert!(!admission.open_connection());
    admission.close_connection();
    assert!(admission.open_connection());
}

#[test]
fn calls_are_admitted_again_after_a_slow_phase() {
    let mut admission = admission();
    let slow = START + Duration::from_secs(10);
    let _ = admission.offer(START, Ticket::new(1), Demand::new(RouteClass::Lookup, slow));
    let _ = admission.release(slow, Ticket::new(1));
    let deadline = slow + Duration::from_millis(800);
    let offer = admission.offer(
        slow,
        Ticket::new(2),
        Demand::new(RouteClass::Lookup, deadline),
    );
    assert_eq!(offer, Offer::Admitted);
}

/// Guards against an overflow with a backend server that states a huge number of slots, which limits its
/// exports to one at a time or ends the process.
#[test]
fn a_huge_number_of_slots_does_not_limit_exports() {
    for slots in [1_431_655_766, u32::MAX] {
        let mut admission = Admission::new(slots, u32::MAX, QUEUE_TIME);
        let deadline = START + Duration::from_secs(10);
        let classes = [RouteClass::Lookup, RouteClass::Export, RouteClass::Export];
        for (number, class) in (1..).zip(classes) {
            let offer = admission.offer(START, Ticket::new(number), Demand::new(class, deadline));
            assert_eq!(offer, Offer::Admitted, "{slots} slots, call {number}");
        }
    }
}
