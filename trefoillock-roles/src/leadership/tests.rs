//! What a new leader hands out.

use std::sync::Arc;

use tokio::sync::watch;
use trefoillock_core::{Config, ConfigVersion, Edit, EditId, LogIndex, Tables, Timestamp};
use trefoillock_store::{Command, TableStore};

use super::read_after;

/// The configuration after an edit at an index of the log.
fn config(index: u64) -> Arc<Config> {
    let mut store = TableStore::new();
    let edit = Edit {
        id: EditId::try_from("edit").expect("a valid name"),
        base: ConfigVersion::ZERO,
        tables: Tables::default(),
        at: Timestamp::from_secs(1),
    };
    store.apply(LogIndex::new(index), Command::Edit(edit));
    Arc::new(store.config().as_ref().clone())
}

#[tokio::test]
async fn the_configuration_is_that_of_the_barrier_and_not_older() {
    let (tx, mut rx) = watch::channel(config(1));
    let barrier = async {
        tx.send_replace(config(9));
        true
    };
    let read = read_after(barrier, &mut rx).await.expect("a leader");
    assert_eq!(read.version(), ConfigVersion::new(9));
}

#[tokio::test]
async fn without_the_barrier_nothing_is_handed_out() {
    let (_tx, mut rx) = watch::channel(config(1));
    assert!(read_after(async { false }, &mut rx).await.is_none());
}
