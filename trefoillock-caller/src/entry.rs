//! The entry of a call: from the caller to the destination node.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::{HeaderMap, Request, Response, header};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use trefoillock_backend::{Body, CallFailure, box_body};
use trefoillock_core::{
    Fingerprint, Map, Pool, PoolName, PoolVersions, RefusalReason, Route, RouteClass, RouteName,
    Share,
};
use trefoillock_node::{
    HeldConfig, MoveCall, NodeContext, RolloutSides, draw, strip_hop_by_hop, strip_internal,
};

use crate::{
    answer::{log_unrouted, pass_on, refuse, tell, tell_answered, tell_unrouted},
    call::Call,
    dispatch::{Dispatch, is_resumed},
    keyed_posting::{self, KeyedAnswer},
    pool_state::PoolState,
    replay::Replay,
    request::{asked_time, deadline, fingerprint, host, idempotency_key},
    resume::resumable,
    route_state::RouteState,
    tried::SharedTried,
};

/// What the entry knows of the backend servers of a pool that run some of its versions.
type PoolPart = (PoolVersions, Arc<PoolState>);

/// Answers the calls of callers.
#[derive(Debug)]
pub struct Entry {
    cx: Arc<NodeContext>,
    pools: Mutex<Map<PoolName, Vec<PoolPart>>>,
    routes: Mutex<Map<RouteName, Arc<RouteState>>>,
}

impl Entry {
    /// Creates the entry of a node.
    #[must_use]
    pub fn new(cx: Arc<NodeContext>) -> Self {
        Self {
            cx,
            pools: Mutex::default(),
            routes: Mutex::default(),
        }
    }

