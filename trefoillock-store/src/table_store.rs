//! State machine of the replicated tables: applies commands of the log and derives the
//! configuration from the state.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use trefoillock_core::{
    Config, ConfigVersion, DataCentre, DrainedRuns, Edit, EditAnswer, EditId, EditRefusal,
    Evacuations, GuardSet, GuardSlot, GuardTable, LogIndex, Move, MoveId, MoveShare, MoveState,
    MoveStep, Rollout, RolloutAllowance, RolloutProgress, RolloutShare, RolloutState, RolloutStep,
    RouteName, ServiceName, Share, Tables, TakeBackReason, Timestamp, VersionLabel,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    CancelAnswer, Command, CommandAnswer, ConfigDocument, ReplaceAnswer, TablesReplacement,
    edits::{EditPlan, plan_edit},
    encoding,
};

/// Number of versions of one service that are kept as rejected.
const MAX_REJECTED_VERSIONS: usize = 64;
/// Number of ended moves kept for reports.
const MAX_ENDED_MOVES: usize = 256;
/// Number of edits, and of documents, whose answers are kept so that a resend gets the same
/// answer.
const MAX_STORED_ANSWERS: usize = 4_096;

/// cannot restore the tables from the snapshot: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct RestoreError(String);

impl std::error::Error for RestoreError {}

/// Answer given to an edit, with a hash of the edit's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StoredAnswer {
    id: EditId,
    content: u64,
    answer: EditAnswer,
}

/// The replicated state; a snapshot holds all of it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct State {
    config: Arc<Config>,
    running: BTreeMap<RouteName, Move>,
    ended: VecDeque<Move>,
    answers: VecDeque<StoredAnswer>,
    last_move: MoveId,
    #[serde(default)]
    document: Option<ConfigDocument>,
    /// Revision number of the last accepted document.
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    documents: VecDeque<AcceptedDocument>,
    #[serde(default)]
    rollouts: BTreeMap<ServiceName, Rollout>,
    /// The departures that nodes have recorded.
    #[serde(default)]
    drained: Arc<DrainedRuns>,
}

/// Hash of an accepted document and the version it resulted in, to answer resends.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct AcceptedDocument {
    content: u128,
    version: ConfigVersion,
}

