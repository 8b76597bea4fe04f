//! Intervals and limits that the parts of the distribution share.

use std::time::Duration;

/// The time between two reports of a node to its parent.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The shortest time between two reports when there is something new to report.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The time without a message after which a parent or a child counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The time that a node has to attach again after its own parent lost it.
pub const REATTACH_LEASE: Duration = Duration::from_millis(1_200);
/// The time that a node has to attach again after a relay above it was lost.
pub const ORPHAN_LEASE: Duration = Duration::from_millis(2_500);
/// The time after which an update that was not confirmed is sent again.
pub const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two batches of evidence of one sender.
pub const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);
/// The time over which changes of the list of members are gathered into one version.
pub const MEMBERS_WINDOW: Duration = Duration::from_millis(100);
/// The time for which a new leader publishes no list of members.
pub const LEADER_GRACE: Duration = Duration::from_millis(300);
/// The longest time for which a new leader waits for nodes that others know of.
pub const LEADER_GRACE_LIMIT: Duration = Duration::from_secs(4);
/// The time within which a parent must accept a child.
pub const ATTACH_TIMEOUT: Duration = Duration::from_millis(600);
/// The time without a confirmation of the leader after which a node looks for another parent.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(4);
/// The time between two searches for another parent while the present one still answers.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// The number of children that the leader gives to a relay.
pub const FAN_OUT: usize = 12;
/// The number of children that a relay takes at most.
pub const MAX_CHILDREN: usize = 48;
/// The number of nodes of each data centre that attach to the leader itself.
pub const ROOTS_PER_DATA_CENTRE: usize = 3;
