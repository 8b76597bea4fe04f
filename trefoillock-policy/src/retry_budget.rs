//! A budget that limits retries to a share of the answered calls.

/// The deposit per answered call, in thousandths of a retry.
const DEPOSIT_MILLI: u32 = 100;
/// The cost of a retry, in thousandths of a retry.
const COST_MILLI: u32 = 1_000;
/// The default capacity, in thousandths of a retry.
const CAPACITY_MILLI: u32 = 20_000;
/// The default initial balance, in thousandths of a retry.
const INITIAL_MILLI: u32 = 5_000;

/// A token bucket filled by answered calls: one retry for every ten of them, plus a small initial
/// reserve.
///
/// When a whole pool fails, no call is answered, nothing is deposited and the retries stop.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance_milli: u32,
    capacity_milli: u32,
}

impl RetryBudget {
    /// Creates a budget with the default capacity and initial reserve.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            balance_milli: INITIAL_MILLI,
            capacity_milli: CAPACITY_MILLI,
        }
    }

    /// Creates a budget with a capacity of `burst` retries, a quarter of which is available at
    /// first.
    #[must_use]
    pub const fn with_burst(burst: u32) -> Self {
        let capacity_milli = burst.saturating_mul(COST_MILLI);
        Self {
            balance_milli: capacity_milli / 4,
            capacity_milli,
        }
    }

    /// Deposits for a call that was answered.
    pub fn deposit(&mut self) {
        self.balance_milli = (self.balance_milli + DEPOSIT_MILLI).min(self.capacity_milli);
    }

    /// Withdraws the cost of one retry. Returns false if the budget is too low.
    #[must_use]
    pub const fn withdraw(&mut self) -> bool {
        if self.balance_milli < COST_MILLI {
            return false;
        }
        self.balance_milli -= COST_MILLI;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
