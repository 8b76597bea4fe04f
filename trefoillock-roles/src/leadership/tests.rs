//! Tests that a new leader publishes no configuration older than the last acknowledged edit.

use std::sync::Arc;

use tokio::sync::watch;
use trefoillock_core::{Config, ConfigVersion, Edit, EditId, LogIndex, Tables, Timestamp};
use trefoillock_store::{Command, TableStore};

use super::{Unconfirmed, read_config_after};

/// Returns the configuration after an edit at the given log index.
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
async fn the_configuration_is_read_after_the_barrier() {
    let (tx, mut rx) = watch::channel(config(1));
    let barrier = async {
        tx.send_replace(config(9));
        Ok(())
    };
    let read = read_config_after(barrier, &mut rx).await.expect("a leader");
    assert_eq!(read.version(), ConfigVersion::new(9));
}

#[tokio::test]
async fn without_a_passed_barrier_there_is_no_configuration() {
    let (_tx, mut rx) = watch::channel(config(1));
    let barrier = async { Err(Unconfirmed::BarrierTimedOut) };
    let read = read_config_after(barrier, &mut rx).await;
    assert_eq!(read, Err(Unconfirmed::BarrierTimedOut));
}
