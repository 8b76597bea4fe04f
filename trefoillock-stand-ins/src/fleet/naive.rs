//! The naive version: the source pushes everything to each node on each change.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use trefoillock_control::{ConfigUpdate, Payload};
use trefoillock_core::Config;

use super::{Place, transport::LINK_BYTES_PER_SECOND};

/// The naive source of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct NaivePush {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of data centres.
    pub data_centres: usize,
}

/// What one change took.
#[derive(Debug, Clone)]
pub struct NaiveRun {
    /// The time from the change until each node holds it, in rising order.
    pub times: Vec<Duration>,
    /// Bytes that the source sent.
    pub source_bytes: u64,
    /// Bytes that each node received.
    pub node_bytes: u64,
    /// Processor time of the source.
    pub source_busy: Duration,
    /// Processor time of one node.
    pub node_busy: Duration,
}

impl NaivePush {
    /// Pushes a configuration, and other bytes besides, to every node.
    ///
    /// The source encodes the configuration for each node and sends over one link.
    #[must_use]
    pub fn push(&self, config: &Arc<Config>, other_bytes: usize) -> NaiveRun {
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
        let source = Place { data_centre: 0 };
        let mut times = Vec::with_capacity(self.nodes);
        let mut free = Duration::ZERO;
        for node in 0..self.nodes {
            free += encode.max(send);
            let place = Place {
                data_centre: node % self.data_centres,
            };
            times.push(free + source.latency_to(place) + node_busy);
        }
        times.sort_unstable();
        NaiveRun {
            times,
            source_bytes: bytes * self.nodes as u64,
            node_bytes: bytes,
            source_busy: encode * u32::try_from(self.nodes).unwrap_or(u32::MAX),
            node_busy,
        }
    }
}
