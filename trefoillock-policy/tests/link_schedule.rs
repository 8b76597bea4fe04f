//! Large responses on a link that they fill: what callers get with the schedule, without admission,
//! and without any schedule, where all responses share the link.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{RouteClass, Timestamp};
use trefoillock_policy::{Demand, LinkSchedule, Ticket};

/// The rate of the link in bytes a second.
const LINK_BYTES_PER_S: u64 = 862_500;
/// The mean size of a large response, in bytes.
const MEAN_BYTES: f64 = 90_000.0;
/// The largest size of a large response, in bytes.
const MAX_BYTES: f64 = 540_000.0;
/// The size of a small response, in bytes.
const SMALL_BYTES: u64 = 600;
/// The small responses a second.
const SMALL_RATE: f64 = 20.0;
/// The time in which a backend server runs a call.
const SERVICE_TIME: Duration = Duration::from_millis(190);
/// The objective and the deadline of a large response.
const LIMITS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));
/// The time within which a small response has left the VM: a few times that of a chunk.
const SMALL_LIMIT: Duration = Duration::from_millis(50);
/// The time for which calls arrive.
const SPAN: Duration = Duration::from_secs(30);
const START: Timestamp = Timestamp::from_secs(1_000);
const STEP: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// The schedule with admission.
    Scheduled,
    /// All responses hand everything to the sockets, which share the link.
    Shared,
}

/// One call with its response.
#[derive(Debug, Clone, Copy)]
struct Call {
    arrives_at: Timestamp,
    bytes: u64,
    is_large: bool,
}

/// What callers get.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    large: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    missed: u32,
    slowest_small: Duration,
}

impl Outcome {
    /// The share of what callers can get: all of it for a large response in time, half if it is late.
    fn value(&self) -> f64 {
        (f64::from(self.in_time) + f64::from(self.late) / 2.0) / f64::from(self.large)
    }
}

/// Draws calls whose large responses come to `load` times the rate of the link.
fn draw_calls(seed: u64, load: f64) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut calls = Vec::new();
    let large_rate = load * 862_500.0 / MEAN_BYTES;
    for (rate, is_large) in [(large_rate, true), (SMALL_RATE, false)] {
        let mut at = 0.0;
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / rate;
            if at >= SPAN.as_secs_f64() {
                break;
            }
            // An exponential size that is cut at the maximum has about the mean that is asked for.
            let size = (-(1.0 - rng.random::<f64>()).ln() * MEAN_BYTES).clamp(2_000.0, MAX_BYTES);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a positive size"
            )]
            let bytes = if is_large { size as u64 } else { SMALL_BYTES };
            calls.push(Call {
                arrives_at: START + Duration::from_secs_f64(at),
                bytes,
                is_large,
            });
        }
    }
    calls.sort_by_key(|call| call.arrives_at);
    calls
}

fn demand(call: &Call) -> Demand {
    let class = if call.is_large {
        RouteClass::Export
    } else {
        RouteClass::Lookup
    };
    Demand::new(class, call.arrives_at + LIMITS.1).objective(call.arrives_at + LIMITS.0)
}

/// A response that is being sent.
#[derive(Debug, Clone, Copy)]
struct Sending {
    call: Call,
    ticket: Ticket,
    ready_at: Timestamp,
    /// The bytes that were not handed to the link.
    left: u64,
    /// The time at which the link has sent what was handed to it.
    sent_at: Timestamp,
}

/// Plays calls over a link that sends what it is handed in order.
fn play(seed: u64, load: f64, mode: Mode) -> Outcome {
    let mut schedule = LinkSchedule::new(LINK_BYTES_PER_S);
    let mut outcome = Outcome::default();
    let mut sending: Vec<Sending> = Vec::new();
    let mut calls = draw_calls(seed, load).into_iter().peekable();
    let mut link_free_at = START;
    let (mut now, mut last_ticket) = (START, 0);
    while calls.peek().is_some() || !sending.is_empty() {
        now = now + STEP;
        while let Some(call) = calls.next_if(|call| call.arrives_at <= now) {
            last_ticket += 1;
            let ticket = Ticket::new(last_ticket);
            outcome.large += u32::from(call.is_large);
            if mode == Mode::Scheduled && schedule.admit(now, ticket, &demand(&call)).is_err() {
                assert!(call.is_large, "a call with a small response is refused");
                outcome.refused += 1;
                continue;
            }
            sending.push(Sending {
                call,
                ticket,
                ready_at: now + SERVICE_TIME,
                left: call.bytes,
                sent_at: now,
            });
        }
        let mut hand_over = |response: &mut Sending, bytes: u64| {
            link_free_at =
                link_free_at.max(now) + Duration::from_micros(bytes * 1_000_000 / LINK_BYTES_PER_S);
            response.sent_at = link_free_at;
            response.left -= bytes;
        };
        for response in &mut sending {
            if response.ready_at > now || response.left == 0 {
                continue;
            }
            if mode == Mode::Shared {
                hand_over(response, response.left);
                continue;
            }
            if response.left == response.call.bytes {
                schedule.record_length(response.ticket, Some(response.call.bytes));
            }
            let chunk = response.left.min(schedule.chunk_bytes() as u64);
            if schedule.may_send(now, response.ticket, chunk) {
                schedule.record_sent(now, response.ticket, chunk);
                hand_over(response, chunk);
            }
        }
        sending.retain(|response| {
            if response.left > 0 {
                return true;
            }
            schedule.end(response.ticket, true);
            let took = response.sent_at.since(response.call.arrives_at);
            if response.call.is_large {
                outcome.in_time += u32::from(took <= LIMITS.0);
                outcome.late += u32::from(took > LIMITS.0 && took <= LIMITS.1);
                outcome.missed += u32::from(took > LIMITS.1);
            } else {
                let waited = response.sent_at.since(response.ready_at);
                outcome.slowest_small = outcome.slowest_small.max(waited);
            }
            false
        });
    }
    println!("load {load}, seed {seed}, {mode:?}: {outcome:?}");
    outcome
}

