//! The state machine of the tables.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use trefoillock_core::{
    Config, ConfigVersion, Edit, EditAnswer, EditId, EditRefusal, GuardSet, GuardSlot, GuardTable,
    LogIndex, Move, MoveEnd, MoveId, MoveShare, MoveState, MoveStep, Rollout, RolloutShare,
    RolloutState, RolloutStep, RouteName, ServiceName, Share, Tables, Timestamp, VersionLabel,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    CancelAnswer, Command, CommandAnswer, Document, ReplaceAnswer, Replacement,
    edits::{EditPlan, plan_edit},
    encoding,
};

/// The number of ended moves that are kept for reports.
const MAX_ENDED_MOVES: usize = 256;
/// The number of edits whose answers are kept for resends.
const MAX_EDIT_ANSWERS: usize = 4_096;

/// the snapshot of the tables cannot be read: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct RestoreError(String);

impl std::error::Error for RestoreError {}

/// The answer that an edit identity got, with the hash of the edit's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StoredAnswer {
    id: EditId,
    content: u64,
    answer: EditAnswer,
}

/// The parts of the state that a snapshot holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct State {
    config: Arc<Config>,
    running: BTreeMap<RouteName, Move>,
    ended: VecDeque<Move>,
    answers: VecDeque<StoredAnswer>,
    last_move: MoveId,
    #[serde(default)]
    document: Option<Document>,
    /// The number of the last document that was accepted.
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    documents: VecDeque<AcceptedDocument>,
    #[serde(default)]
    rollouts: BTreeMap<ServiceName, Rollout>,
}

/// A document that was accepted, for its resends.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct AcceptedDocument {
    content: u128,
    version: ConfigVersion,
}

/// The replicated tables, moves and guards.
#[derive(Debug, Clone, Default)]
pub struct TableStore {
    state: State,
}

