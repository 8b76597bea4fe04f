//! Streaming connections from children: accepts them, forwards their messages as events and
//! sends messages back.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use futures::StreamExt;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use trefoillock_core::Map;
use trefoillock_rpc::{RpcServer, Status, Streaming};

use crate::{ChildKey, DownMessage, UpMessage};

/// The RPC path on which control replicas accept nodes.
pub(crate) const CONTROL_PATH: &str = "/trefoillock.control/subscribe";
/// The RPC path on which relays accept nodes.
pub(crate) const RELAY_PATH: &str = "/trefoillock.control/relay";
/// The capacity of the queue of messages to one child; messages beyond it are dropped and sent
/// again later.
const CHILD_QUEUE_CAPACITY: usize = 64;
/// The capacity of the queue of connection events to the state machine.
pub(crate) const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// The sending half of a child's connection.
#[derive(Debug)]
pub(crate) struct ChildSender {
    messages: mpsc::Sender<DownMessage>,
    stop: CancellationToken,
}

/// An event on a child's connection.
#[derive(Debug)]
pub(crate) enum ChildEvent {
    /// The connection was opened.
    Opened(ChildKey, ChildSender),
    /// A message arrived.
    Message(ChildKey, Box<UpMessage>),
    /// The connection ended.
    Closed(ChildKey),
}

/// Adds the streaming call by which children attach to `server`, and sends the events of their
/// connections to `events`.
pub(crate) fn add_attach_call(
    server: RpcServer,
    path: &'static str,
    events: mpsc::Sender<ChildEvent>,
) -> RpcServer {
    let next_key = Arc::new(AtomicU64::new(0));
    server.streaming(path, move |messages: Streaming<UpMessage>| {
        let key = ChildKey::new(next_key.fetch_add(1, Ordering::Relaxed));
        let events = events.clone();
        async move {
            let (tx, rx) = mpsc::channel(CHILD_QUEUE_CAPACITY);
            let stop = CancellationToken::new();
            let sender = ChildSender {
                messages: tx,
                stop: stop.clone(),
            };
            let opened = events.send(ChildEvent::Opened(key, sender)).await;
            opened.map_err(|_| Status::unavailable("the process is stopping"))?;
            tokio::spawn(forward_messages(key, messages, events, stop));
            Ok(ReceiverStream::new(rx).map(Ok))
        }
    })
}

/// Forwards the messages of a child as events until its connection ends.
async fn forward_messages(
    key: ChildKey,
    mut messages: Streaming<UpMessage>,
    events: mpsc::Sender<ChildEvent>,
    stop: CancellationToken,
) {
    let forward = async {
        while let Some(Ok(message)) = messages.next().await {
            let event = ChildEvent::Message(key, Box::new(message));
            if events.send(event).await.is_err() {
                return;
            }
        }
    };
    stop.run_until_cancelled(forward).await;
    // The receiver is dropped only when the process stops, so a failed send can be ignored.
    let _ = events.send(ChildEvent::Closed(key)).await;
}

/// The sending halves of all children's connections.
#[derive(Debug, Default)]
pub(crate) struct ChildSenders {
    senders: Map<ChildKey, ChildSender>,
}

impl ChildSenders {
    /// Adds a connection.
    pub(crate) fn open(&mut self, key: ChildKey, sender: ChildSender) {
        self.senders.insert(key, sender);
    }

    /// Sends a message, or drops it if the child's queue is full.
    pub(crate) fn send(&self, key: ChildKey, message: DownMessage) {
        if let Some(sender) = self.senders.get(&key)
            && sender.messages.try_send(message).is_err()
        {
            log::debug!("dropped a message to child {key:?}: its queue is full or closed");
        }
    }

    /// Closes a connection after the messages that are already queued.
    pub(crate) fn close(&mut self, key: ChildKey) {
        if let Some(sender) = self.senders.remove(&key) {
            sender.stop.cancel();
        }
    }
}
