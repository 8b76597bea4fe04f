//! Random draws from the distributions that the simulation needs.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The mean above which a Poisson draw is approximated by a normal distribution.
const LARGE_MEAN: f64 = 50.0;

/// Draws whether an event with this probability happens.
pub(crate) fn happens(rng: &mut Pcg64Mcg, probability: f64) -> bool {
    probability > 0.0 && rng.random::<f64>() < probability
}

/// Draws from the standard normal distribution, by the Box-Muller method.
pub(crate) fn normal(rng: &mut Pcg64Mcg) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Draws from the Poisson distribution with this mean.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn poisson(rng: &mut Pcg64Mcg, mean: f64) -> u32 {
    if mean > LARGE_MEAN {
        return (mean + mean.sqrt() * normal(rng)).round().max(0.0) as u32;
    }
    let limit = (-mean).exp();
    let mut product = rng.random::<f64>();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
