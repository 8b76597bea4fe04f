//! The choice of a backend server for a call.

use std::{sync::Arc, time::Duration};

use trefoillock_core::{DataCentre, Member, PoolPolicy, RouteClass, ServerId, Timestamp};

use crate::{CallResult, LoadHint, server_load::ServerLoad};

/// The pressure of a local server from which servers of other data centres are considered.
const SPILL_PRESSURE: f64 = 0.8;
/// The pressure from which on exports go to servers of other data centres too.
const EXPORT_SPILL_PRESSURE: f64 = 1.3;
/// The factor on the odds of a server of another data centre.
const REMOTE_ODDS: f64 = 0.4;

/// Chooses a backend server of one pool for each call of one entry node.
///
/// Two servers are drawn at random and compared by their costs: calls in flight from this node, the
/// last hint of load, latency, recent failures and refusals. The cheaper one is taken with odds
/// that grow with the difference, so no server loses all calls by a number that it reports.
/// A hint at most doubles the cost of a server and fades within two seconds; outcomes seen by
/// this node count in full.
///
/// Servers that keep failing are ejected for a time, but never the majority, and return by
/// single probing calls. Servers of the same data centre go first until they are overloaded.
#[derive(Debug)]
pub struct Balancer {
    policy: PoolPolicy,
    data_centre: DataCentre,
    servers: Vec<ServerLoad>,
    is_synced: bool,
}

impl Balancer {
    /// Creates a balancer without servers for a node in `data_centre`.
    #[must_use]
    pub const fn new(policy: PoolPolicy, data_centre: DataCentre) -> Self {
        Self {
            policy,
            data_centre,
            servers: Vec::new(),
            is_synced: false,
        }
    }

    /// Takes a newer policy of the pool.
    pub const fn set_policy(&mut self, policy: PoolPolicy) {
        self.policy = policy;
    }

    /// Takes the present members of the pool; those that drain or left get no call any more.
    ///
    /// What is known of a server is kept unless the server restarted.
    pub fn sync(&mut self, now: Timestamp, members: &[Arc<Member>]) {
        let slots = self.policy.slots;
        // Servers that were there before this balancer are warm.
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

    /// The number of servers that take calls, whether ejected or not.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server takes calls.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The number of servers that are ejected or on probation.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.servers.iter().filter(|s| s.is_ejected()).count()
    }

    /// Chooses a server that is not in `exclude`, by a uniformly drawn number.
    ///
    /// Returns `None` if there is none. The choice is counted only by [`Self::started`].
    #[must_use]
    pub fn pick(
        &self,
        now: Timestamp,
        draw: u64,
        class: RouteClass,
        exclude: &[ServerId],
    ) -> Option<ServerId> {
        let mut draws = Draws::new(draw);
        if let Some(probe) = self.pick_probe(now, class, exclude) {
            return Some(probe.id.clone());
        }
        let usable = |server: &&ServerLoad| server.is_healthy() && !exclude.contains(&server.id);
        let is_local = |server: &ServerLoad| server.data_centre == self.data_centre;
        let local = self.best_of_two(now, &mut draws, |s| usable(&s) && is_local(s));
        let spills = local.is_none_or(|local| self.spills(now, class, local));
        let remote = if spills {
            self.best_of_two(now, &mut draws, |s| usable(&s) && !is_local(s))
        } else {
            None
        };
        let best = match (local, remote) {
            (Some(local), Some(remote)) => {
                let odds = (self.odds(now, local), self.odds(now, remote) * REMOTE_ODDS);
                Some(if draws.first_wins(odds) {
                    local
                } else {
                    remote
                })
            }
            (local, remote) => local.or(remote),
        };
        let best = best
            .or_else(|| self.best_of_two(now, &mut draws, |server| !exclude.contains(&server.id)));
        best.map(|server| server.id.clone())
    }

