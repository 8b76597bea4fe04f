//! Callers that come back after a refusal: who gets the slots under overload.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{RouteClass, Timestamp};
use trefoillock_policy::{Admission, Demand, Offer, Ticket, UsualDeadline};

const SLOTS: u32 = 12;
const START: Timestamp = Timestamp::from_secs(1_000);
const SPAN: Duration = Duration::from_secs(30);
const SERVICE: Duration = Duration::from_millis(90);
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(800);

/// The part by which callers wait shorter than others, at most.
const IMPATIENCE: f64 = 0.15;

/// One caller's request: when it was first sent, and when it last was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Try {
    first: Timestamp,
    last: Timestamp,
    deadline: Timestamp,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Return(Try),
    End(Ticket),
}

#[derive(Debug, Default)]
struct Tally {
    in_time: f64,
    late: f64,
    longest_refusal: Duration,
}

/// Plays a load, in multiples of what the slots can serve. Each refused caller comes back once, after
/// the pause that it is told, or a third of its time if that is shorter.
fn play(load: f64, seed: u64) -> Tally {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut admission = Admission::new(SLOTS, 2 * SLOTS, Duration::from_millis(100));
    let mut usual = UsualDeadline::default();
    let mut tally = Tally::default();
    let mut waiting: BTreeMap<Ticket, Try> = BTreeMap::new();
    let mut events = BinaryHeap::from([Reverse((START, Event::Arrive))]);
    let mut number = 0;
    loop {
        let next = events.peek().map(|Reverse((at, _))| *at).expect("arrivals");
        let expiry = admission.next_expiry(START).filter(|at| *at < next);
        let now = expiry.unwrap_or(next);
        if now >= START + SPAN {
            return tally;
        }
        let mut admitted = Vec::new();
        let mut refused = Vec::new();
        if expiry.is_none()
            && let Some(Reverse((_, event))) = events.pop()
        {
            let offered = match event {
                Event::Arrive => {
                    let per_second = load * f64::from(SLOTS) / SERVICE.as_secs_f64();
                    let gap = -rng.random::<f64>().max(1e-9).ln() / per_second;
                    let later = now + Duration::from_secs_f64(gap);
                    events.push(Reverse((later, Event::Arrive)));
                    let time = DEADLINE.mul_f64(1.0 - IMPATIENCE * rng.random::<f64>());
                    Some(Try {
                        first: now,
                        last: now,
                        deadline: now + time,
                    })
                }
                Event::Return(before) => Some(Try {
                    last: now,
                    ..before
                }),
                Event::End(ticket) => {
                    let tried = waiting.remove(&ticket).expect("a running call");
                    if now.since(tried.first) <= OBJECTIVE {
                        tally.in_time += 1.0;
                    } else {
                        tally.late += 1.0;
                    }
                    admitted = admission.release(now, ticket);
                    None
                }
            };
            if let Some(offered) = offered {
                let left = offered.deadline.since(now);
                let left = Duration::from_millis(u64::try_from(left.as_millis()).expect("short"));
                usual.record(left);
                let objective = now + OBJECTIVE - usual.elapsed(left);
                let ticket = Ticket::new(number);
                number += 1;
                waiting.insert(ticket, offered);
                let demand = Demand::new(RouteClass::Lookup, now + left).objective(objective);
                match admission.offer(now, ticket, demand) {
                    Offer::Admitted => admitted.push(ticket),
                    Offer::Queued => {}
                    Offer::Refused(_) => refused.push(ticket),
                }
            }
        }
        for ticket in admitted {
            let time = SERVICE.mul_f64(0.5 + rng.random::<f64>());
            events.push(Reverse((now + time, Event::End(ticket))));
        }
        refused.extend(admission.expire(now).iter().map(|refused| refused.ticket));
        for ticket in refused {
            let tried = waiting.remove(&ticket).expect("an offered call");
            tally.longest_refusal = tally.longest_refusal.max(now.since(tried.last));
            if tried.first == tried.last {
                let limit = tried.deadline.since(now) / 3;
                let back = now + admission.pause().min(limit);
                events.push(Reverse((back, Event::Return(tried))));
            }
        }
    }
}

#[test]
fn calls_that_can_still_be_in_time_go_before_those_that_came_back_late() {
    for (load, seed) in [(1.2, 1), (1.5, 2), (2.0, 3), (3.0, 4)] {
        let tally = play(load, seed);
        let served = tally.in_time + tally.late;
        assert!(tally.in_time / served > 0.9, "load {load}: {tally:?}");
        let capacity = f64::from(SLOTS) / SERVICE.as_secs_f64() * SPAN.as_secs_f64();
        assert!(served / capacity > 0.9, "load {load}: {tally:?}");
        assert!(tally.longest_refusal < OBJECTIVE, "load {load}: {tally:?}");
    }
}

#[test]
fn a_call_that_came_back_late_still_gets_a_free_slot() {
    let mut admission = Admission::new(1, 2, Duration::from_millis(100));
    let offer = |admission: &mut Admission, now: Timestamp, number, objective| {
        let demand = Demand::new(RouteClass::Lookup, now + DEADLINE).objective(objective);
        admission.offer(now, Ticket::new(number), demand)
    };
    let now = START + SERVICE;
    let fresh = now + OBJECTIVE;
    assert_eq!(
        offer(&mut admission, START, 0, START + OBJECTIVE),
        Offer::Admitted
    );
    let _ = admission.release(now, Ticket::new(0));
    // Its objective has passed, and nobody else waits.
    assert_eq!(offer(&mut admission, now, 1, now), Offer::Admitted);
    // A call that can be in time goes first, though it came later and its objective is later.
    assert_eq!(offer(&mut admission, now, 2, fresh), Offer::Queued);
    let later = now + Duration::from_millis(5);
    assert!(matches!(
        offer(&mut admission, later, 3, later),
        Offer::Refused(_)
    ));
}

#[test]
fn a_usual_deadline_is_found_among_others() {
    let mut usual = UsualDeadline::default();
    let millis = Duration::from_millis;
    assert_eq!(usual.elapsed(millis(100)), Duration::ZERO);
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    for call in 0..2_000 {
        let time = match call % 20 {
            0 => 5_000,
            1..=9 => rng.random_range(680..800),
            _ => rng.random_range(300..600),
        };
        usual.record(millis(time));
    }
    // Of first attempts, and of callers who wait longer than others, nothing is subtracted.
    for time in [680, 799, 5_000] {
        assert_eq!(usual.elapsed(millis(time)), Duration::ZERO, "{time}");
    }
    let elapsed = usual.elapsed(millis(400));
    assert!((millis(280)..millis(400)).contains(&elapsed), "{elapsed:?}");
    // The callers of the route wait longer from now on.
    for _ in 0..3_000 {
        usual.record(millis(1_000));
    }
    assert_eq!(usual.elapsed(millis(600)), millis(400));
}
