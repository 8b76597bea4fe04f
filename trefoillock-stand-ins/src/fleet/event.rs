//! Events of the in-memory network.

use trefoillock_control::{DownMessage, UpMessage};

use super::Process;

/// Something that happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    /// A process looks at what is due.
    Tick(Process, u64),
    /// A message of a child arrives, by connection.
    Up(usize, UpMessage),
    /// A message of a parent arrives, by connection.
    Down(usize, DownMessage),
    /// The parent sees the end of a connection.
    UpClosed(usize),
    /// The child sees the end of a connection.
    DownClosed(usize),
}
