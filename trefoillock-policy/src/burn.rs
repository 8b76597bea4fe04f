//! Error budget burn: how fast each route uses up the share of bad calls that its service target
//! allows. [`BurnMeter`] counts the calls on one node; [`BurnReport`] is the form in which counts
//! are sent and merged.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{RouteClass, RouteName, ServiceLevelCounts, ServiceTarget, Timestamp, data};

/// The windows over which burn is reported, in increasing length.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_mins(5),
    Duration::from_hours(1),
    Duration::from_hours(6),
    Duration::from_hours(72),
];

/// The span of a bucket in each of the [`BURN_WINDOWS`].
const BUCKET_SPANS: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_mins(1),
    Duration::from_mins(5),
    Duration::from_hours(1),
];

/// The number of parts per million in a whole.
const PPM: f64 = 1_000_000.0;

/// The calls counted within one bucket span.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// The time of the bucket as the number of spans since the Unix epoch.
    number: u64,
    good: u64,
    bad: u64,
}

/// A ring buffer of the buckets of one window.
#[derive(Debug)]
struct BucketRing {
    span: Duration,
    buckets: Vec<Bucket>,
}

impl BucketRing {
    fn new(window: Duration, span: Duration) -> Self {
        let count = window.as_secs() / span.as_secs().max(1);
        let count = usize::try_from(count).unwrap_or(1).max(1);
        Self {
            span,
            buckets: vec![Bucket::default(); count],
        }
    }

    fn bucket_number(&self, now: Timestamp) -> u64 {
        now.as_millis() / 1_000 / self.span.as_secs().max(1)
    }

    fn add(&mut self, now: Timestamp, counts: ServiceLevelCounts) {
        let number = self.bucket_number(now);
        let index = usize::try_from(number % self.buckets.len() as u64).unwrap_or(0);
        let bucket = &mut self.buckets[index];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket.good = bucket.good.saturating_add(counts.good);
        bucket.bad = bucket.bad.saturating_add(counts.bad);
    }

    /// Returns the good and the bad calls within the window that ends now.
    fn sum(&self, now: Timestamp) -> (u64, u64) {
        let newest = self.bucket_number(now);
        let count = self.buckets.len() as u64;
        let inside = |bucket: &&Bucket| bucket.number <= newest && bucket.number + count > newest;
        let buckets = self.buckets.iter().filter(inside);
        buckets.fold((0, 0), |sum, b| (sum.0 + b.good, sum.1 + b.bad))
    }
}

/// The counts of one route with the class and target that were last reported for it.
#[derive(Debug)]
struct RouteBurn {
    class: RouteClass,
    target: ServiceTarget,
    rings: [BucketRing; 4],
}

impl RouteBurn {
    fn new(class: RouteClass, target: ServiceTarget) -> Self {
        let ring = |index: usize| BucketRing::new(BURN_WINDOWS[index], BUCKET_SPANS[index]);
        Self {
            class,
            target,
            rings: [ring(0), ring(1), ring(2), ring(3)],
        }
    }
}

/// Counts good and bad calls by route over several windows.
///
/// Memory per route is constant, about 6 KiB. The counts are kept in memory only and are lost when
/// the process ends.
#[derive(Debug, Default)]
pub struct BurnMeter {
    routes: BTreeMap<RouteName, RouteBurn>,
}

impl BurnMeter {
    /// Creates a meter that has counted no call.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call of a route. `answered_in` is the latency of a call that was answered without a
    /// server error, and `None` for any other call. The call is good if the latency is within the
    /// target.
    pub fn record(
        &mut self,
        now: Timestamp,
        route: &RouteName,
        class: RouteClass,
        target: ServiceTarget,
        answered_in: Option<Duration>,
    ) {
        let limit = Duration::from_millis(u64::from(target.latency_ms));
        let good = answered_in.is_some_and(|latency| latency <= limit);
        let counts = ServiceLevelCounts {
            good: u64::from(good),
            bad: u64::from(!good),
        };
        self.add(now, route, class, target, counts);
    }

