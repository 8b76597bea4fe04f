//! The data folder of a control replica before the replica starts.

use trefoillock_core::{Error, Peer, Step};
use trefoillock_process::{ControlSettings, Settings};
use trefoillock_replica::{DataFolder, ReplicaHandle, ReplicaSettings};
use trefoillock_rpc::Token;

/// The settings of the replicated log for a control replica.
pub(crate) fn replica_settings(settings: &Settings, control: &ControlSettings) -> ReplicaSettings {
    let peers = control
        .replicas
        .iter()
        .map(|replica| (replica.id, replica.address));
    let token = settings
        .token
        .as_deref()
        .map_or_else(Token::none, Token::new);
    ReplicaSettings::new(SYSTEM, control.id, control.mesh, &control.data_folder)
        .peers(peers.collect())
        .token(token)
}

/// The name of the system in the data folders of its replicas.
const SYSTEM: &str = "trefoillock";

fn control_of(settings: &Settings) -> Result<&ControlSettings, Error> {
    let missing = "the settings have no role `control`, so there is no data folder";
    let peer = Peer::Platform("settings".to_owned());
    settings
        .control
        .as_ref()
        .ok_or_else(|| Error::new(Step::Settings, peer, missing))
}

/// Makes the empty data folder that of a first voter of a new system.
///
/// # Errors
///
/// Returns an error if the folder is not empty or cannot be written.
pub fn bootstrap(settings: &Settings) -> Result<(), Error> {
    ReplicaHandle::bootstrap(&replica_settings(settings, control_of(settings)?))
}

/// Makes the empty data folder that of a replica that waits to be added.
///
/// # Errors
///
/// Returns an error if the folder is not empty or cannot be written.
pub fn join(settings: &Settings) -> Result<(), Error> {
    ReplicaHandle::join(&replica_settings(settings, control_of(settings)?))
}

/// Checks that the data folder of a control replica can be opened.
///
/// # Errors
///
/// Returns an error if the folder is missing, foreign, damaged or in use.
pub fn check_data_folder(settings: &Settings) -> Result<(), Error> {
    let Some(control) = &settings.control else {
        return Ok(());
    };
    DataFolder::open(&control.data_folder, SYSTEM, control.id)?;
    Ok(())
}
