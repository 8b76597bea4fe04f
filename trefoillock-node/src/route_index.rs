//! An index of the routes by host, path prefix and method.

use std::sync::Arc;

use trefoillock_core::{Config, Map, Route};

/// Routes by path prefix. In each list, routes with a method come before those without, so the
/// first match is the most specific.
type RoutesByPrefix = Map<String, Vec<Arc<Route>>>;

/// Finds the route of a call in time proportional to the length of its path.
#[derive(Debug, Default)]
pub struct RouteIndex {
    by_host: Map<String, RoutesByPrefix>,
    any_host: RoutesByPrefix,
}

impl RouteIndex {
    /// Builds the index of the routes of a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut index = Self::default();
        for route in config.tables().routes().values() {
            let group = match &route.matches.host {
                Some(host) => {
                    let host = host.as_str().to_ascii_lowercase();
                    index.by_host.entry(host).or_default()
                }
                None => &mut index.any_host,
            };
            let prefix = route.matches.path_prefix.as_str().to_owned();
            let routes = group.entry(prefix).or_default();
            routes.push(route.clone());
            routes.sort_by_key(|route| route.matches.method.is_none());
        }
        index
    }

    /// The most specific route that matches a call: a route for its host before one for any host,
    /// then the longest path prefix, then a route for its method. `host` has no port.
    #[must_use]
    pub fn find(&self, host: Option<&str>, path: &str, method: &str) -> Option<&Arc<Route>> {
        let host_match = host
            .filter(|_| !self.by_host.is_empty())
            .and_then(|host| self.by_host.get(host.to_ascii_lowercase().as_str()))
            .and_then(|group| find_prefix(group, path, method));
        host_match.or_else(|| find_prefix(&self.any_host, path, method))
    }
}

/// Looks up the prefixes of a path that can be route prefixes, the longest first.
fn find_prefix<'a>(group: &'a RoutesByPrefix, path: &str, method: &str) -> Option<&'a Arc<Route>> {
    let slashes = path.rmatch_indices('/').map(|(at, _)| at);
    let shorter = slashes.flat_map(|at| [&path[..=at], &path[..at]]);
    std::iter::once(path)
        .chain(shorter)
        .filter_map(|prefix| group.get(prefix))
        .flatten()
        .find(|route| {
            let wanted = route.matches.method.as_ref();
            wanted.is_none_or(|wanted| wanted.as_str() == method)
        })
}
