//! Tests of the time of an acknowledgement.

use std::{collections::BTreeMap, time::Duration};

use tokio::{sync::watch, time::Instant};
use trefoillock_control::{AckSummary, FleetStatus};
use trefoillock_core::ConfigVersion;

use super::{InForce, InForceGate};

const LIMIT: Duration = Duration::from_millis(400);
/// The time after which an operator sends a document again.
const RESEND_TIME: Duration = Duration::from_millis(150);

const fn version(number: u64) -> ConfigVersion {
    ConfigVersion::new(number)
}

/// A fleet of three nodes, of which `current` serve version 5 and the others version 4.
fn fleet(current: u32) -> FleetStatus {
    FleetStatus {
        is_leading: true,
        knows_fleet: true,
        newest: version(5),
        nodes: 3,
        current,
        versions: AckSummary {
            nodes: BTreeMap::from([(version(4), 3 - current), (version(5), current)]),
            slowest: Vec::new(),
        },
        ..FleetStatus::default()
    }
}

#[tokio::test(start_paused = true)]
async fn a_version_that_all_nodes_serve_is_in_force_at_once() {
    let (_tx, rx) = watch::channel(fleet(3));
    let gate = InForceGate::new(rx, LIMIT);
    let start = Instant::now();
    assert_eq!(gate.wait(start, version(5)).await, InForce::Everywhere);
    assert!(start.elapsed() < LIMIT);
}

#[tokio::test(start_paused = true)]
async fn an_acknowledgement_waits_for_the_last_node() {
    let (tx, rx) = watch::channel(fleet(2));
    let gate = InForceGate::new(rx, Duration::from_hours(1));
    let waiting = gate.wait(Instant::now(), version(5));
    let last_node = async {
        tokio::time::sleep(RESEND_TIME).await;
        tx.send_replace(fleet(3));
    };
    let (in_force, ()) = tokio::join!(waiting, last_node);
    assert_eq!(in_force, InForce::Everywhere);
}

#[tokio::test(start_paused = true)]
async fn a_resend_does_not_begin_another_wait_for_a_node_that_lags() {
    let (_tx, rx) = watch::channel(fleet(2));
    let gate = InForceGate::new(rx, LIMIT);
    let start = Instant::now();
    let first = tokio::time::timeout(RESEND_TIME, gate.wait(start, version(5)));
    assert!(first.await.is_err(), "acknowledged although a node lags");
    let resent = gate.wait(Instant::now(), version(5)).await;
    assert_eq!(resent, InForce::NotEverywhere);
    let waited = start.elapsed();
    assert!(waited >= LIMIT, "{waited:?}");
    assert!(waited < LIMIT + RESEND_TIME, "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_does_not_know_the_fleet_does_not_acknowledge_before_the_limit() {
    let unknown = FleetStatus {
        knows_fleet: false,
        ..fleet(3)
    };
    let (_tx, rx) = watch::channel(unknown);
    let gate = InForceGate::new(rx, LIMIT);
    let start = Instant::now();
    assert_eq!(gate.wait(start, version(5)).await, InForce::NotEverywhere);
    assert!(start.elapsed() >= LIMIT);
}
