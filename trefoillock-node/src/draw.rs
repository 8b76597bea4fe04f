//! Random draws at the edge of a process.

/// A uniformly drawn number.
#[must_use]
pub fn draw() -> u32 {
    rand::random()
}
