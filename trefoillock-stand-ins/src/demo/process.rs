//! A daemon with its own runtime, so that it can be killed as if it were a process.

use std::io;

use tokio::{runtime::Runtime, task::JoinHandle};
use tokio_util::sync::CancellationToken;
use trefoillock_core::Error;
use trefoillock_process::Settings;
use trefoillock_roles::{Daemon, DaemonObserver};

/// A running daemon.
pub(crate) struct Process {
    settings: Settings,
    runtime: Runtime,
    stop: CancellationToken,
    observer: DaemonObserver,
    stopped: JoinHandle<Result<(), Error>>,
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
            Ok(Err(error)) => return Err(start_error(runtime, error)),
            Err(error) => return Err(start_error(runtime, error)),
        };
        let observer = daemon.observer();
        let stopped = runtime.spawn(daemon.run_until_stopped());
        Ok(Self {
            settings,
            runtime,
            stop,
            observer,
            stopped,
        })
    }

    /// The settings that the daemon was started with.
    pub(crate) const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The observer of the daemon: its configuration, members and counters.
    pub(crate) fn observer(&self) -> DaemonObserver {
        self.observer.clone()
    }

    /// Kills the daemon: drops all its tasks and connections at once.
    pub(crate) fn kill(self) -> Settings {
        self.runtime.shutdown_background();
        self.settings
    }

    /// Begins the graceful stop. The returned future completes when the daemon has stopped.
    pub(crate) fn begin_stop(self) -> impl Future<Output = Settings> {
        self.stop.cancel();
        async move {
            let _ = self.stopped.await;
            self.runtime.shutdown_background();
            self.settings
        }
    }
}

/// Shuts down the runtime of a daemon that did not start, and wraps the error. The shutdown is in
/// the background because tokio panics if a runtime is dropped in an async task.
fn start_error(
    runtime: Runtime,
    error: impl std::error::Error + Send + Sync + 'static,
) -> io::Error {
    runtime.shutdown_background();
    io::Error::other(error)
}