    /// Adds calls of a route that were counted elsewhere.
    pub fn add(
        &mut self,
        now: Timestamp,
        route: &RouteName,
        class: RouteClass,
        target: ServiceTarget,
        counts: ServiceLevelCounts,
    ) {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.clone(), RouteBurn::new(class, target));
        }
        let Some(burn) = self.routes.get_mut(route) else {
            return;
        };
        burn.class = class;
        burn.target = target;
        for ring in &mut burn.rings {
            ring.add(now, counts);
        }
    }

    /// Removes the routes for which `keep` returns false, such as routes deleted from the tables.
    pub fn retain(&mut self, keep: impl Fn(&RouteName) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Returns the counts of all routes within the windows that end now.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> BurnReport {
        let row = |(route, burn): (&RouteName, &RouteBurn)| BurnRow {
            route: route.clone(),
            class: burn.class,
            target: burn.target,
            windows: window_counts(now, &burn.rings),
        };
        BurnReport {
            rows: self.routes.iter().map(row).collect(),
        }
    }
}

/// Returns the counts of all windows, in the order of [`BURN_WINDOWS`].
fn window_counts(now: Timestamp, rings: &[BucketRing; 4]) -> Vec<BurnWindow> {
    let sums = rings.iter().map(|ring| ring.sum(now));
    let windows = BURN_WINDOWS.iter().zip(sums);
    windows
        .map(|(window, (good, bad))| BurnWindow {
            seconds: window.as_secs(),
            good,
            bad,
        })
        .collect()
}

/// The calls of one route within one window.
#[data(key)]
pub struct BurnWindow {
    /// The length of the window, in seconds.
    pub seconds: u64,
    /// Calls answered within the target.
    pub good: u64,
    /// Calls answered too late, with an error, or not at all.
    pub bad: u64,
}

impl BurnWindow {
    /// The share of bad calls divided by the share that the target allows. Above 1, the error
    /// budget is exhausted before the end of its period. Zero if there were no calls.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a ratio of counts")]
    pub fn burn_rate(&self, target: ServiceTarget) -> f64 {
        let calls = self.good + self.bad;
        if calls == 0 {
            return 0.0;
        }
        let allowed = (PPM - f64::from(target.good_ppm)).max(1.0) / PPM;
        self.bad as f64 / calls as f64 / allowed
    }
}

/// The calls of one route within each window.
#[data]
pub struct BurnRow {
    /// The name of the route.
    pub route: RouteName,
    /// The class of the route when it was last counted.
    pub class: RouteClass,
    /// The service target that calls are measured against.
    pub target: ServiceTarget,
    /// The counts, in increasing length of the window.
    pub windows: Vec<BurnWindow>,
}

/// The error budget burn of all routes, as counted by one node or merged from several.
#[data]
#[derive(Default)]
pub struct BurnReport {
    /// One row per route, sorted by route name.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Adds the counts of another report, which must cover other calls.
    pub fn merge(&mut self, other: &Self) {
        for row in &other.rows {
            match self.rows.binary_search_by(|r| r.route.cmp(&row.route)) {
                Ok(index) => merge_windows(&mut self.rows[index].windows, &row.windows),
                Err(index) => self.rows.insert(index, row.clone()),
            }
        }
    }

    /// Returns the counts of each window summed over the routes of a class.
    #[must_use]
    pub fn of_class(&self, class: RouteClass) -> Vec<BurnWindow> {
        let mut sum = Vec::new();
        for row in self.rows.iter().filter(|row| row.class == class) {
            merge_windows(&mut sum, &row.windows);
        }
        sum
    }
}

/// Adds counts to the windows of the same length, and appends windows of other lengths.
fn merge_windows(windows: &mut Vec<BurnWindow>, other: &[BurnWindow]) {
    for window in other {
        let same = windows.iter_mut().find(|w| w.seconds == window.seconds);
        match same {
            Some(same) => {
                same.good = same.good.saturating_add(window.good);
                same.bad = same.bad.saturating_add(window.bad);
            }
            None => windows.push(*window),
        }
    }
}
