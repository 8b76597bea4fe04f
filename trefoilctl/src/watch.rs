//! Following moves until they end.

use std::time::Duration;

use trefoillock_core::{Move, MoveId, MoveState};
use trefoillock_operator::{ClientError, OperatorClient};

use crate::{exit::Exit, render};

/// Prints a line for each change of the moves until all running ones, or the one named, have
/// ended.
pub(crate) async fn watch(
    client: &OperatorClient,
    id: Option<MoveId>,
    json: bool,
    pause: Duration,
) -> Result<Exit, ClientError> {
    let mut watched: Vec<MoveId> = Vec::new();
    let mut last: Vec<Move> = Vec::new();
    loop {
        let moves = client.moves().await?.moves;
        let running = moves.iter().filter(|m| !m.state.is_final()).map(|m| m.id);
        match id {
            Some(id) => watched = vec![id],
            None => watched.extend(running.filter(|id| !last.iter().any(|m| m.id == *id))),
        }
        let followed: Vec<Move> = moves
            .into_iter()
            .filter(|m| watched.contains(&m.id))
            .collect();
        for changed in followed.iter().filter(|m| !last.contains(m)) {
            match serde_json::to_string(changed) {
                Ok(text) if json => println!("{text}"),
                _ => println!("{}", render::progress(changed)),
            }
        }
        if followed.iter().all(|m| m.state.is_final()) {
            return Ok(exit_of(&followed, id));
        }
        last = followed;
        tokio::time::sleep(pause).await;
    }
}

fn exit_of(followed: &[Move], id: Option<MoveId>) -> Exit {
    if id.is_some() && followed.is_empty() {
        return Exit::Refused;
    }
    let taken_back = |m: &Move| matches!(m.state, MoveState::TakenBack { .. });
    if followed.iter().any(taken_back) {
        Exit::TakenBack
    } else {
        Exit::Success
    }
}
