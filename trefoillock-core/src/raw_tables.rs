//! The JSON form of the tables that operators write, before validation.
//!
//! [`RawTables::from_value`] reports every malformed row with its place; `Tables::try_from` then
//! checks the values. The conversion back from [`Tables`] writes out the defaults of rows, so a
//! round trip yields equal tables.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    Pool, RequestLimits, Route, TableError, TableErrors, Tables, Workspace, without_quoted_value,
};

/// The calls that a route matches, before validation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawMatch {
    /// The host, without port; a missing host matches every host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// The prefix of the path.
    pub path_prefix: String,
    /// The HTTP method, in upper case; a missing method matches every method.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
}

/// A service-level objective, before validation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTarget {
    /// The share of calls that must be good, in percent.
    pub good_percent: f64,
    /// The latency up to which an answered call is good, in milliseconds.
    pub latency_ms: u32,
}

/// The weight of one pool in the split of a route, before validation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPoolWeight {
    /// The name of the pool.
    pub pool: String,
    /// The weight, relative to the other pools of the split.
    pub weight: u32,
}

/// A row of the table of routes, before validation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// The name of the route.
    pub name: String,
    /// The calls that the route matches.
    #[serde(rename = "match")]
    pub matches: RawMatch,
    /// The class of its calls, as [`RouteClass::as_str`](crate::RouteClass::as_str) returns it.
    pub class: String,
    /// The name of the pool that gets the calls.
    pub pool: String,
    /// The longest time that a call may take, in milliseconds.
    pub timeout_ms: u32,
    /// The service-level objective; if missing, 99.9% of the calls must be answered within
    /// `timeout_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<RawTarget>,
    /// The time by which a move to another pool must be done, as RFC 3339 text. An edit that
    /// changes `pool` must set it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub move_deadline: Option<String>,
    /// Pools that share the calls of the route by weight; empty if `pool` gets all calls.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<RawPoolWeight>,
    /// The largest number of backend servers that one call is sent to; if missing,
    /// [`DEFAULT_MAX_ATTEMPTS`](crate::DEFAULT_MAX_ATTEMPTS).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// The priority of the calls under overload; 0 is the highest. If missing,
    /// [`DEFAULT_PRIORITY`](crate::DEFAULT_PRIORITY).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Whether callers may send calls without a key although the tables have workspaces.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub allow_anonymous: bool,
}

/// A row of the table of workspaces, before validation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorkspace {
    /// The name of the workspace.
    pub name: String,
    /// The keys by which callers identify the workspace.
    pub api_keys: Vec<RawApiKey>,
    /// The priority of its calls, in place of that of the route; 0 is the highest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// The calls per second that it may send through all nodes together; 0 or missing if they are
    /// not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<f64>,
    /// The number of calls beyond the rate that it may send at once; if missing, none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
}

/// An API key, before validation. `Debug` does not show it.
#[derive(Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RawApiKey(pub String);

impl std::fmt::Debug for RawApiKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RawApiKey(..)")
    }
}

/// The policy of a pool, before validation; a missing field takes its default.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPoolPolicy {
    /// The largest number of calls that one backend server runs at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// The largest number of connections that may be open to one backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
    /// The longest time that a call waits for a slot, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue_ms: Option<u32>,
    /// The time over which the load of a newly started backend server is raised to its full
    /// share, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_start_s: Option<u32>,
    /// How long a backend server stays cold after its start, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up_s: Option<f64>,
    /// The calls per second that a cold backend server takes from all nodes together; 0 or missing if
    /// they are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up_calls_per_s: Option<f64>,
}

/// A row of the table of pools, before validation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPool {
    /// The name of the pool.
    pub name: String,
    /// The service whose backend servers form the pool.
    pub service: String,
    /// The version of the backend servers; if missing, the pool contains all versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The load limits of each backend server.
    #[serde(default)]
    pub policy: RawPoolPolicy,
    /// The path at which the backend servers answer health checks, at which the node beside one asks
    /// whether it is cold; if missing, it does not ask.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
}

/// Both tables, before validation.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTables {
    /// The rows of the table of routes.
    pub routes: Vec<RawRoute>,
    /// The rows of the table of pools.
    pub pools: Vec<RawPool>,
    /// The limits on the requests of callers; missing limits take their defaults.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<RequestLimits>,
    /// The rows of the table of workspaces. While there is a table, even an empty one, callers need
    /// a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<Vec<RawWorkspace>>,
}

impl RawTables {
    /// Reads tables from JSON text.
    ///
    /// # Errors
    ///
    /// Returns the errors of all rows that cannot be read, each with its place.
    pub fn from_json(text: &str) -> Result<Self, TableErrors> {
        let value: Value = serde_json::from_str(text)
            .map_err(|error| TableErrors::single("$", format!("is not JSON: {error}")))?;
        Self::from_value(&value)
    }

