//! Asks a backend server at its health path whether it is cold.

use std::time::Duration;

use http::{Request, header};
use trefoillock_core::{Announcement, HealthPath};

use crate::{Dialect, connection::Connection, empty_body, slots::ConnectionPermit};

/// The time that the backend server is told to have for its answer.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Sends a health check over a connection of its own, which is closed afterwards. Returns for how
/// long the backend server stays cold; `None` if it does not state it.
pub(crate) async fn ask(
    dialect: &dyn Dialect,
    announcement: &Announcement,
    path: &HealthPath,
    permit: ConnectionPermit,
) -> Option<Duration> {
    let address = announcement.address;
    let mut conn = Connection::open(address, permit).await.ok()?;
    let req = Request::get(path.as_str()).header(header::HOST, address.to_string());
    let mut req = req.body(empty_body()).ok()?;
    dialect.write_request_headers(req.headers_mut(), announcement, ANSWER_TIME, None);
    let resp = conn.sender.try_send_request(req).await.ok()?;
    let (head, _) = resp.into_parts();
    dialect.read_warm_up(&head)
}
