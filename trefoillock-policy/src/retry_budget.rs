//! The budget that bounds retries to a share of the calls.

/// Thousandths of a retry that one successful call pays in.
const DEPOSIT_MILLI: u32 = 100;
/// Thousandths of a retry that one retry costs.
const COST_MILLI: u32 = 1_000;
/// The most that the budget holds, in thousandths of a retry.
const CAPACITY_MILLI: u32 = 20_000;
/// What the budget holds at first, in thousandths of a retry.
const INITIAL_MILLI: u32 = 5_000;

/// A token bucket that successful calls fill: at most one retry for ten of them, and a small
/// reserve.
///
/// When a pool fails as a whole, nothing is paid in and the retries stop.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    milli: u32,
    capacity: u32,
}

impl RetryBudget {
    /// Creates a budget that holds a small reserve.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            milli: INITIAL_MILLI,
            capacity: CAPACITY_MILLI,
        }
    }

    /// Creates a budget that holds `burst` retries at most, and a quarter of them at first.
    #[must_use]
    pub const fn with_burst(burst: u32) -> Self {
        let capacity = burst.saturating_mul(COST_MILLI);
        Self {
            milli: capacity / 4,
            capacity,
        }
    }

    /// Pays in for a call that was answered.
    pub fn deposit(&mut self) {
        self.milli = (self.milli + DEPOSIT_MILLI).min(self.capacity);
    }

    /// Takes the cost of one retry, if the budget holds it.
    #[must_use]
    pub const fn withdraw(&mut self) -> bool {
        if self.milli < COST_MILLI {
            return false;
        }
        self.milli -= COST_MILLI;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
