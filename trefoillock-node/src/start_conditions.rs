//! The conditions under which a call that waited is sent to a backend server.

use std::sync::Arc;

use futures::future::ready;
use tokio::time::Instant;
use trefoillock_backend::{StartDecision, StartPermit, StartRefusal};

use crate::{NodeContext, quotas::StartCheck};

/// A call is sent only if a stop of this node does not cut it, and if its token is valid.
#[derive(Debug)]
pub(crate) struct StartConditions {
    cx: Arc<NodeContext>,
    deadline: Instant,
    token: Option<StartCheck>,
}

impl StartConditions {
    pub(crate) const fn new(
        cx: Arc<NodeContext>,
        deadline: Instant,
        token: Option<StartCheck>,
    ) -> Self {
        Self {
            cx,
            deadline,
            token,
        }
    }
}

impl StartPermit for StartConditions {
    fn renew(&self) -> StartDecision<'_> {
        if let Err(reason) = self.cx.check_cut(self.deadline) {
            return Box::pin(ready(Err(StartRefusal {
                reason,
                retry_after: None,
            })));
        }
        match &self.token {
            Some(token) => token.renew(),
            None => Box::pin(ready(Ok(()))),
        }
    }
}
