//! Simulates a rollout of a few seconds: a leader, nodes that learn of its decisions, servers of both versions
//! and callers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use trefoillock_core::{
    Announcement, DataCentre, Evidence, Incarnation, Member, MemberState, Members, MoveEvidence,
    MoveId, NodeId, PoolEvidence, Rollout, RolloutAllowance, RolloutLimits, RolloutProgress,
    RolloutShare, RolloutState, ServerId, ServiceName, Share, Timestamp, VersionLabel,
};
use trefoillock_moves::RolloutController;
use trefoillock_policy::{RolloutClaim, RolloutLedger, VersionCall};

/// Number of time steps that evidence takes from the nodes to the leader.
pub(crate) const EVIDENCE_DELAY_STEPS: usize = 3;
/// The same where the nodes are two relays away from the leader, and each report waits its longest.
pub(crate) const LONG_EVIDENCE_DELAY_STEPS: usize = 6;
const TIME_STEP: Duration = Duration::from_millis(250);
/// Time from the order of a rollout to its deadline, unless a test needs another one.
pub(crate) const DURATION: Duration = Duration::from_secs(16);
/// The fraction of calls that fail in a good version.
const BASE_FAILURE_RATE: f64 = 0.004;
/// The number of bad answers after which the version must soon get no more calls.
const BAD_ANSWERS: u64 = 50;
/// The time within which it must get none, by the users' rule.
const STOP_WITHIN: Duration = Duration::from_secs(5);

/// How the new version behaves from a time after its start, and from a share of the calls: the
/// fraction of calls that are affected, and how.
#[derive(Clone, Copy)]
pub(crate) struct Behaviour {
    pub(crate) affected: f64,
    pub(crate) effect: Effect,
    pub(crate) since: Duration,
    pub(crate) min_share: f64,
}

/// What an affected call suffers.
#[derive(Clone, Copy)]
pub(crate) enum Effect {
    Fails,
    Takes { factor: f64 },
}

pub(crate) const GOOD: Behaviour = Behaviour {
    affected: 0.0,
    effect: Effect::Fails,
    since: Duration::ZERO,
    min_share: 0.0,
};

/// What happens to the leader, to the evidence on its way and to the rate of calls.
#[derive(Clone, Copy)]
pub(crate) struct Disturbance {
    /// The time from the order to the deadline.
    pub(crate) duration: Duration,
    pub(crate) evidence_delay_steps: usize,
    /// The number of time steps after which the nodes learn of a decision.
    pub(crate) learning_delay_steps: usize,
    /// When the process of the leader restarts.
    pub(crate) restart_at: Option<Duration>,
    /// The time for which the leader neither decides nor takes evidence.
    pub(crate) leader_pause: (Duration, Duration),
    /// The time before which no evidence reaches the leader.
    pub(crate) evidence_lost_until: Duration,
    /// When the rate of calls triples.
    pub(crate) burst_at: Duration,
    /// The fraction of calls that fail in the old versions.
    pub(crate) old_failure_rate: f64,
    /// Whether all nodes have applied the last step whenever the leader decides.
    pub(crate) has_converged: bool,
    /// The number of time steps by which good calls take longer than those that fail.
    pub(crate) good_calls_late_steps: usize,
    /// Calls that the new version may get by the users' rule: a fraction of the calls until the
    /// deadline, plus a fixed number.
    pub(crate) max_exposure: (f64, u64),
}

pub(crate) const CALM: Disturbance = Disturbance {
    duration: DURATION,
    evidence_delay_steps: EVIDENCE_DELAY_STEPS,
    learning_delay_steps: 0,
    restart_at: None,
    leader_pause: (Duration::ZERO, Duration::ZERO),
    evidence_lost_until: Duration::ZERO,
    burst_at: Duration::MAX,
    old_failure_rate: BASE_FAILURE_RATE,
    has_converged: true,
    good_calls_late_steps: 0,
    max_exposure: (0.1, 50),
};

/// The leader stands still while the new version is due for all calls.
pub(crate) const LEADER_PAUSE: (Duration, Duration) =
    (Duration::from_millis(13_750), Duration::from_millis(15_750));