/// The replicated tables, moves, rollouts and guards.
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

    /// The current configuration.
    #[must_use]
    pub const fn config(&self) -> &Arc<Config> {
        &self.state.config
    }

    /// Moves that have not ended, ordered by route.
    pub fn running_moves(&self) -> impl Iterator<Item = &Move> {
        self.state.running.values()
    }

    /// Moves that have ended, oldest first. Only the most recent ones are kept.
    pub fn ended_moves(&self) -> impl Iterator<Item = &Move> {
        self.state.ended.iter()
    }

    /// The document that the tables were read from; `None` once they have been edited since.
    #[must_use]
    pub const fn document(&self) -> Option<&ConfigDocument> {
        self.state.document.as_ref()
    }

    /// The latest rollout of each service.
    #[must_use]
    pub const fn rollouts(&self) -> &BTreeMap<ServiceName, Rollout> {
        &self.state.rollouts
    }

    /// The runs of backend servers whose departure nodes have recorded.
    #[must_use]
    pub const fn drained_runs(&self) -> &Arc<DrainedRuns> {
        &self.state.drained
    }

    /// Applies the command at a position of the log.
    ///
    /// The result depends on the state and the arguments only, so that all replicas agree.
    pub fn apply(&mut self, index: LogIndex, command: Command) -> CommandAnswer {
        let version = ConfigVersion::from(index);
        match command {
            Command::Edit(edit) => CommandAnswer::Edit(self.apply_edit(version, edit)),
            Command::MoveStep(step) => CommandAnswer::MoveStep(self.apply_move_step(version, step)),
            Command::CancelMove { id, at } => {
                CommandAnswer::Cancel(self.cancel_move(version, id, at))
            }
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
            Command::RolloutProgress { id, progress } => {
                CommandAnswer::RolloutProgress(self.record_rollout_progress(id, progress))
            }
            Command::RolloutAllowance { id, allowance } => {
                CommandAnswer::RolloutAllowance(self.extend_allowance(version, id, allowance))
            }
            Command::StartEvacuation { data_centre, at } => {
                CommandAnswer::Evacuation(self.start_evacuation(version, data_centre, at))
            }
            Command::FinishEvacuation { data_centre } => {
                CommandAnswer::Evacuation(self.finish_evacuation(version, &data_centre))
            }
            Command::RecordDeparture { node, departure } => {
                let drained = Arc::make_mut(&mut self.state.drained);
                CommandAnswer::Departure(drained.record(&node, &departure))
            }
        }
    }

    /// Applies an encoded command. Bytes that are not a command leave the state unchanged.
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

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the state unchanged, if the snapshot cannot be decoded or
    /// holds an invalid configuration.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let state: State =
            encoding::decode(snapshot).map_err(|error| RestoreError(error.to_string()))?;
        state
            .config
            .validate()
            .map_err(|error| RestoreError(error.to_string()))?;
        self.state = state;
        Ok(())
    }

    fn apply_edit(&mut self, version: ConfigVersion, edit: Edit) -> EditAnswer {
        let content = content_hash(&edit);
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
            Ok(plan) => self.apply_edit_plan(version, &edit, plan),
            Err(refusal) => EditAnswer::Refused(refusal),
        };
        self.store_answer(StoredAnswer {
            id: edit.id,
            content,
            answer: answer.clone(),
        });
        answer
    }

    fn apply_edit_plan(
        &mut self,
        version: ConfigVersion,
        edit: &Edit,
        plan: EditPlan,
    ) -> EditAnswer {
        for id in plan.taken_back {
            self.end_move(
                id,
                MoveState::TakenBack {
                    end: TakeBackReason::Cancelled,
                },
                edit.at,
                "edited back",
            );
        }
        for (id, deadline) in plan.new_deadlines {
            if let Some(running) = self.state.running.values_mut().find(|m| m.id == id) {
                running.deadline = deadline;
            }
        }
        let mut moves = Vec::with_capacity(plan.new_moves.len());
        for (route, from, to, deadline) in plan.new_moves {
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

    fn apply_replacement(
        &mut self,
        version: ConfigVersion,
        new: TablesReplacement,
    ) -> ReplaceAnswer {
        let content = new.document.content_hash();
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
        if self.state.documents.len() > MAX_STORED_ANSWERS {
            self.state.documents.pop_front();
        }
        self.state.revision = new.document.revision;
        self.state.document = Some(new.document);
        self.end_moves_of_changed_routes(&new.tables, new.at);
        self.replace_config(version, version, new.tables);
        ReplaceAnswer::Accepted(version)
    }

    /// Takes back the moves whose route points to another pool in the new tables, or whose pools
    /// are missing there.
    fn end_moves_of_changed_routes(&mut self, tables: &Tables, at: Timestamp) {
        let continues = |m: &Move| {
            let route = tables.routes().get(&m.route);
            let has_pools = [&m.from, &m.to]
                .iter()
                .all(|pool| tables.pools().contains_key(*pool));
            has_pools && route.is_some_and(|route| route.pool == m.to)
        };
        let ended: Vec<MoveId> = self
            .running_moves()
            .filter(|m| !continues(m))
            .map(|m| m.id)
            .collect();
        for id in ended {
            let end = TakeBackReason::Cancelled;
            self.end_move(
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
        if let Some(existing) = self.state.rollouts.get(&service) {
            if existing.version == to {
                return true;
            }
            if !existing.state.is_final() {
                return false;
            }
        }
        let previous = self.state.rollouts.get(&service);
        let rejected = previous.map(|previous| rejected_versions(previous, &to));
        self.state.last_move = self.state.last_move.next();
        let rollout = Rollout {
            id: self.state.last_move,
            rejected: rejected.unwrap_or_default(),
            allowance: RolloutAllowance::default(),
            progress: RolloutProgress::default(),
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

    fn record_rollout_progress(&mut self, id: MoveId, progress: RolloutProgress) -> bool {
        let mut rollouts = self.state.rollouts.values_mut();
        let Some(rollout) = rollouts.find(|rollout| rollout.id == id) else {
            return false;
        };
        let is_further = progress.elapsed > rollout.progress.elapsed;
        if rollout.state.is_final() || !is_further {
            return false;
        }
        rollout.progress = progress;
        true
    }

    /// Extends the allowance of a rollout. One that does not directly follow the held one was
    /// planned from an older state, so it is refused.
    fn extend_allowance(
        &mut self,
        version: ConfigVersion,
        id: MoveId,
        allowance: RolloutAllowance,
    ) -> bool {
        let mut rollouts = self.state.rollouts.values_mut();
        let Some(rollout) = rollouts.find(|rollout| rollout.id == id) else {
            return false;
        };
        let held = &rollout.allowance;
        let is_extension =
            allowance.serial == held.serial + 1 && allowance.granted() >= held.granted();
        if rollout.state.is_final() || !is_extension {
            return false;
        }
        rollout.allowance = allowance;
        self.refresh_shares(version);
        true
    }

    fn start_evacuation(
        &mut self,
        version: ConfigVersion,
        data_centre: DataCentre,
        at: Timestamp,
    ) -> bool {
        let mut evacuations = self.state.config.evacuations().clone();
        if evacuations.contains_key(&data_centre) {
            return false;
        }
        evacuations.insert(data_centre, at);
        self.replace_evacuations(version, evacuations);
        true
    }

    fn finish_evacuation(&mut self, version: ConfigVersion, data_centre: &DataCentre) -> bool {
        let mut evacuations = self.state.config.evacuations().clone();
        if evacuations.remove(data_centre).is_none() {
            return false;
        }
        self.replace_evacuations(version, evacuations);
        true
    }

    /// Makes a new version of the configuration that differs in its evacuations only.
    fn replace_evacuations(&mut self, version: ConfigVersion, evacuations: Evacuations) {
        let config = &self.state.config;
        let (tables_version, tables) = (config.tables_version(), config.tables().clone());
        let guards = config.guards().clone();
        self.set_config(version, tables_version, tables, guards, evacuations);
    }

    fn apply_move_step(&mut self, version: ConfigVersion, step: MoveStep) -> bool {
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
            self.end_finished_move(version, step.id);
        } else {
            self.refresh_shares(version);
        }
        true
    }

    fn cancel_move(&mut self, version: ConfigVersion, id: MoveId, at: Timestamp) -> CancelAnswer {
        if self.state.running.values().any(|running| running.id == id) {
            let state = MoveState::TakenBack {
                end: TakeBackReason::Cancelled,
            };
            let evidence = "cancelled by an operator";
            let ended = self.end_move(id, state, at, evidence);
            self.restore_old_pool(version, ended.as_ref());
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
            let evacuations = config.evacuations().clone();
            self.set_config(version, tables_version, tables, guards, evacuations);
        }
        changed
    }

    /// Takes a move out of the running ones and adds it to the ended ones. `state`, `at` and
    /// `evidence` apply only if the state of the move is not final yet.
    fn end_move(
        &mut self,
        id: MoveId,
        state: MoveState,
        at: Timestamp,
        evidence: &str,
    ) -> Option<Move> {
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

    /// Ends a move whose last step made its state final.
    fn end_finished_move(&mut self, version: ConfigVersion, id: MoveId) {
        let ended = self.end_move(id, MoveState::Done, Timestamp::EPOCH, "");
        match ended {
            Some(Move {
                state: MoveState::TakenBack { .. },
                ..
            }) => {
                self.restore_old_pool(version, ended.as_ref());
            }
            _ => self.refresh_shares(version),
        }
    }

    /// Points the route of a move that was taken back to its old pool again.
    fn restore_old_pool(&mut self, version: ConfigVersion, ended: Option<&Move>) {
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

    /// Makes a new version of the configuration with the same tables and the current shares.
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
        let config = &self.state.config;
        let (guards, evacuations) = (config.guards().clone(), config.evacuations().clone());
        self.set_config(version, tables_version, tables, guards, evacuations);
    }

    fn set_config(
        &mut self,
        version: ConfigVersion,
        tables_version: ConfigVersion,
        tables: Tables,
        guards: GuardTable,
        evacuations: Evacuations,
    ) {
        let shares = self
            .state
            .running
            .values()
            .map(|m| (m.route.clone(), move_share(m)))
            .collect();
        let rollouts = self.state.rollouts.iter();
        let rollouts = rollouts
            .map(|(service, rollout)| (service.clone(), RolloutShare::from(rollout)))
            .collect();
        match Config::new(version, tables_version, tables, shares, guards) {
            Ok(config) => {
                let config = config.with_rollouts(rollouts);
                self.state.config = Arc::new(config.with_evacuations(evacuations));
            }
            Err(error) => debug_assert!(
                false,
                "an accepted command produced an invalid configuration: {error}"
            ),
        }
    }

    fn store_answer(&mut self, answer: StoredAnswer) {
        self.state.answers.push_back(answer);
        if self.state.answers.len() > MAX_STORED_ANSWERS {
            self.state.answers.pop_front();
        }
    }
}

fn move_share(running: &Move) -> MoveShare {
    MoveShare {
        id: running.id,
        step: running.step,
        from: running.from.clone(),
        to: running.to.clone(),
        share: running.share,
    }
}

/// Hash of the parts of an edit that a resend repeats; the time of receipt is not one of them.
fn content_hash(edit: &Edit) -> u64 {
    xxh3_64(&rmp_serde::to_vec_named(&(edit.base, &edit.tables)).unwrap_or_default())
}

/// The versions that get no calls in a rollout of version `next` after `previous`, oldest first.
fn rejected_versions(previous: &Rollout, next: &VersionLabel) -> Vec<VersionLabel> {
    let mut rejected = previous.rejected.clone();
    if previous.state == RolloutState::RolledBack {
        rejected.push(previous.version.clone());
    }
    rejected.retain(|version| version != next);
    let surplus = rejected.len().saturating_sub(MAX_REJECTED_VERSIONS);
    rejected.drain(..surplus);
    rejected
}
