//! What happens to a node's connection to its parent, for the log.

use std::{fmt, time::Duration};

use trefoillock_core::data;

use crate::ParentAddress;

/// A change of a node's connection to its parent, or a failed attempt to attach.
#[data]
pub enum ParentEvent {
    /// A parent accepted the node.
    Attached {
        /// The parent.
        parent: ParentAddress,
        /// The time since the node lost its last parent, or since its first attempt.
        unattached: Duration,
    },
    /// The node is no longer attached to its parent.
    Lost {
        /// The parent.
        parent: ParentAddress,
        /// Why the attachment ended.
        reason: LinkEnd,
        /// The age of the last round that a live leader confirmed.
        unconfirmed: Duration,
    },
    /// An attempt to attach ended without an attachment.
    AttemptFailed {
        /// The process that was asked.
        parent: ParentAddress,
        /// Why the attempt ended.
        reason: LinkEnd,
    },
}

/// Why a connection to a parent, or an attempt to open one, ended.
#[data(key)]
pub enum LinkEnd {
    /// The peer or the network closed the connection.
    Closed,
    /// No connection to the peer could be opened.
    Unreachable,
    /// The peer sent nothing for too long.
    Silent,
    /// The peer asked the node to come back later.
    Retry,
    /// The peer named another parent.
    Redirected,
    /// The redirects led in a circle, or there were too many of them.
    RedirectLoop,
    /// The path of the parent to the leader leads through this node.
    RoutingLoop,
    /// A probe found a better parent.
    BetterParent,
    /// Another peer accepted the node.
    OtherAttached,
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Closed => "closed",
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Retry => "retry",
            Self::Redirected => "redirected",
            Self::RedirectLoop => "redirect-loop",
            Self::RoutingLoop => "routing-loop",
            Self::BetterParent => "better-parent",
            Self::OtherAttached => "other-attached",
        })
    }
}
