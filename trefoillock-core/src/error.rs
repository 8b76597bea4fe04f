//! An error type that names the operation that failed and the peer that was involved.

use std::{error::Error as StdError, fmt};

use trefoillock_macros::data;

/// The other party of an operation that failed.
#[data]
pub enum Peer {
    /// A caller of a service, by address.
    Caller(String),
    /// A backend server, by address.
    BackendServer(String),
    /// Another node, by address.
    Node(String),
    /// A control replica, by address.
    Control(String),
    /// An operator's client, by address.
    Operator(String),
    /// The operating system, with the file, signal or socket concerned.
    Platform(String),
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, location) = match self {
            Self::Caller(location) => ("caller", location),
            Self::BackendServer(location) => ("backend server", location),
            Self::Node(location) => ("node", location),
            Self::Control(location) => ("control replica", location),
            Self::Operator(location) => ("operator", location),
            Self::Platform(location) => ("platform", location),
        };
        write!(f, "{kind} {location}")
    }
}

/// The operation that failed.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Reading or validating settings.
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
    /// Committing an entry of the replicated log.
    Commit,
    /// Applying a committed entry or a configuration.
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

/// An error with the operation that failed, the peer involved and the cause.
#[derive(Debug)]
pub struct Error {
    step: Step,
    peer: Peer,
    cause: Box<dyn StdError + Send + Sync>,
}

impl Error {
    /// Creates an error from the operation that failed, the peer involved and the cause.
    #[must_use]
    pub fn new(step: Step, peer: Peer, cause: impl Into<Box<dyn StdError + Send + Sync>>) -> Self {
        Self {
            step,
            peer,
            cause: cause.into(),
        }
    }

    /// The operation that failed.
    #[must_use]
    pub const fn step(&self) -> Step {
        self.step
    }

    /// The peer that was involved.
    #[must_use]
    pub const fn peer(&self) -> &Peer {
        &self.peer
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} failed for {}: {}", self.step, self.peer, self.cause)
    }
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        Some(self.cause.as_ref())
    }
}
