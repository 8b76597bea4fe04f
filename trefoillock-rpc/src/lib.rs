//! Typed gRPC calls between the processes of trefoillock, over `tonic`.
//!
//! Messages are `serde` types encoded as MessagePack with named fields, so a newer process can
//! add fields that an older one ignores. No code is generated. The package depends on
//! `trefoillock-core`; every package that calls another process of trefoillock uses it.
//!
//! - [`RpcServer`] dispatches the calls on a listening socket to handlers.
//! - [`RpcClient`] calls a peer.
//! - [`Token`] is the shared secret that every call carries.
//! - [`TrafficCounter`] counts the bytes of messages.

mod client;
mod codec;
mod connector;
mod server;
mod token;
mod traffic_counter;

pub use client::RpcClient;
pub use codec::MessageCodec;
pub use server::{RpcServer, ServeError};
pub use token::Token;
pub use tonic::{Code, Status, Streaming};
pub use traffic_counter::TrafficCounter;
