//! The validated settings of a daemon.
//!
//! A settings file is JSON. The first rule that it breaks is reported with the file and the place.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use log::LevelFilter;
use trefoillock_core::{DataCentre, NodeId, QuotaBound, Region, ReplicaId, RolloutLimits, Share};

use crate::{
    CallSettings, LogFormat, StopSettings,
    raw_settings::{
        RawControl, RawLog, RawNode, RawQuotaBound, RawReplica, RawRolloutLimits, RawSettings,
    },
    read_secret,
};

/// The largest number of control replicas.
const MAX_REPLICAS: usize = 7;

/// The first rule that a settings file breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    file: PathBuf,
    place: String,
    rule: String,
}

impl SettingsError {
    fn new(file: &Path, place: impl Into<String>, rule: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            place: place.into(),
            rule: rule.into(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file.display(), self.place, self.rule)
    }
}

impl std::error::Error for SettingsError {}

/// How the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of the lines.
    pub format: LogFormat,
    /// The lowest severity that is written.
    pub level: LevelFilter,
}

/// The settings of the node role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// The listening address for callers.
    pub callers: SocketAddr,
    /// The listening address for calls that other nodes forward and for messages to guards.
    pub peers: SocketAddr,
    /// The listening address for nodes to which this node relays the configuration and the member
    /// list.
    pub mesh: SocketAddr,
    /// The listening address for the backend servers on the same VM.
    pub backend: SocketAddr,
    /// The mesh addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// The rate of the link from the VM to the others, in bytes a second; `None` if it is not known,
    /// so that large responses are not scheduled.
    pub link_bytes_per_s: Option<u64>,
    /// The bound on the calls of a workspace in a window. All nodes must have the same one.
    pub quotas: QuotaBound,
}

/// The identity and address of a voter of the replicated log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// The identity of the replica.
    pub id: ReplicaId,
    /// The mesh address of the replica.
    pub address: SocketAddr,
}

/// How a control replica gets its identity and finds the other replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapMode {
    /// An operator initializes the data folder and changes the set of replicas.
    Manual {
        /// The identity of the replica.
        id: ReplicaId,
        /// The initial voters.
        replicas: Vec<ReplicaAddress>,
    },
    /// The replicas find each other at a few known addresses, create the replicated log and add
    /// each other as members without an operator.
    FromSeeds {
        /// The mesh addresses at which other replicas may be found.
        seeds: Vec<SocketAddr>,
        /// Whether the whole system starts for the first time, so that a new log may be created.
        is_first_start: bool,
        /// The number of voters to maintain.
        voters: usize,
    },
}

/// The settings of the control replica role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// How the replica gets its identity and finds the other replicas.
    pub bootstrap: BootstrapMode,
    /// The listening address for other replicas and for nodes.
    pub mesh: SocketAddr,
    /// The listening address for operators.
    pub operators: SocketAddr,
    /// The folder in which the replica stores its files.
    pub data_folder: PathBuf,
    /// The limits of the calls that new versions get before they are proven good.
    pub rollouts: RolloutLimits,
    /// The data centres that may be evacuated even while no backend server in them is known.
    pub data_centres: BTreeSet<DataCentre>,
}

/// The validated settings of a daemon. It has the role of a node, of a control replica or both.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The identity of the process, unique in the system.
    pub name: NodeId,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The secret that calls between processes and calls of operators carry; `None` if calls are
    /// not authenticated.
    pub token: Option<String>,
    /// The listening address for metrics and health checks.
    pub admin: SocketAddr,
    /// How the log is written.
    pub log: LogSettings,
    /// How the node handles calls, besides what their routes define.
    pub calls: CallSettings,
    /// The time limits of the graceful stop.
    pub stop: StopSettings,
    /// The settings of the node role; `None` if the process does not have it.
    pub node: Option<NodeSettings>,
    /// The settings of the control replica role; `None` if the process does not have it.
    pub control: Option<ControlSettings>,
}

impl Settings {
    /// Reads and validates a settings file. Relative paths in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the file breaks, with its place.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(file)
            .map_err(|error| SettingsError::new(file, "$", format!("cannot be read: {error}")))?;
        Self::parse(file, &text)
    }

    /// Parses and validates the text of a settings file. `file` is named in errors, and relative
    /// paths are relative to its folder.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the text breaks, with its place.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let raw: RawSettings = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let path = error.path().to_string();
            let place = if matches!(path.as_str(), "." | "?") {
                "$".to_owned()
            } else {
                format!("$.{path}")
            };
            SettingsError::new(file, place, error.inner().to_string())
        })?;
        json.end()
            .map_err(|error| SettingsError::new(file, "$", error.to_string()))?;
        Validator { file }.check_settings(raw)
    }
}

