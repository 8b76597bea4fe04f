//! The demonstration: a whole system on loopback in one process, with faults on the way and
//! each promise checked.

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
