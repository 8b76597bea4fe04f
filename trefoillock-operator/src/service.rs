//! What a control replica does for operators.

use std::time::Duration;

use futures::future::BoxFuture;
use trefoillock_core::{Edit, MoveId, Rollout, ServiceName, Tables, VersionLabel};
use trefoillock_store::{Document, ReplaceAnswer};

use crate::{
    ApiError, BurnReport, CancelReport, CheckReport, EditReport, MembersReport, MovesReport,
    ReplicaChange, StatusReport, TablesReport,
};

/// The answer to an operator's request.
type Reply<'a, T> = BoxFuture<'a, Result<T, ApiError>>;

/// What a control replica does for operators. Every request is answered from the state of a
/// live leader, or refused with `NotLeader`.
pub trait OperatorService: Send + Sync + 'static {
    /// The present time.
    fn now(&self) -> trefoillock_core::Timestamp;

    /// The state of the system.
    fn status(&self) -> Reply<'_, StatusReport>;

    /// The two tables.
    fn tables(&self) -> Reply<'_, TablesReport>;

    /// Compares valid tables with the present ones and changes nothing.
    fn check(&self, tables: Tables) -> Reply<'_, CheckReport>;

    /// Replaces the tables.
    fn edit(&self, edit: Edit) -> Reply<'_, EditReport>;

    /// Replaces the tables by those that were read from a numbered document.
    fn replace(&self, document: Document, tables: Tables) -> Reply<'_, ReplaceAnswer>;

    /// The document that the tables were read from, if they were not edited since.
    fn document(&self) -> Reply<'_, Option<Document>>;

    /// Orders the roll-out of a version of a service within a time. Returns whether it was
    /// ordered, now or before; it is not while another version is being rolled out.
    fn start_rollout(
        &self,
        service: ServiceName,
        version: VersionLabel,
        within: Duration,
    ) -> Reply<'_, bool>;

    /// The latest roll-out of a service.
    fn rollout(&self, service: ServiceName) -> Reply<'_, Option<Rollout>>;

    /// The moves.
    fn moves(&self) -> Reply<'_, MovesReport>;

    /// Cancels a move.
    fn cancel(&self, id: MoveId) -> Reply<'_, CancelReport>;

    /// The backend servers.
    fn members(&self) -> Reply<'_, MembersReport>;

    /// The service-level burn.
    fn burn(&self) -> Reply<'_, BurnReport>;

    /// Changes the set of control replicas.
    fn change_replicas(&self, change: ReplicaChange) -> Reply<'_, StatusReport>;
}
