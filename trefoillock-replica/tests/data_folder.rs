//! Data folders that are torn, damaged, missing, in use or belong to another replica.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

use tempfile::TempDir;
use trefoillock_core::{LogIndex, ReplicaId, Term};
use trefoillock_replica::{
    Content, DataFolder, DiskId, Entry, FolderError, HardState, Membership, Payload, Position,
    RecoveredState, ReplicaIdentity, Snapshot, Write,
};

const SYSTEM: &str = "test";
const ID: ReplicaId = ReplicaId::new(1);

fn entry(term: u64, index: u64) -> Entry {
    let command = Payload::from(format!("command {term} {index}").into_bytes());
    let position = Position::new(Term::new(term), LogIndex::new(index));
    Entry::new(position, Content::Command(command))
}

fn entries(term: u64, indexes: std::ops::RangeInclusive<u64>) -> Vec<Entry> {
    indexes.map(|index| entry(term, index)).collect()
}

fn hard_state(term: u64) -> HardState {
    HardState {
        term: Term::new(term),
        voted_for: Some(ID),
        led: Term::ZERO,
    }
}

/// Creates a folder with two synced batches of entries.
fn folder_with_entries() -> (TempDir, PathBuf) {
    let root = tempfile::tempdir().expect("a folder");
    let path = root.path().join("data");
    let identity = ReplicaIdentity {
        id: ID,
        disk: DiskId::new(77),
    };
    DataFolder::init_voter(&path, SYSTEM, identity, Membership::default())
        .expect("an initialized folder");
    let (mut data, _) = open(&path).expect("an intact folder");
    let first = [
        Write::HardState(hard_state(3)),
        Write::Entries(entries(3, 1..=5)),
    ];
    data.write(&first).expect("written");
    let second = [Write::Entries(entries(3, 6..=8))];
    data.write(&second).expect("written");
    (root, path)
}

fn open(path: &Path) -> Result<(DataFolder, RecoveredState), FolderError> {
    DataFolder::open(path, SYSTEM, ID)
}

fn files(path: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let files = fs::read_dir(path).expect("a folder");
    let paths = files.map(|file| file.expect("a file").path());
    let content = |path: PathBuf| (path.clone(), fs::read(path).expect("bytes"));
    paths.map(content).collect()
}

/// Opens a folder that must be refused, and checks that its files are unchanged.
fn expect_refused(path: &Path) -> FolderError {
    let before = files(path);
    let error = open(path).map(|(_, recovered)| recovered);
    assert_eq!(files(path), before);
    error.expect_err("a damaged folder")
}

fn flip_bit(path: &Path, at: usize) -> Vec<u8> {
    let before = fs::read(path).expect("bytes");
    let mut bytes = before.clone();
    bytes[at] ^= 0x40;
    fs::write(path, bytes).expect("written");
    before
}

#[test]
fn written_state_is_recovered() {
    let (_root, path) = folder_with_entries();
    let (mut data, recovered) = open(&path).expect("an intact folder");
    assert_eq!(recovered.hard_state, hard_state(3));
    assert_eq!(recovered.entries, entries(3, 1..=8));
    data.write(&[Write::Entries(entries(4, 7..=7))])
        .expect("written");
    drop(data);
    let (_, recovered) = open(&path).expect("an intact folder");
    let replaced: Vec<Entry> = [entries(3, 1..=6), entries(4, 7..=7)].concat();
    assert_eq!(recovered.entries, replaced);
}

