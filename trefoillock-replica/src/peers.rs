//! Connections to the other replicas.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{ReplicaId, data};
use trefoillock_rpc::{RpcClient, RpcServer, Status, Streaming, Token, Traffic};

use crate::Envelope;

/// The path of the stream of messages between replicas.
const MESSAGES_PATH: &str = "/trefoillock.replica/messages";
/// The number of messages that wait for a slow peer; further ones are dropped.
const QUEUED_MESSAGES: usize = 256;
/// The first time between two attempts to reach a peer; replicas that start together listen within
/// a few of these.
const MIN_RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time between two attempts to reach a peer, to which the first one doubles.
const MAX_RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time that opening a stream may take; a part of it is the connection's.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of connections to keep, members or not.
const MAX_CONNECTIONS: usize = 32;

/// The answers on the stream of messages; none is ever sent.
#[data]
struct NoAnswer;

/// The senders to the other replicas.
#[derive(Debug)]
pub(crate) struct Peers {
    token: Token,
    traffic: Arc<Traffic>,
    stop: CancellationToken,
    connections: BTreeMap<ReplicaId, Connection>,
}

#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    messages: mpsc::Sender<Envelope>,
}

impl Peers {
    pub(crate) const fn new(token: Token, traffic: Arc<Traffic>, stop: CancellationToken) -> Self {
        Self {
            token,
            traffic,
            stop,
            connections: BTreeMap::new(),
        }
    }

    /// Sends a message to a replica at an address; it may be lost.
    pub(crate) fn send(&mut self, address: SocketAddr, envelope: Envelope) {
        let id = envelope.to;
        let known = self.connections.get(&id);
        if known.is_none_or(|connection| connection.address != address) {
            if self.connections.len() >= MAX_CONNECTIONS {
                self.connections.clear();
            }
            self.connections.insert(id, self.connect(address));
        }
        if let Some(connection) = self.connections.get(&id) {
            let _ = connection.messages.try_send(envelope);
        }
    }

    fn connect(&self, address: SocketAddr) -> Connection {
        let (messages, rx) = mpsc::channel(QUEUED_MESSAGES);
        let client = RpcClient::new(address, self.token.clone(), self.traffic.clone());
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = keep_sending(client, rx) => {}
            }
        });
        Connection { address, messages }
    }
}

/// Sends messages until there is no sender any more, and reconnects when needed.
async fn keep_sending(client: RpcClient, mut messages: mpsc::Receiver<Envelope>) {
    let mut interval = MIN_RECONNECT_INTERVAL;
    while !messages.is_closed() {
        let was_open = send_on_one_stream(&client, &mut messages).await;
        if was_open {
            interval = MIN_RECONNECT_INTERVAL;
        }
        tokio::time::sleep(interval).await;
        interval = (interval * 2).min(MAX_RECONNECT_INTERVAL);
        // What waited meanwhile is out of date.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages until the stream ends. Returns whether it was open.
async fn send_on_one_stream(client: &RpcClient, messages: &mut mpsc::Receiver<Envelope>) -> bool {
    let (tx, rx) = mpsc::channel::<Envelope>(QUEUED_MESSAGES);
    let open = client.streaming::<Envelope, NoAnswer, _>(MESSAGES_PATH, ReceiverStream::new(rx));
    let Ok(Ok(mut answers)) = tokio::time::timeout(OPEN_TIMEOUT, open).await else {
        return false;
    };
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(envelope) => {
                    // A full stream drops the message as a network may.
                    let _ = tx.try_send(envelope);
                }
                None => return true,
            },
            _ = answers.next() => return true,
        }
    }
}

/// Adds the handler of the messages of other replicas to a server.
pub(crate) fn routes(
    server: RpcServer,
    inbox: mpsc::Sender<Envelope>,
    stop: CancellationToken,
) -> RpcServer {
    server.streaming(MESSAGES_PATH, move |messages: Streaming<Envelope>| {
        let inbox = inbox.clone();
        let stop = stop.clone();
        async move {
            let answers = messages
                .filter_map(move |message| take_in(inbox.clone(), message))
                .take_until(stop.cancelled_owned());
            Ok(answers)
        }
    })
}

async fn take_in(
    inbox: mpsc::Sender<Envelope>,
    message: Result<Envelope, Status>,
) -> Option<Result<NoAnswer, Status>> {
    match message {
        Ok(envelope) => match inbox.send(envelope).await {
            Ok(()) => None,
            Err(_) => Some(Err(Status::unavailable("the replica has stopped"))),
        },
        Err(status) => Some(Err(status)),
    }
}
