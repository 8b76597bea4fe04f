//! Rows of the table of routes.

use std::{sync::Arc, time::Duration};

use trefoillock_macros::data;

use crate::{HostName, PoolName, RouteName, Timestamp};

/// The number of backend servers that one call may be sent to, unless its route says otherwise.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 4;
/// The rank of a route that names none; 0 is the highest.
pub const DEFAULT_PRIORITY: u8 = 4;

/// What kind of calls a route carries. It decides retries, hedges and the order in which calls
/// are refused under overload.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum RouteClass {
    /// Idempotent reads; they are retried and hedged within a budget.
    Lookup,
    /// Calls that must run at most once.
    Posting,
    /// Large streamed downloads.
    Export,
    /// Checks between services; they are refused first under overload.
    Background,
}

impl RouteClass {
    /// All classes, in the order of their declaration.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Posting, Self::Export, Self::Background];

    /// The text that names the class in tables and reports.
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

/// The beginning of a path that a route matches; it starts with `/` and ends at the end of a
/// path segment.
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

    /// Whether a path lies below this prefix; `/a` holds `/a` and `/a/b`, but not `/ab`.
    #[must_use]
    pub fn holds(&self, path: &str) -> bool {
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

/// Which calls belong to a route.
#[data]
#[derive(PartialOrd, Ord, Hash)]
pub struct RouteMatch {
    /// The host, without port; `None` matches every host.
    pub host: Option<HostName>,
    /// The beginning of the path.
    pub path_prefix: PathPrefix,
    /// The method; `None` matches every method.
    pub method: Option<Method>,
}

impl RouteMatch {
    /// Whether a call belongs to the route. `host` has no port.
    #[must_use]
    pub fn holds(&self, host: Option<&str>, path: &str, method: &str) -> bool {
        let host_matches = match &self.host {
            Some(wanted) => host.is_some_and(|host| host.eq_ignore_ascii_case(wanted.as_str())),
            None => true,
        };
        let method_matches = self.method.as_ref().is_none_or(|m| m.as_str() == method);
        host_matches && method_matches && self.path_prefix.holds(path)
    }

    /// How specific the match is. Of several routes that hold a call, the most specific one
    /// takes it: a host goes before none, then the longer prefix, then a method before none.
    #[must_use]
    pub fn specificity(&self) -> (bool, usize, bool) {
        (
            self.host.is_some(),
            self.path_prefix.as_str().len(),
            self.method.is_some(),
        )
    }
}

/// The service level that a route is measured against.
#[data(key)]
pub struct ServiceTarget {
    /// The share of calls that must be good, in parts per million.
    pub good_ppm: u32,
    /// The time within which a good call is answered, in milliseconds.
    pub latency_ms: u32,
}

/// The part of a pool in the calls of a route.
#[data]
pub struct PoolWeight {
    /// The pool.
    pub pool: PoolName,
    /// The weight, relative to the other pools of the route.
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
    /// Which calls belong to the route.
    pub matches: RouteMatch,
    /// What kind of calls the route carries.
    pub class: RouteClass,
    /// The pool that carries the calls, or shall carry them once its move is done.
    pub pool: PoolName,
    /// The longest time that a call may take, in milliseconds.
    pub timeout_ms: u32,
    /// The service level that the route is measured against.
    pub target: ServiceTarget,
    /// The time by which a move to another pool must be done.
    pub move_deadline: Option<Timestamp>,
    /// The pools that share the calls of the route by weight; empty if `pool` takes all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<PoolWeight>,
    /// The largest number of backend servers that one call is sent to.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// The rank of the calls under overload; 0 is the highest.
    #[serde(default = "default_priority")]
    pub priority: u8,
}

impl Route {
    /// The longest time that a call may take.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms as u64)
    }

    /// The pools that the route names.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        std::iter::once(&self.pool).chain(self.split.iter().map(|part| &part.pool))
    }

    /// The pool that a draw falls to, by the weights of the split.
    #[must_use]
    pub fn drawn_pool(&self, draw: u32) -> &PoolName {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let Some(mut left) = u64::from(draw).checked_rem(total) else {
            return &self.pool;
        };
        for part in &self.split {
            let weight = u64::from(part.weight);
            if left < weight {
                return &part.pool;
            }
            left -= weight;
        }
        &self.pool
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn prefix_ends_at_a_segment() {
        let prefix = PathPrefix::try_from("/a".to_owned()).expect("valid prefix");
        assert!(prefix.holds("/a") && prefix.holds("/a/b"));
        assert!(!prefix.holds("/ab"));
    }
}
