//! Signals of the operating system.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{Error, Peer, Step};

/// Cancels a token on the first SIGTERM or SIGINT, and calls `on_hangup` on each SIGHUP before that.
///
/// It must be called within a tokio runtime.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
pub fn handle_signals(
    stop: CancellationToken,
    mut on_hangup: impl FnMut() + Send + 'static,
) -> Result<(), Error> {
    let subscribe = |kind| {
        signal(kind).map_err(|e| Error::new(Step::Listen, Peer::Platform("signals".to_owned()), e))
    };
    let mut terminate = subscribe(SignalKind::terminate())?;
    let mut interrupt = subscribe(SignalKind::interrupt())?;
    let mut hangup = subscribe(SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => on_hangup(),
            }
        }
        stop.cancel();
    });
    Ok(())
}
