//! Selects a backend server of a pool for each call of an entry node.

use std::{sync::Arc, time::Duration};

use trefoillock_core::{DataCentre, Member, PoolPolicy, RouteClass, ServerId, Timestamp};

use crate::{CallResult, Lane, LoadHint, server_load::ServerLoad};

/// The utilization of the selected local server from which servers of other data centres are
/// considered.
const SPILLOVER_UTILIZATION: f64 = 0.8;
/// The same threshold for exports.
const EXPORT_SPILLOVER_UTILIZATION: f64 = 1.3;
/// The factor on the selection weight of a server in another data centre.
const REMOTE_WEIGHT_FACTOR: f64 = 0.4;
/// The factor by which the expected time of the selected local server exceeds that of a server in
/// another data centre to which a call is sent although the local one would meet the objective.
const REMOTE_TIME_MARGIN: f64 = 1.5;
/// The expected wait for a slot from which a local server counts as full, in microseconds. Beyond about
/// that wait, a call that would just meet its objective is refused.
const LONG_WAIT_US: f64 = 30_000.0;
/// The shortest time between two reports or asks of one server.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(30);
/// The time that a call to another data centre takes on the way and back, in microseconds.
const REMOTE_TRIP_US: f64 = 5_000.0;

/// Selects a backend server of one pool for each call of one entry node.
///
/// Two servers are drawn at random and compared by cost, which consists of the calls in flight from
/// this node, the last load hint, latency, and recent failures and refusals. One of the two is
/// selected at random, with odds in favour of the cheaper one, so that a server cannot lose all
/// calls because of a number that it reports. A load hint at most doubles the cost of a server and
/// fades within two seconds, while results seen by this node count in full.
///
/// A server that takes calls at a limited rate is left out until there is room for another call, as
/// far as this node knows, unless all others are left out too.
///
/// Servers whose load hints carry the expected time of a call are compared by that time instead: the
/// shortest one is selected, after each time was varied at random by as much as the age of its hint
/// makes it uncertain. Servers of other data centres are considered only if the shortest local time
/// misses the objective of the call or is much longer than theirs.
///
/// Servers that keep failing are ejected for a time, unless half of the servers or more would then
/// be ejected, and are probed by single calls before they are healthy again. Servers in the same
/// data centre are preferred until their utilization is high.
#[derive(Debug)]
pub struct Balancer {
    policy: PoolPolicy,
    data_centre: DataCentre,
    servers: Vec<ServerLoad>,
    is_synced: bool,
}

impl Balancer {
    /// Creates a balancer for a node in `data_centre`, without any servers.
    #[must_use]
    pub const fn new(policy: PoolPolicy, data_centre: DataCentre) -> Self {
        Self {
            policy,
            data_centre,
            servers: Vec::new(),
            is_synced: false,
        }
    }

    /// Replaces the policy of the pool. Slot limits change at the next [`Self::sync`].
    pub const fn set_policy(&mut self, policy: PoolPolicy) {
        self.policy = policy;
    }

    /// Replaces the members of the pool. Members that are draining or missing receive no more
    /// calls.
    ///
    /// The state of a server is kept unless the server has restarted.
    pub fn sync(&mut self, now: Timestamp, members: &[Arc<Member>]) {
        let slots = self.policy.slots;
        // Servers of the first list were there before this balancer, so they get no slow start.
        let is_first = !std::mem::replace(&mut self.is_synced, true);
        let mut known = std::mem::take(&mut self.servers);
        for member in members.iter().filter(|member| member.is_up()) {
            let slots = slots.min(member.announcement.slots);
            let at = known.iter().position(|server| server.id == member.id);
            let kept = at
                .map(|at| known.swap_remove(at))
                .filter(|server| server.incarnation == member.announcement.incarnation);
            let server = match kept {
                Some(mut server) => {
                    server.update(member, slots);
                    server
                }
                None if is_first => ServerLoad::new(now - self.slow_start_span(), member, slots),
                None => ServerLoad::new(now, member, slots),
            };
            self.servers.push(server);
        }
        self.servers.sort_by(|a, b| a.id.cmp(&b.id));
        self.servers.dedup_by(|a, b| a.id == b.id);
    }

