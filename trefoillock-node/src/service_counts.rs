//! Counts of calls by outcome and by service level.

use trefoillock_core::{Outcome, RouteClass, RouteName, data};

/// The counts of calls of one route.
#[data(key)]
#[derive(Default)]
pub struct ServiceCounts {
    /// Calls with a complete response, without a server error, within the route's target latency.
    pub good: u64,
    /// All other calls.
    pub bad: u64,
    /// Calls with a complete response.
    pub answered: u64,
    /// Calls that did not run.
    pub did_not_run: u64,
    /// Calls that may have run.
    pub may_have_run: u64,
}

impl ServiceCounts {
    /// Counts one call.
    pub const fn record(&mut self, outcome: Outcome, is_good: bool) {
        if is_good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
        match outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::DidNotRun => self.did_not_run += 1,
            Outcome::MayHaveRun => self.may_have_run += 1,
        }
    }

    /// Adds the counts of other calls.
    pub const fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.answered += other.answered;
        self.did_not_run += other.did_not_run;
        self.may_have_run += other.may_have_run;
    }
}

/// The counts of one route, with the class of the route.
#[data]
pub struct RouteCounts {
    /// The name of the route.
    pub route: RouteName,
    /// The class of the route.
    pub class: RouteClass,
    /// The counts since the process started.
    pub counts: ServiceCounts,
}
