//! What a control replica does for operators.

use futures::future::BoxFuture;
use trefoillock_core::{Edit, MoveId, Tables};

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
