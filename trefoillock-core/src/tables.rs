//! The tables of routes and pools, and their validation.
//!
//! The conversion from [`RawTables`] to [`Tables`] reports the errors of all rows, each with its
//! place.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use trefoillock_macros::data;

use crate::{
    ApiKey, CallRate, DEFAULT_MAX_ATTEMPTS, DEFAULT_PRIORITY, Pool, PoolName, PoolPolicy,
    PoolVersions, PoolWeight, Quota, RawMatch, RawPool, RawPoolPolicy, RawRoute, RawTables,
    RawWorkspace, RequestLimits, Route, RouteClass, RouteMatch, RouteName, ServiceTarget,
    TablesDiff, Timestamp, WarmUp, Workspace, Workspaces,
};

/// The largest number of rows of each table.
const MAX_ROWS: usize = 20_000;
/// The longest timeout of a call, in milliseconds.
const MAX_TIMEOUT_MS: u32 = 3_600_000;
/// The largest number of backend servers that a call may be sent to.
const MAX_ATTEMPTS: u32 = 100;
/// The largest number of slots or connections of a backend server.
const MAX_SLOTS: u32 = 100_000;
/// The longest time that a call may wait for a slot, in milliseconds.
const MAX_QUEUE_MS: u32 = 60_000;
/// The longest slow start, in seconds.
const MAX_SLOW_START_S: u32 = 3_600;
/// The longest time that a backend server stays cold after its start, in milliseconds.
const MAX_WARM_UP_MS: u32 = 3_600_000;
const MILLIS_PER_S: f64 = 1_000.0;
/// The default share of calls that must be good, in parts per million.
const DEFAULT_GOOD_PPM: u32 = 999_000;

/// One error in the tables, with its place.
#[data]
pub struct TableError {
    /// The place, as a JSON path.
    pub place: String,
    /// The rule that the value at the place breaks, in words.
    pub rule: String,
}

impl TableError {
    /// Creates an error from its place and the rule that is broken there.
    #[must_use]
    pub fn new(place: impl Into<String>, rule: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            rule: rule.into(),
        }
    }
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.rule)
    }
}

/// All errors in the tables; at least one.
#[data]
pub struct TableErrors(Vec<TableError>);

impl TableErrors {
    /// Creates a list of one error.
    #[must_use]
    pub fn single(place: impl Into<String>, rule: impl Into<String>) -> Self {
        Self(vec![TableError::new(place, rule)])
    }

    /// Turns a list of errors into a result.
    ///
    /// # Errors
    ///
    /// Returns the given errors unless the list is empty.
    pub fn ok_if_empty(errors: Vec<TableError>) -> Result<(), Self> {
        if errors.is_empty() {
            Ok(())
        } else {
            Err(Self(errors))
        }
    }

    /// The errors in the order of the rows.
    #[must_use]
    pub fn as_slice(&self) -> &[TableError] {
        &self.0
    }
}

impl fmt::Display for TableErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for TableErrors {}

/// The table of routes and the table of pools, together with the limits on requests.
///
/// Every pool that a route names is in the table of pools. Deserialization does not check this.
#[data]
#[derive(Default)]
pub struct Tables {
    routes: BTreeMap<RouteName, Arc<Route>>,
    pools: BTreeMap<PoolName, Arc<Pool>>,
    #[serde(default, skip_serializing_if = "is_default")]
    limits: RequestLimits,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    workspaces: Option<Workspaces>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Tables {
    /// The routes by name.
    #[must_use]
    pub const fn routes(&self) -> &BTreeMap<RouteName, Arc<Route>> {
        &self.routes
    }

    /// The pools by name.
    #[must_use]
    pub const fn pools(&self) -> &BTreeMap<PoolName, Arc<Pool>> {
        &self.pools
    }

    /// The limits on the requests of callers.
    #[must_use]
    pub const fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Returns the tables with the limits on requests replaced.
    #[must_use]
    pub const fn with_limits(mut self, limits: RequestLimits) -> Self {
        self.limits = limits;
        self
    }

    /// The workspaces by name; `None` if callers need no key.
    #[must_use]
    pub const fn workspaces(&self) -> Option<&Workspaces> {
        self.workspaces.as_ref()
    }

    /// Returns the tables with the workspaces replaced.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Option<Workspaces>) -> Self {
        self.workspaces = workspaces;
        self
    }