const SEEDS: std::ops::Range<u64> = 0..8;

#[test]
fn small_responses_do_not_wait_behind_large_ones() {
    for load in [0.5, 0.9, 1.2, 2.0, 6.0] {
        for seed in SEEDS {
            let scheduled = play(seed, load, Mode::Scheduled);
            assert!(scheduled.slowest_small <= SMALL_LIMIT, "{scheduled:?}");
        }
    }
}

#[test]
fn callers_get_more_of_large_responses_than_on_a_shared_link() {
    for load in [0.9, 1.0, 1.2, 2.0, 6.0] {
        let (mut scheduled, mut shared) = (0.0, 0.0);
        for seed in SEEDS {
            scheduled += play(seed, load, Mode::Scheduled).value();
            shared += play(seed, load, Mode::Shared).value();
        }
        assert!(scheduled > shared, "load {load}: {scheduled} and {shared}");
    }
}

/// The users' target for a day is nine tenths of what can be earned; a link that is offered `load`
/// times its rate carries `1 / load` of it.
#[test]
fn a_full_link_earns_nine_tenths_of_what_it_can_carry() {
    for load in [1.0, 1.2, 2.0] {
        let value: f64 = SEEDS
            .map(|seed| play(seed, load, Mode::Scheduled).value())
            .sum();
        let mean = value / f64::from(u32::try_from(SEEDS.count()).expect("few seeds"));
        assert!(mean >= 0.9 / load, "load {load}: {mean}");
    }
}

#[test]
fn no_admitted_response_misses_its_deadline() {
    for load in [0.9, 1.2, 2.0, 6.0] {
        for seed in SEEDS {
            let scheduled = play(seed, load, Mode::Scheduled);
            assert_eq!(scheduled.missed, 0, "load {load}, seed {seed}");
        }
    }
}

#[test]
fn nothing_is_refused_while_the_link_has_room() {
    for seed in SEEDS {
        let scheduled = play(seed, 0.3, Mode::Scheduled);
        assert_eq!(scheduled.refused, 0, "seed {seed}");
    }
}

#[test]
fn a_refused_call_that_returns_when_told_finds_room() {
    let mut schedule = LinkSchedule::new(LINK_BYTES_PER_S);
    let call = |at| Call {
        arrives_at: at,
        bytes: 90_000,
        is_large: true,
    };
    // The schedule learns the size of responses from one that is complete.
    let first = Ticket::new(0);
    schedule
        .admit(START, first, &demand(&call(START)))
        .expect("idle");
    schedule.record_length(first, Some(90_000));
    schedule.record_sent(START, first, 90_000);
    schedule.end(first, true);
    let now = START + Duration::from_secs(1);
    let mut admitted = Vec::new();
    let retry_after = loop {
        let ticket = Ticket::new(1 + admitted.len() as u64);
        match schedule.admit(now, ticket, &demand(&call(now))) {
            Ok(()) => admitted.push(ticket),
            Err(retry_after) => break retry_after,
        }
    };
    assert!(admitted.len() >= 5, "{admitted:?}");
    let later = now + retry_after;
    let mut at = now;
    while at < later {
        at = at + STEP;
        for ticket in &admitted {
            let chunk = schedule.chunk_bytes() as u64;
            if schedule.may_send(at, *ticket, chunk) {
                schedule.record_sent(at, *ticket, chunk);
            }
        }
    }
    let returning = schedule.admit(later, Ticket::new(99), &demand(&call(later)));
    assert_eq!(returning, Ok(()));
}
