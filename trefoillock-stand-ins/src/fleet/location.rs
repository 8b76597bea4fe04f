//! Where processes run: their data centres, names and addresses, and the latency between them.

use std::{net::SocketAddr, time::Duration};

use trefoillock_core::{DataCentre, NodeId};

/// The one-way latency within a data centre.
const LATENCY_WITHIN_DATA_CENTRE: Duration = Duration::from_micros(200);
/// The one-way latency between data centres of a region.
const LATENCY_BETWEEN_DATA_CENTRES: Duration = Duration::from_micros(1_500);
/// The one-way latency between regions.
const LATENCY_BETWEEN_REGIONS: Duration = Duration::from_millis(35);
/// The number of data centres in the first region; the others form the second region.
const FIRST_REGION_DATA_CENTRES: usize = 3;

/// The location of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// The index of the data centre.
    pub data_centre: usize,
}

impl Location {
    /// The name of the data centre.
    ///
    /// # Panics
    ///
    /// Does not panic, because the name is valid.
    #[must_use]
    pub fn data_centre_name(self) -> DataCentre {
        let name = format!("dc-{}", self.data_centre);
        name.try_into().expect("a valid name")
    }

    /// The one-way latency to another location.
    #[must_use]
    pub const fn latency_to(self, other: Self) -> Duration {
        let is_same_region = (self.data_centre < FIRST_REGION_DATA_CENTRES)
            == (other.data_centre < FIRST_REGION_DATA_CENTRES);
        if self.data_centre == other.data_centre {
            LATENCY_WITHIN_DATA_CENTRE
        } else if is_same_region {
            LATENCY_BETWEEN_DATA_CENTRES
        } else {
            LATENCY_BETWEEN_REGIONS
        }
    }
}

/// The address of a control replica.
#[must_use]
pub(super) fn control_address(at: usize) -> SocketAddr {
    address(1, at)
}

/// The address of a node.
#[must_use]
pub(super) fn node_address(at: usize) -> SocketAddr {
    address(2, at)
}

fn address(net: u8, at: usize) -> SocketAddr {
    let [.., high, low] = at.to_be_bytes();
    SocketAddr::from(([10, net, high, low], 7_000))
}

/// The name of a node.
///
/// # Panics
///
/// Does not panic, because the name is valid.
#[must_use]
pub(super) fn node_name(at: usize) -> NodeId {
    format!("vm-{at:04}").try_into().expect("a valid name")
}
