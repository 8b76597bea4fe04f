//! The state that an entry node keeps for one backend server: calls in flight, the last load hint,
//! moving averages of latency, failures and refusals, and ejection.

use std::time::Duration;

use trefoillock_core::{CallRate, DataCentre, Incarnation, Member, ServerId, Timestamp};

use crate::{CallResult, Lane, LoadHint, server_forecast::ServerForecast};

/// The age at which a load hint no longer has any effect.
const HINT_LIFETIME: Duration = Duration::from_secs(2);
/// The utilization to which load hints are capped.
const MAX_HINTED_UTILIZATION: f64 = 2.0;
/// The weight of the hinted utilization in the cost. With `MAX_HINTED_UTILIZATION`, a hint at most
/// doubles the cost.
const HINT_WEIGHT: f64 = 0.5;
/// The longest time for which a server counts as full because of its limit on the rate of calls.
const MAX_FULL_TIME: Duration = Duration::from_secs(2);
/// The share of the time until there is room, after a refusal because of the rate, for which calls
/// that are no more urgent than the refused one would be refused as well.
const REFUSING_SHARE: f64 = 0.5;
/// The weight of the newest call in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// The weight of the failure rate in the cost.
const FAILURE_WEIGHT: f64 = 8.0;
/// The weight of the refusal rate in the cost.
const REFUSAL_WEIGHT: f64 = 4.0;
/// The half-life of the failure and refusal rates while no calls end.
const RATE_HALF_LIFE: Duration = Duration::from_secs(5);
/// The number of consecutive failures at which a server is ejected.
const EJECT_AFTER_FAILURES: u32 = 5;
/// The failure rate above which a server is ejected.
const EJECT_ABOVE_FAILURE_RATE: f64 = 0.5;
/// The duration of the first ejection. Each further ejection doubles it.
const EJECT_BASE: Duration = Duration::from_secs(2);
/// The maximum number of times that the ejection time is doubled.
const EJECT_MAX_DOUBLINGS: u32 = 4;
/// The number of successful probes after which an ejected server is healthy again.
const PROBES_TO_READMIT: u32 = 3;
/// The share of full load at the beginning of a slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// The exponent that turns a cost into a selection weight. A higher exponent favours the cheaper
/// server more strongly.
const SELECTION_EXPONENT: i32 = 4;
/// The bounds of a server's latency in the cost, as a multiple of the pool's mean latency.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.5, 4.0);
/// The ratio of measured to expected latency from which a server's expected time is multiplied by
/// it. Means of about ten calls whose times vary by more than their mean stay below it.
const MIN_DISTRUST_RATIO: f64 = 2.0;
/// The number of answered calls from which a server's expected time may be distrusted. A single call
/// may be slow for a reason of its own, and a distrusted server gets few calls that show otherwise.
const MIN_DISTRUST_CALLS: u32 = 2;
/// The half-life of the distrust in a server's expected time while no calls are answered.
const DISTRUST_HALF_LIFE: Duration = Duration::from_secs(10);
/// The weight of the expected wait for a slot in the comparison of servers. A call that occupies the
/// last slots of a server delays those after it, or makes the server refuse them; with a weight of 1
/// the model of 27 servers at 0.9 of their capacity had five times as many refusals.
const WAIT_WEIGHT: f64 = 6.0;
/// The share of a stale expected time by which it may be off, as drawn for each selection.
const STALE_SPREAD: f64 = 0.3;
/// The same share for an expected time that was reported just now.
const FRESH_SPREAD: f64 = 0.05;

/// The ejection state of a server on this entry node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// The server receives calls.
    Healthy,
    /// The server receives no calls before this time.
    Ejected(Timestamp),
    /// The server receives one probe at a time. Holds the number of probes that have succeeded.
    Probing(u32),
}

/// What a refusal because of the limit on the rate of calls tells about the next calls.
#[derive(Debug, Clone, Copy)]
struct Refusing {
    /// The lane of the refused call.
    lane: Lane,
    /// The time until which calls of this lane and of later ones would be refused.
    until: Timestamp,
}

/// The mean of the first calls, and a moving average from then on.
#[derive(Debug, Default)]
struct CallAverage {
    calls: u32,
    mean_us: f64,
}

impl CallAverage {
    fn record(&mut self, micros: f64) {
        self.calls = self.calls.saturating_add(1);
        let weight = (1.0 / f64::from(self.calls)).max(AVERAGE_WEIGHT);
        self.mean_us += weight * (micros - self.mean_us);
    }
}