    /// The number of servers in the pool, including ejected ones.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether the pool has no servers.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The number of servers that are ejected or being probed.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.servers.iter().filter(|s| s.is_ejected()).count()
    }

    /// Selects a server that is not in `exclude`. `draw` is a uniformly distributed random number.
    ///
    /// If no healthy server is left, an ejected one is selected. Returns `None` if `exclude`
    /// contains all servers. The call is counted only by [`Self::record_start`].
    #[must_use]
    pub fn pick(
        &self,
        now: Timestamp,
        draw: u64,
        class: RouteClass,
        exclude: &[ServerId],
    ) -> Option<ServerId> {
        self.pick_within(now, draw, class, None, exclude)
    }

    /// Selects a server as [`Self::pick`] does, for a call that should be answered within
    /// `objective`.
    #[must_use]
    pub fn pick_within(
        &self,
        now: Timestamp,
        draw: u64,
        class: RouteClass,
        objective: Option<Duration>,
        exclude: &[ServerId],
    ) -> Option<ServerId> {
        let mut rng = RandomSequence::new(draw);
        if let Some(probe) = self.pick_probe(now, class, exclude) {
            return Some(probe.id.clone());
        }
        let is_open = |server: &&ServerLoad| server.is_healthy() && !exclude.contains(&server.id);
        let usable = |server: &&ServerLoad| is_open(server) && server.full_until() <= now;
        let is_local = |server: &ServerLoad| server.data_centre == self.data_centre;
        if let Some(by_time) = self.select_by_time(now, &mut rng, objective, usable) {
            return Some(by_time.id.clone());
        }
        let local = self.select_of_two(now, &mut rng, |s| usable(&s) && is_local(s));
        let spills_over = local.is_none_or(|local| self.should_spill_over(now, class, local));
        let remote = if spills_over {
            self.select_of_two(now, &mut rng, |s| usable(&s) && !is_local(s))
        } else {
            None
        };
        let best = match (local, remote) {
            (Some(local), Some(remote)) => {
                let weights = (
                    self.selection_weight(now, local),
                    self.selection_weight(now, remote) * REMOTE_WEIGHT_FACTOR,
                );
                Some(if rng.picks_first(weights) {
                    local
                } else {
                    remote
                })
            }
            (local, remote) => local.or(remote),
        };
        let best = best
            .or_else(|| {
                let open = self.servers.iter().filter(is_open);
                open.min_by_key(|server| server.full_until())
            })
            .or_else(|| self.select_of_two(now, &mut rng, |server| !exclude.contains(&server.id)));
        best.map(|server| server.id.clone())
    }

    /// The time until there is room if all servers that are not in `exclude` would refuse a call of
    /// this lane now because of their limits on the rate, as far as this node knows.
    ///
    /// A call that is not sent then costs its caller no time, and the destination nodes nothing.
    #[must_use]
    pub fn refusal_wait(
        &self,
        now: Timestamp,
        lane: Lane,
        exclude: &[ServerId],
    ) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for server in self.servers.iter().filter(|s| !exclude.contains(&s.id)) {
            let wait = server.refusal_wait(now, lane)?;
            shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
        }
        shortest
    }

    /// The server that would take a call of this lane first, of those that would not take it now because
    /// of their limits on the rate.
    #[must_use]
    pub fn next_with_room(
        &self,
        now: Timestamp,
        lane: Lane,
        exclude: &[ServerId],
    ) -> Option<&ServerId> {
        let candidates = self.servers.iter().filter(|s| !exclude.contains(&s.id));
        let refusing =
            candidates.filter_map(|server| Some((server.refusal_wait(now, lane)?, &server.id)));
        refusing.min().map(|(_, id)| id)
    }

    /// The server of the own data centre that should be asked for its load next: of those that report an
    /// expected time, the one whose report or ask is the oldest. `None` if there is none, or if its last
    /// report or ask is recent.
    pub fn next_ask(&mut self, now: Timestamp) -> Option<ServerId> {
        let own = &self.data_centre;
        let servers = self.servers.iter_mut();
        let asked = servers
            .filter(|server| server.data_centre == *own && server.is_healthy())
            .filter_map(|server| Some((server.asked_at()?, server)));
        let (asked_at, server) = asked.min_by_key(|(asked_at, _)| *asked_at)?;
        if now.since(asked_at) < MIN_ASK_INTERVAL {
            return None;
        }
        server.record_ask(now);
        Some(server.id.clone())
    }

    /// Counts the start of a call to a server.
    pub fn record_start(&mut self, now: Timestamp, id: &ServerId) {
        if let Some(server) = self.server_mut(id) {
            server.record_start(now);
        }
    }

    /// Applies a load hint that arrived with the head of an answer.
    pub fn record_hint(&mut self, now: Timestamp, id: &ServerId, hint: LoadHint) {
        if let Some(server) = self.server_mut(id) {
            server.record_hint(now, hint);
        }
    }

    /// Counts the end of a started call, with the load hint that arrived with its answer.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        result: CallResult,
        hint: Option<LoadHint>,
    ) {
        let Some(server) = self.server_mut(id) else {
            return;
        };
        server.record_end(now, result, hint);
        if server.should_eject() {
            self.eject(now, id);
        }
    }

    /// The number of calls in flight from this node to a server.
    #[must_use]
    pub fn in_flight(&self, id: &ServerId) -> u32 {
        self.index_of(id).map_or(0, |at| self.servers[at].in_flight)
    }

    /// Ejects a server unless half of the servers or more would then be ejected.
    fn eject(&mut self, now: Timestamp, id: &ServerId) {
        let limit = self.servers.len().saturating_sub(1) / 2;
        if self.ejected() < limit
            && let Some(server) = self.server_mut(id)
        {
            server.eject(now);
        }
    }

    /// An ejected server that may be probed by a call now.
    fn pick_probe(
        &self,
        now: Timestamp,
        class: RouteClass,
        exclude: &[ServerId],
    ) -> Option<&ServerLoad> {
        // A retry is never used as a probe.
        if !exclude.is_empty() {
            return None;
        }
        let idempotent = class.is_idempotent();
        self.servers
            .iter()
            .find(|server| server.may_probe(now, idempotent))
    }

    /// Draws two usable servers at random and selects one of them at random by their weights.
    fn select_of_two(
        &self,
        now: Timestamp,
        rng: &mut RandomSequence,
        usable: impl Fn(&ServerLoad) -> bool,
    ) -> Option<&ServerLoad> {
        let count = self.servers.iter().filter(|server| usable(server)).count();
        let nth = |at: usize| self.servers.iter().filter(|server| usable(server)).nth(at);
        if count < 2 {
            return nth(0);
        }
        let first_at = rng.below(count);
        let second_at = (first_at + 1 + rng.below(count - 1)) % count;
        let (first, second) = (nth(first_at)?, nth(second_at)?);
        let weights = (
            self.selection_weight(now, first),
            self.selection_weight(now, second),
        );
        Some(if rng.picks_first(weights) {
            first
        } else {
            second
        })
    }

    /// Selects the server with the shortest expected time; `None` if no usable server reports one.
    fn select_by_time(
        &self,
        now: Timestamp,
        rng: &mut RandomSequence,
        objective: Option<Duration>,
        usable: impl Fn(&&ServerLoad) -> bool,
    ) -> Option<&ServerLoad> {
        let (mut sum, mut count) = (0.0, 0.0);
        let servers = self.servers.iter().filter(&usable);
        for expected in servers.filter_map(|server| server.expected_us(now)) {
            sum += expected;
            count += 1.0;
        }
        if count < 1.0 {
            return None;
        }
        let pool_us = sum / count;
        let (mut local, mut remote): (Option<Candidate<'_>>, Option<Candidate<'_>>) = (None, None);
        for server in self.servers.iter().filter(usable) {
            let time_us = server.weighted_time(now, self.slow_start_span(), pool_us);
            let spread = server.time_spread(now);
            let candidate = Candidate {
                server,
                time_us,
                drawn_us: time_us * (1.0 + spread * rng.symmetric()),
            };
            let best = if server.data_centre == self.data_centre {
                &mut local
            } else {
                &mut remote
            };
            if best.is_none_or(|best| candidate.drawn_us < best.drawn_us) {
                *best = Some(candidate);
            }
        }
        let best = match (local, remote) {
            (Some(local), Some(remote)) if goes_remote(now, &local, &remote, objective) => remote,
            (local, remote) => local.or(remote)?,
        };
        Some(best.server)
    }

    /// Whether servers of other data centres are considered besides the selected local one.
    fn should_spill_over(&self, now: Timestamp, class: RouteClass, local: &ServerLoad) -> bool {
        let span = self.slow_start_span();
        let utilization = local.utilization(now, span);
        match class {
            // Transferring an export to another data centre costs more than a short wait.
            RouteClass::Export => utilization >= EXPORT_SPILLOVER_UTILIZATION,
            _ => local.slow_start_share(now, span) < 1.0 || utilization >= SPILLOVER_UTILIZATION,
        }
    }

    fn selection_weight(&self, now: Timestamp, server: &ServerLoad) -> f64 {
        server.selection_weight(now, self.slow_start_span(), self.mean_latency_us())
    }

    /// The mean of the latencies of all servers, in microseconds.
    fn mean_latency_us(&self) -> Option<f64> {
        let (mut sum, mut count) = (0.0, 0.0);
        for latency in self.servers.iter().filter_map(ServerLoad::latency_us) {
            sum += latency;
            count += 1.0;
        }
        (count > 0.0).then(|| sum / count)
    }

    const fn slow_start_span(&self) -> Duration {
        Duration::from_secs(self.policy.slow_start_s as u64)
    }

    fn index_of(&self, id: &ServerId) -> Option<usize> {
        self.servers.binary_search_by(|s| s.id.cmp(id)).ok()
    }

    fn server_mut(&mut self, id: &ServerId) -> Option<&mut ServerLoad> {
        let at = self.index_of(id)?;
        self.servers.get_mut(at)
    }
}

