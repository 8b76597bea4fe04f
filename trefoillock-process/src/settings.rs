//! Checked settings of a daemon.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use log::LevelFilter;
use trefoillock_core::{DataCentre, NodeId, Region, ReplicaId};

use crate::{
    CallSettings, LogFormat, StopSettings,
    raw_settings::{RawControl, RawLog, RawNode, RawReplica, RawSettings},
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
    /// The form of a line.
    pub format: LogFormat,
    /// The least grave level that is written.
    pub level: LevelFilter,
}

/// The settings of the role of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for calls of other nodes.
    pub peers: SocketAddr,
    /// The address for the configuration's relay and the guards.
    pub mesh: SocketAddr,
    /// The address for the backend servers beside the node.
    pub backend: SocketAddr,
    /// The mesh addresses of the control replicas.
    pub control: Vec<SocketAddr>,
}

/// The address of a voter of the replicated log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// The identity.
    pub id: ReplicaId,
    /// The mesh address.
    pub address: SocketAddr,
}

/// How a control replica comes by its identity and by the other replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Founding {
    /// An operator makes the data folder and changes the set of replicas.
    ByOperators {
        /// The identity of the replica.
        id: ReplicaId,
        /// The first voters.
        replicas: Vec<ReplicaAddress>,
    },
    /// The replicas found the log at a few known addresses and take each other in.
    BySeeds {
        /// The mesh addresses of replicas that may be known to others.
        seeds: Vec<SocketAddr>,
        /// Whether the whole system starts for the first time.
        is_first_start: bool,
        /// The number of voters to keep.
        voters: usize,
    },
}

/// The settings of the role of a control replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// How the replica comes by its identity and by the other replicas.
    pub founding: Founding,
    /// The address for other replicas and for nodes.
    pub mesh: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The folder of the replica's files.
    pub data_folder: PathBuf,
}

/// The checked settings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The identity of the process, unique in the system.
    pub name: NodeId,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The secret that calls between processes and of operators carry.
    pub token: Option<String>,
    /// The address of metrics and health.
    pub admin: SocketAddr,
    /// How the log is written.
    pub log: LogSettings,
    /// How calls are treated beyond what their routes say.
    pub calls: CallSettings,
    /// How the process stops.
    pub stop: StopSettings,
    /// The role of a node, if the process has it.
    pub node: Option<NodeSettings>,
    /// The role of a control replica, if the process has it.
    pub control: Option<ControlSettings>,
}

impl Settings {
    /// Reads and checks a settings file. Relative paths start at the folder of the file.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the file breaks, with its place.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(file)
            .map_err(|error| SettingsError::new(file, "$", format!("cannot be read: {error}")))?;
        Self::parse(file, &text)
    }

    /// Checks the text of a settings file; `file` names it in errors and is the start of
    /// relative paths.
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
        Check { file }.settings(raw)
    }
}

/// Checks parts of the settings and names the file in errors.
struct Check<'a> {
    file: &'a Path,
}

impl Check<'_> {
    fn error(&self, place: impl Into<String>, rule: impl Into<String>) -> SettingsError {
        SettingsError::new(self.file, place, rule)
    }

    fn settings(&self, raw: RawSettings) -> Result<Settings, SettingsError> {
        let token = raw.token_file.map(|path| self.token(&path)).transpose()?;
        let settings = Settings {
            name: self.name("$.name", &raw.name)?,
            data_centre: self.name("$.data_centre", &raw.data_centre)?,
            region: self.name("$.region", &raw.region)?,
            token,
            admin: self.address("$.admin", &raw.admin)?,
            log: self.log(&raw.log)?,
            calls: raw.calls,
            stop: raw.stop,
            node: raw.node.map(|node| self.node(&node)).transpose()?,
            control: raw
                .control
                .map(|control| self.control(&control))
                .transpose()?,
        };
        if settings.node.is_none() && settings.control.is_none() {
            return Err(self.error("$", "must have the role `node`, `control` or both"));
        }
        self.listening(&settings)?;
        Ok(settings)
    }

    fn path(&self, path: &Path) -> PathBuf {
        self.file
            .parent()
            .unwrap_or_else(|| Path::new("."))
            .join(path)
    }

    fn token(&self, path: &Path) -> Result<String, SettingsError> {
        read_secret(&self.path(path)).map_err(|error| self.error("$.token_file", error.to_string()))
    }

    fn name<T>(&self, place: &str, text: &str) -> Result<T, SettingsError>
    where
        T: for<'t> TryFrom<&'t str, Error = trefoillock_core::NameError>,
    {
        T::try_from(text).map_err(|error| self.error(place, error.to_string()))
    }

    fn address(&self, place: &str, text: &str) -> Result<SocketAddr, SettingsError> {
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

    fn log(&self, raw: &RawLog) -> Result<LogSettings, SettingsError> {
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

    fn node(&self, raw: &RawNode) -> Result<NodeSettings, SettingsError> {
        if raw.control.is_empty() {
            return Err(self.error("$.node.control", "must name at least one control replica"));
        }
        let control = raw.control.iter().enumerate();
        let control =
            control.map(|(at, text)| self.address(&format!("$.node.control[{at}]"), text));
        Ok(NodeSettings {
            callers: self.address("$.node.callers", &raw.callers)?,
            peers: self.address("$.node.peers", &raw.peers)?,
            mesh: self.address("$.node.mesh", &raw.mesh)?,
            backend: self.address("$.node.backend", &raw.backend)?,
            control: control.collect::<Result<_, _>>()?,
        })
    }

    fn control(&self, raw: &RawControl) -> Result<ControlSettings, SettingsError> {
        let mesh = self.address("$.control.mesh", &raw.mesh)?;
        let id = ReplicaId::new(raw.id);
        Ok(ControlSettings {
            founding: Founding::ByOperators {
                id,
                replicas: self.replicas(&raw.replicas, id, mesh)?,
            },
            mesh,
            operators: self.address("$.control.operators", &raw.operators)?,
            data_folder: self.path(&raw.data_folder),
        })
    }

    /// The first voters. The replica itself may be missing, when it joins later, but not stand
    /// there with another address.
    fn replicas(
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
        for (at, row) in raw.iter().enumerate() {
            let address = self.address(&format!("{place}[{at}].address"), &row.address)?;
            let row_id = ReplicaId::new(row.id);
            if row.id == 0 || !ids.insert(row_id) {
                return Err(self.error(
                    format!("{place}[{at}].id"),
                    "must be above 0 and stand once",
                ));
            }
            if !addresses.insert(address) {
                return Err(self.error(format!("{place}[{at}].address"), "stands twice"));
            }
            if row_id == id && address != mesh {
                let rule = format!("differs from $.control.mesh ({mesh}) for the same replica");
                return Err(self.error(format!("{place}[{at}].address"), rule));
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

    /// Checks that no two sockets share an address and that addresses other than loopback have
    /// a token.
    fn listening(&self, settings: &Settings) -> Result<(), SettingsError> {
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
            let rule = "must be a loopback address: the interface asks for no token";
            return Err(self.error("$.node.backend", rule));
        }
        let mut taken: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for (place, address) in sockets {
            if let Some(first) = taken.insert(address, place) {
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