pub(crate) const LOST_UNTIL: Duration = Duration::from_secs(4);
pub(crate) const LATE_BURST: Duration = Duration::from_secs(13);
/// The factor by which the rate of calls grows in a burst.
const BURST_FACTOR: f64 = 3.0;

impl Disturbance {
    fn pauses_leader(&self, elapsed: Duration) -> bool {
        (self.leader_pause.0..self.leader_pause.1).contains(&elapsed)
    }

    fn calls_per_step(&self, rate: f64, elapsed: Duration) -> f64 {
        let factor = if elapsed >= self.burst_at {
            BURST_FACTOR
        } else {
            1.0
        };
        rate * factor * TIME_STEP.as_secs_f64()
    }

    fn limits(&self) -> RolloutLimits {
        RolloutLimits {
            share: Share::from_fraction(self.max_exposure.0),
            extra_calls: self.max_exposure.1,
            ..RolloutLimits::default()
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of calls are small")]
    fn max_exposed(&self, rate: f64) -> f64 {
        self.max_exposure.0 * self.calls(rate) + self.max_exposure.1 as f64
    }

    /// The calls from the order to the deadline.
    fn calls(&self, rate: f64) -> f64 {
        let mut calls = 0.0;
        let mut elapsed = Duration::ZERO;
        while elapsed < self.duration {
            calls += self.calls_per_step(rate, elapsed);
            elapsed += TIME_STEP;
        }
        calls
    }
}

/// What became of a rollout, and the calls that its new version got until it completed.
pub(crate) struct Outcome {
    /// When the new version gave its 50th bad answer, and when it last got a call, since the order.
    shown_bad_at: Option<Duration>,
    last_call_at: Duration,
    bad_answers: u64,
    pub(crate) state: RolloutState,
    pub(crate) at: Duration,
    exposed: f64,
    max_exposed: f64,
}

impl Outcome {
    fn count_call(&mut self, elapsed: Duration, is_new: bool, is_bad: bool) {
        if is_new {
            self.exposed += 1.0;
            self.last_call_at = elapsed;
        }
        self.bad_answers += u64::from(is_bad);
        if self.bad_answers == BAD_ANSWERS {
            self.shown_bad_at.get_or_insert(elapsed);
        }
    }

    /// Asserts that until the rollout completed the new version got no more calls than its limit allows, and none
    /// late after its last allowed bad answer.
    pub(crate) fn assert_within_limits(&self, case: &str) {
        let max_exposed = self.max_exposed;
        let exposed = self.exposed;
        assert!(exposed <= max_exposed, "{case}: {exposed} of {max_exposed}");
        let shown_bad_at = self.shown_bad_at.unwrap_or(Duration::MAX);
        let last_call_at = self.last_call_at;
        assert!(
            last_call_at <= shown_bad_at.saturating_add(STOP_WITHIN),
            "{case}: bad at {shown_bad_at:?}, last call at {last_call_at:?}"
        );
    }
}

/// The backend servers of the new version, each with a node of its own.
const SERVERS: usize = 3;

fn server_id(at: usize) -> ServerId {
    ServerId {
        node: NodeId::try_from(format!("node-{at}")).expect("a name"),
        address: ([127, 0, 0, 1], 8_000).into(),
    }
}

fn members() -> Members {
    let members = (0..SERVERS).map(|at| {
        let id = server_id(at);
        let member = Member {
            id: id.clone(),
            announcement: Announcement {
                address: id.address,
                service: service(),
                version: new_version(),
                incarnation: Incarnation::new(1),
                slots: 9,
                connections: 18,
                state: MemberState::Up,
                instance: None,
            },
            peer_address: id.address,
            data_centre: DataCentre::try_from("dc").expect("a name"),
            node_incarnation: Incarnation::new(1),
        };
        (id, Arc::new(member))
    });
    Members {
        servers: members.collect(),
        ..Members::default()
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("desk").expect("a name")
}

fn new_version() -> VersionLabel {
    VersionLabel::try_from("v2").expect("a name")
}

/// The nodes: one that callers use, and those beside the servers of the new version. They learn of a step
/// or an allowance some time after the leader has taken it.
struct Nodes {
    entry: RolloutShare,
    ledgers: Vec<RolloutLedger>,
    on_the_way: Vec<RolloutShare>,
    delay_steps: usize,
}

impl Nodes {
    fn new(delay_steps: usize, rollout: &Rollout) -> Self {
        let ledgers = (0..SERVERS).map(|at| {
            let node = server_id(at).node;
            RolloutLedger::new(node, Incarnation::new(1))
        });
        Self {
            entry: RolloutShare::from(rollout),
            ledgers: ledgers.collect(),
            on_the_way: Vec::new(),
            delay_steps,
        }
    }

    fn learn(&mut self, now: Timestamp, rollout: &Rollout) {
        self.on_the_way.push(RolloutShare::from(rollout));
        if self.on_the_way.len() > self.delay_steps {
            self.entry = self.on_the_way.remove(0);
            let rollouts = BTreeMap::from([(service(), self.entry.clone())]);
            for ledger in &mut self.ledgers {
                ledger.observe(now, &rollouts);
            }
        }
    }

    /// Returns whether a call is sent to a server of the new version.
    fn sends_to_new(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) -> bool {
        if rng.random::<f64>() >= self.entry.share.fraction() {
            return false;
        }
        let claim = RolloutClaim {
            id: self.entry.id,
            is_limited: self.entry.allowance.is_some(),
        };
        let first = rng.random_range(0..SERVERS);
        let mut servers = [first, (first + 1) % SERVERS].into_iter();
        servers.any(|at| {
            let call = VersionCall {
                service: &service(),
                version: &new_version(),
                address: server_id(at).address,
                claim: Some(claim),
            };
            self.ledgers[at].charge(now, &call).is_ok()
        })
    }
}

/// The good calls that have not ended, by the time step in which they began.
#[derive(Default)]
struct Unfinished(Vec<MoveEvidence>);

impl Unfinished {
    /// Returns the evidence on the calls that end in a time step: those that fail at once, and the good ones that began
    /// `late_steps` earlier.
    fn split(&mut self, begun: MoveEvidence, late_steps: usize) -> MoveEvidence {
        let failures = |pool: &PoolEvidence| PoolEvidence {
            calls: pool.failures,
            failures: pool.failures,
            ..PoolEvidence::default()
        };
        let answers = |pool: PoolEvidence| PoolEvidence {
            calls: pool.calls - pool.failures,
            failures: 0,
            ..pool
        };
        let mut ended = MoveEvidence {
            old: failures(&begun.old),
            new: failures(&begun.new),
            ..begun.clone()
        };
        self.0.push(MoveEvidence {
            old: answers(begun.old),
            new: answers(begun.new),
            ..begun
        });
        if self.0.len() > late_steps {
            let late = self.0.remove(0);
            if late.step == ended.step {
                ended.merge(&late);
            }
        }
        ended
    }
}

/// Applies what the leader decides.
fn lead(
    now: Timestamp,
    controller: &RolloutController,
    rollouts: &mut BTreeMap<ServiceName, Rollout>,
    has_converged: bool,
) {
    let members = members();
    let allowances = controller.due_allowances(now, rollouts, &members);
    let steps = controller.decide(now, rollouts, Some(&members), has_converged);
    let progress = controller.due_progress(now, rollouts);
    let rollout = rollouts.get_mut(&service()).expect("the rollout");
    for (_, allowance) in allowances {
        assert_eq!(allowance.serial, rollout.allowance.serial + 1);
        assert!(allowance.granted() >= rollout.allowance.granted());
        if std::env::var("DBG").is_ok() {
            println!(
                "{:?} {:?} granted {} share {}",
                now,
                allowance.purpose,
                allowance.granted(),
                rollout.share
            );
        }
        rollout.allowance = allowance;
    }
    for step in steps {
        assert_eq!(step.step, rollout.step + 1);
        rollout.step = step.step;
        if std::env::var("DBG").is_ok() {
            println!("{:?} step {:?} {}", now, step.state, step.evidence);
        }
        rollout.state = step.state;
        rollout.share = step.share;
    }
    for (_, progress) in progress {
        rollout.progress = progress;
    }
}

/// Records a call as its version handles it.
fn record_call(
    evidence: &mut MoveEvidence,
    is_new: bool,
    (behaviour, is_affected): (Behaviour, bool),
    old_failure_rate: f64,
    rng: &mut Pcg64Mcg,
) {
    let (failure_rate, latency_factor) = match behaviour.effect {
        _ if !is_new => (old_failure_rate, 1.0),
        Effect::Fails if is_affected => (1.0, 1.0),
        Effect::Takes { factor } if is_affected => (BASE_FAILURE_RATE, factor),
        Effect::Fails | Effect::Takes { .. } => (BASE_FAILURE_RATE, 1.0),
    };
    let pool = if is_new {
        &mut evidence.new
    } else {
        &mut evidence.old
    };
    if rng.random::<f64>() < failure_rate {
        pool.record_failure();
    } else {
        let time = 0.16 * latency_factor * (0.6 + 0.8 * rng.random::<f64>());
        pool.record_answer(Duration::from_secs_f64(time));
    }
}

pub(crate) fn run(rate: f64, behaviour: Behaviour, disturbance: Disturbance, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = Timestamp::from_secs(1_000);
    // The clock of the replica that accepted the order is one hour ahead.
    let ordered = start + Duration::from_hours(1);
    let rollout = Rollout {
        id: MoveId::new(1),
        service: service(),
        version: new_version(),
        started: ordered,
        deadline: ordered + disturbance.duration,
        state: RolloutState::Running,
        share: Share::ZERO,
        step: 0,
        evidence: String::new(),
        rejected: Vec::new(),
        allowance: RolloutAllowance::default(),
        progress: RolloutProgress::default(),
    };
    let mut nodes = Nodes::new(disturbance.learning_delay_steps, &rollout);
    let mut rollouts = BTreeMap::from([(service(), rollout)]);
    let limits = disturbance.limits();
    let mut controller = RolloutController::new().with_limits(limits);
    let mut in_transit: Vec<Evidence> = Vec::new();
    let mut unfinished = Unfinished::default();
    let mut outcome = Outcome {
        shown_bad_at: None,
        last_call_at: Duration::ZERO,
        bad_answers: 0,
        state: RolloutState::Running,
        at: disturbance.duration,
        exposed: 0.0,
        max_exposed: disturbance.max_exposed(rate),
    };
    let mut elapsed = Duration::ZERO;
    while elapsed < disturbance.duration {
        let now = start + elapsed;
        if disturbance.restart_at == Some(elapsed) {
            controller = RolloutController::new().with_limits(limits);
            in_transit.clear();
        }
        let is_leading = !disturbance.pauses_leader(elapsed);
        if is_leading {
            controller.track(now, &rollouts);
        }
        nodes.learn(now, &rollouts[&service()]);
        let mut evidence = MoveEvidence {
            step: nodes.entry.step,
            ..MoveEvidence::default()
        };
        let calls = disturbance.calls_per_step(rate, elapsed);
        let mut remaining =
            calls.floor() + f64::from(u8::from(rng.random::<f64>() < calls.fract()));
        while remaining >= 1.0 {
            remaining -= 1.0;
            let is_new = nodes.sends_to_new(now, &mut rng);
            let is_affected = is_new
                && elapsed >= behaviour.since
                && nodes.entry.share.fraction() >= behaviour.min_share
                && rng.random::<f64>() < behaviour.affected;
            outcome.count_call(elapsed, is_new, is_affected);
            let behaviour = (behaviour, is_affected);
            let old_failure_rate = disturbance.old_failure_rate;
            record_call(&mut evidence, is_new, behaviour, old_failure_rate, &mut rng);
        }
        let late_steps = disturbance.good_calls_late_steps;
        let evidence = unfinished.split(evidence, late_steps);
        let moves = BTreeMap::from([(MoveId::new(1), evidence)]);
        in_transit.push(Evidence {
            moves,
            ..Evidence::default()
        });
        if elapsed < disturbance.evidence_lost_until {
            in_transit.clear();
        }
        elapsed += TIME_STEP;
        if !is_leading {
            continue;
        }
        while in_transit.len() > disturbance.evidence_delay_steps {
            controller.add_evidence(now, &in_transit.remove(0));
        }
        lead(now, &controller, &mut rollouts, disturbance.has_converged);
        let state = rollouts[&service()].state;
        if state == RolloutState::RolledBack && outcome.state == RolloutState::Running {
            outcome.state = state;
            outcome.at = now.since(start);
        }
        if state == RolloutState::Completed {
            outcome.state = state;
            outcome.at = now.since(start);
            break;
        }
    }
    outcome
}

/// Half of the calls fail or take eight times as long.
pub(crate) const fn half(effect: Effect, since: Duration, min_share: f64) -> Behaviour {
    Behaviour {
        affected: 0.5,
        effect,
        since,
        min_share,
    }
}

pub(crate) const SLOW: Effect = Effect::Takes { factor: 8.0 };

/// The disturbances of the matrix, by name.
pub(crate) fn disturbances() -> Vec<(&'static str, Disturbance)> {
    let restart = |seconds| Disturbance {
        restart_at: Some(Duration::from_secs(seconds)),
        ..CALM
    };
    let lost = Disturbance {
        evidence_lost_until: LOST_UNTIL,
        ..CALM
    };
    let burst = Disturbance {
        burst_at: LATE_BURST,
        ..CALM
    };
    vec![
        ("none", CALM),
        (
            "deadline after 8 s",
            Disturbance {
                duration: Duration::from_secs(8),
                ..CALM
            },
        ),
        (
            "evidence after 1.5 s",
            Disturbance {
                evidence_delay_steps: LONG_EVIDENCE_DELAY_STEPS,
                learning_delay_steps: 1,
                ..CALM
            },
        ),
        (
            "nodes learn after 2 s",
            Disturbance {
                learning_delay_steps: 8,
                ..CALM
            },
        ),
        ("leader restarts at 2 s", restart(2)),
        ("leader restarts at 12 s", restart(12)),
        ("leader restarts at 14 s", restart(14)),
        (
            "leader stands still",
            Disturbance {
                leader_pause: LEADER_PAUSE,
                ..CALM
            },
        ),
        ("burst at 13 s", burst),
        (
            "burst, late evidence",
            Disturbance {
                evidence_delay_steps: LONG_EVIDENCE_DELAY_STEPS,
                ..burst
            },
        ),
        ("no evidence for 4 s", lost),
        (
            "the same, leader still",
            Disturbance {
                leader_pause: LEADER_PAUSE,
                ..lost
            },
        ),
    ]
}

/// The behaviours of the matrix, by name.
pub(crate) fn behaviours() -> Vec<(&'static str, Behaviour)> {
    let at_full_share = |affected, effect| Behaviour {
        affected,
        ..half(effect, Duration::ZERO, 1.0)
    };
    let half_from = |millis| half(Effect::Fails, Duration::from_millis(millis), 0.0);
    vec![
        ("good", GOOD),
        ("half fails from 6 s", half_from(6_000)),
        ("half fails from 13 s", half_from(13_000)),
        ("half fails from 14 s", half_from(14_000)),
        ("half fails from 14.5 s", half_from(14_500)),
        (
            "half fails at full share",
            at_full_share(0.5, Effect::Fails),
        ),
        ("half slow at full share", at_full_share(0.5, SLOW)),
        (
            "1/7 fails at full share",
            at_full_share(1.0 / 7.0, Effect::Fails),
        ),
        (
            "1/10 fails at full share",
            at_full_share(0.1, Effect::Fails),
        ),
    ]
}

/// The rates of the matrix, in calls per second.
pub(crate) const RATES: [f64; 8] = [1.0, 4.0, 8.0, 15.0, 35.0, 64.0, 290.0, 600.0];
