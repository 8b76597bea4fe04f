//! A model of the naive baseline: on each change, one process, the source, pushes the whole
//! configuration to each node.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use trefoillock_control::{ConfigUpdate, Payload};
use trefoillock_core::Config;

use super::{Location, transport::LINK_BYTES_PER_SECOND};

/// The size of a fleet that gets its configuration from one naive source.
#[derive(Debug, Clone, Copy)]
pub struct NaivePush {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of data centres.
    pub data_centres: usize,
}

/// The cost of one naive push to all nodes.
#[derive(Debug, Clone)]
pub struct NaivePushCost {
    /// The time from the change until each node holds it, in ascending order.
    pub times: Vec<Duration>,
    /// The number of bytes that the source sent.
    pub source_bytes: u64,
    /// The number of bytes that each node received.
    pub node_bytes: u64,
    /// The processor time of the source.
    pub source_busy: Duration,
    /// The processor time of one node.
    pub node_busy: Duration,
}

impl NaivePush {
    /// Computes the cost of pushing a configuration and `other_bytes` more to every node.
    ///
    /// The source encodes the configuration anew for each node and sends all of them over one link.
    #[must_use]
    pub fn push(&self, config: &Arc<Config>, other_bytes: usize) -> NaivePushCost {
        let start = Instant::now();
        let update = ConfigUpdate::Snapshot(config.as_ref().clone());
        let payload = Payload::encode(&update);
        let encode = start.elapsed();
        let start = Instant::now();
        let decoded = payload.decode::<ConfigUpdate>();
        let node_busy = start.elapsed();
        debug_assert!(decoded.is_some());
        let bytes = (payload.len() + other_bytes) as u64;
        let send = Duration::from_micros(bytes * 1_000_000 / LINK_BYTES_PER_SECOND);
        let source = Location { data_centre: 0 };
        let mut times = Vec::with_capacity(self.nodes);
        let mut free = Duration::ZERO;
        for node in 0..self.nodes {
            free += encode.max(send);
            let location = Location {
                data_centre: node % self.data_centres,
            };
            times.push(free + source.latency_to(location) + node_busy);
        }
        times.sort_unstable();
        NaivePushCost {
            times,
            source_bytes: bytes * self.nodes as u64,
            node_bytes: bytes,
            source_busy: encode * u32::try_from(self.nodes).unwrap_or(u32::MAX),
            node_busy,
        }
    }
}
