//! The destination and limits of a call, as an entry node sends them to a destination node.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue};
use tokio::time::Instant;
use trefoillock_core::{
    CallRate, DEFAULT_PRIORITY, Fingerprint, Incarnation, MoveId, RouteClass, ServerId,
    ServiceName, Timestamp, VersionLabel, WorkspaceName, headers,
};
use trefoillock_policy::{Demand, RolloutClaim, RouteTag, VersionCall, WorkspaceId};
use trefoillock_process::Clock;

use crate::{
    headers::{
        CLASS, FINGERPRINT, KNOWN_LIMIT, OBJECTIVE_MS, QUEUE_MS, RANK, ROLLOUT, SERVER, SERVICE,
        TOKEN_MS, VERSION, header_text,
    },
    quotas::PeerClock,
};

/// The state in [`ROLLOUT`] of a rollout whose new version gets a limited number of calls.
const LIMITED_ROLLOUT: &str = "limited";
/// The state in [`ROLLOUT`] of a rollout that has completed.
const COMPLETED_ROLLOUT: &str = "completed";

/// The limit on the rate of calls to a backend server that an entry node knows. A destination node
/// that has restarted learns it so before the backend server states it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLimit {
    /// The rate of calls that the backend server takes from all nodes together.
    pub rate: CallRate,
    /// The incarnation of the backend server that stated it.
    pub incarnation: Incarnation,
}

/// The backend server that a call is sent to, and the limits of the call.
#[derive(Debug, Clone)]
pub struct Delivery {
    /// The address of the backend server.
    pub address: SocketAddr,
    /// The service that the backend server must belong to.
    pub service: ServiceName,
    /// The version that the backend server must run.
    pub version: VersionLabel,
    /// The class of the call.
    pub class: RouteClass,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The time by which the response must be complete.
    pub deadline: Instant,
    /// The longest time that the call waits for a slot.
    pub queue_timeout: Duration,
    /// The priority of the call's route; 0 is the highest.
    pub rank: u8,
    /// The time by which the response should be complete to meet the route's target latency; `None`
    /// if only the deadline counts.
    pub objective: Option<Instant>,
    /// The limit on the rate of calls that the entry node knows; `None` if it knows none.
    pub known_limit: Option<KnownLimit>,
    /// The rollout by which the entry node chose the new version; `None` if it did not.
    pub rollout: Option<RolloutClaim>,
    /// The workspace that sent the call; `None` if the call carried no key.
    pub workspace: Option<WorkspaceName>,
    /// The route of the call; `None` if it is not known.
    pub route: Option<RouteTag>,
    /// Until when the call's token of its workspace's quota is valid, on the clock of
    /// [`boot_time`](crate::boot_time); `None` if the workspace has no quota.
    pub token_expires: Option<Timestamp>,
}

impl Delivery {
    /// Creates a delivery with default limits: the deadline is now, and the call does not wait for
    /// a slot.
    #[must_use]
    pub fn new(server: &ServerId, service: ServiceName, version: VersionLabel) -> Self {
        Self {
            address: server.address,
            service,
            version,
            class: RouteClass::Lookup,
            fingerprint: Fingerprint::new(0),
            deadline: Instant::now(),
            queue_timeout: Duration::ZERO,
            rank: DEFAULT_PRIORITY,
            objective: None,
            known_limit: None,
            rollout: None,
            workspace: None,
            route: None,
            token_expires: None,
        }
    }

    /// Sets the route of the call.
    #[must_use]
    pub const fn with_route(mut self, route: RouteTag) -> Self {
        self.route = Some(route);
        self
    }

    /// Sets until when the call's token of its workspace's quota is valid.
    #[must_use]
    pub const fn with_token(mut self, expires: Option<Timestamp>) -> Self {
        self.token_expires = expires;
        self
    }

    /// Sets the workspace that sent the call.
    #[must_use]
    pub fn with_workspace(mut self, workspace: Option<WorkspaceName>) -> Self {
        self.workspace = workspace;
        self
    }

    /// Sets the rollout by which the entry node chose the new version.
    #[must_use]
    pub const fn with_rollout(mut self, rollout: Option<RolloutClaim>) -> Self {
        self.rollout = rollout;
        self
    }

