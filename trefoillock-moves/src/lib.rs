//! Decisions on moves: the pace of a move and the judge of versions.
//!
//! This package stands above `trefoillock-core`. It is pure: evidence and the present time go
//! in, steps of moves come out. The leader of the control replicas holds a [`MoveController`];
//! every node holds a [`LocalJudge`]. The method and its assumptions are described in
//! `docs/MOVES.md`.
//!
//! ```
//! use trefoillock_core::{Members, Tables, Timestamp};
//! use trefoillock_moves::{MoveController, NodeReport};
//!
//! let mut controller = MoveController::new();
//! let report = NodeReport { nodes_reporting: 3, nodes_expected: 3 };
//! let steps = controller.decide(Timestamp::EPOCH, &[], &Tables::default(), &Members::default(), report);
//! assert!(steps.is_empty());
//! ```

mod baseline;
mod comparison;
mod controller;
mod evidence_test;
mod judge;
mod local_judge;
mod mixture;
mod node_report;
mod plan;
mod pool_judge;
mod rollout_controller;
mod sample;
mod scene;
mod servers;
mod siblings;
mod track;

pub use comparison::Comparison;
pub use controller::MoveController;
pub use local_judge::{CallResult, LocalJudge};
pub use node_report::NodeReport;
pub use rollout_controller::RolloutController;
pub use sample::Sample;
