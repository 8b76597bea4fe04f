//! Intervals, timeouts and limits that are shared by the parts of the distribution.

use std::time::Duration;

/// The interval of a node's reports to its parent while nothing changes.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The shortest time between two reports when there is a change to report.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The time without a message after which a parent or a child is considered lost.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The lease of a node that its own parent has lost; the node must attach again within it.
pub const REATTACH_LEASE: Duration = Duration::from_millis(1_200);
/// The lease of a node below a lost relay; the node must attach again within it.
pub const ORPHAN_LEASE: Duration = Duration::from_millis(2_500);
/// The time after which an update that the child has not reported as held is sent again.
pub const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest time between two evidence batches of one sender.
pub const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);
/// The same if the batch contains failures of a new version.
pub const URGENT_EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time between two versions of the member list; changes within it are combined.
pub const MEMBERS_WINDOW: Duration = Duration::from_millis(100);
/// The time for which a new leader publishes no member list, unless no node of the fleet holds
/// one yet.
pub const LEADER_GRACE: Duration = Duration::from_millis(300);
/// The longest time for which a new leader waits for the backend servers in the lists that nodes
/// hold before it publishes its first member list.
pub const LEADER_GRACE_LIMIT: Duration = Duration::from_secs(4);
/// The time within which a parent must accept a child before the child tries another one as well.
pub const ATTACH_TIMEOUT: Duration = Duration::from_millis(400);
/// The time after which a child gives up an attempt to attach. It leaves room for the handshake and
/// the answer on a link on which packets wait for half a second.
pub const ATTEMPT_LIFETIME: Duration = Duration::from_secs(2);
/// The time for which a parent may search for a parent of its own before its children look for a
/// better one.
pub const PARENT_SEARCH_LIMIT: Duration = Duration::from_secs(1);
/// The time without a new confirmation of the leader after which a node probes for a better
/// parent.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(4);
/// The shortest time between two probes for a better parent while the present one still replies.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// The number of children up to which the leader assigns nodes to a relay.
pub const FAN_OUT: usize = 12;
/// The largest number of children that a relay accepts.
pub const MAX_CHILDREN: usize = 48;
/// The number of nodes of each data centre that attach directly to the leader.
pub const ROOTS_PER_DATA_CENTRE: usize = 3;