/// A server that may be selected by its expected time.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    server: &'a ServerLoad,
    /// The expected time of a call, in microseconds.
    time_us: f64,
    /// The same, varied at random by its uncertainty.
    drawn_us: f64,
}

/// Whether a call is sent to the selected server of another data centre.
fn goes_remote(
    now: Timestamp,
    local: &Candidate<'_>,
    remote: &Candidate<'_>,
    objective: Option<Duration>,
) -> bool {
    let remote_us = remote.time_us.max(remote.drawn_us) + REMOTE_TRIP_US;
    let misses = |time_us: f64| objective.is_some_and(|o| time_us > o.as_secs_f64() * 1e6);
    let misses_objective = misses(local.time_us) && !misses(remote_us);
    let waits = local
        .server
        .wait_us(now)
        .is_some_and(|wait| wait > LONG_WAIT_US);
    let factor = if misses_objective || waits {
        1.0
    } else {
        REMOTE_TIME_MARGIN
    };
    local.time_us > factor * remote_us
}

/// A sequence of random numbers generated from one uniformly distributed seed.
struct RandomSequence(u64);

impl RandomSequence {
    const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number of the `SplitMix64` sequence.
    const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`, which must not be zero.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the remainder is below a bound of type usize"
    )]
    const fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    /// Returns a number between -1 and 1.
    fn symmetric(&mut self) -> f64 {
        f64::from((self.next() >> 32) as u32) / f64::from(u32::MAX) * 2.0 - 1.0
    }

    /// Returns whether the first of two alternatives is selected. The probability of each is
    /// proportional to its weight.
    fn picks_first(&mut self, weights: (f64, f64)) -> bool {
        let draw = f64::from((self.next() >> 32) as u32) / f64::from(u32::MAX);
        draw * (weights.0 + weights.1) < weights.0
    }
}
