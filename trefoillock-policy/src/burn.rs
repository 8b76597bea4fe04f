//! Service-level burn: how fast the routes use up their allowance of bad calls.

use std::{collections::BTreeMap, time::Duration};

use trefoillock_core::{RouteClass, RouteName, ServiceCount, ServiceTarget, Timestamp, data};

/// The windows over which burn is reported, from the shortest to the longest.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_mins(5),
    Duration::from_hours(1),
    Duration::from_hours(6),
    Duration::from_hours(72),
];

/// The spans of the buckets of each window.
const BUCKET_SPANS: [Duration; 4] = [
    Duration::from_secs(10),
    Duration::from_mins(1),
    Duration::from_mins(5),
    Duration::from_hours(1),
];

/// The parts in a whole share.
const PPM: f64 = 1_000_000.0;

/// Counts of good and bad calls.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// The number of the bucket since the Unix epoch.
    number: u64,
    good: u64,
    bad: u64,
}

/// The buckets of one window, used in turn.
#[derive(Debug)]
struct Ring {
    span: Duration,
    buckets: Vec<Bucket>,
}

impl Ring {
    fn new(window: Duration, span: Duration) -> Self {
        let count = window.as_secs() / span.as_secs().max(1);
        let count = usize::try_from(count).unwrap_or(1).max(1);
        Self {
            span,
            buckets: vec![Bucket::default(); count],
        }
    }

    fn number(&self, now: Timestamp) -> u64 {
        now.as_millis() / 1_000 / self.span.as_secs().max(1)
    }

    fn add(&mut self, now: Timestamp, count: ServiceCount) {
        let number = self.number(now);
        let at = usize::try_from(number % self.buckets.len() as u64).unwrap_or(0);
        let bucket = &mut self.buckets[at];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket.good = bucket.good.saturating_add(count.good);
        bucket.bad = bucket.bad.saturating_add(count.bad);
    }

    /// The sums of the buckets that lie within the window.
    fn sum(&self, now: Timestamp) -> (u64, u64) {
        let newest = self.number(now);
        let count = self.buckets.len() as u64;
        let inside = |bucket: &&Bucket| bucket.number <= newest && bucket.number + count > newest;
        let buckets = self.buckets.iter().filter(inside);
        buckets.fold((0, 0), |sum, b| (sum.0 + b.good, sum.1 + b.bad))
    }
}

/// The counts of one route.
#[derive(Debug)]
struct RouteBurn {
    class: RouteClass,
    target: ServiceTarget,
    rings: [Ring; 4],
}

impl RouteBurn {
    fn new(class: RouteClass, target: ServiceTarget) -> Self {
        let ring = |at: usize| Ring::new(BURN_WINDOWS[at], BUCKET_SPANS[at]);
        Self {
            class,
            target,
            rings: [ring(0), ring(1), ring(2), ring(3)],
        }
    }
}

/// Counts good and bad calls by route over several windows.
///
/// A route takes about 6 KiB however many calls it gets. The counts are lost with the process.
#[derive(Debug, Default)]
pub struct BurnMeter {
    routes: BTreeMap<RouteName, RouteBurn>,
}

impl BurnMeter {
    /// Creates a meter without counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call of a route. It is good if it was answered without a server error within
    /// the target's latency.
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
        let count = ServiceCount {
            good: u64::from(good),
            bad: u64::from(!good),
        };
        self.add(now, route, class, target, count);
    }

    /// Adds calls of a route that were counted elsewhere.
    pub fn add(
        &mut self,
        now: Timestamp,
        route: &RouteName,
        class: RouteClass,
        target: ServiceTarget,
        count: ServiceCount,
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
            ring.add(now, count);
        }
    }

    /// Forgets the routes that are no longer part of the tables.
    pub fn retain(&mut self, keep: impl Fn(&RouteName) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// The counts of all routes.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> BurnReport {
        let row = |(route, burn): (&RouteName, &RouteBurn)| BurnRow {
            route: route.clone(),
            class: burn.class,
            target: burn.target,
            windows: windows(now, &burn.rings),
        };
        BurnReport {
            rows: self.routes.iter().map(row).collect(),
        }
    }
}

/// The sums of all windows.
fn windows(now: Timestamp, rings: &[Ring; 4]) -> Vec<BurnWindow> {
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
    /// Good calls.
    pub good: u64,
    /// Bad calls.
    pub bad: u64,
}

impl BurnWindow {
    /// The share of bad calls divided by the share that the target allows: above 1 the
    /// allowance is used up before its time. Zero without calls.
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

/// The calls of one route within all windows.
#[data]
pub struct BurnRow {
    /// The route.
    pub route: RouteName,
    /// The class of the route.
    pub class: RouteClass,
    /// The service level that the route is measured against.
    pub target: ServiceTarget,
    /// The counts, from the shortest window to the longest.
    pub windows: Vec<BurnWindow>,
}

/// The service-level burn of all routes, as one node or several saw it.
#[data]
#[derive(Default)]
pub struct BurnReport {
    /// The rows, ordered by route.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Adds the counts of other calls.
    pub fn merge(&mut self, other: &Self) {
        for row in &other.rows {
            match self.rows.binary_search_by(|r| r.route.cmp(&row.route)) {
                Ok(at) => merge_windows(&mut self.rows[at].windows, &row.windows),
                Err(at) => self.rows.insert(at, row.clone()),
            }
        }
    }

    /// The windows of all routes of one class, added up.
    #[must_use]
    pub fn of_class(&self, class: RouteClass) -> Vec<BurnWindow> {
        let mut sum = Vec::new();
        for row in self.rows.iter().filter(|row| row.class == class) {
            merge_windows(&mut sum, &row.windows);
        }
        sum
    }
}

/// Adds counts to the windows of the same length.
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