#[test]
fn a_log_truncated_within_its_tail_loses_only_truncated_records() {
    let (_root, path) = folder_with_entries();
    let log = path.join("log");
    let whole = fs::read(&log).expect("bytes");
    let ends: Vec<usize> = (1..=whole.len())
        .filter(|&end| whole[end..].starts_with(b"TLR1") || end == whole.len())
        .collect();
    for tail in [Tail::Cut, Tail::Zeros, Tail::Noise] {
        for cut in ends[5]..whole.len() {
            let mut bytes = whole[..cut].to_vec();
            bytes.extend(tail.bytes(whole.len() - cut));
            fs::write(&log, bytes).expect("written");
            let (mut data, recovered) = open(&path).expect("a torn tail");
            let intact = ends[1..].iter().filter(|&&end| end <= cut).count();
            assert_eq!(
                recovered.entries,
                entries(3, 1..=intact as u64),
                "cut at {cut}"
            );
            let next = entries(4, intact as u64 + 1..=intact as u64 + 1);
            data.write(&[Write::Entries(next.clone())])
                .expect("written");
            drop(data);
            let (_, recovered) = open(&path).expect("an intact folder");
            assert_eq!(recovered.entries.last(), next.last());
        }
    }
}

#[derive(Clone, Copy)]
enum Tail {
    Cut,
    Zeros,
    Noise,
}

impl Tail {
    fn bytes(self, count: usize) -> Vec<u8> {
        match self {
            Self::Cut => Vec::new(),
            Self::Zeros => vec![0; count],
            Self::Noise => vec![0xA5; count],
        }
    }
}

#[test]
fn damage_before_the_last_sync_is_refused_with_its_offset() {
    let (_root, path) = folder_with_entries();
    let log = path.join("log");
    let whole = fs::read(&log).expect("bytes");
    let starts: Vec<usize> = (0..whole.len())
        .filter(|&at| whole[at..].starts_with(b"TLR1"))
        .collect();
    for at in 0..starts[6] {
        let before = flip_bit(&log, at);
        let record = starts.iter().rev().find(|&&start| start <= at);
        match expect_refused(&path) {
            FolderError::Damaged { path, offset, .. } => {
                assert_eq!(path, log);
                assert_eq!(Some(&usize::try_from(offset).expect("small")), record);
            }
            error => panic!("{error}"),
        }
        fs::write(&log, before).expect("written");
    }
    open(&path).expect("an intact folder");
}

#[test]
fn damage_of_any_byte_of_the_other_files_is_refused() {
    let (_root, path) = folder_with_entries();
    for name in ["identity", "hard-state", "snapshot"] {
        let file = path.join(name);
        for at in 0..fs::read(&file).expect("bytes").len() {
            let before = flip_bit(&file, at);
            let error = expect_refused(&path).to_string();
            assert!(error.contains(name), "{error}");
            fs::write(&file, &before).expect("written");
            fs::write(&file, &before[..at]).expect("written");
            let error = expect_refused(&path).to_string();
            assert!(error.contains(name), "{error}");
            fs::write(&file, before).expect("written");
        }
    }
    for name in ["hard-state", "snapshot", "log"] {
        let before = fs::read(path.join(name)).expect("bytes");
        fs::remove_file(path.join(name)).expect("removed");
        let error = expect_refused(&path).to_string();
        assert!(error.contains(name) && error.contains("missing"), "{error}");
        fs::write(path.join(name), before).expect("written");
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        position: Position::new(Term::new(3), LogIndex::new(index)),
        members: Membership::default(),
        data: Payload::from(b"state".as_slice()),
    }
}

fn compaction(index: u64, base: u64) -> Write {
    Write::Snapshot {
        snapshot: Arc::new(snapshot(index)),
        base: Position::new(Term::new(3), LogIndex::new(base)),
        entries: entries(3, base + 1..=8),
    }
}

#[test]
fn damage_of_any_byte_of_a_compacted_log_is_refused() {
    let (_root, path) = folder_with_entries();
    let (mut data, _) = open(&path).expect("an intact folder");
    data.write(&[compaction(6, 4)]).expect("written");
    drop(data);
    let (data, recovered) = open(&path).expect("an intact folder");
    drop(data);
    assert_eq!(recovered.snapshot, snapshot(6));
    assert_eq!(recovered.base.index, LogIndex::new(4));
    assert_eq!(recovered.entries, entries(3, 5..=8));
    let log = path.join("log");
    for at in 0..fs::read(&log).expect("bytes").len() {
        let before = flip_bit(&log, at);
        assert!(matches!(expect_refused(&path), FolderError::Damaged { .. }));
        fs::write(&log, &before[..at]).expect("written");
        assert!(matches!(expect_refused(&path), FolderError::Damaged { .. }));
        fs::write(&log, before).expect("written");
    }
}