/// Checks the parts of the settings and names the file in errors.
struct Validator<'a> {
    file: &'a Path,
}

impl Validator<'_> {
    fn error(&self, place: impl Into<String>, rule: impl Into<String>) -> SettingsError {
        SettingsError::new(self.file, place, rule)
    }

    fn check_settings(&self, raw: RawSettings) -> Result<Settings, SettingsError> {
        let token = raw
            .token_file
            .map(|path| self.read_token(&path))
            .transpose()?;
        let settings = Settings {
            name: self.parse_name("$.name", &raw.name)?,
            data_centre: self.parse_name("$.data_centre", &raw.data_centre)?,
            region: self.parse_name("$.region", &raw.region)?,
            token,
            admin: self.parse_address("$.admin", &raw.admin)?,
            log: self.check_log(&raw.log)?,
            calls: raw.calls,
            stop: raw.stop,
            node: raw.node.map(|node| self.check_node(&node)).transpose()?,
            control: raw
                .control
                .map(|control| self.check_control(&control))
                .transpose()?,
        };
        if settings.node.is_none() && settings.control.is_none() {
            return Err(self.error("$", "must have the role `node`, `control` or both"));
        }
        self.check_listening_addresses(&settings)?;
        Ok(settings)
    }

    /// Resolves a path relative to the folder of the settings file.
    fn resolve_path(&self, path: &Path) -> PathBuf {
        self.file
            .parent()
            .unwrap_or_else(|| Path::new("."))
            .join(path)
    }

    fn read_token(&self, path: &Path) -> Result<String, SettingsError> {
        read_secret(&self.resolve_path(path))
            .map_err(|error| self.error("$.token_file", error.to_string()))
    }

    fn parse_name<T>(&self, place: &str, text: &str) -> Result<T, SettingsError>
    where
        T: for<'t> TryFrom<&'t str, Error = trefoillock_core::NameError>,
    {
        T::try_from(text).map_err(|error| self.error(place, error.to_string()))
    }

    fn parse_address(&self, place: &str, text: &str) -> Result<SocketAddr, SettingsError> {
        let address: SocketAddr = text.parse().map_err(|_| {
            self.error(
                place,
                format!("{text:?} is not an IP address and port such as 10.0.0.7:8080"),
            )
        })?;
        if address.port() == 0 {
            return Err(self.error(place, "must not have port 0"));
        }
        Ok(address)
    }

    fn check_log(&self, raw: &RawLog) -> Result<LogSettings, SettingsError> {
        let level = match raw.level.as_deref() {
            None | Some("info") => LevelFilter::Info,
            Some("warn") => LevelFilter::Warn,
            Some("error") => LevelFilter::Error,
            Some("off") => LevelFilter::Off,
            Some(other) => {
                let rule = format!("{other:?} is not one of info, warn, error, off");
                return Err(self.error("$.log.level", rule));
            }
        };
        Ok(LogSettings {
            format: raw.format,
            level,
        })
    }

    fn check_node(&self, raw: &RawNode) -> Result<NodeSettings, SettingsError> {
        if raw.control.is_empty() {
            return Err(self.error("$.node.control", "must name at least one control replica"));
        }
        let control = raw.control.iter().enumerate();
        let control = control
            .map(|(index, text)| self.parse_address(&format!("$.node.control[{index}]"), text));
        Ok(NodeSettings {
            callers: self.parse_address("$.node.callers", &raw.callers)?,
            peers: self.parse_address("$.node.peers", &raw.peers)?,
            mesh: self.parse_address("$.node.mesh", &raw.mesh)?,
            backend: self.parse_address("$.node.backend", &raw.backend)?,
            control: control.collect::<Result<_, _>>()?,
            link_bytes_per_s: raw
                .link_kbit_s
                .map(|kbit| u64::from(kbit.get()) * 1_000 / 8),
            quotas: self.check_quotas(&raw.quotas)?,
        })
    }

    fn check_quotas(&self, raw: &RawQuotaBound) -> Result<QuotaBound, SettingsError> {
        if !(0.0..=1.0).contains(&raw.overage) {
            return Err(self.error("$.node.quotas.overage", "must be between 0 and 1"));
        }
        let window = Duration::from_millis(u64::from(raw.window_ms.get()));
        QuotaBound::new(window, Share::from_fraction(raw.overage), raw.slack)
            .map_err(|error| self.error("$.node.quotas", error.to_string()))
    }

    fn check_control(&self, raw: &RawControl) -> Result<ControlSettings, SettingsError> {
        let mesh = self.parse_address("$.control.mesh", &raw.mesh)?;
        let id = ReplicaId::new(raw.id);
        Ok(ControlSettings {
            bootstrap: BootstrapMode::Manual {
                id,
                replicas: self.check_replicas(&raw.replicas, id, mesh)?,
            },
            mesh,
            operators: self.parse_address("$.control.operators", &raw.operators)?,
            data_folder: self.resolve_path(&raw.data_folder),
            rollouts: self.check_rollouts(&raw.rollouts)?,
            data_centres: self.check_data_centres(&raw.data_centres)?,
        })
    }

    fn check_data_centres(&self, raw: &[String]) -> Result<BTreeSet<DataCentre>, SettingsError> {
        let names = raw.iter().enumerate().map(|(index, name)| {
            let place = format!("$.control.data_centres[{index}]");
            self.parse_name(&place, name)
        });
        names.collect()
    }

    fn check_rollouts(&self, raw: &RawRolloutLimits) -> Result<RolloutLimits, SettingsError> {
        if !(0.0..=1.0).contains(&raw.max_share) {
            return Err(self.error("$.control.rollouts.max_share", "must be between 0 and 1"));
        }
        Ok(RolloutLimits {
            share: Share::from_fraction(raw.max_share),
            extra_calls: raw.extra_calls,
            stop_within: Duration::from_millis(u64::from(raw.stop_within_ms.get())),
        })
    }

    /// Checks the initial voters. The replica itself may be missing from the list, if it joins
    /// later, but must not be listed with an address other than its mesh address.
    fn check_replicas(
        &self,
        raw: &[RawReplica],
        id: ReplicaId,
        mesh: SocketAddr,
    ) -> Result<Vec<ReplicaAddress>, SettingsError> {
        let place = "$.control.replicas";
        if raw.is_empty() || raw.len() > MAX_REPLICAS {
            return Err(self.error(place, format!("must name 1 to {MAX_REPLICAS} replicas")));
        }
        let mut replicas = Vec::with_capacity(raw.len());
        let mut ids = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, row) in raw.iter().enumerate() {
            let address = self.parse_address(&format!("{place}[{index}].address"), &row.address)?;
            let row_id = ReplicaId::new(row.id);
            if row.id == 0 || !ids.insert(row_id) {
                return Err(
                    self.error(format!("{place}[{index}].id"), "must be above 0 and unique")
                );
            }
            if !addresses.insert(address) {
                return Err(self.error(format!("{place}[{index}].address"), "is used twice"));
            }
            if row_id == id && address != mesh {
                let rule = format!("differs from $.control.mesh ({mesh}) for the same replica");
                return Err(self.error(format!("{place}[{index}].address"), rule));
            }
            replicas.push(ReplicaAddress {
                id: row_id,
                address,
            });
        }
        if id == ReplicaId::ZERO {
            return Err(self.error("$.control.id", "must be above 0"));
        }
        Ok(replicas)
    }

    /// Checks that no two sockets share an address, that the interface for backend servers is on a
    /// loopback address and that a token is set unless all sockets are on loopback addresses.
    fn check_listening_addresses(&self, settings: &Settings) -> Result<(), SettingsError> {
        let mut sockets = vec![("$.admin", settings.admin)];
        if let Some(node) = &settings.node {
            sockets.push(("$.node.callers", node.callers));
            sockets.push(("$.node.peers", node.peers));
            sockets.push(("$.node.mesh", node.mesh));
            sockets.push(("$.node.backend", node.backend));
        }
        if let Some(control) = &settings.control {
            sockets.push(("$.control.mesh", control.mesh));
            sockets.push(("$.control.operators", control.operators));
        }
        if let Some(node) = &settings.node
            && !node.backend.ip().is_loopback()
        {
            let rule = "must be a loopback address, because the interface requires no token";
            return Err(self.error("$.node.backend", rule));
        }
        let mut used: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for (place, address) in sockets {
            if let Some(first) = used.insert(address, place) {
                return Err(self.error(place, format!("{address} is also the address of {first}")));
            }
            if settings.token.is_none() && !address.ip().is_loopback() {
                let rule = format!("{address} is not a loopback address; set token_file to use it");
                return Err(self.error(place, rule));
            }
        }
        Ok(())
    }
}
