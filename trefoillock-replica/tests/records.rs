//! A damaged record is never decoded as a different record.

use proptest::prelude::*;
use trefoillock_replica::record::{decode, encode, proves_synced};

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn record(synced: u64, payload: &[u8]) -> Vec<u8> {
    let mut buf = Vec::new();
    encode(&mut buf, synced, payload).expect("a small record");
    buf
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_record_round_trips(
        synced: u64,
        payload in prop::collection::vec(any::<u8>(), 0..200),
        rest in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let mut buf = record(synced, &payload);
        let length = buf.len();
        buf.extend(rest);
        let read = decode(&buf).expect("an intact record");
        prop_assert_eq!(read.synced_length, synced);
        prop_assert_eq!(read.payload, &payload[..]);
        prop_assert_eq!(read.length, length);
    }

    #[test]
    fn a_damaged_record_is_never_read_as_another(
        synced: u64,
        payload in prop::collection::vec(any::<u8>(), 0..200),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut: prop::sample::Index,
    ) {
        let intact = record(synced, &payload);
        let mut buf = intact.clone();
        for (at, byte) in damage {
            let at = at.index(buf.len());
            buf[at] = byte;
        }
        buf.truncate(cut.index(buf.len() + 1));
        if let Ok(read) = decode(&buf) {
            prop_assert_eq!(&buf, &intact);
            prop_assert_eq!((read.synced_length, read.payload), (synced, &payload[..]));
        }
    }

    #[test]
    fn arbitrary_bytes_are_read_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        offset in 0_usize..400,
    ) {
        let _ = decode(&bytes);
        let _ = proves_synced(&bytes, offset);
    }

    #[test]
    fn a_wrong_length_is_refused(length: u32, payload in prop::collection::vec(any::<u8>(), 0..50)) {
        let intact = record(0, &payload);
        let mut buf = intact.clone();
        buf[4..8].copy_from_slice(&length.to_le_bytes());
        prop_assert_eq!(decode(&buf).is_ok(), buf == intact);
    }
}
