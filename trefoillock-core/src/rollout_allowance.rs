//! The number of calls that the servers of a new version may get before the version is proven.

use std::time::Duration;

use trefoillock_macros::data;

use crate::{Incarnation, ServerId, Share};

/// The limits within which a version must stay that may be bad.
#[data(key)]
pub struct RolloutLimits {
    /// The part of the service's calls, from the order to the deadline, that the version may get.
    pub share: Share,
    /// The number of calls that the version may get beside that part.
    pub extra_calls: u64,
    /// The time after which the version must get no more calls once it has shown to be bad.
    pub stop_within: Duration,
}

impl RolloutLimits {
    /// The number of calls that the version may have got by the time that the service has got
    /// `calls`.
    #[must_use]
    pub fn allowed_calls(&self, calls: u64) -> u64 {
        let part = u128::from(calls) * u128::from(self.share.ppm()) / u128::from(Share::PARTS);
        u64::try_from(part)
            .unwrap_or(u64::MAX)
            .saturating_add(self.extra_calls)
    }
}

impl Default for RolloutLimits {
    fn default() -> Self {
        Self {
            share: Share::from_ppm(Share::PARTS / 10),
            extra_calls: 50,
            stop_within: Duration::from_secs(5),
        }
    }
}

/// What the calls of an allowance are for. The later the purpose, the more is known of the version.
#[data(key)]
#[derive(Default)]
#[serde(rename_all = "kebab-case")]
pub enum AllowancePurpose {
    /// To find out at a small share whether the version is bad.
    #[default]
    Canary,
    /// To find out whether it is bad under all calls of the service.
    FullShare,
    /// To let the calls to the old versions end once the version is proven good.
    Closing,
}

impl AllowancePurpose {
    /// The name of the purpose in logs and reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::FullShare => "full-share",
            Self::Closing => "closing",
        }
    }
}

/// The calls that one backend server may get.
#[data]
pub struct AllowancePart {
    /// The backend server.
    pub server: ServerId,
    /// The run of the node beside it, which counts the calls. Another run has forgotten the count, so it
    /// may not use the part.
    pub node_incarnation: Incarnation,
    /// The number of calls since the order of the rollout.
    pub calls: u64,
}

/// The number of calls that the servers of a new version may get until the rollout ends, in parts
/// that the nodes beside the servers count down.
///
/// It only grows. A node that hears nothing of the leader cannot exceed its part, so the sum of all parts
/// bounds the calls of the version whatever fails.
#[data]
#[derive(Default)]
pub struct RolloutAllowance {
    /// The number of this extension; it directly follows the number of the last one.
    pub serial: u32,
    /// What the last extension is for.
    pub purpose: AllowancePurpose,
    /// How long after a node has learned of the extension its backend servers may get calls;
    /// `None` if until the next one.
    pub valid_for: Option<Duration>,
    /// The parts of the backend servers.
    pub parts: Vec<AllowancePart>,
    /// The calls in parts of earlier runs of nodes.
    pub forfeited: u64,
}

impl RolloutAllowance {
    /// The calls that were ever granted.
    #[must_use]
    pub fn granted(&self) -> u64 {
        let parts = self.parts.iter().map(|part| part.calls);
        self.forfeited + parts.sum::<u64>()
    }

    /// The calls that a backend server may get, as counted by a run of its node.
    #[must_use]
    pub fn calls_of(&self, server: &ServerId, node_incarnation: Incarnation) -> u64 {
        let mut parts = self.parts.iter();
        let part = parts.find(|part| part.is_of(server, node_incarnation));
        part.map_or(0, |part| part.calls)
    }

    /// Returns the allowance with `calls` more, divided among backend servers and the runs of their
    /// nodes. Servers that come first get the remainder.
    #[must_use]
    pub fn extended(&self, servers: &[(ServerId, Incarnation)], calls: u64) -> Self {
        let mut next = self.clone();
        next.serial += 1;
        let count = servers.len() as u64;
        for ((server, incarnation), at) in servers.iter().zip(0..count) {
            let calls = calls / count + u64::from(at < calls % count);
            next.add(server, *incarnation, calls);
        }
        next
    }

    fn add(&mut self, server: &ServerId, node_incarnation: Incarnation, calls: u64) {
        let known = self.parts.iter_mut().find(|part| part.server == *server);
        match known {
            Some(part) if part.node_incarnation == node_incarnation => part.calls += calls,
            Some(part) => {
                self.forfeited += part.calls;
                part.node_incarnation = node_incarnation;
                part.calls = calls;
            }
            None if calls > 0 => self.parts.push(AllowancePart {
                server: server.clone(),
                node_incarnation,
                calls,
            }),
            None => {}
        }
    }
}

impl AllowancePart {
    fn is_of(&self, server: &ServerId, node_incarnation: Incarnation) -> bool {
        self.server == *server && self.node_incarnation == node_incarnation
    }
}
