//! Prepares the data folder of a control replica and determines the identity of the replica.
//!
//! Operators either choose the identity and prepare the folder with [`init_voter_folder`] or
//! [`init_joining_folder`] ([`BootstrapMode::Manual`]), or the replica does both at its start
//! ([`BootstrapMode::FromSeeds`]).

use std::net::{IpAddr, SocketAddr};

use trefoillock_core::{Error, Peer, ReplicaId, Step};
use trefoillock_process::{BootstrapMode, ControlSettings, Settings};
use trefoillock_replica::{DataFolder, ReplicaHandle, ReplicaSettings};
use trefoillock_rpc::Token;

/// The system name that is stored in the data folder and checked when it is opened.
pub(crate) const SYSTEM_NAME: &str = "trefoillock";
/// The bit that is set in random identities and clear in the identities of first voters, which are
/// derived from their addresses.
const RANDOM_ID_BIT: u64 = 1 << 63;

/// Returns the settings of the replicated log, with the identity of the replica.
///
/// With [`BootstrapMode::Manual`] the identity is the one in the settings. With
/// [`BootstrapMode::FromSeeds`] it is the one in the data folder; an unused folder is initialized
/// for a first voter if the system starts for the first time and this replica is a seed, and for a
/// new replica with a random identity otherwise.
pub(crate) fn replica_settings(
    settings: &Settings,
    control: &ControlSettings,
) -> Result<ReplicaSettings, Error> {
    match &control.bootstrap {
        BootstrapMode::Manual { id, replicas } => {
            let peers = replicas.iter().map(|replica| (replica.id, replica.address));
            Ok(replica_settings_with_id(settings, control, *id).peers(peers.collect()))
        }
        BootstrapMode::FromSeeds {
            seeds,
            is_first_start,
            ..
        } => {
            let folder = &control.data_folder;
            if let Some(id) = DataFolder::replica_id(folder, SYSTEM_NAME)? {
                return Ok(replica_settings_with_id(settings, control, id));
            }
            // A folder without a replica identity was never used by a replica, so its files can be
            // deleted.
            DataFolder::delete_files(folder)?;
            if *is_first_start && seeds.contains(&control.mesh) {
                let peers = seeds.iter().map(|seed| (first_voter_id(*seed), *seed));
                let own_id = first_voter_id(control.mesh);
                let replica =
                    replica_settings_with_id(settings, control, own_id).peers(peers.collect());
                ReplicaHandle::init_voter_folder(&replica)?;
                return Ok(replica);
            }
            let random_id = ReplicaId::new(rand::random::<u64>() | RANDOM_ID_BIT);
            let replica = replica_settings_with_id(settings, control, random_id);
            ReplicaHandle::init_joining_folder(&replica)?;
            Ok(replica)
        }
    }
}

/// Derives the identity of a first voter from its address, so that all seeds compute the same
/// identities without communicating.
fn first_voter_id(address: SocketAddr) -> ReplicaId {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => u64::from_be_bytes(
            ip.octets()[8..]
                .try_into()
                .expect("the second half of 16 bytes"),
        ),
    };
    ReplicaId::new(((ip << 16) | u64::from(address.port())) & !RANDOM_ID_BIT)
}

fn replica_settings_with_id(
    settings: &Settings,
    control: &ControlSettings,
    id: ReplicaId,
) -> ReplicaSettings {
    let token = settings
        .token
        .as_deref()
        .map_or_else(Token::none, Token::new);
    ReplicaSettings::new(SYSTEM_NAME, id, control.mesh, &control.data_folder).token(token)
}

fn control_settings(settings: &Settings) -> Result<&ControlSettings, Error> {
    let missing = "the settings do not configure the role `control`, so there is no data folder";
    let peer = Peer::Platform("settings".to_owned());
    settings
        .control
        .as_ref()
        .ok_or_else(|| Error::new(Step::Settings, peer, missing))
}

/// Initializes an empty data folder for a first voter of a new system.
///
/// # Errors
///
/// Returns an error if the folder is not empty or cannot be written.
pub fn init_voter_folder(settings: &Settings) -> Result<(), Error> {
    ReplicaHandle::init_voter_folder(&replica_settings(settings, control_settings(settings)?)?)
}

/// Initializes an empty data folder for a replica that operators add to a running system.
///
/// # Errors
///
/// Returns an error if the folder is not empty or cannot be written.
pub fn init_joining_folder(settings: &Settings) -> Result<(), Error> {
    ReplicaHandle::init_joining_folder(&replica_settings(settings, control_settings(settings)?)?)
}

/// Checks that the data folder of a control replica can be opened.
///
/// Without a control role there is nothing to check, and with [`BootstrapMode::FromSeeds`] the
/// folder is initialized when the replica starts.
///
/// # Errors
///
/// Returns an error if the folder is missing, belongs to another replica or system, is damaged or
/// is in use.
pub fn check_data_folder(settings: &Settings) -> Result<(), Error> {
    let Some(control) = &settings.control else {
        return Ok(());
    };
    if let BootstrapMode::Manual { id, .. } = control.bootstrap {
        DataFolder::open(&control.data_folder, SYSTEM_NAME, id)?;
    }
    Ok(())
}
