//! The demonstration: runs a complete system on loopback in one process, moves two routes, injects
//! faults and checks each promise.

mod fleet;
mod load;
mod plan;
mod process;
mod report;
mod scenario;
mod watcher;

pub use plan::{Firm, Plan};
pub use report::{DemoReport, PromiseRow};
pub use scenario::run;
