//! The check of a call's token when the call is sent to a backend server.

use std::sync::Arc;

use tokio::time::{Instant, timeout_at};
use trefoillock_backend::{StartDecision, StartPermit, StartRefusal};
use trefoillock_core::{RefusalReason, Timestamp, WorkspaceName};
use trefoillock_policy::QuotaRefusal;

use super::{Quotas, boot_time};
use crate::NodeView;

/// The token that a call came with. If it has expired while the call waited for a slot, the call
/// needs another one: otherwise the calls that waited could run at once, in addition to those of
/// the window in which they run.
#[derive(Debug)]
pub(crate) struct StartCheck {
    quotas: Arc<Quotas>,
    view: Arc<NodeView>,
    workspace: WorkspaceName,
    expires: Timestamp,
    deadline: Instant,
}

impl StartCheck {
    pub(crate) const fn new(
        quotas: Arc<Quotas>,
        view: Arc<NodeView>,
        workspace: WorkspaceName,
        expires: Timestamp,
        deadline: Instant,
    ) -> Self {
        Self {
            quotas,
            view,
            workspace,
            expires,
            deadline,
        }
    }
}

impl StartPermit for StartCheck {
    fn renew(&self) -> StartDecision<'_> {
        Box::pin(async move {
            if self.expires > boot_time() {
                return Ok(());
            }
            let taking = self.quotas.take(&self.view, &self.workspace);
            match timeout_at(self.deadline, taking).await {
                Ok(Ok(token)) => {
                    // The call is sent next, so the token is used up.
                    let _ = token.send();
                    Ok(())
                }
                Ok(Err(refusal)) => Err(start_refusal(refusal)),
                Err(_) => Err(StartRefusal {
                    reason: RefusalReason::Deadline,
                    retry_after: None,
                }),
            }
        })
    }
}

const fn start_refusal(refusal: QuotaRefusal) -> StartRefusal {
    let retry_after = match refusal {
        QuotaRefusal::Exceeded(wait) => Some(wait),
        QuotaRefusal::Unavailable => None,
    };
    StartRefusal {
        reason: refusal.reason(),
        retry_after,
    }
}
