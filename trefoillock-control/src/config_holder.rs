//! The configuration of one node.

use std::sync::Arc;

use trefoillock_core::{Config, ConfigError, ConfigVersion, data};

use crate::ConfigUpdate;

/// A version of the configuration with the hash of its content.
#[data(key)]
#[derive(Default)]
pub struct ConfigMark {
    /// The version.
    pub version: ConfigVersion,
    /// The hash of version and content.
    pub hash: u64,
}

impl From<&Config> for ConfigMark {
    fn from(config: &Config) -> Self {
        Self {
            version: config.version(),
            hash: config.hash(),
        }
    }
}

/// Holds the configuration of a node.
///
/// Updates are taken as a whole or not at all, and only towards higher versions. What is held
/// is served once a live leader has confirmed, after the start of this process, a version that
/// is not higher than the held one; the process may have served that version before a restart.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    held: Option<Arc<Config>>,
    floor: Option<ConfigVersion>,
    serving: bool,
}

impl ConfigHolder {
    /// Creates a holder without a configuration.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            held: None,
            floor: None,
            serving: false,
        }
    }

    /// Takes an update and returns whether the held configuration changed.
    ///
    /// An update that leads to a version that is already held is no error.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the update does not fit what is held or is not
    /// consistent in itself.
    pub fn take(&mut self, update: ConfigUpdate) -> Result<bool, ConfigError> {
        let held = self.mark();
        let offered = match &update {
            ConfigUpdate::Snapshot(config) => config.version(),
            ConfigUpdate::Delta(delta) => delta.version,
        };
        if self.held.is_some() && offered <= held.version {
            return Ok(false);
        }
        let config = match (update, &self.held) {
            (ConfigUpdate::Snapshot(config), _) => {
                config.check()?;
                config
            }
            (ConfigUpdate::Delta(delta), Some(base)) => base.with_delta(&delta)?,
            (ConfigUpdate::Delta(delta), None) => {
                return Err(ConfigError::WrongBase {
                    base: delta.base,
                    held: ConfigVersion::ZERO,
                });
            }
        };
        self.held = Some(Arc::new(config));
        self.settle();
        Ok(true)
    }

    /// Notes that a live leader, asked after the start of this process, had this version.
    pub fn confirm(&mut self, floor: ConfigVersion) {
        self.floor = self.floor.max(Some(floor));
        self.settle();
    }

    /// What is held, served or not.
    #[must_use]
    pub fn mark(&self) -> ConfigMark {
        self.held
            .as_deref()
            .map(ConfigMark::from)
            .unwrap_or_default()
    }

    /// What is held, served or not.
    #[must_use]
    pub const fn held(&self) -> Option<&Arc<Config>> {
        self.held.as_ref()
    }

    /// The configuration that calls are served by, if there is one.
    #[must_use]
    pub fn serving(&self) -> Option<&Arc<Config>> {
        self.held.as_ref().filter(|_| self.serving)
    }

    /// The version that is served; zero if none is.
    #[must_use]
    pub fn serving_version(&self) -> ConfigVersion {
        self.serving()
            .map(|config| config.version())
            .unwrap_or_default()
    }

    fn settle(&mut self) {
        if let (Some(config), Some(floor)) = (&self.held, self.floor) {
            self.serving |= config.version() >= floor;
        }
    }
}
