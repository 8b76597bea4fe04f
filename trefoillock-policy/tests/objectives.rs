//! Admission of calls that have an objective: what callers get under overload.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{RouteClass, Timestamp};
use trefoillock_policy::{Admission, Demand, Offer, Ticket};

const SLOTS: u32 = 9;
const START: Timestamp = Timestamp::from_secs(1_000);
const SPAN: Duration = Duration::from_secs(30);

/// Calls of one kind: how many a second, how long they take, and what they ask.
#[derive(Clone, Copy)]
struct Kind {
    class: RouteClass,
    rank: u8,
    per_second: f64,
    service: Duration,
    objective: Duration,
}

#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    offered: f64,
    in_time: f64,
    late: f64,
    /// The longest time between the offer and a refusal.
    longest_refusal: Duration,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(Ticket),
}

struct Running {
    kind: usize,
    since: Timestamp,
    time: Duration,
}

/// Plays the load against one backend server and returns what each kind got.
fn play(kinds: &[Kind], seed: u64) -> Vec<Tally> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut admission = Admission::new(SLOTS, 2 * SLOTS, Duration::from_millis(100));
    let mut tallies = vec![Tally::default(); kinds.len()];
    let mut calls: BTreeMap<Ticket, Running> = BTreeMap::new();
    let mut events: BinaryHeap<Reverse<(Timestamp, Event)>> = (0..kinds.len())
        .map(|kind| Reverse((START, Event::Arrive(kind))))
        .collect();
    let mut number = 0;
    loop {
        let next = events.peek().map(|Reverse((at, _))| *at).expect("arrivals");
        let expiry = admission.next_expiry(START).filter(|at| *at < next);
        let now = expiry.unwrap_or(next);
        if now >= START + SPAN {
            return tallies;
        }
        let mut admitted = Vec::new();
        if expiry.is_none()
            && let Some(Reverse((_, event))) = events.pop()
        {
            match event {
                Event::Arrive(at) => {
                    let kind = kinds[at];
                    let gap = -rng.random::<f64>().max(1e-9).ln() / kind.per_second;
                    let later = now + Duration::from_secs_f64(gap);
                    events.push(Reverse((later, Event::Arrive(at))));
                    let ticket = Ticket::new(number);
                    number += 1;
                    tallies[at].offered += 1.0;
                    let time = kind.service.mul_f64(0.5 + rng.random::<f64>());
                    let running = Running {
                        kind: at,
                        since: now,
                        time,
                    };
                    let demand = Demand::new(kind.class, now + kind.objective * 3)
                        .rank(kind.rank)
                        .objective(now + kind.objective);
                    match admission.offer(now, ticket, demand) {
                        Offer::Admitted => {
                            calls.insert(ticket, running);
                            admitted.push(ticket);
                        }
                        Offer::Queued => {
                            calls.insert(ticket, running);
                        }
                        Offer::Refused(_) => {}
                    }
                }
                Event::End(ticket) => {
                    let call = calls.remove(&ticket).expect("a running call");
                    let tally = &mut tallies[call.kind];
                    if now.since(call.since) <= kinds[call.kind].objective {
                        tally.in_time += 1.0;
                    } else {
                        tally.late += 1.0;
                    }
                    admitted = admission.release(now, ticket);
                }
            }
        }
        for ticket in admitted {
            let end = now + calls[&ticket].time;
            events.push(Reverse((end, Event::End(ticket))));
        }
        for refused in admission.expire(now) {
            let call = calls.remove(&refused.ticket).expect("a waiting call");
            let tally = &mut tallies[call.kind];
            tally.longest_refusal = tally.longest_refusal.max(now.since(call.since));
        }
    }
}

const fn kind(class: RouteClass, rank: u8, per_second: f64, ms: u64, objective_ms: u64) -> Kind {
    Kind {
        class,
        rank,
        per_second,
        service: Duration::from_millis(ms),
        objective: Duration::from_millis(objective_ms),
    }
}

#[test]
fn a_higher_rank_is_served_first() {
    // Half of the slots for the urgent calls, and more than all of them for the others.
    let urgent = kind(RouteClass::Lookup, 1, 22.0, 200, 500);
    let other = kind(RouteClass::Posting, 2, 60.0, 200, 500);
    for seed in 0..5 {
        let [urgent, other] = play(&[urgent, other], seed)[..] else {
            panic!("two kinds");
        };
        let share = urgent.in_time / urgent.offered;
        assert!(share > 0.97, "seed {seed}: {share}");
        assert!(
            other.in_time / other.offered > 0.2,
            "seed {seed}: {other:?}"
        );
    }
}

#[test]
fn no_kind_of_a_rank_starves_another() {
    // One server of a service is left: the short calls alone would take all of its slots.
    let short = kind(RouteClass::Lookup, 1, 240.0, 40, 150);
    let long = kind(RouteClass::Posting, 1, 50.0, 310, 600);
    for seed in 0..5 {
        let [short, long] = play(&[short, long], seed)[..] else {
            panic!("two kinds");
        };
        let (short, long) = (short.in_time / short.offered, long.in_time / long.offered);
        assert!(short > 0.35, "seed {seed}: {short}");
        assert!(long > 0.2, "seed {seed}: {long}");
    }
}

#[test]
fn what_is_served_under_overload_is_served_in_time_and_the_rest_hears_so_soon() {
    for load in [1.5, 2.0, 3.0] {
        let per_second = load * f64::from(SLOTS) / 0.16;
        let lookup = kind(RouteClass::Lookup, 2, per_second, 160, 500);
        let tally = play(&[lookup], 7)[0];
        let served = tally.in_time + tally.late;
        assert!(tally.in_time / served > 0.95, "load {load}: {tally:?}");
        let capacity = f64::from(SLOTS) / 0.16 * SPAN.as_secs_f64();
        assert!(tally.in_time / capacity > 0.9, "load {load}: {tally:?}");
        assert!(
            tally.longest_refusal < lookup.objective,
            "load {load}: {tally:?}"
        );
    }
}

#[test]
fn the_pause_grows_with_the_queue() {
    let mut admission = Admission::new(1, 2, Duration::from_millis(100));
    let far = START + Duration::from_mins(1);
    let demand = Demand::new(RouteClass::Lookup, far).objective(far);
    assert_eq!(
        admission.offer(START, Ticket::new(0), demand),
        Offer::Admitted
    );
    let now = START + Duration::from_millis(200);
    let _ = admission.release(now, Ticket::new(0));
    for number in 1..=10 {
        let _ = admission.offer(now, Ticket::new(number), demand);
    }
    // One call runs and nine wait, each for 200 ms.
    assert_eq!(admission.pause(), Duration::from_secs(2));
}
