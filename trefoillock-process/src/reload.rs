//! Reads the settings file of a running process again and applies what can change while it runs.

use std::{collections::BTreeMap, fmt::Display};

use log::LevelFilter;

use crate::{Clock, Event, LogFormat, Settings, log_event};

/// The setting that is applied to a running process.
const LOG_LEVEL: &str = "log.level";

/// The settings of a process by name, for a comparison. The values are never logged, since one may be
/// a secret.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsSummary {
    log_level: LevelFilter,
    values: BTreeMap<&'static str, String>,
}

impl SettingsSummary {
    /// Adds a setting that [`Settings`] does not contain.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &dyn Display) -> Self {
        self.values.insert(name, value.to_string());
        self
    }

    /// Returns the names of the settings that differ, in alphabetical order.
    fn differing(&self, other: &Self) -> Vec<&'static str> {
        let names = self.values.keys().chain(other.values.keys());
        let mut names: Vec<&str> = names.copied().collect();
        names.sort_unstable();
        names.dedup();
        names.retain(|name| self.values.get(name) != other.values.get(name));
        names
    }
}

impl From<&Settings> for SettingsSummary {
    fn from(settings: &Settings) -> Self {
        let Settings {
            name,
            data_centre,
            region,
            token,
            admin,
            log,
            calls,
            stop,
            node,
            control,
        } = settings;
        let values = [
            ("name", name.to_string()),
            ("data_centre", data_centre.to_string()),
            ("region", region.to_string()),
            ("token_file", format!("{token:?}")),
            ("admin", admin.to_string()),
            (LOG_LEVEL, log.level.to_string()),
            ("log.format", format!("{:?}", log.format)),
            ("calls", format!("{calls:?}")),
            ("stop", format!("{stop:?}")),
            ("node", format!("{node:?}")),
            ("control", format!("{control:?}")),
        ];
        Self {
            log_level: log.level,
            values: values.into_iter().collect(),
        }
    }
}

/// Reads the settings file again when [`Self::reload`] is called.
///
/// The log level is applied at once. Other settings are addresses, identities and limits that a
/// running process relies on; a change of them is logged and takes effect at the next start. A file
/// that is not valid changes nothing.
pub struct SettingsReloader<F> {
    clock: Clock,
    format: LogFormat,
    load: F,
    in_force: SettingsSummary,
}

impl<F: FnMut() -> Result<SettingsSummary, String>> SettingsReloader<F> {
    /// Creates the reloader of a process that runs with the settings `in_force`. `load` reads and
    /// validates the file.
    pub const fn new(clock: Clock, format: LogFormat, in_force: SettingsSummary, load: F) -> Self {
        Self {
            clock,
            format,
            load,
            in_force,
        }
    }

    /// Reads the file, applies what can change and logs the result.
    pub fn reload(&mut self) {
        let now = self.clock.now();
        match (self.load)() {
            Ok(new) => {
                let mut needs_restart = self.in_force.differing(&new);
                needs_restart.retain(|name| *name != LOG_LEVEL);
                let is_applied = self.in_force.log_level != new.log_level;
                if is_applied {
                    log::set_max_level(new.log_level);
                    self.in_force.log_level = new.log_level;
                    let level = new.log_level.to_string();
                    self.in_force.values.insert(LOG_LEVEL, level);
                }
                let applied = if is_applied { LOG_LEVEL } else { "" };
                let needs_restart = needs_restart.join(",");
                log_event(
                    self.format,
                    now,
                    Event::SettingsReloaded,
                    &[("applied", &applied), ("needs-restart", &needs_restart)],
                );
            }
            Err(error) => {
                let fields: [(&str, &dyn Display); 1] = [("error", &error)];
                log_event(self.format, now, Event::SettingsRejected, &fields);
            }
        }
    }
}
