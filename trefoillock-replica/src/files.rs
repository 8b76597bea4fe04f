//! The files in the data folder of a replica.

mod data_folder;
mod durable;
mod error;
mod log_file;
mod marker;
pub mod record;
mod state_file;

pub use data_folder::{DataFolder, new_disk_id};
pub use error::FolderError;
