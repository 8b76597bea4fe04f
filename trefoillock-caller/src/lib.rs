//! The callers of a node: HTTP/1.1 and HTTP/2 in, answers with their outcome out.
//!
//! The package stands above `trefoillock-node`. [`serve()`] takes calls on a listening socket,
//! finds the route of each call, and sends it through [`trefoillock_node::NodeContext::send`] to
//! a backend server of the route's pool. The decisions are those of `trefoillock-policy`.

mod answer;
mod call;
mod dispatch;
mod entry;
mod failures;
mod flight;
mod keyed_posting;
mod pool_state;
mod recorded_body;
mod replay;
mod request;
mod resume;
mod route_state;
mod serve;
mod stored_body;
mod tried;

pub use entry::Entry;
pub use serve::serve;
