//! The events of the simulation.

use trefoillock_control::{DownMessage, UpMessage};

use super::Process;

/// An event at a point of virtual time. Connections are given by their index.
#[derive(Debug)]
pub(super) enum Event {
    /// A process runs its periodic work. The number is the incarnation of the process.
    Tick(Process, u64),
    /// A message from the child of a connection arrives at the parent.
    Up(usize, UpMessage),
    /// A message from the parent of a connection arrives at the child.
    Down(usize, DownMessage),
    /// The parent learns that a connection was closed.
    UpClosed(usize),
    /// The child learns that a connection was closed.
    DownClosed(usize),
}
