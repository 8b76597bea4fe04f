//! The replicated tables: a state machine of edits, moves, rollouts and guards, and the
//! configuration derived from them.
//!
//! Every control replica applies the same [`Command`]s in the same order and therefore holds the
//! same [`TableStore`]. The package does no I/O; the daemon connects it to the replicated log
//! (`trefoillock-replica`).
//!
//! ```
//! use trefoillock_core::{ConfigVersion, Edit, EditId, LogIndex, Tables, Timestamp};
//! use trefoillock_store::{Command, TableStore};
//!
//! let mut store = TableStore::new();
//! let edit = Edit {
//!     id: EditId::try_from("first").expect("a valid name"),
//!     base: ConfigVersion::ZERO,
//!     tables: Tables::default(),
//!     at: Timestamp::from_secs(1),
//! };
//! store.apply(LogIndex::new(7), Command::Edit(edit));
//! assert_eq!(store.config().version(), ConfigVersion::new(7));
//! ```

mod command;
mod edits;
pub mod encoding;
mod encoding_error;
mod replacement;
mod table_store;

pub use command::{CancelAnswer, Command, CommandAnswer};
pub use encoding_error::EncodingError;
pub use replacement::{ConfigDocument, ReplaceAnswer, TablesReplacement};
pub use table_store::{RestoreError, TableStore};