    /// Reads tables from a JSON value.
    ///
    /// # Errors
    ///
    /// Returns the errors of all rows that cannot be read, each with its place.
    pub fn from_value(value: &Value) -> Result<Self, TableErrors> {
        let Some(object) = value.as_object() else {
            return Err(TableErrors::single(
                "$",
                "must be an object with `routes` and `pools`",
            ));
        };
        let mut errors = Vec::new();
        for key in object
            .keys()
            .filter(|key| !matches!(key.as_str(), "routes" | "pools" | "limits" | "workspaces"))
        {
            errors.push(TableError::new(format!("$.{key}"), "is not a known field"));
        }
        let routes = read_rows(value, "routes", str::to_owned, &mut errors);
        let pools = read_rows(value, "pools", str::to_owned, &mut errors);
        let limits = read_limits(value, &mut errors);
        let workspaces = value.get("workspaces").filter(|rows| !rows.is_null());
        let workspaces = workspaces.map(|_| {
            // A value in the wrong place may be a key.
            read_rows(value, "workspaces", without_quoted_value, &mut errors)
        });
        TableErrors::ok_if_empty(errors)?;
        Ok(Self {
            routes,
            pools,
            limits,
            workspaces,
        })
    }
}

/// Reads the limits on requests, if there are any, and adds an error if they are malformed.
fn read_limits(value: &Value, errors: &mut Vec<TableError>) -> Option<RequestLimits> {
    let limits = value.get("limits").filter(|limits| !limits.is_null())?;
    match RequestLimits::deserialize(limits) {
        Ok(limits) => Some(limits),
        Err(error) => {
            errors.push(TableError::new("$.limits", error.to_string()));
            None
        }
    }
}

/// Reads the rows of one table and collects the errors of all of them. `rule` converts the message of serde
/// about a row.
fn read_rows<T>(
    value: &Value,
    table: &str,
    rule: fn(&str) -> String,
    errors: &mut Vec<TableError>,
) -> Vec<T>
where
    T: serde::de::DeserializeOwned,
{
    let Some(rows) = value.get(table).and_then(Value::as_array) else {
        errors.push(TableError::new(format!("$.{table}"), "must be a list"));
        return Vec::new();
    };
    let mut parsed = Vec::with_capacity(rows.len());
    for (index, row) in rows.iter().enumerate() {
        match serde_path_to_error::deserialize(row) {
            Ok(row) => parsed.push(row),
            Err(error) => {
                let path = error.path().to_string();
                let place = match path.as_str() {
                    "." => format!("$.{table}[{index}]"),
                    path => format!("$.{table}[{index}].{path}"),
                };
                errors.push(TableError::new(place, rule(&error.inner().to_string())));
            }
        }
    }
    parsed
}

impl From<&crate::PoolWeight> for RawPoolWeight {
    fn from(weighted: &crate::PoolWeight) -> Self {
        Self {
            pool: weighted.pool.to_string(),
            weight: weighted.weight,
        }
    }
}

impl From<&Route> for RawRoute {
    fn from(route: &Route) -> Self {
        Self {
            name: route.name.to_string(),
            matches: RawMatch {
                host: route.matches.host.as_ref().map(ToString::to_string),
                path_prefix: route.matches.path_prefix.as_str().to_owned(),
                method: route.matches.method.as_ref().map(|m| m.as_str().to_owned()),
            },
            class: route.class.as_str().to_owned(),
            pool: route.pool.to_string(),
            timeout_ms: route.timeout_ms,
            target: Some(RawTarget {
                good_percent: f64::from(route.target.good_ppm) / 10_000.0,
                latency_ms: route.target.latency_ms,
            }),
            move_deadline: route.move_deadline.map(crate::Timestamp::to_rfc3339),
            split: route.split.iter().map(RawPoolWeight::from).collect(),
            max_attempts: Some(route.max_attempts),
            priority: Some(route.priority),
            allow_anonymous: route.allow_anonymous,
        }
    }
}

impl From<&Workspace> for RawWorkspace {
    fn from(workspace: &Workspace) -> Self {
        let keys = workspace.api_keys.iter();
        Self {
            name: workspace.name.to_string(),
            api_keys: keys.map(|key| RawApiKey(key.as_str().to_owned())).collect(),
            priority: workspace.priority,
            rate_per_s: workspace.quota.map(|quota| quota.rate.per_s()),
            burst: workspace.quota.map(|quota| f64::from(quota.burst)),
        }
    }
}

impl From<&Pool> for RawPool {
    fn from(pool: &Pool) -> Self {
        let warm_up = pool.policy.warm_up;
        Self {
            name: pool.name.to_string(),
            service: pool.service.to_string(),
            version: pool.versions.single_version().map(ToString::to_string),
            policy: RawPoolPolicy {
                slots: Some(pool.policy.slots),
                connections: Some(pool.policy.connections),
                queue_ms: Some(pool.policy.queue_ms),
                slow_start_s: Some(pool.policy.slow_start_s),
                warm_up_s: warm_up.map(|warm_up| f64::from(warm_up.duration_ms) / 1_000.0),
                warm_up_calls_per_s: warm_up.map(|warm_up| warm_up.rate.per_s()),
            },
            health_path: pool.health_path.clone().map(String::from),
        }
    }
}

impl From<&Tables> for RawTables {
    fn from(tables: &Tables) -> Self {
        Self {
            routes: tables
                .routes()
                .values()
                .map(|route| RawRoute::from(route.as_ref()))
                .collect(),
            pools: tables
                .pools()
                .values()
                .map(|pool| RawPool::from(pool.as_ref()))
                .collect(),
            limits: Some(*tables.limits()).filter(|limits| *limits != RequestLimits::default()),
            workspaces: tables.workspaces().map(|workspaces| {
                let rows = workspaces.values();
                rows.map(|row| RawWorkspace::from(row.as_ref())).collect()
            }),
        }
    }
}
