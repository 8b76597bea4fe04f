//! One daemon with a runtime of its own, so that it can be killed like a process.

use std::io;

use tokio::{runtime::Runtime, task::JoinHandle};
use tokio_util::sync::CancellationToken;
use trefoillock_core::Error;
use trefoillock_process::Settings;
use trefoillock_roles::{Daemon, Observer};

/// A running daemon.
pub(crate) struct Process {
    settings: Settings,
    runtime: Runtime,
    stop: CancellationToken,
    observer: Observer,
    ended: JoinHandle<Result<(), Error>>,
}

impl Process {
    /// Starts a daemon.
    pub(crate) async fn start(settings: Settings) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let stop = CancellationToken::new();
        let started = runtime.spawn(Daemon::start(settings.clone(), stop.clone()));
        let daemon = match started.await {
            Ok(Ok(daemon)) => daemon,
            Ok(Err(error)) => return Err(fail(runtime, error)),
            Err(error) => return Err(fail(runtime, error)),
        };
        let observer = daemon.observer();
        let ended = runtime.spawn(daemon.stopped());
        Ok(Self {
            settings,
            runtime,
            stop,
            observer,
            ended,
        })
    }

    /// The settings that the daemon was started with.
    pub(crate) const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What can be seen of the daemon from outside.
    pub(crate) fn observer(&self) -> Observer {
        self.observer.clone()
    }

    /// Ends the daemon at once, as if its process were killed.
    pub(crate) fn kill(self) -> Settings {
        self.runtime.shutdown_background();
        self.settings
    }

    /// Begins the graceful stop. The result ends when the daemon has stopped.
    pub(crate) fn begin_stop(self) -> impl Future<Output = Settings> {
        self.stop.cancel();
        async move {
            let _ = self.ended.await;
            self.runtime.shutdown_background();
            self.settings
        }
    }
}

/// Gives up the runtime of a daemon that did not start. A runtime must not be dropped by a task.
fn fail(runtime: Runtime, error: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    runtime.shutdown_background();
    io::Error::other(error)
}
