//! Asks for the load of backend servers ahead of the next call.

use std::sync::Arc;

use trefoillock_node::NodeContext;

use crate::pool_state::PoolState;

/// The number of asks for each call. In the model of trefoillock-policy/tests/placement.rs two close over
/// half of the gap between hints alone and the ideal.
const ASKS_PER_CALL: usize = 2;

/// Asks for the load of the backend servers of a pool whose reports are the oldest, without waiting for
/// the answers. Does nothing if the pool's reports carry no expected time.
pub(crate) fn ask_loads(cx: &Arc<NodeContext>, pool: &Arc<PoolState>) {
    let now = cx.clock().now();
    let mut sent = 0;
    while sent < ASKS_PER_CALL && cx.may_ask_load(now) {
        let Some(member) = pool.next_ask(now) else {
            return;
        };
        if let Some(report) = cx.local_report(&member) {
            pool.record_hint(now, &member.id, report.load);
            continue;
        }
        let Some(asking) = cx.start_ask(now, &member) else {
            continue;
        };
        sent += 1;
        let (cx, pool) = (cx.clone(), pool.clone());
        tokio::spawn(async move {
            if let Some(report) = asking.await {
                cx.view().record_report(&member, &report);
                pool.record_hint(cx.clock().now(), &member.id, report.load);
            }
        });
    }
}
