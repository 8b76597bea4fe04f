//! Handling of a call: classification, choice of the pool, and the response to the caller.

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
    Share, Workspace,
};
use trefoillock_node::{
    IndexedConfig, MoveAssignment, NodeContext, RolloutPools, random_u32, strip_hop_by_hop,
    strip_internal,
};
use trefoillock_policy::RolloutClaim;

use crate::{
    call::Call,
    classify_error::ClassifyError,
    dispatch::{Dispatch, is_resumable_class},
    keyed_posting::{self, KeyedResult},
    pending_call::PendingCall,
    pool_state::PoolState,
    presented_key::PresentedKey,
    replayable_request::ReplayableRequest,
    request::{caller_deadline, deadline, fingerprint, host, idempotency_key, requested_timeout},
    responses::{
        caller_response, fail_call, forward_response, refusal, refuse_call, set_answered_outcome,
    },
    resume::resumable,
    route_state::RouteState,
};

/// The state of the part of a pool that runs the given versions.
type VersionedPoolState = (PoolVersions, Arc<PoolState>);

/// Where a call is sent, and why.
struct Placement {
    pool: Arc<Pool>,
    assignment: Option<MoveAssignment>,
    rollout: Option<RolloutClaim>,
    /// The pool that takes the call if the new version may get no more calls.
    old_versions: Option<Arc<Pool>>,
}

/// Handles the calls that enter at one node.
#[derive(Debug)]
pub struct CallHandler {
    cx: Arc<NodeContext>,
    hides_authorization: bool,
    pools: Mutex<Map<PoolName, Vec<VersionedPoolState>>>,
    routes: Mutex<Map<RouteName, Arc<RouteState>>>,
}

impl CallHandler {
    /// Creates the call handler of a node, without state of routes and pools.
    #[must_use]
    pub fn new(cx: Arc<NodeContext>) -> Self {
        Self {
            cx,
            hides_authorization: false,
            pools: Mutex::default(),
            routes: Mutex::default(),
        }
    }

    /// Removes `Authorization` from all requests. By default it is forwarded to the backend server while the
    /// tables have no workspaces.
    #[must_use]
    pub const fn with_hidden_authorization(mut self) -> Self {
        self.hides_authorization = true;
        self
    }

