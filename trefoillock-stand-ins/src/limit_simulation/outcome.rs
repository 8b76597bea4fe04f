//! What one simulation has shown.

use std::fmt;

/// The counts of one simulation, and the bounds that it broke.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The seed of the simulation.
    pub seed: u64,
    /// The calls of callers.
    pub calls: u64,
    /// The calls that were answered.
    pub answered: u64,
    /// The sends to a destination node that were refused because of a limit on the rate.
    pub sent_in_vain: u64,
    /// The calls that an entry node refused by itself because no destination node would take them.
    pub refused_at_entries: u64,
    /// The calls that started at backend servers with a limit.
    pub started_limited: u64,
    /// The lowest share of its limit that a backend server got while nothing else happened; `None`
    /// if there was no such time.
    pub used: Option<f64>,
    /// The bounds that were broken.
    pub broken: Vec<String>,
}

impl Outcome {
    /// Adds the counts of another simulation.
    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.answered += other.answered;
        self.sent_in_vain += other.sent_in_vain;
        self.refused_at_entries += other.refused_at_entries;
        self.started_limited += other.started_limited;
        self.used = match (self.used, other.used) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
        let seed = other.seed;
        let broken = other.broken.iter();
        self.broken
            .extend(broken.map(|bound| format!("seed {seed}: {bound}")));
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} calls, {} answered, {} started at limited servers, {} sent in vain, {} refused at entries",
            self.calls,
            self.answered,
            self.started_limited,
            self.sent_in_vain,
            self.refused_at_entries
        )?;
        if let Some(used) = self.used {
            write!(f, ", at least {used:.2} of a limit used")?;
        }
        for broken in &self.broken {
            write!(f, "\n  {broken}")?;
        }
        Ok(())
    }
}
