//! Simulates callers that retry after a refusal, and checks which calls get slots under overload.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{RouteClass, Timestamp};
use trefoillock_policy::{Admission, CallerTimeoutEstimate, Demand, Offer, Ticket};

const SLOTS: u32 = 12;
const START: Timestamp = Timestamp::from_secs(1_000);
const SPAN: Duration = Duration::from_secs(30);
const SERVICE: Duration = Duration::from_millis(90);
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(800);

/// The maximum share by which a caller's timeout is shorter than `DEADLINE`.
const TIMEOUT_VARIATION: f64 = 0.15;

/// A request with the times at which it was first and last sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    first_sent: Timestamp,
    last_sent: Timestamp,
    deadline: Timestamp,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Retry(Request),
    End(Ticket),
}

#[derive(Debug, Default)]
struct Stats {
    in_time: f64,
    late: f64,
    longest_refusal: Duration,
}

/// Simulates a load, given as a multiple of the capacity. Each refused caller retries once, after
/// the delay that it is told, or after a third of its remaining time if that is shorter.
fn simulate(load: f64, seed: u64) -> Stats {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut admission = Admission::new(SLOTS, 2 * SLOTS, Duration::from_millis(100));
    let mut estimate = CallerTimeoutEstimate::default();
    let mut stats = Stats::default();
    let mut waiting: BTreeMap<Ticket, Request> = BTreeMap::new();
    let mut events = BinaryHeap::from([Reverse((START, Event::Arrive))]);
    let mut number = 0;
    loop {
        let next = events.peek().map(|Reverse((at, _))| *at).expect("arrivals");
        let expiry = admission.next_expiry(START).filter(|at| *at < next);
        let now = expiry.unwrap_or(next);
        if now >= START + SPAN {
            return stats;
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
                    let time = DEADLINE.mul_f64(1.0 - TIMEOUT_VARIATION * rng.random::<f64>());
                    Some(Request {
                        first_sent: now,
                        last_sent: now,
                        deadline: now + time,
                    })
                }
                Event::Retry(refused) => Some(Request {
                    last_sent: now,
                    ..refused
                }),
                Event::End(ticket) => {
                    let request = waiting.remove(&ticket).expect("a running call");
                    if now.since(request.first_sent) <= OBJECTIVE {
                        stats.in_time += 1.0;
                    } else {
                        stats.late += 1.0;
                    }
                    admitted = admission.release(now, ticket);
                    None
                }
            };
            if let Some(offered) = offered {
                let left = offered.deadline.since(now);
                let left = Duration::from_millis(u64::try_from(left.as_millis()).expect("short"));
                estimate.record(left);
                let objective = now + OBJECTIVE - estimate.waited_before(left);
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
            let request = waiting.remove(&ticket).expect("an offered call");
            stats.longest_refusal = stats.longest_refusal.max(now.since(request.last_sent));
            if request.first_sent == request.last_sent {
                let limit = request.deadline.since(now) / 3;
                let retry_at = now + admission.retry_after(now).min(limit);
                events.push(Reverse((retry_at, Event::Retry(request))));
            }
        }
    }
}

#[test]
fn calls_that_can_meet_their_objective_start_before_late_retries() {
    for (load, seed) in [(1.2, 1), (1.5, 2), (2.0, 3), (3.0, 4)] {
        let stats = simulate(load, seed);
        let served = stats.in_time + stats.late;
        assert!(stats.in_time / served > 0.9, "load {load}: {stats:?}");
        let capacity = f64::from(SLOTS) / SERVICE.as_secs_f64() * SPAN.as_secs_f64();
        assert!(served / capacity > 0.9, "load {load}: {stats:?}");
        assert!(stats.longest_refusal < OBJECTIVE, "load {load}: {stats:?}");
    }
}

#[test]
fn a_late_retry_gets_a_free_slot_but_does_not_wait() {
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
    // The objective has passed, but no other call waits.
    assert_eq!(offer(&mut admission, now, 1, now), Offer::Admitted);
    // While the slot is occupied, a call that can meet its objective waits, and one that has missed
    // its objective is refused.
    assert_eq!(offer(&mut admission, now, 2, fresh), Offer::Queued);
    let later = now + Duration::from_millis(5);
    assert!(matches!(
        offer(&mut admission, later, 3, later),
        Offer::Refused(_)
    ));
}

#[test]
fn the_usual_timeout_is_estimated_among_other_timeouts() {
    let mut estimate = CallerTimeoutEstimate::default();
    let millis = Duration::from_millis;
    assert_eq!(estimate.waited_before(millis(100)), Duration::ZERO);
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    for call in 0..2_000 {
        let time = match call % 20 {
            0 => 5_000,
            1..=9 => rng.random_range(680..800),
            _ => rng.random_range(300..600),
        };
        estimate.record(millis(time));
    }
    // Nothing is subtracted for first attempts and for callers with a longer timeout than usual.
    for time in [680, 799, 5_000] {
        assert_eq!(
            estimate.waited_before(millis(time)),
            Duration::ZERO,
            "{time}"
        );
    }
    let waited = estimate.waited_before(millis(400));
    assert!((millis(280)..millis(400)).contains(&waited), "{waited:?}");
    // The callers of the route use a longer timeout from now on.
    for _ in 0..3_000 {
        estimate.record(millis(1_000));
    }
    assert_eq!(estimate.waited_before(millis(600)), millis(400));
}
