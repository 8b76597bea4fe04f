//! Faults of the network.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// What happens to messages, in percent of them. Faults are harsher than on a TCP connection:
/// each message suffers alone.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Messages that are lost.
    pub lost: u32,
    /// Messages that arrive twice.
    pub doubled: u32,
    /// Messages that arrive later than those sent after them.
    pub delayed: u32,
    /// The longest delay.
    pub delay: Duration,
}

impl Faults {
    /// Draws the delays of the copies of a message that arrive.
    pub(super) fn draw(&self, rng: &mut Pcg64Mcg) -> Vec<Option<Duration>> {
        if self.lost == 0 && self.doubled == 0 && self.delayed == 0 {
            return vec![None];
        }
        if rng.random_range(0..100) < self.lost {
            return Vec::new();
        }
        let copies = if rng.random_range(0..100) < self.doubled {
            2
        } else {
            1
        };
        (0..copies).map(|_| self.draw_delay(rng)).collect()
    }

    fn draw_delay(&self, rng: &mut Pcg64Mcg) -> Option<Duration> {
        let is_delayed = rng.random_range(0..100) < self.delayed;
        let limit = u64::try_from(self.delay.as_micros()).unwrap_or(u64::MAX);
        is_delayed.then(|| Duration::from_micros(rng.random_range(0..=limit)))
    }
}
