//! The JSON form of the settings file, before validation.

use std::{num::NonZeroU32, path::PathBuf};

use serde::Deserialize;
use trefoillock_core::{QuotaBound, RolloutLimits};

use crate::{CallSettings, LogFormat, StopSettings};

/// The content of a settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object of settings")]
pub(crate) struct RawSettings {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) region: String,
    pub(crate) token_file: Option<PathBuf>,
    pub(crate) admin: String,
    #[serde(default)]
    pub(crate) log: RawLog,
    #[serde(default)]
    pub(crate) calls: CallSettings,
    #[serde(default)]
    pub(crate) stop: StopSettings,
    pub(crate) node: Option<RawNode>,
    pub(crate) control: Option<RawControl>,
}

/// The format and level of the log.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub(crate) struct RawLog {
    #[serde(default)]
    pub(crate) format: LogFormat,
    pub(crate) level: Option<String>,
}

/// The settings of the node role.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub(crate) struct RawNode {
    pub(crate) callers: String,
    pub(crate) peers: String,
    pub(crate) mesh: String,
    pub(crate) backend: String,
    pub(crate) control: Vec<String>,
    #[serde(default)]
    pub(crate) link_kbit_s: Option<NonZeroU32>,
    #[serde(default)]
    pub(crate) quotas: RawQuotaBound,
}

/// The bound on the calls of a workspace.
#[derive(Debug, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub(crate) struct RawQuotaBound {
    pub(crate) window_ms: NonZeroU32,
    pub(crate) overage: f64,
    pub(crate) slack: u32,
}

impl Default for RawQuotaBound {
    fn default() -> Self {
        let bound = QuotaBound::default();
        let millis = u32::try_from(bound.window().as_millis()).ok();
        Self {
            window_ms: millis.and_then(NonZeroU32::new).unwrap_or(NonZeroU32::MIN),
            overage: bound.overage().fraction(),
            slack: bound.slack(),
        }
    }
}

/// The settings of the control replica role.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub(crate) struct RawControl {
    pub(crate) id: u64,
    pub(crate) mesh: String,
    pub(crate) operators: String,
    pub(crate) data_folder: PathBuf,
    pub(crate) replicas: Vec<RawReplica>,
    #[serde(default)]
    pub(crate) rollouts: RawRolloutLimits,
    #[serde(default)]
    pub(crate) data_centres: Vec<String>,
}

/// The limits of new versions.
#[derive(Debug, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object")]
pub(crate) struct RawRolloutLimits {
    pub(crate) max_share: f64,
    pub(crate) extra_calls: u64,
    pub(crate) stop_within_ms: NonZeroU32,
}

impl Default for RawRolloutLimits {
    fn default() -> Self {
        let limits = RolloutLimits::default();
        let millis = u32::try_from(limits.stop_within.as_millis()).ok();
        Self {
            max_share: limits.share.fraction(),
            extra_calls: limits.extra_calls,
            stop_within_ms: millis.and_then(NonZeroU32::new).unwrap_or(NonZeroU32::MIN),
        }
    }
}

/// The identity and mesh address of one voter of the replicated log.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object")]
pub(crate) struct RawReplica {
    pub(crate) id: u64,
    pub(crate) address: String,
}
