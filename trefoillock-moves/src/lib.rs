//! Decisions on moves and rollouts: when to raise the share of a new version and when to take it
//! back.
//!
//! The package builds on `trefoillock-core` and does no I/O: evidence and the current time go in,
//! steps come out. The leader of the control replicas holds a [`MoveController`] and a
//! [`RolloutController`]; every node holds a [`LocalAnalysis`]. The statistical method and its
//! assumptions are described in `docs/MOVES.md`.
//!
//! ```
//! use trefoillock_core::{Members, Tables, Timestamp};
//! use trefoillock_moves::{EvidenceCoverage, MoveController};
//!
//! let mut controller = MoveController::new();
//! let coverage = EvidenceCoverage { nodes_reporting: 3, nodes_expected: 3 };
//! let steps = controller.decide(Timestamp::EPOCH, &[], &Tables::default(), &Members::default(), coverage);
//! assert!(steps.is_empty());
//! ```

mod baseline;
mod combined_test;
mod comparison;
mod controller;
mod decision;
mod evidence_coverage;
mod local_analysis;
mod mixture;
mod move_tracker;
mod pool_analysis;
mod rollout_controller;
mod rollout_judgement;
mod rollout_plan;
mod rollout_tracker;
mod sample;
mod schedule;
mod servers;
mod siblings;
mod version_analysis;

pub use comparison::Comparison;
pub use controller::MoveController;
pub use evidence_coverage::EvidenceCoverage;
pub use local_analysis::{LocalAnalysis, MoveCallResult};
pub use rollout_controller::{RolloutCalls, RolloutController};
pub use sample::Sample;