    /// Handles one call and returns the response to its caller.
    pub async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        // The whole call is decided by one configuration.
        let config = self.cx.view().indexed_config();
        let mut call = match self.classify(config.as_deref(), &req) {
            Ok(call) => call,
            Err(error) => return refuse_call(&self.cx, &req, &error),
        };
        let mut req = req.map(box_body);
        if self.hides_authorization || config.is_some_and(|config| config.keys().is_some()) {
            req.headers_mut().remove(header::AUTHORIZATION);
        }
        strip_hop_by_hop(req.headers_mut());
        strip_internal(req.headers_mut());
        set_origin_form(&mut req);
        let (parts, body) = req.into_parts();
        let replay = match timeout_at(call.deadline, ReplayableRequest::read(parts, body)).await {
            Ok(Ok(replay)) => replay,
            Ok(Err(_)) => return fail_call(&self.cx, &call, &refusal(RefusalReason::BadRequest)),
            Err(_) => return fail_call(&self.cx, &call, &refusal(RefusalReason::Deadline)),
        };
        let (parts, ()) = replay.head().clone().into_parts();
        // The stop may have begun while the body was read.
        call.deadline = self.before_cut(call.stated_deadline);
        call.fingerprint = fingerprint(&call.route, &parts, replay.body_prefix());
        let call = Arc::new(call);
        if self
            .cx
            .view()
            .is_quarantined(self.cx.clock().now(), call.fingerprint)
        {
            return fail_call(&self.cx, &call, &refusal(RefusalReason::Quarantined));
        }
        if call.route.class != RouteClass::Posting {
            return self.send(call, replay).await;
        }
        if !self.cx.call_settings().detached_postings {
            return self.send_posting(call, replay).await;
        }
        // A posting continues when its caller disconnects.
        let posting = self
            .cx
            .tasks()
            .spawn(self.clone().send_posting(call, replay));
        posting.await.unwrap_or_else(|_| {
            let reason = RefusalReason::ConnectionLost;
            caller_response(&CallFailure::may_have_run(reason))
        })
    }

    /// Determines the route, workspace, pool, deadline and objective of a call.
    fn classify(
        &self,
        config: Option<&IndexedConfig>,
        req: &Request<Incoming>,
    ) -> Result<Call, ClassifyError> {
        let arrived = Instant::now();
        let config = config.ok_or_else(|| refusal(RefusalReason::NotReady))?;
        let method = req.method().as_str();
        let route = config.index().find(host(req), req.uri().path(), method);
        let route = route.ok_or_else(|| refusal(RefusalReason::NoRoute))?;
        let workspace = find_workspace(config, route, req.headers())?;
        let placement = self.choose_pool(config, route)?;
        let objective = self.objective(route, req.headers(), arrived);
        let stated_deadline = deadline(route, req.headers(), arrived);
        self.cx.check_cut(stated_deadline).map_err(refusal)?;
        Ok(Call {
            deadline: self.before_cut(stated_deadline),
            stated_deadline,
            caller_deadline: caller_deadline(route, req.headers(), arrived),
            route: route.clone(),
            workspace: workspace.cloned(),
            pool: placement.pool,
            assignment: placement.assignment,
            rollout: placement.rollout,
            old_versions: placement.old_versions,
            fingerprint: Fingerprint::new(0),
            arrived,
            server_attempts: Arc::default(),
            id: self.cx.call_log().id(req.headers()).to_owned(),
            objective,
        })
    }

    /// The deadline of a call that is sent now: it must be complete before a stop of this node cuts it.
    fn before_cut(&self, deadline: Instant) -> Instant {
        let latest = self.cx.latest_deadline();
        latest.map_or(deadline, |latest| deadline.min(latest))
    }

    /// The time by which the response should be complete: the route's target latency, counted from
    /// the caller's first attempt. `None` if the call settings do not use objectives, or if the time
    /// is not representable.
    fn objective(&self, route: &Route, map: &HeaderMap, arrived: Instant) -> Option<Instant> {
        if !self.cx.call_settings().by_objective {
            return None;
        }
        let target = Duration::from_millis(u64::from(route.target.latency_ms));
        let requested = requested_timeout(map);
        let elapsed =
            requested.map(|requested| self.route_state(&route.name).estimate_elapsed(requested));
        (arrived + target).checked_sub(elapsed.unwrap_or_default())
    }

    /// Chooses the pool of a call by the share of the route's move, or by the rollout of the
    /// pool's service. A local cut sends all calls to the old pool.
    fn choose_pool(
        &self,
        indexed: &IndexedConfig,
        route: &Route,
    ) -> Result<Placement, CallFailure> {
        let config = indexed.config();
        let share = config.moves().get(&route.name);
        let local_cut = share.filter(|share| self.cx.recorder().is_locally_cut(share.id));
        let chosen = match local_cut {
            Some(share) => config
                .tables()
                .pools()
                .get(&share.from)
                .map(|pool| (pool, false)),
            None => config.select_pool(route, random_u32()),
        };
        let (pool, to_new_pool) = chosen.ok_or_else(|| refusal(RefusalReason::NoRoute))?;
        if let Some(rollout_pools) = indexed.rollout_pools(&pool.name) {
            return Ok(self.choose_rollout_pool(rollout_pools));
        }
        let assignment = share.map(|share| MoveAssignment {
            id: share.id,
            step: share.step,
            to_new_pool,
        });
        Ok(Placement {
            pool: pool.clone(),
            assignment,
            rollout: None,
            old_versions: None,
        })
    }

    /// Chooses between the old and the new version of a pool by the share of the rollout.
    ///
    /// Once the new version has the full share, the old version is used only if the new one has no
    /// servers.
    fn choose_rollout_pool(&self, rollout_pools: &RolloutPools) -> Placement {
        let rollout = &rollout_pools.rollout;
        let is_locally_cut = self.cx.recorder().is_locally_cut(rollout.id);
        let is_full_share = rollout.share == Share::FULL;
        let has_no_server =
            || is_full_share && self.cx.view().servers(&rollout_pools.new).is_empty();
        let to_new_pool =
            !is_locally_cut && rollout.share.contains_draw(random_u32()) && !has_no_server();
        let pool = if to_new_pool {
            &rollout_pools.new
        } else {
            &rollout_pools.old
        };
        let assignment = MoveAssignment {
            id: rollout.id,
            step: rollout.step,
            to_new_pool,
        };
        let claim = RolloutClaim {
            id: rollout.id,
            is_limited: rollout.allowance.is_some(),
        };
        let is_limited = to_new_pool && claim.is_limited;
        Placement {
            pool: pool.clone(),
            assignment: Some(assignment),
            rollout: to_new_pool.then_some(claim),
            old_versions: is_limited.then(|| rollout_pools.old.clone()),
        }
    }

    /// Sends a call and forwards its response; export responses are resumed if a backend server is
    /// lost.
    async fn send(&self, call: Arc<Call>, mut req: ReplayableRequest) -> Response<Body> {
        let mut dispatch = self.dispatch(&call);
        let pending = PendingCall::new(self.cx.clone(), call.clone());
        let result = dispatch.run(&mut req).await;
        pending.end();
        match result {
            Ok(resp) => {
                let resp =
                    if self.cx.call_settings().resumes && is_resumable_class(call.route.class) {
                        resumable(&self.cx, &dispatch.call, &dispatch.pool, &req, resp)
                    } else {
                        resp
                    };
                forward_response(&self.cx, &dispatch.call, resp)
            }
            Err(failure) => fail_call(&self.cx, &dispatch.call, &failure),
        }
    }

    /// Sends a posting; one with an idempotency key runs only if the key is granted.
    async fn send_posting(
        self: Arc<Self>,
        call: Arc<Call>,
        mut req: ReplayableRequest,
    ) -> Response<Body> {
        let is_keyed = idempotency_key(req.head().headers()).is_some();
        if !is_keyed || !self.cx.call_settings().idempotency_keys {
            return self.send(call, req).await;
        }
        let mut dispatch = self.dispatch(&call);
        let pending = PendingCall::new(self.cx.clone(), call);
        let result = keyed_posting::run(&mut dispatch, &mut req).await;
        pending.end();
        let call = &dispatch.call;
        match result {
            KeyedResult::Answered(resp) => forward_response(&self.cx, call, resp),
            KeyedResult::StoredAnswer(mut resp) => {
                set_answered_outcome(&mut resp);
                resp
            }
            KeyedResult::Failed(failure) => fail_call(&self.cx, call, &failure),
        }
    }

    fn dispatch(&self, call: &Arc<Call>) -> Dispatch {
        let pool = self.pool_state(&call.pool);
        let route = self.route_state(&call.route.name);
        let old_versions = call.old_versions.as_ref();
        let old_versions = old_versions.map(|pool| self.pool_state(pool));
        Dispatch::new(self.cx.clone(), call.clone(), pool, route).with_old_versions(old_versions)
    }

    /// The state of a pool, updated to its current members.
    fn pool_state(&self, pool: &Pool) -> Arc<PoolState> {
        let state = {
            let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
            let states = match pools.get_mut(&pool.name) {
                Some(states) => states,
                None => pools.entry(pool.name.clone()).or_default(),
            };
            let known = states.iter().find(|entry| entry.0 == pool.versions);
            if let Some((_, state)) = known {
                state.clone()
            } else {
                let burst = self.cx.call_settings().retry_burst;
                let state = PoolState::new(pool, self.cx.data_centre().clone(), burst);
                let state = Arc::new(state);
                states.push((pool.versions.clone(), state.clone()));
                state
            }
        };
        let members = self.cx.view().servers(pool);
        state.set_members(self.cx.clock().now(), pool, members);
        state
    }

    fn route_state(&self, name: &RouteName) -> Arc<RouteState> {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        match routes.get(name) {
            Some(state) => state.clone(),
            None => routes.entry(name.clone()).or_default().clone(),
        }
    }
}

/// The workspace whose key a caller presents; `None` if the tables have no workspaces, or if the route
/// allows calls without a known key.
fn find_workspace<'a>(
    config: &'a IndexedConfig,
    route: &Route,
    map: &HeaderMap,
) -> Result<Option<&'a Arc<Workspace>>, ClassifyError> {
    let Some(keys) = config.keys() else {
        return Ok(None);
    };
    let key = PresentedKey::read(map);
    let workspace = match key {
        PresentedKey::Text(key) => keys.find(key),
        PresentedKey::Missing | PresentedKey::Malformed => None,
    };
    if workspace.is_none() && !route.allow_anonymous {
        return Err(ClassifyError::unknown_key(&route.name, key));
    }
    Ok(workspace)
}

/// Changes the request target to origin form, and sets `host` to the authority that the caller
/// named.
fn set_origin_form(req: &mut Request<Body>) {
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
