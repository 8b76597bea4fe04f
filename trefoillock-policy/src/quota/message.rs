//! The messages between entry nodes and the keepers of quotas. Field names are short because most
//! calls of rarely seen workspaces cost one message.

use trefoillock_core::{GuardSlot, Incarnation, WorkspaceName, data};

/// A request of an entry node for tokens.
#[data]
pub struct TokenRequest {
    /// The incarnation of the guard that the request is for.
    #[serde(rename = "i")]
    pub to: Incarnation,
    /// The workspace whose calls the tokens are for.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The number of calls that wait for a token.
    #[serde(rename = "n")]
    pub need: u32,
    /// The number of further tokens that the entry node expects to use before they expire.
    #[serde(rename = "a")]
    pub ahead: u32,
    /// Whether many calls of the workspace are refused at the entry node, so that all tokens that it
    /// gets are used.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_flooded: bool,
}

/// The answer of a guard to a request for tokens.
#[data(key)]
pub enum TokenAnswer {
    /// The number of tokens granted, possibly fewer than were asked for, and zero only if none was
    /// needed.
    #[serde(rename = "g")]
    Granted(u32),
    /// The bucket is empty; the time after which to ask again, in milliseconds.
    #[serde(rename = "e")]
    Empty(u32),
    /// The node does not keep a part of the workspace's quota at present.
    #[serde(rename = "x")]
    Inactive,
}

/// Asks a guard of the previous set of a slot whether it has applied a newer one.
#[data(key)]
pub struct ReleaseRequest {
    /// The incarnation of the guard that the request is for.
    pub to: Incarnation,
    /// The slot.
    pub slot: GuardSlot,
    /// The number of the newer set.
    pub epoch: u64,
}

/// States that a guard has applied a set and uses no part by an earlier one.
#[data(key)]
pub struct ReleaseAnswer {
    /// The slot.
    pub slot: GuardSlot,
    /// The number of the newest set that the guard has applied.
    pub epoch: u64,
    /// Whether the guard knows that nobody used a part by a set before the previous one when it
    /// applied this one.
    pub previous_was_clean: bool,
}
