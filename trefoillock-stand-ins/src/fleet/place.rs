//! Addresses, data centres and distances.

use std::{net::SocketAddr, time::Duration};

use trefoillock_core::{DataCentre, NodeId};

/// The one-way latency within a data centre.
const WITHIN_DATA_CENTRE: Duration = Duration::from_micros(200);
/// The one-way latency between data centres of a region.
const BETWEEN_DATA_CENTRES: Duration = Duration::from_micros(1_500);
/// The one-way latency between regions.
const BETWEEN_REGIONS: Duration = Duration::from_millis(35);
/// The data centres of the first region; the others form the second.
const FIRST_REGION: usize = 3;

/// Where a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The number of the data centre.
    pub data_centre: usize,
}

impl Place {
    /// The name of the data centre.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    #[must_use]
    pub fn name(self) -> DataCentre {
        let name = format!("dc-{}", self.data_centre);
        name.try_into().expect("a valid name")
    }

    /// The one-way latency to another place.
    #[must_use]
    pub const fn latency_to(self, other: Self) -> Duration {
        let is_same_region =
            (self.data_centre < FIRST_REGION) == (other.data_centre < FIRST_REGION);
        if self.data_centre == other.data_centre {
            WITHIN_DATA_CENTRE
        } else if is_same_region {
            BETWEEN_DATA_CENTRES
        } else {
            BETWEEN_REGIONS
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
/// Never: the name is valid.
#[must_use]
pub(super) fn node_name(at: usize) -> NodeId {
    format!("vm-{at:04}").try_into().expect("a valid name")
}
