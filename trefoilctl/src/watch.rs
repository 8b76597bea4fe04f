//! Watches moves until they end.

use std::time::Duration;

use trefoillock_core::{Move, MoveId, MoveState};
use trefoillock_operator::{ClientError, OperatorClient};

use crate::{exit::Exit, render};

/// Requests the moves every `interval` and prints a line for each change, until the move with the
/// given identity, or without one all moves seen running, have ended.
pub(crate) async fn watch(
    client: &OperatorClient,
    id: Option<MoveId>,
    json: bool,
    interval: Duration,
) -> Result<Exit, ClientError> {
    let mut watched_ids: Vec<MoveId> = Vec::new();
    let mut previous: Vec<Move> = Vec::new();
    loop {
        let moves = client.moves().await?.moves;
        let running = moves.iter().filter(|m| !m.state.is_final()).map(|m| m.id);
        match id {
            Some(id) => watched_ids = vec![id],
            None => watched_ids.extend(running.filter(|id| !previous.iter().any(|m| m.id == *id))),
        }
        let current: Vec<Move> = moves
            .into_iter()
            .filter(|m| watched_ids.contains(&m.id))
            .collect();
        for changed in current.iter().filter(|m| !previous.contains(m)) {
            match serde_json::to_string(changed) {
                Ok(text) if json => println!("{text}"),
                _ => println!("{}", render::move_line(changed)),
            }
        }
        if current.iter().all(|m| m.state.is_final()) {
            return Ok(watch_exit(&current, id));
        }
        previous = current;
        tokio::time::sleep(interval).await;
    }
}

fn watch_exit(current: &[Move], id: Option<MoveId>) -> Exit {
    if id.is_some() && current.is_empty() {
        return Exit::Refused;
    }
    let is_taken_back = |m: &Move| matches!(m.state, MoveState::TakenBack { .. });
    if current.iter().any(is_taken_back) {
        Exit::TakenBack
    } else {
        Exit::Success
    }
}
