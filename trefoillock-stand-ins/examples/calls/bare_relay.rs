//! A TCP relay that only copies bytes. Its added latency is the minimum for any process on the path
//! of a call on this machine.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};

/// A running relay with one worker thread. It stops when it is dropped.
pub(crate) struct BareRelay {
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl BareRelay {
    /// Starts a relay on a free port that connects to `to`.
    pub(crate) fn start(to: SocketAddr) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener)?;
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(relay(caller, to));
            }
            io::Result::Ok(())
        });
        Ok(Self {
            address,
            runtime: Some(runtime),
        })
    }

    /// The address on which the relay accepts connections.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for BareRelay {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn relay(mut caller: TcpStream, to: SocketAddr) -> io::Result<()> {
    let mut server = TcpStream::connect(to).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    copy_bidirectional(&mut caller, &mut server).await?;
    Ok(())
}
