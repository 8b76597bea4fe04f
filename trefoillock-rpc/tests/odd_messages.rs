//! Messages of another writer: deeply nested ones, and numbers out of range.

use std::time::Duration;

use serde::{Deserialize, Serialize, Serializer, ser::SerializeSeq};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_rpc::{RpcClient, RpcServer, Token};

const TIMEOUT: Duration = Duration::from_secs(10);
/// The stack of the thread that encodes the deepest message.
const WRITER_STACK_BYTES: usize = 256 * 1024 * 1024;

/// A list in a list, to a depth.
struct Nested(u32);

impl Serialize for Nested {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut seq = serializer.serialize_seq(Some(usize::from(self.0 > 0)))?;
        if self.0 > 0 {
            seq.serialize_element(&Self(self.0 - 1))?;
        }
        seq.end()
    }
}

/// The message that the server expects.
#[derive(Debug, Deserialize)]
struct Expected {
    port: u16,
}

#[derive(Serialize)]
struct WithExtra {
    port: u16,
    extra: Nested,
}

#[derive(Serialize)]
struct WithPort<T> {
    port: T,
}

/// Guards against a message that ends the process which reads it, or that is read as another one.
#[test]
fn odd_messages_are_refused_and_the_server_goes_on() {
    let writer = std::thread::Builder::new().stack_size(WRITER_STACK_BYTES);
    let writer = writer.spawn(|| {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().build().expect("a runtime");
        runtime.block_on(send_odd_messages());
    });
    writer.expect("a thread").join().expect("no panic");
}

async fn send_odd_messages() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    // The server has a thread with the stack of a usual one.
    std::thread::spawn(move || {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().build().expect("a runtime");
        let server = RpcServer::new(Token::none(), std::sync::Arc::default());
        let server = server.unary(
            "/test/port",
            |message: Expected| async move { Ok(message.port) },
        );
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener.into_std().expect("a socket"));
            let serving = server.serve(listener.expect("a socket"), CancellationToken::new());
            serving.await.expect("served");
        });
    });
    let client = RpcClient::new(address, Token::none(), std::sync::Arc::default());
    for depth in [120, 1_000, 2_000, 20_000] {
        let extra = Nested(depth);
        let message = WithExtra { port: 7, extra };
        let answer = client.unary::<_, u16>("/test/port", message, TIMEOUT).await;
        // What the server does not need may be nested as long as it is read without harm.
        assert!(answer.as_ref().map_or(true, |port| *port == 7), "{depth}");
        let message = WithPort {
            port: Nested(depth),
        };
        let answer = client.unary::<_, u16>("/test/port", message, TIMEOUT).await;
        assert!(answer.is_err(), "{depth}: {answer:?}");
    }
    for port in [65_536, u64::MAX] {
        let message = WithPort { port };
        let answer = client.unary::<_, u16>("/test/port", message, TIMEOUT).await;
        assert!(answer.is_err(), "{port}: {answer:?}");
    }
    let negative = client.unary::<_, u16>("/test/port", WithPort { port: -1 }, TIMEOUT);
    assert!(negative.await.is_err());
    let valid = client.unary::<_, u16>("/test/port", WithPort { port: 9 }, TIMEOUT);
    assert_eq!(valid.await.expect("the server goes on"), 9);
}