    /// Builds tables with default request limits from rows that are already validated.
    ///
    /// # Errors
    ///
    /// Returns an error for every missing pool that a route names.
    pub fn from_rows(
        routes: BTreeMap<RouteName, Arc<Route>>,
        pools: BTreeMap<PoolName, Arc<Pool>>,
    ) -> Result<Self, TableErrors> {
        let route_pools = routes
            .values()
            .flat_map(|route| route.pools().map(move |pool| (&route.name, pool)));
        let errors = route_pools
            .filter(|(_, pool)| !pools.contains_key(*pool))
            .map(|(route, pool)| missing_pool_error(route, pool))
            .collect();
        TableErrors::ok_if_empty(errors)?;
        Ok(Self {
            routes,
            pools,
            limits: RequestLimits::default(),
            workspaces: None,
        })
    }

    /// Returns the tables with the pool of one route replaced and its move deadline removed.
    ///
    /// # Errors
    ///
    /// Returns an error if the route or the pool is missing.
    pub fn with_route_pool(&self, route: &RouteName, pool: &PoolName) -> Result<Self, TableErrors> {
        let Some(row) = self.routes.get(route) else {
            return Err(TableErrors::single(
                format!("routes.{route}"),
                "does not exist",
            ));
        };
        let row = Route {
            pool: pool.clone(),
            move_deadline: None,
            ..row.as_ref().clone()
        };
        let mut routes = self.routes.clone();
        routes.insert(route.clone(), Arc::new(row));
        let tables = Self::from_rows(routes, self.pools.clone())?;
        Ok(tables
            .with_limits(self.limits)
            .with_workspaces(self.workspaces.clone()))
    }

    /// Returns the names of the rows in which `newer` differs from these tables.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> TablesDiff {
        let (routes_added, routes_removed, routes_changed) = diff_rows(&self.routes, &newer.routes);
        let (pools_added, pools_removed, pools_changed) = diff_rows(&self.pools, &newer.pools);
        let empty = Workspaces::new();
        let (workspaces_added, workspaces_removed, workspaces_changed) = diff_rows(
            self.workspaces().unwrap_or(&empty),
            newer.workspaces().unwrap_or(&empty),
        );
        TablesDiff {
            routes_added,
            routes_removed,
            routes_changed,
            pools_added,
            pools_removed,
            pools_changed,
            workspaces_added,
            workspaces_removed,
            workspaces_changed,
            needs_keys: (self.workspaces.is_some() != newer.workspaces.is_some())
                .then_some(newer.workspaces.is_some()),
        }
    }
}

fn missing_pool_error(route: &RouteName, pool: &PoolName) -> TableError {
    TableError::new(
        format!("routes.{route}.pool"),
        format!("names the pool {pool:?}, which does not exist"),
    )
}

/// Returns the keys that were added, removed and changed between two versions of a table.
fn diff_rows<K, V>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> (Vec<K>, Vec<K>, Vec<K>)
where
    K: Ord + Clone,
    V: PartialEq,
{
    let added = new
        .keys()
        .filter(|key| !old.contains_key(key))
        .cloned()
        .collect();
    let removed = old
        .keys()
        .filter(|key| !new.contains_key(key))
        .cloned()
        .collect();
    let differs = |key: &&K| old.get(key).is_some_and(|row| new.get(key) != Some(row));
    let changed = new.keys().filter(differs).cloned().collect();
    (added, removed, changed)
}

impl TryFrom<RawTables> for Tables {
    type Error = TableErrors;