impl TableStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The present configuration.
    #[must_use]
    pub const fn config(&self) -> &Arc<Config> {
        &self.state.config
    }

    /// The moves that have not ended, ordered by route.
    pub fn running_moves(&self) -> impl Iterator<Item = &Move> {
        self.state.running.values()
    }

    /// The moves that have ended, oldest first; only the last ones are kept.
    pub fn ended_moves(&self) -> impl Iterator<Item = &Move> {
        self.state.ended.iter()
    }

    /// The document that the tables were read from, unless they were edited since.
    #[must_use]
    pub const fn document(&self) -> Option<&Document> {
        self.state.document.as_ref()
    }

    /// The latest roll-out of each service.
    #[must_use]
    pub const fn rollouts(&self) -> &BTreeMap<ServiceName, Rollout> {
        &self.state.rollouts
    }

    /// Applies the command at a position of the log.
    ///
    /// The result depends on nothing but the state and the arguments.
    pub fn apply(&mut self, index: LogIndex, command: Command) -> CommandAnswer {
        let version = ConfigVersion::from(index);
        match command {
            Command::Edit(edit) => CommandAnswer::Edit(self.apply_edit(version, edit)),
            Command::MoveStep(step) => CommandAnswer::MoveStep(self.apply_step(version, step)),
            Command::CancelMove { id, at } => CommandAnswer::Cancel(self.cancel(version, id, at)),
            Command::Guards(sets) => CommandAnswer::Guards(self.apply_guards(version, sets)),
            Command::Replace(new) => CommandAnswer::Replace(self.apply_replacement(version, *new)),
            Command::StartRollout {
                service,
                version: to,
                at,
                deadline,
            } => CommandAnswer::Rollout(self.start_rollout(version, service, to, (at, deadline))),
            Command::RolloutStep(step) => {
                CommandAnswer::RolloutStep(self.apply_rollout_step(version, step))
            }
        }
    }

    /// Applies an encoded command; bytes that are no command change nothing.
    pub fn apply_encoded(&mut self, index: LogIndex, command: &[u8]) -> CommandAnswer {
        match Command::decode(command) {
            Ok(command) => self.apply(index, command),
            Err(_) => CommandAnswer::Undecodable,
        }
    }

    /// Encodes the whole state.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        encoding::encode(&self.state).unwrap_or_default()
    }

    /// Replaces the state by an encoded one.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the bytes are no state or break a rule of the
    /// configuration.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let state: State =
            encoding::decode(snapshot).map_err(|error| RestoreError(error.to_string()))?;
        state
            .config
            .check()
            .map_err(|error| RestoreError(error.to_string()))?;
        self.state = state;
        Ok(())
    }

    fn apply_edit(&mut self, version: ConfigVersion, edit: Edit) -> EditAnswer {
        let content = content_of(&edit);
        if let Some(stored) = self
            .state
            .answers
            .iter()
            .find(|stored| stored.id == edit.id)
        {
            if stored.content == content {
                return stored.answer.clone();
            }
            return EditAnswer::Refused(EditRefusal::IdentityReused(edit.id));
        }
        let answer = match plan_edit(&self.state.config, &self.state.running, &edit) {
            Ok(plan) => self.accept(version, &edit, plan),
            Err(refusal) => EditAnswer::Refused(refusal),
        };
        self.keep_answer(StoredAnswer {
            id: edit.id,
            content,
            answer: answer.clone(),
        });
        answer
    }

    fn accept(&mut self, version: ConfigVersion, edit: &Edit, plan: EditPlan) -> EditAnswer {
        for id in plan.taken_back {
            self.end(
                id,
                MoveState::TakenBack {
                    end: MoveEnd::Cancelled,
                },
                edit.at,
                "edited back",
            );
        }
        for (id, deadline) in plan.deadlines {
            if let Some(running) = self.state.running.values_mut().find(|m| m.id == id) {
                running.deadline = deadline;
            }
        }
        let mut moves = Vec::with_capacity(plan.starts.len());
        for (route, from, to, deadline) in plan.starts {
            let id = self.state.last_move.next();
            self.state.last_move = id;
            moves.push(id);
            let start = Move {
                id,
                route: route.clone(),
                from,
                to,
                deadline,
                started: edit.at,
                state: MoveState::WaitingForServers,
                share: Share::ZERO,
                step: 0,
                stepped: edit.at,
                evidence: String::new(),
            };
            self.state.running.insert(route, start);
        }
        self.state.document = None;
        self.replace_config(version, version, edit.tables.clone());
        EditAnswer::Accepted { version, moves }
    }

    fn apply_replacement(&mut self, version: ConfigVersion, new: Replacement) -> ReplaceAnswer {
        let content = new.document.content();
        let mut known = self.state.documents.iter();
        if let Some(accepted) = known.find(|accepted| accepted.content == content) {
            return ReplaceAnswer::Accepted(accepted.version);
        }
        let current = self.state.revision;
        if new.document.base != current {
            return ReplaceAnswer::Conflict { current };
        }
        if new.document.revision <= current {
            return ReplaceAnswer::NotNewer { current };
        }
        self.state
            .documents
            .push_back(AcceptedDocument { content, version });
        if self.state.documents.len() > MAX_EDIT_ANSWERS {
            self.state.documents.pop_front();
        }
        self.state.revision = new.document.revision;
        self.state.document = Some(new.document);
        self.end_moves_of_changed_routes(&new.tables, new.at);
        self.replace_config(version, version, new.tables);
        ReplaceAnswer::Accepted(version)
    }

    /// Takes back the moves whose route the new tables send elsewhere.
    fn end_moves_of_changed_routes(&mut self, tables: &Tables, at: Timestamp) {
        let stays = |m: &Move| {
            let route = tables.routes().get(&m.route);
            let has_pools = [&m.from, &m.to]
                .iter()
                .all(|pool| tables.pools().contains_key(*pool));
            has_pools && route.is_some_and(|route| route.pool == m.to)
        };
        let ended: Vec<MoveId> = self
            .running_moves()
            .filter(|m| !stays(m))
            .map(|m| m.id)
            .collect();
        for id in ended {
            let end = MoveEnd::Cancelled;
            self.end(
                id,
                MoveState::TakenBack { end },
                at,
                "the tables were replaced",
            );
        }
    }

    fn start_rollout(
        &mut self,
        version: ConfigVersion,
        service: ServiceName,
        to: VersionLabel,
        (started, deadline): (Timestamp, Timestamp),
    ) -> bool {
        if let Some(held) = self.state.rollouts.get(&service) {
            if held.version == to {
                return true;
            }
            if !held.state.is_final() {
                return false;
            }
        }
        self.state.last_move = self.state.last_move.next();
        let rollout = Rollout {
            id: self.state.last_move,
            service: service.clone(),
            version: to,
            started,
            deadline,
            state: RolloutState::Running,
            share: Share::ZERO,
            step: 0,
            evidence: String::new(),
        };
        self.state.rollouts.insert(service, rollout);
        self.refresh_shares(version);
        true
    }

    fn apply_rollout_step(&mut self, version: ConfigVersion, step: RolloutStep) -> bool {
        let mut rollouts = self.state.rollouts.values_mut();
        let Some(rollout) = rollouts.find(|rollout| rollout.id == step.id) else {
            return false;
        };
        if rollout.state.is_final() || step.step != rollout.step + 1 {
            return false;
        }
        rollout.step = step.step;
        rollout.state = step.state;
        rollout.share = step.share;
        rollout.evidence = step.evidence;
        self.refresh_shares(version);
        true
    }

    fn apply_step(&mut self, version: ConfigVersion, step: MoveStep) -> bool {
        let Some(running) = self.state.running.values_mut().find(|m| m.id == step.id) else {
            return false;
        };
        if step.step != running.step + 1 {
            return false;
        }
        running.step = step.step;
        running.state = step.state;
        running.share = step.share;
        running.stepped = step.at;
        running.evidence = step.evidence;
        if step.state.is_final() {
            self.finish(version, step.id);
        } else {
            self.refresh_shares(version);
        }
        true
    }

    fn cancel(&mut self, version: ConfigVersion, id: MoveId, at: Timestamp) -> CancelAnswer {
        if self.state.running.values().any(|running| running.id == id) {
            let state = MoveState::TakenBack {
                end: MoveEnd::Cancelled,
            };
            let evidence = "cancelled by an operator";
            let ended = self.end(id, state, at, evidence);
            self.take_back_route(version, ended.as_ref());
            return CancelAnswer::TakenBack;
        }
        if self.state.ended.iter().any(|ended| ended.id == id) {
            CancelAnswer::AlreadyEnded
        } else {
            CancelAnswer::Unknown
        }
    }

    fn apply_guards(&mut self, version: ConfigVersion, sets: Vec<(GuardSlot, GuardSet)>) -> usize {
        let mut guards: GuardTable = self.state.config.guards().clone();
        let mut changed = 0;
        for (slot, set) in sets {
            let epoch = guards.get(&slot).map_or(0, |old| old.epoch);
            if set.epoch == epoch + 1 {
                guards.insert(slot, set);
                changed += 1;
            }
        }
        if changed > 0 {
            let config = &self.state.config;
            let (tables_version, tables) = (config.tables_version(), config.tables().clone());
            self.set_config(version, tables_version, tables, guards);
        }
        changed
    }

    /// Removes a move from the running ones and keeps it among the ended ones.
    fn end(&mut self, id: MoveId, state: MoveState, at: Timestamp, evidence: &str) -> Option<Move> {
        let route = self
            .state
            .running
            .values()
            .find(|m| m.id == id)?
            .route
            .clone();
        let mut ended = self.state.running.remove(&route)?;
        if !ended.state.is_final() {
            ended.state = state;
            ended.stepped = at;
            evidence.clone_into(&mut ended.evidence);
        }
        ended.share = match ended.state {
            MoveState::Done => Share::FULL,
            _ => Share::ZERO,
        };
        self.state.ended.push_back(ended.clone());
        if self.state.ended.len() > MAX_ENDED_MOVES {
            self.state.ended.pop_front();
        }
        Some(ended)
    }

    /// Ends a move whose state has just become final.
    fn finish(&mut self, version: ConfigVersion, id: MoveId) {
        let ended = self.end(id, MoveState::Done, Timestamp::EPOCH, "");
        match ended {
            Some(Move {
                state: MoveState::TakenBack { .. },
                ..
            }) => {
                self.take_back_route(version, ended.as_ref());
            }
            _ => self.refresh_shares(version),
        }
    }

    /// Points the route of a move that was taken back at its old pool again.
    fn take_back_route(&mut self, version: ConfigVersion, ended: Option<&Move>) {
        let tables = ended.and_then(|m| {
            self.state
                .config
                .tables()
                .with_route_pool(&m.route, &m.from)
                .ok()
        });
        match tables {
            Some(tables) => self.replace_config(version, version, tables),
            None => self.refresh_shares(version),
        }
    }

    /// Makes a new configuration with the same tables and the present shares.
    fn refresh_shares(&mut self, version: ConfigVersion) {
        let config = &self.state.config;
        let (tables_version, tables) = (config.tables_version(), config.tables().clone());
        self.replace_config(version, tables_version, tables);
    }

    fn replace_config(
        &mut self,
        version: ConfigVersion,
        tables_version: ConfigVersion,
        tables: Tables,
    ) {
        let guards = self.state.config.guards().clone();
        self.set_config(version, tables_version, tables, guards);
    }

    fn set_config(
        &mut self,
        version: ConfigVersion,
        tables_version: ConfigVersion,
        tables: Tables,
        guards: GuardTable,
    ) {
        let shares = self
            .state
            .running
            .values()
            .map(|m| (m.route.clone(), share_of(m)))
            .collect();
        let rollouts = self.state.rollouts.iter();
        let rollouts = rollouts
            .map(|(service, rollout)| (service.clone(), RolloutShare::from(rollout)))
            .collect();
        match Config::new(version, tables_version, tables, shares, guards) {
            Ok(config) => self.state.config = Arc::new(config.with_rollouts(rollouts)),
            Err(error) => debug_assert!(false, "an accepted change broke a rule: {error}"),
        }
    }

    fn keep_answer(&mut self, answer: StoredAnswer) {
        self.state.answers.push_back(answer);
        if self.state.answers.len() > MAX_EDIT_ANSWERS {
            self.state.answers.pop_front();
        }
    }
}

fn share_of(running: &Move) -> MoveShare {
    MoveShare {
        id: running.id,
        step: running.step,
        from: running.from.clone(),
        to: running.to.clone(),
        share: running.share,
    }
}

/// The hash of what a resend of an edit repeats; the time of receipt is not part of it.
fn content_of(edit: &Edit) -> u64 {
    xxh3_64(&rmp_serde::to_vec_named(&(edit.base, &edit.tables)).unwrap_or_default())
}
