//! Errors that carry the step and the peer at which they arose.

use std::{error::Error as StdError, fmt};

use trefoillock_macros::data;

/// The peer with which a step was done.
#[data]
pub enum Peer {
    /// A caller, by address.
    Caller(String),
    /// A backend server, by address.
    BackendServer(String),
    /// Another node, by address.
    Node(String),
    /// A control replica, by address.
    Control(String),
    /// An operator's client, by address.
    Operator(String),
    /// The platform: files, signals, sockets.
    Platform(String),
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, place) = match self {
            Self::Caller(place) => ("caller", place),
            Self::BackendServer(place) => ("backend server", place),
            Self::Node(place) => ("node", place),
            Self::Control(place) => ("control replica", place),
            Self::Operator(place) => ("operator", place),
            Self::Platform(place) => ("platform", place),
        };
        write!(f, "{kind} {place}")
    }
}

/// The step at which an error arose.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Reading or checking settings.
    Settings,
    /// Opening a listening socket.
    Listen,
    /// Connecting to the peer.
    Connect,
    /// Sending a request or message.
    Send,
    /// Waiting for or reading an answer.
    Receive,
    /// Decoding a message.
    Decode,
    /// Reading a file.
    Read,
    /// Writing a file.
    Write,
    /// Syncing a file to disk.
    Sync,
    /// Agreeing on an entry of the replicated log.
    Commit,
    /// Applying an entry or a configuration.
    Apply,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "settings",
            Self::Listen => "listen",
            Self::Connect => "connect",
            Self::Send => "send",
            Self::Receive => "receive",
            Self::Decode => "decode",
            Self::Read => "read",
            Self::Write => "write",
            Self::Sync => "sync",
            Self::Commit => "commit",
            Self::Apply => "apply",
        })
    }
}

/// An error with the step and the peer at which it arose.
#[derive(Debug)]
pub struct Error {
    step: Step,
    peer: Peer,
    cause: Box<dyn StdError + Send + Sync>,
}

impl Error {
    /// Creates an error from its step, its peer and its cause.
    #[must_use]
    pub fn new(step: Step, peer: Peer, cause: impl Into<Box<dyn StdError + Send + Sync>>) -> Self {
        Self {
            step,
            peer,
            cause: cause.into(),
        }
    }

    /// The step at which the error arose.
    #[must_use]
    pub const fn step(&self) -> Step {
        self.step
    }

    /// The peer with which the error arose.
    #[must_use]
    pub const fn peer(&self) -> &Peer {
        &self.peer
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with {}: {}", self.step, self.peer, self.cause)
    }
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        Some(self.cause.as_ref())
    }
}