    /// Counts the start of a call.
    pub fn started(&mut self, now: Timestamp, id: &ServerId) {
        if let Some(server) = self.server(id) {
            server.started(now);
        }
    }

    /// Counts the end of a call that was started, with the hint that came with its answer.
    pub fn ended(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        result: CallResult,
        hint: Option<LoadHint>,
    ) {
        let Some(server) = self.server(id) else {
            return;
        };
        server.ended(now, result, hint);
        if server.should_eject() {
            self.eject(now, id);
        }
    }

    /// The number of calls in flight from this node to a server.
    #[must_use]
    pub fn in_flight(&self, id: &ServerId) -> u32 {
        self.at(id).map_or(0, |at| self.servers[at].in_flight)
    }

    /// Ejects a server unless too many are ejected already.
    fn eject(&mut self, now: Timestamp, id: &ServerId) {
        let limit = self.servers.len().saturating_sub(1) / 2;
        if self.ejected() < limit
            && let Some(server) = self.server(id)
        {
            server.eject(now);
        }
    }

    /// An ejected server whose time for a probing call has come.
    fn pick_probe(
        &self,
        now: Timestamp,
        class: RouteClass,
        exclude: &[ServerId],
    ) -> Option<&ServerLoad> {
        // A retry is never a probe.
        if !exclude.is_empty() {
            return None;
        }
        let idempotent = class.is_idempotent();
        self.servers
            .iter()
            .find(|server| server.may_probe(now, idempotent))
    }

    /// Draws two servers and takes one by their costs.
    fn best_of_two(
        &self,
        now: Timestamp,
        draws: &mut Draws,
        usable: impl Fn(&ServerLoad) -> bool,
    ) -> Option<&ServerLoad> {
        let count = self.servers.iter().filter(|server| usable(server)).count();
        let nth = |at: usize| self.servers.iter().filter(|server| usable(server)).nth(at);
        if count < 2 {
            return nth(0);
        }
        let first_at = draws.below(count);
        let second_at = (first_at + 1 + draws.below(count - 1)) % count;
        let (first, second) = (nth(first_at)?, nth(second_at)?);
        let odds = (self.odds(now, first), self.odds(now, second));
        Some(if draws.first_wins(odds) {
            first
        } else {
            second
        })
    }

    /// Whether servers of other data centres are to be considered beside a local one.
    fn spills(&self, now: Timestamp, class: RouteClass, local: &ServerLoad) -> bool {
        let span = self.slow_start_span();
        let pressure = local.pressure(now, span);
        match class {
            // The bytes of an export cost more on the way than a short wait does.
            RouteClass::Export => pressure >= EXPORT_SPILL_PRESSURE,
            _ => local.slow_start(now, span) < 1.0 || pressure >= SPILL_PRESSURE,
        }
    }

    fn odds(&self, now: Timestamp, server: &ServerLoad) -> f64 {
        server.odds(now, self.slow_start_span(), self.mean_latency_us())
    }

    /// The average of the servers' latencies, in microseconds.
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

    fn at(&self, id: &ServerId) -> Option<usize> {
        self.servers.binary_search_by(|s| s.id.cmp(id)).ok()
    }

    fn server(&mut self, id: &ServerId) -> Option<&mut ServerLoad> {
        let at = self.at(id)?;
        self.servers.get_mut(at)
    }
}

/// Several draws out of one uniformly drawn number.
struct Draws(u64);

impl Draws {
    const fn new(draw: u64) -> Self {
        Self(draw)
    }

    /// The next number of the `SplitMix64` sequence.
    const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`, which must not be zero.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the remainder is below a bound of type usize"
    )]
    const fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    /// Whether the first of two wins by their odds.
    fn first_wins(&mut self, odds: (f64, f64)) -> bool {
        let draw = f64::from((self.next() >> 32) as u32) / f64::from(u32::MAX);
        draw * (odds.0 + odds.1) < odds.0
    }
}
