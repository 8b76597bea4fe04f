//! Connections from children.

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

/// The path at which control replicas take nodes.
pub(crate) const CONTROL_PATH: &str = "/trefoillock.control/subscribe";
/// The path at which nodes take children.
pub(crate) const RELAY_PATH: &str = "/trefoillock.control/relay";
/// The number of messages that wait for a child; more are dropped and sent again later.
const CHILD_QUEUE: usize = 64;
/// The number of events that wait for the machine.
pub(crate) const EVENT_QUEUE: usize = 1_024;

/// The sending half of a child's connection.
#[derive(Debug)]
pub(crate) struct ChildSender {
    messages: mpsc::Sender<DownMessage>,
    stop: CancellationToken,
}

/// Something that happened on a child's connection.
#[derive(Debug)]
pub(crate) enum ChildEvent {
    /// The connection was opened.
    Opened(ChildKey, ChildSender),
    /// A message arrived.
    Message(ChildKey, Box<UpMessage>),
    /// The connection ended.
    Closed(ChildKey),
}

/// Adds the call by which children attach, and reports what happens to `events`.
pub(crate) fn add_route(
    server: RpcServer,
    path: &'static str,
    events: mpsc::Sender<ChildEvent>,
) -> RpcServer {
    let next_key = Arc::new(AtomicU64::new(0));
    server.streaming(path, move |messages: Streaming<UpMessage>| {
        let key = ChildKey::new(next_key.fetch_add(1, Ordering::Relaxed));
        let events = events.clone();
        async move {
            let (tx, rx) = mpsc::channel(CHILD_QUEUE);
            let stop = CancellationToken::new();
            let sender = ChildSender {
                messages: tx,
                stop: stop.clone(),
            };
            let opened = events.send(ChildEvent::Opened(key, sender)).await;
            opened.map_err(|_| Status::unavailable("the process is stopping"))?;
            tokio::spawn(read(key, messages, events, stop));
            Ok(ReceiverStream::new(rx).map(Ok))
        }
    })
}

/// Passes the messages of a child on until its connection ends.
async fn read(
    key: ChildKey,
    mut messages: Streaming<UpMessage>,
    events: mpsc::Sender<ChildEvent>,
    stop: CancellationToken,
) {
    let pass_on = async {
        while let Some(Ok(message)) = messages.next().await {
            let event = ChildEvent::Message(key, Box::new(message));
            if events.send(event).await.is_err() {
                return;
            }
        }
    };
    stop.run_until_cancelled(pass_on).await;
    // The receiver only goes away when the process stops.
    let _ = events.send(ChildEvent::Closed(key)).await;
}

/// The connections of all children.
#[derive(Debug, Default)]
pub(crate) struct ChildSenders {
    senders: Map<ChildKey, ChildSender>,
}

impl ChildSenders {
    /// Adds a connection.
    pub(crate) fn open(&mut self, key: ChildKey, sender: ChildSender) {
        self.senders.insert(key, sender);
    }

    /// Sends a message, unless the child is too slow to take it.
    pub(crate) fn send(&self, key: ChildKey, message: DownMessage) {
        if let Some(sender) = self.senders.get(&key)
            && sender.messages.try_send(message).is_err()
        {
            log::debug!("a message to the child {key:?} was dropped");
        }
    }

    /// Closes a connection once the messages before were sent.
    pub(crate) fn close(&mut self, key: ChildKey) {
        if let Some(sender) = self.senders.remove(&key) {
            sender.stop.cancel();
        }
    }
}
