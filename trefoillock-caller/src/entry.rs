//! The entry of a call: from the caller to the destination node.

use std::{sync::Arc, time::Duration};

use http::{Request, Response, header};
use hyper::body::Incoming;
use tokio::time::Instant;
use trefoillock_backend::{Body, CallFailure, box_body};
use trefoillock_core::{Fingerprint, Member, RefusalReason, Route, RouteClass};
use trefoillock_node::{
    Delivery, HeldConfig, MoveCall, NodeContext, draw, strip_hop_by_hop, strip_internal,
};

use crate::{
    answer::{pass_on, refuse, tell, tell_unrouted},
    call::Call,
    request::{deadline, host},
};

/// Answers the calls of callers.
#[derive(Debug)]
pub struct Entry {
    cx: Arc<NodeContext>,
}

impl Entry {
    /// Creates the entry of a node.
    #[must_use]
    pub const fn new(cx: Arc<NodeContext>) -> Self {
        Self { cx }
    }

    /// Answers one call.
    pub async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let call = match self.classify(&req) {
            Ok(call) => Arc::new(call),
            Err(failure) => return tell_unrouted(&failure),
        };
        let mut req = req.map(box_body);
        strip_hop_by_hop(req.headers_mut());
        strip_internal(req.headers_mut());
        keep_host(&mut req);
        if call.route.class != RouteClass::Posting {
            return self.run(call, req).await;
        }
        // A posting goes on when its caller leaves.
        let running = self.cx.tasks().spawn(self.clone().run(call, req));
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
        Ok(Call {
            deadline: deadline(route, req.headers(), arrived),
            route: route.clone(),
            pool,
            in_move,
            fingerprint: Fingerprint::new(0),
            arrived,
        })
    }

    /// Chooses the pool of a call by the shares of the route's move.
    fn choose_pool(
        &self,
        held: &HeldConfig,
        route: &Route,
    ) -> Result<(Arc<trefoillock_core::Pool>, Option<MoveCall>), CallFailure> {
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
        let in_move = share.map(|share| MoveCall {
            id: share.id,
            step: share.step,
            is_new,
        });
        Ok((pool.clone(), in_move))
    }

    /// Sends a call to a backend server and answers it.
    async fn run(self: Arc<Self>, call: Arc<Call>, req: Request<Body>) -> Response<Body> {
        let servers = self.cx.view().servers(&call.pool.name);
        let Some(member) = servers.first() else {
            return tell(&self.cx, &call, &refuse(RefusalReason::NoServer));
        };
        match self.cx.send(member, delivery(&call, member), req).await {
            Ok(resp) => pass_on(&self.cx, &call, resp),
            Err(failure) => tell(&self.cx, &call, &failure),
        }
    }
}

fn delivery(call: &Call, member: &Member) -> Delivery {
    let pool = &call.pool;
    Delivery::new(&member.id, pool.service.clone(), pool.version.clone())
        .request(call.route.class, call.fingerprint)
        .limits(
            call.deadline,
            Duration::from_millis(u64::from(pool.policy.queue_ms)),
        )
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
