//! What one entry node knows of one backend server.

use std::time::Duration;

use trefoillock_core::{DataCentre, Incarnation, Member, ServerId, Timestamp};

use crate::{CallResult, LoadHint};

/// The age at which a hint has lost all weight.
const HINT_LIFETIME: Duration = Duration::from_secs(2);
/// The highest utilization that a hint can state.
const HINT_LIMIT: f64 = 2.0;
/// The weight of a utilization of 1 in the cost; with `HINT_LIMIT` a hint at most doubles it.
const HINT_WEIGHT: f64 = 0.5;
/// The weight of the newest call in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// The weight of the failure rate in the cost.
const FAILURE_WEIGHT: f64 = 8.0;
/// The weight of the refusal rate in the cost.
const REFUSAL_WEIGHT: f64 = 4.0;
/// The time in which the failure and refusal rates halve without new calls.
const RATE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Failures in a row after which a server is ejected.
const EJECT_AFTER_FAILURES: u32 = 5;
/// The failure rate above which a server is ejected.
const EJECT_ABOVE_RATE: f64 = 0.5;
/// The first ejection time; it doubles with each ejection that follows.
const EJECT_BASE: Duration = Duration::from_secs(2);
/// The number of doublings of the ejection time.
const EJECT_MAX_DOUBLINGS: u32 = 4;
/// Successful probes after which a server is re-admitted.
const PROBES_TO_READMIT: u32 = 3;
/// The share of load at the beginning of a slow start.
const SLOW_START_FLOOR: f64 = 0.1;
/// The exponent with which costs turn into odds. A higher one follows the costs more strictly.
const ODDS_EXPONENT: i32 = 4;
/// The bounds of the latency of a server as a multiple of the pool's average.
const LATENCY_RATIO: (f64, f64) = (0.5, 4.0);

/// Whether a server takes calls of this entry node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// It takes calls.
    Healthy,
    /// It takes no calls before a time.
    Ejected(Timestamp),
    /// It takes one call at a time; the number of probes that succeeded.
    Probing(u32),
}

/// What one entry node knows of one backend server.
#[derive(Debug)]
pub(crate) struct ServerLoad {
    pub(crate) id: ServerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentre,
    pub(crate) in_flight: u32,
    slots: u32,
    first_seen: Timestamp,
    hint: Option<(LoadHint, Timestamp)>,
    latency_us: Option<f64>,
    failure_rate: f64,
    refusal_rate: f64,
    rates_at: Timestamp,
    failures_in_row: u32,
    health: Health,
    ejections: u32,
}

impl ServerLoad {
    pub(crate) fn new(now: Timestamp, member: &Member, slots: u32) -> Self {
        Self {
            id: member.id.clone(),
            incarnation: member.announcement.incarnation,
            data_centre: member.data_centre.clone(),
            in_flight: 0,
            slots: slots.max(1),
            first_seen: now,
            hint: None,
            latency_us: None,
            failure_rate: 0.0,
            refusal_rate: 0.0,
            rates_at: now,
            failures_in_row: 0,
            health: Health::Healthy,
            ejections: 0,
        }
    }

    /// Takes the pool's limit and the data centre of a newer list of members.
    pub(crate) fn update(&mut self, member: &Member, slots: u32) {
        self.slots = slots.max(1);
        if self.data_centre != member.data_centre {
            self.data_centre = member.data_centre.clone();
        }
    }

    /// The moving average of the latency, in microseconds.
    pub(crate) const fn latency_us(&self) -> Option<f64> {
        self.latency_us
    }

    /// Whether the server takes ordinary calls.
    pub(crate) const fn is_healthy(&self) -> bool {
        matches!(self.health, Health::Healthy)
    }

    /// Whether the server is ejected or on probation.
    pub(crate) const fn is_ejected(&self) -> bool {
        !self.is_healthy()
    }

    /// Whether the server may take one probing call now.
    ///
    /// A call that is not idempotent probes only after twice the ejection time.
    pub(crate) fn may_probe(&self, now: Timestamp, idempotent: bool) -> bool {
        if self.in_flight > 0 {
            return false;
        }
        match self.health {
            Health::Healthy => false,
            Health::Probing(_) => true,
            Health::Ejected(until) if idempotent => now >= until,
            Health::Ejected(until) => now >= until + self.ejection_time(),
        }
    }

    /// The share of full load that a server gets during its slow start, between 0 and 1.
    pub(crate) fn slow_start(&self, now: Timestamp, span: Duration) -> f64 {
        if span.is_zero() {
            return 1.0;
        }
        let passed = now.since(self.first_seen).as_secs_f64() / span.as_secs_f64();
        passed.clamp(SLOW_START_FLOOR, 1.0)
    }

    /// The odds that the server is taken: its share of the slow start, divided by a power of the
    /// cost. `mean_us` is the pool's latency.
    pub(crate) fn odds(&self, now: Timestamp, span: Duration, mean_us: Option<f64>) -> f64 {
        self.slow_start(now, span) / self.cost(now, mean_us).powi(ODDS_EXPONENT)
    }

