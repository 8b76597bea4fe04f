//! Opens the TCP connections of clients.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    task::{Context, Poll},
    time::Duration,
};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::Uri;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};
use tower_service::Service;

/// The time after which another attempt starts beside those that are not answered.
///
/// It is shorter than the one second after which the operating system retransmits a lost SYN packet.
/// So a VM that was powered off is reached soon after its start.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time that opening a connection may take, for a link on which packets wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);

/// Connects to one address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Connector {
    address: SocketAddr,
}

impl Connector {
    /// Creates a connector to an address.
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<TcpStream>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let address = self.address;
        Box::pin(async move {
            let stream = first_completed(|| TcpStream::connect(address)).await?;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(stream))
        })
    }
}

/// Starts an attempt at each [`ATTEMPT_INTERVAL`] and returns the result of the first that ends.
async fn first_completed<T, F: Future<Output = io::Result<T>>>(
    attempt: impl Fn() -> F,
) -> io::Result<T> {
    let mut attempts = FuturesUnordered::new();
    let mut interval = time::interval(ATTEMPT_INTERVAL);
    let first = async {
        loop {
            tokio::select! {
                _ = interval.tick() => attempts.push(attempt()),
                Some(result) = attempts.next() => return result,
            }
        }
    };
    time::timeout(CONNECT_TIMEOUT, first).await?
}

#[cfg(test)]
mod tests;