    /// What counts of the call for the rollout of a version.
    pub(crate) const fn version_call(&self) -> VersionCall<'_> {
        VersionCall {
            service: &self.service,
            version: &self.version,
            address: self.address,
            claim: self.rollout,
        }
    }

    /// Sets the limit on the rate of calls that the entry node knows.
    #[must_use]
    pub const fn with_known_limit(mut self, known_limit: Option<KnownLimit>) -> Self {
        self.known_limit = known_limit;
        self
    }

    /// Sets the class and the fingerprint of the request.
    #[must_use]
    pub const fn with_request(mut self, class: RouteClass, fingerprint: Fingerprint) -> Self {
        self.class = class;
        self.fingerprint = fingerprint;
        self
    }

    /// Sets the priority of the call's route, and the time by which the response should be
    /// complete.
    #[must_use]
    pub const fn with_priority(mut self, rank: u8, objective: Option<Instant>) -> Self {
        self.rank = rank;
        self.objective = objective;
        self
    }

    /// Sets the deadline and the longest time that the call waits for a slot.
    #[must_use]
    pub const fn with_limits(mut self, deadline: Instant, queue_timeout: Duration) -> Self {
        self.deadline = deadline;
        self.queue_timeout = queue_timeout;
        self
    }

    /// The scheduling parameters of the call, in the time of `clock`.
    pub(crate) fn demand(&self, clock: &Clock) -> Demand {
        let (now, instant) = (clock.now(), Instant::now());
        let at = |time: Instant| now + time.saturating_duration_since(instant);
        Demand {
            class: self.class,
            rank: self.rank,
            deadline: at(self.deadline),
            objective: self.objective.map(at),
            workspace: self.workspace.as_ref().map(WorkspaceId::from),
            route: self.route,
        }
    }

    /// Writes the delivery into the headers of a call to another node. `clock` is what is known of
    /// the clock of that node.
    pub(crate) fn write(&self, map: &mut HeaderMap, clock: Option<PeerClock>) {
        if let Some(expires) = self.token_expires {
            let expires = clock.map(|clock| clock.earliest(expires));
            let millis = expires.unwrap_or_default().as_millis();
            set_header(map, TOKEN_MS, &millis.to_string());
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        set_header(map, headers::DEADLINE_MS, &left.as_millis().to_string());
        set_header(map, SERVER, &self.address.to_string());
        set_header(map, SERVICE, self.service.as_str());
        set_header(map, VERSION, self.version.as_str());
        set_header(map, CLASS, self.class.as_str());
        set_header(map, FINGERPRINT, &self.fingerprint.get().to_string());
        set_header(map, QUEUE_MS, &self.queue_timeout.as_millis().to_string());
        set_header(map, RANK, &self.rank.to_string());
        if let Some(objective) = self.objective {
            let left = objective.saturating_duration_since(Instant::now());
            set_header(map, OBJECTIVE_MS, &left.as_millis().to_string());
        }
        if let Some(known) = self.known_limit {
            let text = format!("{},{}", known.rate.micros_per_s(), known.incarnation);
            set_header(map, KNOWN_LIMIT, &text);
        }
        if let Some(claim) = self.rollout {
            let state = if claim.is_limited {
                LIMITED_ROLLOUT
            } else {
                COMPLETED_ROLLOUT
            };
            set_header(map, ROLLOUT, &format!("{},{state}", claim.id));
        }
        if let Some(route) = self.route {
            set_header(map, headers::ROUTE, &route.get().to_string());
        }
        if let Some(workspace) = &self.workspace {
            set_header(map, headers::WORKSPACE, workspace.as_str());
        }
    }

    /// Reads a delivery from the headers of a call between nodes; `None` if a required header is
    /// absent or malformed.
    pub(crate) fn read(map: &HeaderMap) -> Option<Self> {
        let number = |name| header_text(map, name)?.parse::<u64>().ok();
        let class = header_text(map, CLASS)?;
        Some(Self {
            address: header_text(map, SERVER)?.parse().ok()?,
            service: header_text(map, SERVICE)?.try_into().ok()?,
            version: header_text(map, VERSION)?.try_into().ok()?,
            class: RouteClass::ALL
                .into_iter()
                .find(|known| known.as_str() == class)?,
            fingerprint: Fingerprint::new(number(FINGERPRINT)?),
            deadline: Instant::now()
                .checked_add(Duration::from_millis(number(headers::DEADLINE_MS)?))?,
            queue_timeout: Duration::from_millis(number(QUEUE_MS)?),
            rank: number(RANK)
                .and_then(|rank| u8::try_from(rank).ok())
                .unwrap_or(DEFAULT_PRIORITY),
            objective: number(OBJECTIVE_MS)
                .and_then(|millis| Instant::now().checked_add(Duration::from_millis(millis))),
            known_limit: read_known_limit(map),
            rollout: read_rollout(map),
            route: number(headers::ROUTE)
                .and_then(|tag| u8::try_from(tag).ok())
                .map(RouteTag::new),
            workspace: header_text(map, headers::WORKSPACE).and_then(|name| name.try_into().ok()),
            token_expires: number(TOKEN_MS).map(Timestamp::from_millis),
        })
    }
}

fn read_known_limit(map: &HeaderMap) -> Option<KnownLimit> {
    let (rate, incarnation) = header_text(map, KNOWN_LIMIT)?.split_once(',')?;
    Some(KnownLimit {
        rate: CallRate::try_from(rate.parse::<u64>().ok()?).ok()?,
        incarnation: Incarnation::new(incarnation.parse().ok()?),
    })
}

fn read_rollout(map: &HeaderMap) -> Option<RolloutClaim> {
    let (id, state) = header_text(map, ROLLOUT)?.split_once(',')?;
    Some(RolloutClaim {
        id: MoveId::new(id.parse().ok()?),
        is_limited: state != COMPLETED_ROLLOUT,
    })
}

/// Sets a header whose value is known to be printable.
fn set_header(map: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        map.insert(HeaderName::from_static(name), value);
    }
}