#[test]
fn a_crash_between_snapshot_and_log_loses_nothing() {
    let (_root, path) = folder_with_entries();
    let old_log = fs::read(path.join("log")).expect("bytes");
    let (mut data, _) = open(&path).expect("an intact folder");
    data.write(&[compaction(6, 6)]).expect("written");
    drop(data);
    fs::write(path.join("log"), &old_log).expect("written");
    fs::write(path.join("log.tmp"), b"half").expect("written");
    let (mut data, recovered) = open(&path).expect("an intact folder");
    assert_eq!(recovered.entries, entries(3, 1..=8));
    // A snapshot from the leader that is newer than the log replaces the log.
    let write = Write::Snapshot {
        snapshot: Arc::new(snapshot(20)),
        base: snapshot(20).position,
        entries: Vec::new(),
    };
    data.write(&[write]).expect("written");
    drop(data);
    fs::write(path.join("log"), &old_log).expect("written");
    let (_, recovered) = open(&path).expect("an intact folder");
    assert_eq!(recovered.base, snapshot(20).position);
    assert_eq!(recovered.entries, []);
}

#[test]
fn a_log_that_starts_after_the_snapshot_is_refused() {
    let (_root, path) = folder_with_entries();
    let old = fs::read(path.join("snapshot")).expect("bytes");
    let (mut data, _) = open(&path).expect("an intact folder");
    data.write(&[compaction(6, 6)]).expect("written");
    drop(data);
    fs::write(path.join("snapshot"), old).expect("written");
    assert!(matches!(expect_refused(&path), FolderError::Damaged { .. }));
}

#[test]
fn missing_and_foreign_folders_are_refused() {
    let (root, path) = folder_with_entries();
    let none = root.path().join("none");
    assert!(matches!(open(&none), Err(FolderError::Missing { .. })));
    assert!(!none.exists());
    let other = DataFolder::open(&path, "other", ID);
    assert!(matches!(other, Err(FolderError::Foreign { .. })));
    let other = DataFolder::open(&path, SYSTEM, ReplicaId::new(2));
    assert!(matches!(other, Err(FolderError::Foreign { .. })));
    let identity = ReplicaIdentity {
        id: ID,
        disk: DiskId::new(1),
    };
    let again = DataFolder::init_joining(&path, SYSTEM, identity);
    assert!(matches!(again, Err(FolderError::NotEmpty { .. })));
    let again = DataFolder::init_voter(&path, SYSTEM, identity, Membership::default());
    assert!(matches!(again, Err(FolderError::NotEmpty { .. })));
    // A log that belongs to another disk is refused.
    DataFolder::init_joining(&none, SYSTEM, identity).expect("an empty folder");
    fs::copy(none.join("log"), path.join("log")).expect("copied");
    assert!(matches!(expect_refused(&path), FolderError::Damaged { .. }));
    fs::remove_file(path.join("identity")).expect("removed");
    assert!(matches!(expect_refused(&path), FolderError::Missing { .. }));
}

#[test]
fn nothing_is_written_after_a_failed_write() {
    let (_root, path) = folder_with_entries();
    let (mut data, _) = open(&path).expect("an intact folder");
    fs::rename(&path, path.with_extension("away")).expect("renamed");
    let failed = data.write(&[Write::HardState(hard_state(4))]);
    assert!(matches!(failed, Err(FolderError::Io { .. })));
    fs::rename(path.with_extension("away"), &path).expect("renamed");
    let again = data.write(&[Write::HardState(hard_state(4))]);
    assert!(matches!(again, Err(FolderError::Poisoned)));
}

#[test]
fn a_folder_in_use_is_refused() {
    let (_root, path) = folder_with_entries();
    let first = open(&path).expect("an intact folder");
    assert!(matches!(open(&path), Err(FolderError::InUse { .. })));
    drop(first);
    open(&path).expect("a free folder");
}
