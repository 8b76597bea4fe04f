//! Why a call was refused when it arrived.

use trefoillock_backend::CallFailure;
use trefoillock_core::{RefusalReason, RouteName};

use crate::{presented_key::PresentedKey, responses::refusal};

/// A call without a known key whose route needs one.
#[derive(Debug)]
pub(crate) struct RefusedKey {
    pub(crate) route: RouteName,
    /// A word for what the call presented as a key.
    pub(crate) presented: &'static str,
}

/// Why a call was refused before it had a route, a workspace and a pool.
#[derive(Debug)]
pub(crate) struct ClassifyError {
    failure: CallFailure,
    refused_key: Option<RefusedKey>,
}

impl ClassifyError {
    pub(crate) fn unknown_key(route: &RouteName, presented: PresentedKey<'_>) -> Self {
        Self {
            failure: refusal(RefusalReason::UnknownKey),
            refused_key: Some(RefusedKey {
                route: route.clone(),
                presented: presented.as_word(),
            }),
        }
    }

    /// The failure that the caller is told.
    pub(crate) const fn failure(&self) -> &CallFailure {
        &self.failure
    }

    /// The key that was refused; `None` if the call was refused for another reason.
    pub(crate) const fn refused_key(&self) -> Option<&RefusedKey> {
        self.refused_key.as_ref()
    }
}

impl From<CallFailure> for ClassifyError {
    fn from(failure: CallFailure) -> Self {
        Self {
            failure,
            refused_key: None,
        }
    }
}
