//! The configuration that a node holds, and the rule for when it may serve calls by it.

use std::sync::Arc;

use trefoillock_core::{Config, ConfigError, ConfigVersion, data};

use crate::ConfigUpdate;

/// Identifies a configuration by its version and the hash of its content.
#[data(key)]
#[derive(Default)]
pub struct ConfigId {
    /// The version of the configuration; zero if none is held.
    pub version: ConfigVersion,
    /// The hash of version and content.
    pub hash: u64,
}

impl From<&Config> for ConfigId {
    fn from(config: &Config) -> Self {
        Self {
            version: config.version(),
            hash: config.hash(),
        }
    }
}

/// Holds the configuration of a node and decides whether it may be served.
///
/// An update is applied completely or not at all, and only if it leads to a higher version.
///
/// The held configuration is served only after a live leader has confirmed, since this process
/// started, a version that is not higher than the held one. Before a restart the node may have
/// served any version up to the leader's, and it must not go back to an older one.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    held: Option<Arc<Config>>,
    min_version: Option<ConfigVersion>,
    is_serving: bool,
}

impl ConfigHolder {
    /// Creates a holder without a configuration.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            held: None,
            min_version: None,
            is_serving: false,
        }
    }

    /// Applies an update and returns whether the held configuration changed.
    ///
    /// An update to a version that is not newer than the held one is ignored without an error.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the update does not start at the held version
    /// or its content is inconsistent.
    pub fn apply(&mut self, update: ConfigUpdate) -> Result<bool, ConfigError> {
        let held = self.held_id();
        let offered = match &update {
            ConfigUpdate::Snapshot(config) => config.version(),
            ConfigUpdate::Delta(delta) => delta.version,
        };
        if self.held.is_some() && offered <= held.version {
            return Ok(false);
        }
        let config = match (update, &self.held) {
            (ConfigUpdate::Snapshot(config), _) => {
                config.validate()?;
                config
            }
            (ConfigUpdate::Delta(delta), Some(base)) => base.with_delta(&delta)?,
            (ConfigUpdate::Delta(delta), None) => {
                return Err(ConfigError::WrongBase {
                    base: delta.base,
                    current: ConfigVersion::ZERO,
                });
            }
        };
        self.held = Some(Arc::new(config));
        self.update_serving();
        Ok(true)
    }

    /// Records that a live leader had this version when it answered a confirmation request sent
    /// after the start of this process.
    pub fn confirm(&mut self, min_version: ConfigVersion) {
        self.min_version = self.min_version.max(Some(min_version));
        self.update_serving();
    }

    /// Returns the identity of the held configuration, served or not; the default if none is
    /// held.
    #[must_use]
    pub fn held_id(&self) -> ConfigId {
        self.held.as_deref().map(ConfigId::from).unwrap_or_default()
    }

    /// Returns the held configuration, served or not.
    #[must_use]
    pub const fn held(&self) -> Option<&Arc<Config>> {
        self.held.as_ref()
    }

    /// Returns the configuration by which the node may serve calls, if there is one.
    #[must_use]
    pub fn serving(&self) -> Option<&Arc<Config>> {
        self.held.as_ref().filter(|_| self.is_serving)
    }

    /// Returns the served version; zero if none is served.
    #[must_use]
    pub fn serving_version(&self) -> ConfigVersion {
        self.serving()
            .map(|config| config.version())
            .unwrap_or_default()
    }

    fn update_serving(&mut self) {
        if let (Some(config), Some(min_version)) = (&self.held, self.min_version) {
            self.is_serving |= config.version() >= min_version;
        }
    }
}