/// The expected times of the calls sent to a server, and how long its calls took from the first of them
/// on. Earlier calls, which include the first one on a new connection, had no expected time.
#[derive(Debug, Default)]
struct PromisedTime {
    expected: CallAverage,
    latency: CallAverage,
}

impl PromisedTime {
    /// The ratio of measured to expected latency; `None` before enough calls were answered.
    fn latency_ratio(&self) -> Option<f64> {
        (self.latency.calls >= MIN_DISTRUST_CALLS)
            .then(|| self.latency.mean_us / self.expected.mean_us.max(1.0))
    }
}

/// The state that an entry node keeps for one backend server.
#[derive(Debug)]
pub(crate) struct ServerLoad {
    pub(crate) id: ServerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentre,
    pub(crate) in_flight: u32,
    slots: u32,
    /// The time at which the server joined or was last re-admitted.
    slow_start_from: Timestamp,
    hint: Option<(LoadHint, Timestamp)>,
    /// The limit on the rate of calls in the last load hint.
    limit: Option<CallRate>,
    /// The time until which a further call would wait for its turn.
    full_until: Timestamp,
    refusing: Option<Refusing>,
    latency_us: Option<f64>,
    /// What the server is expected to do, from its reports; `None` if they don't carry a time.
    forecast: Option<ServerForecast>,
    /// The expected times of calls and how long they took; `None` before the first expected time.
    promised: Option<PromisedTime>,
    /// The time at which the server last reported its load or was asked for it.
    asked_at: Timestamp,
    answered_at: Timestamp,
    failure_rate: f64,
    refusal_rate: f64,
    rates_decayed_at: Timestamp,
    consecutive_failures: u32,
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
            slow_start_from: now,
            hint: None,
            limit: None,
            full_until: Timestamp::EPOCH,
            refusing: None,
            latency_us: None,
            forecast: None,
            promised: None,
            asked_at: Timestamp::EPOCH,
            answered_at: now,
            failure_rate: 0.0,
            refusal_rate: 0.0,
            rates_decayed_at: now,
            consecutive_failures: 0,
            health: Health::Healthy,
            ejections: 0,
        }
    }

    /// Applies the pool's slot limit and the data centre from a newer member list.
    pub(crate) fn update(&mut self, member: &Member, slots: u32) {
        self.slots = slots.max(1);
        if self.data_centre != member.data_centre {
            self.data_centre = member.data_centre.clone();
        }
    }

    /// The moving average of the latency, in microseconds. `None` before the first answer.
    pub(crate) const fn latency_us(&self) -> Option<f64> {
        self.latency_us
    }

    /// The time until which a call would wait for its turn because of the limit on the rate.
    pub(crate) const fn full_until(&self) -> Timestamp {
        self.full_until
    }

    /// The time until there is room if a call of this lane would be refused now because of the
    /// limit on the rate, as far as this node knows.
    pub(crate) fn refusal_wait(&self, now: Timestamp, lane: Lane) -> Option<Duration> {
        let refusing = self.refusing?;
        let is_refused = now < refusing.until && lane >= refusing.lane;
        is_refused.then(|| self.full_until.since(now))
    }

    /// Whether the server receives calls other than probes.
    pub(crate) const fn is_healthy(&self) -> bool {
        matches!(self.health, Health::Healthy)
    }

    /// Whether the server is ejected or being probed.
    pub(crate) const fn is_ejected(&self) -> bool {
        !self.is_healthy()
    }

    /// Whether the server may receive a probe now.
    ///
    /// A call that is not idempotent may be the first probe only after twice the ejection time, so
    /// that idempotent calls probe first.
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

    /// The share of full load that the server receives during its slow start, between 0 and 1.
    /// `span` is the length of the slow start.
    pub(crate) fn slow_start_share(&self, now: Timestamp, span: Duration) -> f64 {
        if span.is_zero() {
            return 1.0;
        }
        let passed = now.since(self.slow_start_from).as_secs_f64() / span.as_secs_f64();
        passed.clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    /// The relative weight of the server in a random selection: its slow start share divided by a
    /// power of its cost. `pool_latency_us` is the mean latency of the pool.
    pub(crate) fn selection_weight(
        &self,
        now: Timestamp,
        span: Duration,
        pool_latency_us: Option<f64>,
    ) -> f64 {
        self.slow_start_share(now, span) / self.cost(now, pool_latency_us).powi(SELECTION_EXPONENT)
    }

    /// The cost of sending one more call to this server; lower is better.
    fn cost(&self, now: Timestamp, pool_latency_us: Option<f64>) -> f64 {
        let load = f64::from(self.in_flight) + 1.0;
        let hint = 1.0 + HINT_WEIGHT * self.hinted_utilization(now);
        let latency = match (self.latency_us, pool_latency_us) {
            (Some(own), Some(pool)) if pool > 0.0 => {
                (own / pool).clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1)
            }
            _ => 1.0,
        };
        let (failures, refusals) = self.penalties(now);
        load * hint * latency * failures * refusals
    }

    /// The expected time of a call sent now, in microseconds, as the server's reports say; `None` if
    /// they don't.
    pub(crate) fn expected_us(&self, now: Timestamp) -> Option<f64> {
        self.forecast
            .as_ref()
            .map(|forecast| forecast.expected_us(now))
    }

    /// The expected wait for a slot of a call sent now, in microseconds; `None` if the server's reports
    /// don't say it.
    pub(crate) fn wait_us(&self, now: Timestamp) -> Option<f64> {
        self.forecast.as_ref().map(|forecast| forecast.wait_us(now))
    }

    /// The expected time of a call sent now, in microseconds, with what this node has seen of the
    /// server: failures, refusals, the slow start, and answers that took much longer than expected.
    /// The wait counts more than the service time. `pool_us` takes the place of the expected time of a server that doesn't report it.
    pub(crate) fn weighted_time(&self, now: Timestamp, span: Duration, pool_us: f64) -> f64 {
        let time = match &self.forecast {
            Some(forecast) => {
                let wait = (WAIT_WEIGHT - 1.0) * forecast.wait_us(now);
                (forecast.expected_us(now) + wait) * self.distrust(now)
            }
            None => pool_us * (1.0 + HINT_WEIGHT * self.hinted_utilization(now)),
        };
        let (failures, refusals) = self.penalties(now);
        time * failures * refusals / self.slow_start_share(now, span)
    }

    /// The time at which the server last reported its load or was asked for it; `None` if its reports
    /// don't carry an expected time.
    pub(crate) fn asked_at(&self) -> Option<Timestamp> {
        self.forecast.map(|_| self.asked_at)
    }

    /// Notes that the server is asked for its load.
    pub(crate) const fn record_ask(&mut self, now: Timestamp) {
        self.asked_at = now;
    }

    /// The share by which the expected time of a call may be off, because the last report is old.
    pub(crate) fn time_spread(&self, now: Timestamp) -> f64 {
        let staleness = self.forecast.as_ref();
        let staleness = staleness.map_or(1.0, |forecast| forecast.staleness(now));
        FRESH_SPREAD + (STALE_SPREAD - FRESH_SPREAD) * staleness
    }

    /// The factor by which the reported times of the server have been too short.
    fn distrust(&self, now: Timestamp) -> f64 {
        let ratio = self.promised.as_ref().and_then(PromisedTime::latency_ratio);
        let Some(ratio) = ratio else {
            return 1.0;
        };
        if ratio < MIN_DISTRUST_RATIO {
            return 1.0;
        }
        let half_lives =
            now.since(self.answered_at).as_secs_f64() / DISTRUST_HALF_LIFE.as_secs_f64();
        1.0 + (ratio - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// The factors on the cost because of recent failures and refusals.
    fn penalties(&self, now: Timestamp) -> (f64, f64) {
        let decay = self.rate_decay(now);
        let failures = 1.0 + FAILURE_WEIGHT * self.failure_rate * decay;
        let refusals = 1.0 + REFUSAL_WEIGHT * self.refusal_rate * decay;
        (failures, refusals)
    }

    /// The utilization of the server as seen by this node, the highest of calls in flight, refusals
    /// and the load hint. 1 or more means that the server is overloaded.
    pub(crate) fn utilization(&self, now: Timestamp, span: Duration) -> f64 {
        let slots = f64::from(self.slots) * self.slow_start_share(now, span);
        let own = f64::from(self.in_flight + 1) / slots.max(1.0);
        let refusals = self.refusal_rate * self.rate_decay(now) * REFUSAL_WEIGHT;
        own.max(refusals).max(self.hinted_utilization(now))
    }

    /// The utilization in the last load hint, reduced linearly with the age of the hint.
    fn hinted_utilization(&self, now: Timestamp) -> f64 {
        let Some((hint, at)) = self.hint else {
            return 0.0;
        };
        let age = now.since(at).as_secs_f64() / HINT_LIFETIME.as_secs_f64();
        hint.utilization(MAX_HINTED_UTILIZATION) * (1.0 - age).max(0.0)
    }

    /// The factor by which the failure and refusal rates have decayed since they were updated.
    fn rate_decay(&self, now: Timestamp) -> f64 {
        let half_lives =
            now.since(self.rates_decayed_at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    /// Counts the start of a call. An ejected server whose ejection time has passed is probed by
    /// it.
    pub(crate) fn record_start(&mut self, now: Timestamp) {
        self.in_flight += 1;
        if let Some(forecast) = &mut self.forecast {
            let expected = forecast.expected_us(now);
            forecast.record_start();
            self.promised
                .get_or_insert_default()
                .expected
                .record(expected);
        }
        if let Some(interval) = self.limit.and_then(CallRate::interval) {
            self.set_full(now, self.full_until.since(now) + interval);
        }
        if let Health::Ejected(until) = self.health
            && now >= until
        {
            self.health = Health::Probing(0);
        }
    }

    /// Counts the end of a call and applies its result and load hint.
    pub(crate) fn record_end(
        &mut self,
        now: Timestamp,
        result: CallResult,
        hint: Option<LoadHint>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(hint) = hint {
            self.record_hint(now, hint);
        }
        match result {
            CallResult::Answered(latency) => self.record_answer(now, latency),
            CallResult::Failed => self.record_failure(now),
            CallResult::Overloaded => self.record_refusal(now),
            // Not a refusal rate: the server is as good as before once there is room again.
            CallResult::RateLimited { lane, wait } => {
                self.set_full(now, wait);
                let until = now + wait.min(MAX_FULL_TIME).mul_f64(REFUSING_SHARE);
                self.refusing = Some(Refusing { lane, until });
            }
            CallResult::Cancelled => {}
        }
    }

    pub(crate) fn record_hint(&mut self, now: Timestamp, hint: LoadHint) {
        self.hint = Some((hint, now));
        self.asked_at = now;
        self.forecast = hint
            .time
            .map(|time| ServerForecast::new(now, &hint, time, self.forecast.as_ref()));
        self.limit = hint.limit.map(|limit| limit.rate);
        let wait_us = hint.limit.map_or(0, |limit| limit.wait_us);
        self.set_full(now, Duration::from_micros(wait_us.into()));
    }

    fn set_full(&mut self, now: Timestamp, wait: Duration) {
        self.full_until = now + wait.min(MAX_FULL_TIME);
    }

    fn record_answer(&mut self, now: Timestamp, latency: Duration) {
        self.decay_rates(now);
        self.failure_rate *= 1.0 - AVERAGE_WEIGHT;
        self.refusal_rate *= 1.0 - AVERAGE_WEIGHT;
        self.consecutive_failures = 0;
        self.answered_at = now;
        let micros = latency.as_secs_f64() * 1e6;
        self.latency_us = Some(match self.latency_us {
            Some(old) => old + AVERAGE_WEIGHT * (micros - old),
            None => micros,
        });
        if let Some(promised) = &mut self.promised {
            promised.latency.record(micros);
        }
        if let Health::Probing(successes) = self.health {
            self.record_probe_success(now, successes + 1);
        }
    }

    fn record_probe_success(&mut self, now: Timestamp, successes: u32) {
        if successes < PROBES_TO_READMIT {
            self.health = Health::Probing(successes);
            return;
        }
        self.health = Health::Healthy;
        self.failure_rate = 0.0;
        self.slow_start_from = now;
    }

    fn record_failure(&mut self, now: Timestamp) {
        self.decay_rates(now);
        self.failure_rate += AVERAGE_WEIGHT * (1.0 - self.failure_rate);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if matches!(self.health, Health::Probing(_)) {
            self.eject(now);
        }
    }

    fn record_refusal(&mut self, now: Timestamp) {
        self.decay_rates(now);
        self.refusal_rate += AVERAGE_WEIGHT * (1.0 - self.refusal_rate);
        if let Some(forecast) = &mut self.forecast {
            forecast.record_refusal();
        }
    }

    fn decay_rates(&mut self, now: Timestamp) {
        let decay = self.rate_decay(now);
        self.failure_rate *= decay;
        self.refusal_rate *= decay;
        self.rates_decayed_at = now;
    }

    /// Whether a healthy server has failed often enough to be ejected.
    pub(crate) fn should_eject(&self) -> bool {
        self.is_healthy()
            && (self.consecutive_failures >= EJECT_AFTER_FAILURES
                || self.failure_rate > EJECT_ABOVE_FAILURE_RATE)
    }

    /// Ejects the server for a time that doubles with each ejection, up to a limit.
    pub(crate) fn eject(&mut self, now: Timestamp) {
        self.ejections = self.ejections.saturating_add(1);
        self.consecutive_failures = 0;
        self.health = Health::Ejected(now + self.ejection_time());
    }

    fn ejection_time(&self) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(EJECT_MAX_DOUBLINGS);
        EJECT_BASE * 2_u32.pow(doublings)
    }
}
