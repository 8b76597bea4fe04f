//! Closes a listening socket without resetting connections that peers have opened.
//!
//! A close resets all connections that wait to be accepted, and those whose handshake is not
//! complete. Their peers may have sent a request already. So the socket first drops the packets that
//! begin a connection, the handshakes that have begun end, and then it is closed. A peer that was
//! held off sends its first packet again and is refused.

use std::{
    io::{self, ErrorKind},
    time::Duration,
};

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

/// The time that handshakes take at most, except on links that lose packets.
pub(crate) const HANDSHAKE_TIME: Duration = Duration::from_millis(100);
/// The largest number of errors after which a listener is closed although connections may wait.
const MAX_ERRORS: u32 = 64;

/// The offset of the flags in a TCP header.
const FLAGS_OFFSET: u32 = 13;
/// The flag of a packet that begins a connection.
const SYN: u32 = 0x02;
/// The instructions of a packet filter that load a byte, jump if a bit is set, and return the number
/// of bytes to keep.
const LOAD_BYTE: u16 = 0x30;
const JUMP_IF_SET: u16 = 0x45;
const RETURN: u16 = 0x06;

/// Drops the packets that begin a new connection to a listener.
pub(crate) fn hold_off_connections(listener: &TcpListener) {
    let drop_syn = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    if let Err(error) = SockRef::from(listener).attach_filter(&drop_syn) {
        log::debug!("new connections cannot be held off before the close: {error}");
    }
}

/// Closes a listener and returns the connections that the kernel had accepted for it.
pub(crate) fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let accepted = listener
        .into_std()
        .and_then(|listener| accept_all(&listener));
    accepted.unwrap_or_else(|error| {
        log::warn!("accepted connections were reset by the close of a listener: {error}");
        Vec::new()
    })
}

/// Accepts connections until none waits. Unlike an asynchronous accept, this asks the kernel each
/// time.
fn accept_all(listener: &std::net::TcpListener) -> io::Result<Vec<TcpStream>> {
    let mut accepted = Vec::new();
    let mut errors = 0;
    while errors < MAX_ERRORS {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                accepted.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => {
                log::debug!("a connection was not accepted before the close: {error}");
                errors += 1;
            }
        }
    }
    Ok(accepted)
}