    fn try_from(raw: RawTables) -> Result<Self, TableErrors> {
        let mut validator = Validator::default();
        validator.check_row_count("routes", raw.routes.len());
        validator.check_row_count("pools", raw.pools.len());
        let mut pools = BTreeMap::new();
        for (index, row) in raw.pools.iter().enumerate() {
            if let Some(pool) = validator.check_pool(index, row)
                && let Some(duplicate) = pools.insert(pool.name.clone(), Arc::new(pool))
            {
                validator.push_error(
                    format!("$.pools[{index}].name"),
                    format!("the pool name {:?} is used twice", duplicate.name),
                );
            }
        }
        let pool_names: Vec<&str> = raw.pools.iter().map(|pool| pool.name.as_str()).collect();
        let mut routes = BTreeMap::new();
        let mut matches = BTreeMap::new();
        for (index, row) in raw.routes.iter().enumerate() {
            let split = row.split.iter().map(|weighted| weighted.pool.as_str());
            let route_pools = std::iter::once(row.pool.as_str()).chain(split);
            for pool in route_pools.filter(|pool| !pool_names.contains(pool)) {
                validator.push_error(
                    format!("$.routes[{index}].pool"),
                    format!("names the pool {pool:?}, which does not exist"),
                );
            }
            let Some(route) = validator.check_route(index, row) else {
                continue;
            };
            if let Some(first) = matches.insert(route.matches.clone(), route.name.clone()) {
                validator.push_error(
                    format!("$.routes[{index}].match"),
                    format!("matches the same calls as the route {first:?}"),
                );
            }
            if let Some(duplicate) = routes.insert(route.name.clone(), Arc::new(route)) {
                validator.push_error(
                    format!("$.routes[{index}].name"),
                    format!("the route name {:?} is used twice", duplicate.name),
                );
            }
        }
        let workspaces = raw.workspaces.as_deref();
        let workspaces = workspaces.map(|rows| validator.check_workspaces(rows));
        TableErrors::ok_if_empty(validator.errors)?;
        let limits = raw.limits.unwrap_or_default();
        let tables = Self::from_rows(routes, pools)?;
        Ok(tables.with_limits(limits).with_workspaces(workspaces))
    }
}

/// Checks rows and collects the errors of all of them.
///
/// A row with an error in one field is still checked in its other fields.
#[derive(Default)]
struct Validator {
    errors: Vec<TableError>,
}

impl Validator {
    fn push_error(&mut self, place: impl Into<String>, rule: impl Into<String>) {
        self.errors.push(TableError::new(place, rule));
    }

    fn check_row_count(&mut self, table: &str, rows: usize) {
        if rows > MAX_ROWS {
            self.push_error(
                format!("$.{table}"),
                format!("has {rows} rows, at most {MAX_ROWS} are allowed"),
            );
        }
    }

    fn check_range(&mut self, place: String, value: u32, low: u32, high: u32) {
        if !(low..=high).contains(&value) {
            self.push_error(
                place,
                format!("must be between {low} and {high}, not {value}"),
            );
        }
    }

