//! Typed calls between the processes of trefoillock over `tonic`.
//!
//! Messages are plain `serde` types in MessagePack with named fields, so that a newer process
//! can add fields and an older one skips them. No code is generated. The package stands above
//! `trefoillock-core` and below every package that talks to another process of ours.
//!
//! - [`RpcServer`] holds the handlers of a listening socket.
//! - [`RpcClient`] calls a peer.
//! - [`Token`] is the shared secret that every call carries.
//! - [`Traffic`] counts the bytes of messages.

mod client;
mod codec;
mod server;
mod token;
mod traffic;

pub use client::RpcClient;
pub use codec::MessageCodec;
pub use server::{RpcServer, ServeError};
pub use token::Token;
pub use tonic::{Code, Status, Streaming};
pub use traffic::Traffic;