    /// Answers one call.
    pub async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let mut call = match self.classify(&req) {
            Ok(call) => call,
            Err(failure) => {
                log_unrouted(&self.cx, &req, &failure);
                return tell_unrouted(&failure);
            }
        };
        let mut req = req.map(box_body);
        strip_hop_by_hop(req.headers_mut());
        strip_internal(req.headers_mut());
        keep_host(&mut req);
        let (parts, body) = req.into_parts();
        let replay = match timeout_at(call.deadline, Replay::read(parts, body)).await {
            Ok(Ok(replay)) => replay,
            Ok(Err(_)) => return tell(&self.cx, &call, &refuse(RefusalReason::BadRequest)),
            Err(_) => return tell(&self.cx, &call, &refuse(RefusalReason::Deadline)),
        };
        let (parts, ()) = replay.head().clone().into_parts();
        call.fingerprint = fingerprint(&call.route, &parts, replay.body_start());
        let call = Arc::new(call);
        if self
            .cx
            .view()
            .refuses(self.cx.clock().now(), call.fingerprint)
        {
            return tell(&self.cx, &call, &refuse(RefusalReason::Quarantined));
        }
        if call.route.class != RouteClass::Posting {
            return self.run(call, replay).await;
        }
        if !self.cx.calls().detached_postings {
            return self.run_posting(call, replay).await;
        }
        // A posting goes on when its caller leaves.
        let running = self
            .cx
            .tasks()
            .spawn(self.clone().run_posting(call, replay));
        running.await.unwrap_or_else(|_| {
            let reason = RefusalReason::ConnectionLost;
            tell_unrouted(&CallFailure::may_have_run(reason))
        })
    }

    /// Finds the route, the pool and the deadline of a call.
    fn classify(&self, req: &Request<Incoming>) -> Result<Call, CallFailure> {
        let arrived = Instant::now();
        let held = self.cx.view().held();
        let held = held.ok_or_else(|| refuse(RefusalReason::NotReady))?;
        let method = req.method().as_str();
        let route = held.index().find(host(req), req.uri().path(), method);
        let route = route.ok_or_else(|| refuse(RefusalReason::NoRoute))?;
        let (pool, in_move) = self.choose_pool(&held, route)?;
        let objective = self.objective(route, req.headers(), arrived);
        Ok(Call {
            deadline: deadline(route, req.headers(), arrived),
            route: route.clone(),
            pool,
            in_move,
            fingerprint: Fingerprint::new(0),
            arrived,
            shared_tried: SharedTried::default(),
            id: self.cx.call_log().id(req.headers()).to_owned(),
            objective,
        })
    }

    /// The time by which the answer is worth most, counted from the caller's first attempt.
    fn objective(&self, route: &Route, map: &HeaderMap, arrived: Instant) -> Option<Instant> {
        if !self.cx.calls().by_objective {
            return None;
        }
        let target = Duration::from_millis(u64::from(route.target.latency_ms));
        let asked = asked_time(map);
        let elapsed = asked.map(|asked| self.route(&route.name).time_before(asked));
        (arrived + target).checked_sub(elapsed.unwrap_or_default())
    }

    /// Chooses the pool of a call by the shares of the route's move.
    fn choose_pool(
        &self,
        held: &HeldConfig,
        route: &Route,
    ) -> Result<(Arc<Pool>, Option<MoveCall>), CallFailure> {
        let config = held.config();
        let share = config.moves().get(&route.name);
        let cut = share.filter(|share| self.cx.recorder().is_cut(share.id));
        let chosen = match cut {
            Some(share) => config
                .tables()
                .pools()
                .get(&share.from)
                .map(|pool| (pool, false)),
            None => config.pool_for(route, draw()),
        };
        let (pool, is_new) = chosen.ok_or_else(|| refuse(RefusalReason::NoRoute))?;
        if let Some(sides) = held.sides(&pool.name) {
            return Ok(self.choose_side(sides));
        }
        let in_move = share.map(|share| MoveCall {
            id: share.id,
            step: share.step,
            is_new,
        });
        Ok((pool.clone(), in_move))
    }

    /// Chooses between old and new version of a pool by the share of the roll-out.
    ///
    /// Once the new version has all calls, the old one stands in where it has no servers.
    fn choose_side(&self, sides: &RolloutSides) -> (Arc<Pool>, Option<MoveCall>) {
        let rollout = &sides.rollout;
        let is_cut = self.cx.recorder().is_cut(rollout.id);
        let is_all = rollout.share == Share::FULL;
        let is_missing = || is_all && self.cx.view().servers(&sides.new).is_empty();
        let is_new = !is_cut && rollout.share.takes(draw()) && !is_missing();
        let pool = if is_new { &sides.new } else { &sides.old };
        let call = MoveCall {
            id: rollout.id,
            step: rollout.step,
            is_new,
        };
        (pool.clone(), Some(call))
    }

    /// Sends a call that may be cancelled, and answers it.
    async fn run(&self, call: Arc<Call>, mut req: Replay) -> Response<Body> {
        let mut dispatch = self.dispatch(&call);
        match dispatch.run(&mut req).await {
            Ok(resp) => {
                let resp = if self.cx.calls().resumes && is_resumed(call.route.class) {
                    resumable(&self.cx, &call, &dispatch.pool, &req, resp)
                } else {
                    resp
                };
                pass_on(&self.cx, &call, resp)
            }
            Err(failure) => tell(&self.cx, &call, &failure),
        }
    }

    /// Sends a posting, and answers it.
    async fn run_posting(self: Arc<Self>, call: Arc<Call>, mut req: Replay) -> Response<Body> {
        let is_keyed = idempotency_key(req.head().headers()).is_some();
        if !is_keyed || !self.cx.calls().idempotency_keys {
            return self.run(call, req).await;
        }
        let mut dispatch = self.dispatch(&call);
        match keyed_posting::run(&mut dispatch, &mut req).await {
            KeyedAnswer::Answered(resp) => pass_on(&self.cx, &call, resp),
            KeyedAnswer::Earlier(mut resp) => {
                tell_answered(&mut resp);
                resp
            }
            KeyedAnswer::Failed(failure) => tell(&self.cx, &call, &failure),
        }
    }

    fn dispatch(&self, call: &Arc<Call>) -> Dispatch {
        let pool = self.pool(&call.pool);
        let route = self.route(&call.route.name);
        Dispatch::new(self.cx.clone(), call.clone(), pool, route)
    }

    /// The state of a pool, with its present members.
    fn pool(&self, pool: &Pool) -> Arc<PoolState> {
        let state = {
            let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
            let parts = match pools.get_mut(&pool.name) {
                Some(parts) => parts,
                None => pools.entry(pool.name.clone()).or_default(),
            };
            let held = parts.iter().find(|part| part.0 == pool.versions);
            if let Some((_, state)) = held {
                state.clone()
            } else {
                let burst = self.cx.calls().retry_burst;
                let state = PoolState::new(pool, self.cx.data_centre().clone(), burst);
                let state = Arc::new(state);
                parts.push((pool.versions.clone(), state.clone()));
                state
            }
        };
        let members = self.cx.view().servers(pool);
        state.sync(self.cx.clock().now(), pool, members);
        state
    }

    fn route(&self, name: &RouteName) -> Arc<RouteState> {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        match routes.get(name) {
            Some(state) => state.clone(),
            None => routes.entry(name.clone()).or_default().clone(),
        }
    }
}

/// Keeps the host that the caller named, for the backend server.
fn keep_host(req: &mut Request<Body>) {
    if let Some(authority) = req.uri().authority()
        && let Ok(value) = authority.as_str().parse()
    {
        req.headers_mut().insert(header::HOST, value);
    }
    let relative = req.uri().path_and_query().cloned().map(http::Uri::from);
    if let Some(relative) = relative {
        *req.uri_mut() = relative;
    }
}
