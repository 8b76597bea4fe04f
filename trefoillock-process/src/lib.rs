//! What a process of trefoillock takes from its platform: settings, clock, logs, signals and
//! secret files.
//!
//! The package stands above `trefoillock-core`; the daemon and the client use it, and so do the
//! packages that log events.

mod call_settings;
mod clock;
mod event;
mod explanation;
mod line_budget;
mod logging;
mod queued_output;
mod raw_settings;
mod secret;
mod settings;
mod signals;
mod stop_settings;

pub use call_settings::CallSettings;
pub use clock::Clock;
pub use event::{Event, LogLevel};
pub use explanation::{Explanation, LogLines};
pub use line_budget::LineBudget;
pub use logging::{LogError, LogFormat, LogTarget, log_event, start_logging};
pub use queued_output::LogFlush;
pub use secret::read_secret;
pub use settings::{
    ControlSettings, Founding, LogSettings, NodeSettings, ReplicaAddress, Settings, SettingsError,
};
pub use signals::cancel_on_signal;
pub use stop_settings::StopSettings;
