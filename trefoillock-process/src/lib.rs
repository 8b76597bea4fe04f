//! The environment of a trefoillock process: settings, clock, log, signals and secret files.
//!
//! Settings are validated as a whole when they are loaded. Log lines are numbered [`Event`]s and
//! never block the process. The package depends on `trefoillock-core`; the daemon, the client and
//! the packages that log events use it.

mod boot_instant;
mod call_settings;
mod clock;
mod event;
mod explanation;
mod log_rate_limiter;
mod logging;
mod queued_writer;
mod raw_settings;
mod reload;
mod secret;
mod settings;
mod signals;
mod stop_settings;

pub use boot_instant::BootInstant;
pub use call_settings::CallSettings;
pub use clock::Clock;
pub use event::{Event, LogLevel};
pub use explanation::{Explanation, LogLines};
pub use log_rate_limiter::LogRateLimiter;
pub use logging::{LogError, LogFormat, LogOutput, log_event, start_logging};
pub use queued_writer::LogFlusher;
pub use reload::{SettingsReloader, SettingsSummary};
pub use secret::read_secret;
pub use settings::{
    BootstrapMode, ControlSettings, LogSettings, NodeSettings, ReplicaAddress, Settings,
    SettingsError,
};
pub use signals::handle_signals;
pub use stop_settings::StopSettings;
