//! The callers of a node: HTTP/1.1 and HTTP/2 in, answers with their outcome out.
//!
//! The package stands above `trefoillock-node`. [`serve`] takes calls on a listening socket,
//! finds the route of each call, and sends it through [`trefoillock_node::NodeContext::send`] to
//! a backend server of the route's pool.

mod answer;
mod call;
mod entry;
mod recorded_body;
mod request;
mod serve;

pub use entry::Entry;
pub use serve::serve;
