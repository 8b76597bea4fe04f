//! Leases of announcements: expiry, rejected announcements and drains, and a property test against
//! a simple model.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use proptest::prelude::*;
use trefoillock_backend::{AnnounceError, Announcements, LEASE_DURATION, LoadReport};
use trefoillock_core::{
    Announcement, Incarnation, MemberState, ServiceName, Timestamp, VersionLabel,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn announcement(port: u16, incarnation: u64) -> Announcement {
    Announcement {
        address: address(port),
        service: ServiceName::try_from("treaty-desk").expect("a name"),
        version: VersionLabel::try_from("1").expect("a name"),
        incarnation: Incarnation::new(incarnation),
        slots: 9,
        connections: 120,
        state: MemberState::Up,
        instance: None,
    }
}

#[test]
fn a_lease_that_is_not_renewed_expires() {
    let start = Timestamp::from_secs(1);
    let mut leases = Announcements::new(LEASE_DURATION);
    assert_eq!(leases.announce(announcement(1, 1), start), Ok(true));
    let renewed = start + LEASE_DURATION / 2;
    assert_eq!(leases.announce(announcement(1, 1), renewed), Ok(false));
    assert!(!leases.expire(start + LEASE_DURATION));
    assert!(leases.expire(renewed + LEASE_DURATION));
    assert!(leases.list().is_empty());
}

#[test]
fn rejected_announcements_change_nothing() {
    let now = Timestamp::from_secs(1);
    let mut leases = Announcements::new(LEASE_DURATION);
    leases.announce(announcement(1, 5), now).expect("accepted");
    let held = leases.list();
    assert_eq!(
        leases.announce(announcement(1, 4), now),
        Err(AnnounceError::LowerIncarnation {
            offered: Incarnation::new(4),
            held: Incarnation::new(5),
        })
    );
    let mut other = announcement(1, 5);
    other.service = ServiceName::try_from("claims-hub").expect("a name");
    assert!(matches!(
        leases.announce(other, now),
        Err(AnnounceError::AddressClash { .. })
    ));
    let mut none = announcement(2, 1);
    none.slots = 0;
    assert_eq!(leases.announce(none, now), Err(AnnounceError::NoCapacity));
    assert_eq!(
        leases.drain(address(9)),
        Err(AnnounceError::Unknown(address(9)))
    );
    assert_eq!(leases.list(), held);
}

#[test]
fn a_drain_lasts_until_a_higher_incarnation() {
    let now = Timestamp::from_secs(1);
    let mut leases = Announcements::new(LEASE_DURATION);
    leases.announce(announcement(1, 1), now).expect("accepted");
    leases.drain(address(1)).expect("a held lease");
    assert_eq!(
        leases.announce(announcement(1, 1), now),
        Err(AnnounceError::DrainReverted(Incarnation::new(1)))
    );
    assert_eq!(leases.announce(announcement(1, 2), now), Ok(true));
    assert_eq!(leases.list()[0].state, MemberState::Up);
    leases
        .report_load(
            address(1),
            LoadReport {
                running: 3,
                waiting: 1,
            },
        )
        .expect("accepted");
    assert_eq!(leases.load(address(1)).map(|load| load.running), Some(3));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The list holds exactly the addresses whose last accepted announcement is younger than the
    /// lease duration.
    #[test]
    fn leases_agree_with_a_model(
        steps in prop::collection::vec((1_u16..4, 1_u64..4, 0_u64..1_500), 1..60),
    ) {
        let mut leases = Announcements::new(LEASE_DURATION);
        let mut model: BTreeMap<u16, (u64, Timestamp)> = BTreeMap::new();
        let mut now = Timestamp::from_secs(1);
        for (port, incarnation, pause) in steps {
            now = now + Duration::from_millis(pause);
            leases.expire(now);
            model.retain(|_, (_, at)| now < *at + LEASE_DURATION);
            let accepted = leases.announce(announcement(port, incarnation), now).is_ok();
            let held = model.get(&port).map_or(0, |(held, _)| *held);
            prop_assert_eq!(accepted, incarnation >= held);
            if accepted {
                model.insert(port, (incarnation, now));
            }
            let listed: Vec<_> = leases.list().iter().map(|a| a.address.port()).collect();
            let expected: Vec<_> = model.keys().copied().collect();
            prop_assert_eq!(listed, expected);
        }
    }
}
