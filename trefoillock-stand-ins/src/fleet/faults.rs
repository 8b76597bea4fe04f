//! Message loss, duplication and delay on the in-memory network.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The rates of message faults. They are harsher than on a TCP connection, where a loss or delay
/// also holds back later messages: each message is lost, duplicated or delayed independently.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    /// The percentage of messages that are lost.
    pub lost_percent: u32,
    /// The percentage of messages that are delivered twice.
    pub duplicated_percent: u32,
    /// The percentage of message copies that are delayed and may be overtaken by later messages.
    pub delayed_percent: u32,
    /// The maximum delay of a delayed copy.
    pub max_delay: Duration,
}

impl NetworkFaults {
    /// Draws the copies of a message to deliver: none if it is lost. `Some` is the extra delay of a
    /// copy, `None` means in order.
    pub(super) fn draw_copies(&self, rng: &mut Pcg64Mcg) -> Vec<Option<Duration>> {
        if self.lost_percent == 0 && self.duplicated_percent == 0 && self.delayed_percent == 0 {
            return vec![None];
        }
        if rng.random_range(0..100) < self.lost_percent {
            return Vec::new();
        }
        let copies = if rng.random_range(0..100) < self.duplicated_percent {
            2
        } else {
            1
        };
        (0..copies).map(|_| self.draw_delay(rng)).collect()
    }

    fn draw_delay(&self, rng: &mut Pcg64Mcg) -> Option<Duration> {
        let is_delayed = rng.random_range(0..100) < self.delayed_percent;
        let limit = u64::try_from(self.max_delay.as_micros()).unwrap_or(u64::MAX);
        is_delayed.then(|| Duration::from_micros(rng.random_range(0..=limit)))
    }
}