    /// Converts text to a type that validates it, and records the error if that fails.
    fn parse<T>(&mut self, place: String, text: &str) -> Option<T>
    where
        T: TryFrom<String>,
        T::Error: fmt::Display,
    {
        match T::try_from(text.to_owned()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.push_error(place, error.to_string());
                None
            }
        }
    }

    fn check_pool(&mut self, index: usize, row: &RawPool) -> Option<Pool> {
        let place = format!("$.pools[{index}]");
        let name = self.parse(format!("{place}.name"), &row.name);
        let service = self.parse(format!("{place}.service"), &row.service);
        let versions = match &row.version {
            None => Some(PoolVersions::Any),
            Some(version) => self
                .parse(format!("{place}.version"), version)
                .map(PoolVersions::Only),
        };
        let policy = self.check_policy(&format!("{place}.policy"), &row.policy);
        let health_path = row.health_path.as_ref();
        let health_path =
            health_path.and_then(|path| self.parse(format!("{place}.health_path"), path));
        Some(Pool {
            name: name?,
            service: service?,
            versions: versions?,
            policy,
            health_path,
        })
    }

    fn check_policy(&mut self, place: &str, row: &RawPoolPolicy) -> PoolPolicy {
        let default = PoolPolicy::default();
        let policy = PoolPolicy {
            slots: row.slots.unwrap_or(default.slots),
            connections: row.connections.unwrap_or(default.connections),
            queue_ms: row.queue_ms.unwrap_or(default.queue_ms),
            slow_start_s: row.slow_start_s.unwrap_or(default.slow_start_s),
            warm_up: self.check_warm_up(place, row),
        };
        self.check_range(format!("{place}.slots"), policy.slots, 1, MAX_SLOTS);
        self.check_range(
            format!("{place}.connections"),
            policy.connections,
            1,
            MAX_SLOTS,
        );
        self.check_range(
            format!("{place}.queue_ms"),
            policy.queue_ms,
            0,
            MAX_QUEUE_MS,
        );
        self.check_range(
            format!("{place}.slow_start_s"),
            policy.slow_start_s,
            0,
            MAX_SLOW_START_S,
        );
        if policy.connections < policy.slots {
            self.push_error(
                format!("{place}.connections"),
                "must not be lower than `slots`",
            );
        }
        policy
    }

    fn check_warm_up(&mut self, place: &str, row: &RawPoolPolicy) -> Option<WarmUp> {
        let per_s = row.warm_up_calls_per_s.filter(|per_s| *per_s != 0.0)?;
        let rate = self.check_rate(format!("{place}.warm_up_calls_per_s"), per_s);
        let millis = row.warm_up_s.unwrap_or_default() * MILLIS_PER_S;
        if !(0.0..=f64::from(MAX_WARM_UP_MS)).contains(&millis) {
            self.push_error(
                format!("{place}.warm_up_s"),
                format!("must be between 0 and {}", MAX_WARM_UP_MS / 1_000),
            );
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range was checked"
        )]
        let duration_ms = millis.round() as u32;
        Some(WarmUp {
            duration_ms,
            rate: rate?,
        })
    }

    fn check_rate(&mut self, place: String, per_s: f64) -> Option<CallRate> {
        let rate = CallRate::try_from(per_s);
        rate.inspect_err(|error| self.push_error(place, error.to_string()))
            .ok()
    }

    /// Checks the rows of the table of workspaces. Errors do not repeat keys, which are secrets.
    fn check_workspaces(&mut self, rows: &[RawWorkspace]) -> Workspaces {
        self.check_row_count("workspaces", rows.len());
        let mut workspaces = Workspaces::new();
        let mut known_keys = BTreeSet::new();
        for (index, row) in rows.iter().enumerate() {
            let place = format!("$.workspaces[{index}]");
            let api_keys = self.check_keys(&place, row, &mut known_keys);
            let quota = self.check_quota(&place, row);
            let Some(name) = self.parse(format!("{place}.name"), &row.name) else {
                continue;
            };
            let workspace = Workspace {
                name,
                api_keys,
                priority: row.priority,
                quota,
            };
            let name = workspace.name.clone();
            if workspaces.insert(name, Arc::new(workspace)).is_some() {
                self.push_error(
                    format!("{place}.name"),
                    format!("the workspace name {:?} is used twice", row.name),
                );
            }
        }
        workspaces
    }

    fn check_keys<'a>(
        &mut self,
        place: &str,
        row: &'a RawWorkspace,
        known_keys: &mut BTreeSet<&'a str>,
    ) -> Vec<ApiKey> {
        let mut keys = Vec::with_capacity(row.api_keys.len());
        for (index, key) in row.api_keys.iter().enumerate() {
            let place = format!("{place}.api_keys[{index}]");
            keys.extend(self.parse(place.clone(), &key.0));
            if !known_keys.insert(&key.0) {
                self.push_error(place, "the key is used twice");
            }
        }
        keys
    }

    /// Returns the quota of a workspace; `None` if it has none or an error was recorded.
    fn check_quota(&mut self, place: &str, row: &RawWorkspace) -> Option<Quota> {
        let burst = row.burst.unwrap_or_default();
        if !(0.0..=f64::from(u32::MAX)).contains(&burst) {
            self.push_error(
                format!("{place}.burst"),
                format!("must be between 0 and {}, not {burst}", u32::MAX),
            );
            return None;
        }
        let per_s = row.rate_per_s.filter(|per_s| *per_s != 0.0)?;
        let rate = self.check_rate(format!("{place}.rate_per_s"), per_s)?;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range was checked"
        )]
        let burst = burst.floor() as u32;
        Some(Quota { rate, burst })
    }

    fn check_route(&mut self, index: usize, row: &RawRoute) -> Option<Route> {
        let place = format!("$.routes[{index}]");
        let name = self.parse(format!("{place}.name"), &row.name);
        let matches = self.check_match(&format!("{place}.match"), &row.matches);
        let class = self.check_class(format!("{place}.class"), &row.class);
        let pool = self.parse(format!("{place}.pool"), &row.pool);
        self.check_range(
            format!("{place}.timeout_ms"),
            row.timeout_ms,
            1,
            MAX_TIMEOUT_MS,
        );
        let target = self.check_target(&place, row);
        let split = self.check_split(&place, row);
        let max_attempts = row.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS);
        self.check_range(
            format!("{place}.max_attempts"),
            max_attempts,
            1,
            MAX_ATTEMPTS,
        );
        let move_deadline = self.check_deadline(
            format!("{place}.move_deadline"),
            row.move_deadline.as_deref(),
        );
        Some(Route {
            name: name?,
            matches: matches?,
            class: class?,
            pool: pool?,
            timeout_ms: row.timeout_ms,
            target,
            move_deadline,
            split,
            max_attempts,
            priority: row.priority.unwrap_or(DEFAULT_PRIORITY),
            allow_anonymous: row.allow_anonymous,
        })
    }

    fn check_split(&mut self, place: &str, row: &RawRoute) -> Vec<PoolWeight> {
        let mut split = Vec::with_capacity(row.split.len());
        for (index, weighted) in row.split.iter().enumerate() {
            if let Some(pool) = self.parse(format!("{place}.split[{index}].pool"), &weighted.pool) {
                let weight = weighted.weight;
                split.push(PoolWeight { pool, weight });
            }
        }
        if !split.is_empty() && split.iter().all(|weighted| weighted.weight == 0) {
            self.push_error(
                format!("{place}.split"),
                "must have at least one weight above 0",
            );
        }
        split
    }

    fn check_match(&mut self, place: &str, row: &RawMatch) -> Option<RouteMatch> {
        let errors_before = self.errors.len();
        let host = row.host.as_deref().map(str::to_ascii_lowercase);
        let host = host.and_then(|host| self.parse(format!("{place}.host"), &host));
        let path_prefix = self.parse(format!("{place}.path_prefix"), &row.path_prefix);
        let method = row.method.as_deref();
        let method = method.and_then(|method| self.parse(format!("{place}.method"), method));
        if self.errors.len() > errors_before {
            return None;
        }
        Some(RouteMatch {
            host,
            path_prefix: path_prefix?,
            method,
        })
    }

    fn check_class(&mut self, place: String, text: &str) -> Option<RouteClass> {
        let class = RouteClass::ALL
            .into_iter()
            .find(|class| class.as_str() == text);
        if class.is_none() {
            self.push_error(
                place,
                format!("{text:?} is not one of lookup, posting, export, background"),
            );
        }
        class
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn check_target(&mut self, place: &str, row: &RawRoute) -> ServiceTarget {
        let Some(target) = &row.target else {
            return ServiceTarget {
                good_ppm: DEFAULT_GOOD_PPM,
                latency_ms: row.timeout_ms,
            };
        };
        if !(target.good_percent > 0.0 && target.good_percent < 100.0) {
            self.push_error(
                format!("{place}.target.good_percent"),
                format!("must be above 0 and below 100, not {}", target.good_percent),
            );
        }
        self.check_range(
            format!("{place}.target.latency_ms"),
            target.latency_ms,
            1,
            row.timeout_ms.max(1),
        );
        ServiceTarget {
            good_ppm: (target.good_percent * 10_000.0).round() as u32,
            latency_ms: target.latency_ms,
        }
    }

    fn check_deadline(&mut self, place: String, text: Option<&str>) -> Option<Timestamp> {
        let text = text?;
        let deadline = Timestamp::parse_rfc3339(text);
        if deadline.is_none() {
            self.push_error(
                place,
                format!("{text:?} is not an RFC 3339 time such as 2026-12-31T18:00:00Z"),
            );
        }
        deadline
    }
}
