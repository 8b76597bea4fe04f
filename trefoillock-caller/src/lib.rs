//! The entry of calls into the system: accepts HTTP/1.1 and HTTP/2 requests of callers and returns
//! responses with an outcome header.
//!
//! [`serve()`] accepts calls on a listening socket. [`CallHandler`] finds the route of each call,
//! chooses a pool and a backend server, and sends the call through
//! [`trefoillock_node::NodeContext::send`]. It retries, hedges and resumes calls as
//! `trefoillock-policy` decides, and runs at most one posting for each idempotency key.

mod ask_loads;
mod attempt_tracker;
mod call;
mod call_handler;
mod classify_error;
mod combine_failures;
mod dispatch;
mod keyed_posting;
mod pending_call;
mod pool_state;
mod presented_key;
mod recorded_body;
mod replayable_request;
mod request;
mod responses;
mod resume;
mod route_state;
mod serve;
mod server_attempts;
mod stored_body;

pub use call_handler::CallHandler;
pub use serve::serve;