    /// The cost of one more call; a lower one is better.
    fn cost(&self, now: Timestamp, mean_us: Option<f64>) -> f64 {
        let load = f64::from(self.in_flight) + 1.0;
        let hint = 1.0 + HINT_WEIGHT * self.hinted_utilization(now);
        let latency = match (self.latency_us, mean_us) {
            (Some(own), Some(mean)) if mean > 0.0 => {
                (own / mean).clamp(LATENCY_RATIO.0, LATENCY_RATIO.1)
            }
            _ => 1.0,
        };
        let decay = self.rate_decay(now);
        let failures = 1.0 + FAILURE_WEIGHT * self.failure_rate * decay;
        let refusals = 1.0 + REFUSAL_WEIGHT * self.refusal_rate * decay;
        load * hint * latency * failures * refusals
    }

    /// How full the server is from this node's view; 1 and more means that it is overloaded.
    pub(crate) fn pressure(&self, now: Timestamp, span: Duration) -> f64 {
        let slots = f64::from(self.slots) * self.slow_start(now, span);
        let own = f64::from(self.in_flight + 1) / slots.max(1.0);
        let refused = self.refusal_rate * self.rate_decay(now) * REFUSAL_WEIGHT;
        own.max(refused).max(self.hinted_utilization(now))
    }

    /// The utilization that the last hint stated, fading with its age.
    fn hinted_utilization(&self, now: Timestamp) -> f64 {
        let Some((hint, at)) = self.hint else {
            return 0.0;
        };
        let age = now.since(at).as_secs_f64() / HINT_LIFETIME.as_secs_f64();
        hint.utilization(HINT_LIMIT) * (1.0 - age).max(0.0)
    }

    fn rate_decay(&self, now: Timestamp) -> f64 {
        let halves = now.since(self.rates_at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(halves)
    }

    /// Counts the start of a call.
    pub(crate) fn started(&mut self, now: Timestamp) {
        self.in_flight += 1;
        if let Health::Ejected(until) = self.health
            && now >= until
        {
            self.health = Health::Probing(0);
        }
    }

    /// Counts the end of a call.
    pub(crate) fn ended(&mut self, now: Timestamp, result: CallResult, hint: Option<LoadHint>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(hint) = hint {
            self.hint = Some((hint, now));
        }
        match result {
            CallResult::Answered(latency) => self.answered(now, latency),
            CallResult::Failed => self.failed(now),
            CallResult::Overloaded => self.refused(now),
            CallResult::Cancelled => {}
        }
    }

    fn answered(&mut self, now: Timestamp, latency: Duration) {
        self.fade_rates(now);
        self.failure_rate *= 1.0 - AVERAGE_WEIGHT;
        self.refusal_rate *= 1.0 - AVERAGE_WEIGHT;
        self.failures_in_row = 0;
        let micros = latency.as_secs_f64() * 1e6;
        self.latency_us = Some(match self.latency_us {
            Some(old) => old + AVERAGE_WEIGHT * (micros - old),
            None => micros,
        });
        if let Health::Probing(successes) = self.health {
            self.probe_succeeded(now, successes + 1);
        }
    }

    fn probe_succeeded(&mut self, now: Timestamp, successes: u32) {
        if successes < PROBES_TO_READMIT {
            self.health = Health::Probing(successes);
            return;
        }
        self.health = Health::Healthy;
        self.failure_rate = 0.0;
        self.first_seen = now;
    }

    fn failed(&mut self, now: Timestamp) {
        self.fade_rates(now);
        self.failure_rate += AVERAGE_WEIGHT * (1.0 - self.failure_rate);
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if matches!(self.health, Health::Probing(_)) {
            self.eject(now);
        }
    }

    fn refused(&mut self, now: Timestamp) {
        self.fade_rates(now);
        self.refusal_rate += AVERAGE_WEIGHT * (1.0 - self.refusal_rate);
    }

    fn fade_rates(&mut self, now: Timestamp) {
        let decay = self.rate_decay(now);
        self.failure_rate *= decay;
        self.refusal_rate *= decay;
        self.rates_at = now;
    }

    /// Whether its failures are reason enough to eject a healthy server.
    pub(crate) fn should_eject(&self) -> bool {
        self.is_healthy()
            && (self.failures_in_row >= EJECT_AFTER_FAILURES
                || self.failure_rate > EJECT_ABOVE_RATE)
    }

    /// Sends the server no calls for a time that doubles with each ejection.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        self.ejections = self.ejections.saturating_add(1);
        self.failures_in_row = 0;
        self.health = Health::Ejected(now + self.ejection_time());
    }

    fn ejection_time(&self) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(EJECT_MAX_DOUBLINGS);
        EJECT_BASE * 2_u32.pow(doublings)
    }
}
