//! The data folder of a control replica before the replica starts.

use std::net::{IpAddr, SocketAddr};

use trefoillock_core::{Error, Peer, ReplicaId, Step};
use trefoillock_process::{ControlSettings, Founding, Settings};
use trefoillock_replica::{DataFolder, ReplicaHandle, ReplicaSettings};
use trefoillock_rpc::Token;

/// The name of the system in the data folders of its replicas.
pub(crate) const SYSTEM: &str = "trefoillock";
/// The bit that tells drawn identities from those of first voters, which follow from addresses.
const DRAWN: u64 = 1 << 63;

/// The settings of the replicated log, with the identity that the data folder holds.
///
/// With [`Founding::BySeeds`] an unused folder is made that of a first voter, if the system
/// starts for the first time and this replica is a seed, and that of a new replica otherwise.
pub(crate) fn replica_settings(
    settings: &Settings,
    control: &ControlSettings,
) -> Result<ReplicaSettings, Error> {
    match &control.founding {
        Founding::ByOperators { id, replicas } => {
            let peers = replicas.iter().map(|replica| (replica.id, replica.address));
            Ok(log_settings(settings, control, *id).peers(peers.collect()))
        }
        Founding::BySeeds {
            seeds,
            is_first_start,
            ..
        } => {
            let folder = &control.data_folder;
            if let Some(id) = DataFolder::owner(folder, SYSTEM)? {
                return Ok(log_settings(settings, control, id));
            }
            // What stands in a folder without an owner was never in use.
            DataFolder::discard(folder)?;
            if *is_first_start && seeds.contains(&control.mesh) {
                let peers = seeds.iter().map(|seed| (founder_id(*seed), *seed));
                let own = founder_id(control.mesh);
                let replica = log_settings(settings, control, own).peers(peers.collect());
                ReplicaHandle::bootstrap(&replica)?;
                return Ok(replica);
            }
            let drawn = ReplicaId::new(rand::random::<u64>() | DRAWN);
            let replica = log_settings(settings, control, drawn);
            ReplicaHandle::join(&replica)?;
            Ok(replica)
        }
    }
}

/// The identity of a first voter, which all seeds must agree on.
fn founder_id(address: SocketAddr) -> ReplicaId {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => u64::from_be_bytes(
            ip.octets()[8..]
                .try_into()
                .expect("the second half of 16 bytes"),
        ),
    };
    ReplicaId::new(((ip << 16) | u64::from(address.port())) & !DRAWN)
}

fn log_settings(settings: &Settings, control: &ControlSettings, id: ReplicaId) -> ReplicaSettings {
    let token = settings
        .token
        .as_deref()
        .map_or_else(Token::none, Token::new);
    ReplicaSettings::new(SYSTEM, id, control.mesh, &control.data_folder).token(token)
}

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
    ReplicaHandle::bootstrap(&replica_settings(settings, control_of(settings)?)?)
}

/// Makes the empty data folder that of a replica that waits to be added.
///
/// # Errors
///
/// Returns an error if the folder is not empty or cannot be written.
pub fn join(settings: &Settings) -> Result<(), Error> {
    ReplicaHandle::join(&replica_settings(settings, control_of(settings)?)?)
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
    if let Founding::ByOperators { id, .. } = control.founding {
        DataFolder::open(&control.data_folder, SYSTEM, id)?;
    }
    Ok(())
}
