//! Rows of the table of routes: which calls a route matches and how they are handled.

use std::{sync::Arc, time::Duration};

use trefoillock_macros::data;

use crate::{HostName, PoolName, RouteName, Timestamp, Workspace};

/// The default limit on the number of backend servers that one call is sent to.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 4;
/// The default priority of the calls of a route; 0 is the highest.
pub const DEFAULT_PRIORITY: u8 = 4;

/// The class of a route's calls. It decides whether calls are retried and hedged, and in which
/// order they are refused under overload.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum RouteClass {
    /// Idempotent reads; they are retried and hedged within a budget.
    Lookup,
    /// Calls that must run at most once; they are retried only if they provably did not run.
    Posting,
    /// Large streamed downloads.
    Export,
    /// Checks between services; they are refused first under overload and not retried.
    Background,
}

impl RouteClass {
    /// All classes, in the order of their declaration.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Posting, Self::Export, Self::Background];

    /// The name of the class in tables and reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Posting => "posting",
            Self::Export => "export",
            Self::Background => "background",
        }
    }

    /// Whether a call may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Posting)
    }
}

/// An HTTP method that a route matches, in upper case.
#[data]
#[derive(PartialOrd, Ord, Hash)]
#[serde(try_from = "String", into = "String")]
pub struct Method(Arc<str>);

impl Method {
    /// The method as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Method {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let valid =
            !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_uppercase());
        if valid {
            Ok(Self(Arc::from(text)))
        } else {
            Err(format!("{text:?} is not an HTTP method in upper case"))
        }
    }
}

impl From<Method> for String {
    fn from(method: Method) -> Self {
        method.0.as_ref().to_owned()
    }
}

/// The longest path prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 256;

/// A prefix of paths that a route matches. It starts with `/` and matches whole path segments
/// only.
#[data]
#[derive(PartialOrd, Ord, Hash)]
#[serde(try_from = "String", into = "String")]
pub struct PathPrefix(Arc<str>);

impl PathPrefix {
    /// The prefix as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether this prefix matches a path; `/a` matches `/a` and `/a/b`, but not `/ab`.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        match path.strip_prefix(self.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || self.0.ends_with('/'),
            None => false,
        }
    }
}

impl TryFrom<String> for PathPrefix {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let printable = text
            .bytes()
            .all(|b| b.is_ascii_graphic() && !matches!(b, b'?' | b'#'));
        if text.starts_with('/') && text.len() <= MAX_PREFIX_BYTES && printable {
            Ok(Self(Arc::from(text)))
        } else {
            Err(format!(
                "{text:?} is not a path that starts with '/' and has at most 256 printable characters without '?' and '#'"
            ))
        }
    }
}

impl From<PathPrefix> for String {
    fn from(prefix: PathPrefix) -> Self {
        prefix.0.as_ref().to_owned()
    }
}

/// The condition that calls must meet to belong to a route.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub struct RouteMatch {
    /// The host, without port; `None` matches every host.
    pub host: Option<HostName>,
    /// The prefix of the path.
    pub path_prefix: PathPrefix,
    /// The method; `None` matches every method.
    pub method: Option<Method>,
}

impl RouteMatch {
    /// Whether a call belongs to the route. `host` is the host without port.
    #[must_use]
    pub fn matches(&self, host: Option<&str>, path: &str, method: &str) -> bool {
        let host_matches = match &self.host {
            Some(expected) => host.is_some_and(|host| host.eq_ignore_ascii_case(expected.as_str())),
            None => true,
        };
        let method_matches = self.method.as_ref().is_none_or(|m| m.as_str() == method);
        host_matches && method_matches && self.path_prefix.matches(path)
    }

    /// How specific the match is. If several routes match a call, the route with the highest
    /// value gets it: one with a host wins over one without, then the longer path prefix wins,
    /// then one with a method wins over one without.
    #[must_use]
    pub fn specificity(&self) -> (bool, usize, bool) {
        (
            self.host.is_some(),
            self.path_prefix.as_str().len(),
            self.method.is_some(),
        )
    }
}

/// The service-level objective of a route.
#[data(key)]
pub struct ServiceTarget {
    /// The share of calls that must be good, in parts per million.
    pub good_ppm: u32,
    /// The latency up to which an answered call is good, in milliseconds.
    pub latency_ms: u32,
}

/// The weight of one pool in the split of a route's calls.
#[data]
pub struct PoolWeight {
    /// The name of the pool.
    pub pool: PoolName,
    /// The weight, relative to the other pools of the split.
    pub weight: u32,
}

const fn default_max_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

const fn default_priority() -> u8 {
    DEFAULT_PRIORITY
}

/// A row of the table of routes.
#[data]
pub struct Route {
    /// The name of the route.
    pub name: RouteName,
    /// The condition that the calls of the route meet.
    pub matches: RouteMatch,
    /// The class of the calls.
    pub class: RouteClass,
    /// The pool that gets the calls; during a move, the new pool.
    pub pool: PoolName,
    /// The longest time that a call may take, in milliseconds.
    pub timeout_ms: u32,
    /// The service-level objective.
    pub target: ServiceTarget,
    /// The time by which a move to another pool must be done. An edit that changes `pool` must set
    /// it.
    pub move_deadline: Option<Timestamp>,
    /// The pools that share the calls of the route by weight; empty if `pool` gets all calls.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<PoolWeight>,
    /// The largest number of backend servers that one call is sent to.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// The priority of the calls under overload; 0 is the highest.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Whether callers may send calls without a key although the tables have workspaces.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub allow_anonymous: bool,
}

impl Route {
    /// The longest time that a call may take.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms as u64)
    }

    /// The priority of a call under overload: that of the workspace that sent it if it has one, otherwise that
    /// of the route. 0 is the highest.
    #[must_use]
    pub fn priority_for(&self, workspace: Option<&Workspace>) -> u8 {
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.priority)
    }

    /// The pools that the route names: `pool` first, then the pools of the split.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        std::iter::once(&self.pool).chain(self.split.iter().map(|weighted| &weighted.pool))
    }

    /// Selects a pool by the weights of the split, given a random number drawn uniformly for the
    /// call. Without a split, or if all weights are 0, it is `pool`.
    #[must_use]
    pub fn pool_for_draw(&self, draw: u32) -> &PoolName {
        let total: u64 = self
            .split
            .iter()
            .map(|weighted| u64::from(weighted.weight))
            .sum();
        let Some(mut remaining) = u64::from(draw).checked_rem(total) else {
            return &self.pool;
        };
        for weighted in &self.split {
            let weight = u64::from(weighted.weight);
            if remaining < weight {
                return &weighted.pool;
            }
            remaining -= weight;
        }
        &self.pool
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn path_prefix_matches_whole_segments() {
        let prefix = PathPrefix::try_from("/a".to_owned()).expect("valid prefix");
        assert!(prefix.matches("/a") && prefix.matches("/a/b"));
        assert!(!prefix.matches("/ab"));
    }
}
