//! Signals of the platform.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{Error, Peer, Step};

/// Cancels a token at the first SIGTERM or SIGINT. SIGHUP is ignored.
///
/// It must be called within a tokio runtime.
///
/// # Errors
///
/// Returns an error if the platform refuses the signal handlers.
pub fn cancel_on_signal(stop: CancellationToken) -> Result<(), Error> {
    let listen = |kind| {
        signal(kind).map_err(|e| Error::new(Step::Listen, Peer::Platform("signals".to_owned()), e))
    };
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => {}
            }
        }
        stop.cancel();
    });
    Ok(())
}
