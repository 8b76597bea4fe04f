//! Connections to the other replicas. Messages may be lost; the protocol sends them again.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{ReplicaId, data};
use trefoillock_rpc::{RpcClient, RpcServer, Status, Streaming, Token, TrafficCounter};

use crate::Envelope;

/// The path of the message stream between replicas.
const MESSAGES_PATH: &str = "/trefoillock.replica/messages";
/// The number of messages queued for a slow peer. Further ones are dropped.
const QUEUED_MESSAGES: usize = 256;
/// The first interval between attempts to reach a peer. Replicas that start together listen within
/// a few of these intervals.
const MIN_RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// The longest interval between attempts to reach a peer. The interval doubles up to it.
const MAX_RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout for opening a stream, including the connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of connections, to members and other replicas. All are closed when it is
/// reached.
const MAX_CONNECTIONS: usize = 32;

/// The answer type of the message stream. No answer is ever sent.
#[data]
struct NoAnswer;

/// The connections to the other replicas.
#[derive(Debug)]
pub(crate) struct Peers {
    token: Token,
    traffic: Arc<TrafficCounter>,
    stop: CancellationToken,
    connections: BTreeMap<ReplicaId, Connection>,
}

/// The queue of the task that sends messages to one address.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    messages: mpsc::Sender<Envelope>,
}

impl Peers {
    pub(crate) const fn new(
        token: Token,
        traffic: Arc<TrafficCounter>,
        stop: CancellationToken,
    ) -> Self {
        Self {
            token,
            traffic,
            stop,
            connections: BTreeMap::new(),
        }
    }

    /// Sends a message to a replica at an address, without waiting. It may be lost.
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
                () = run_connection(client, rx) => {}
            }
        });
        Connection { address, messages }
    }
}

/// Sends messages until the queue is closed, and reconnects when a stream ends.
async fn run_connection(client: RpcClient, mut messages: mpsc::Receiver<Envelope>) {
    let mut interval = MIN_RECONNECT_INTERVAL;
    while !messages.is_closed() {
        let was_open = send_on_stream(&client, &mut messages).await;
        if was_open {
            interval = MIN_RECONNECT_INTERVAL;
        }
        tokio::time::sleep(interval).await;
        interval = (interval * 2).min(MAX_RECONNECT_INTERVAL);
        // Messages that were queued in the meantime are out of date.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages on one stream until it ends. Returns whether it could be opened.
async fn send_on_stream(client: &RpcClient, messages: &mut mpsc::Receiver<Envelope>) -> bool {
    let (tx, rx) = mpsc::channel::<Envelope>(QUEUED_MESSAGES);
    let open = client.streaming::<Envelope, NoAnswer, _>(MESSAGES_PATH, ReceiverStream::new(rx));
    let Ok(Ok(mut answers)) = tokio::time::timeout(OPEN_TIMEOUT, open).await else {
        return false;
    };
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(envelope) => {
                    // A message for a full stream is dropped, as a network may do.
                    let _ = tx.try_send(envelope);
                }
                None => return true,
            },
            _ = answers.next() => return true,
        }
    }
}

/// Adds the handler of the message stream to a server.
pub(crate) fn add_rpc_handlers(
    server: RpcServer,
    inbox: mpsc::Sender<Envelope>,
    stop: CancellationToken,
) -> RpcServer {
    server.streaming(MESSAGES_PATH, move |messages: Streaming<Envelope>| {
        let inbox = inbox.clone();
        let stop = stop.clone();
        async move {
            let answers = messages
                .filter_map(move |message| deliver_to_inbox(inbox.clone(), message))
                .take_until(stop.cancelled_owned());
            Ok(answers)
        }
    })
}

/// Passes a received message to the inbox. Returns an answer only to end the stream with an error.
async fn deliver_to_inbox(
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
