//! The operations that the operator API needs from a control replica.

use std::time::Duration;

use futures::future::BoxFuture;
use trefoillock_core::{DataCentre, Edit, MoveId, Rollout, ServiceName, Tables, VersionLabel};
use trefoillock_store::{ConfigDocument, ReplaceAnswer};

use crate::{
    ApiError, BurnReport, CancelReport, CheckReport, EditReport, EvacuationsReport, MembersReport,
    MovesReport, ReplicaChange, RolloutsReport, StatusReport, TablesReport, WorkspacesReport,
};

/// A pending response to an operator's request.
type Reply<'a, T> = BoxFuture<'a, Result<T, ApiError>>;

/// The operations that the operator API needs from a control replica.
///
/// Every request is answered from the state of the current leader, or refused with
/// [`ApiErrorKind::NotLeader`](crate::ApiErrorKind::NotLeader).
pub trait OperatorService: Send + Sync + 'static {
    /// Returns the current time, which becomes the time of edits.
    fn now(&self) -> trefoillock_core::Timestamp;

    /// Returns the state of the system.
    fn status(&self) -> Reply<'_, StatusReport>;

    /// Returns the tables, with the keys of workspaces.
    fn tables(&self) -> Reply<'_, TablesReport>;

    /// Returns the workspaces, without their keys.
    fn workspaces(&self) -> Reply<'_, WorkspacesReport>;

    /// Compares valid tables with the current ones, without changing anything.
    fn check(&self, tables: Tables) -> Reply<'_, CheckReport>;

    /// Replaces the tables.
    fn edit(&self, edit: Edit) -> Reply<'_, EditReport>;

    /// Replaces the tables with those of a document with a revision number. The answer says
    /// whether the document was accepted, is based on an outdated revision or is not newer than the
    /// current one.
    fn replace(&self, document: ConfigDocument, tables: Tables) -> Reply<'_, ReplaceAnswer>;

    /// Returns the document that the current tables come from. `None` if the tables have been
    /// edited since, or no document was ever accepted.
    fn document(&self) -> Reply<'_, Option<ConfigDocument>>;

    /// Starts the rollout of a version of a service, to be completed within the given time.
    /// Returns `true` if the rollout was started now or earlier, and `false` if another version is
    /// being rolled out.
    fn start_rollout(
        &self,
        service: ServiceName,
        version: VersionLabel,
        within: Duration,
    ) -> Reply<'_, bool>;

    /// Returns the latest rollout of a service. `None` if there was none.
    fn rollout(&self, service: ServiceName) -> Reply<'_, Option<Rollout>>;

    /// Returns the latest rollout of each service.
    fn rollouts(&self) -> Reply<'_, RolloutsReport>;

    /// Returns the running moves and the recently ended ones.
    fn moves(&self) -> Reply<'_, MovesReport>;

    /// Cancels a move, so that its route returns to the old pool.
    fn cancel(&self, id: MoveId) -> Reply<'_, CancelReport>;

    /// Evacuates a data centre, so that no backend server in it gets calls, and returns the
    /// evacuations after it. A data centre that is evacuated stays so.
    ///
    /// The reply waits until the order is committed, not until the nodes have received it. An
    /// unknown data centre is refused with
    /// [`ApiErrorKind::NotFound`](crate::ApiErrorKind::NotFound).
    fn start_evacuation(&self, data_centre: DataCentre) -> Reply<'_, EvacuationsReport>;

    /// Readmits a data centre and returns the evacuations after it. A known data centre that is not
    /// evacuated stays so; an unknown one is refused.
    fn finish_evacuation(&self, data_centre: DataCentre) -> Reply<'_, EvacuationsReport>;

    /// Returns the evacuated data centres.
    fn evacuations(&self) -> Reply<'_, EvacuationsReport>;

    /// Returns the known backend servers.
    fn members(&self) -> Reply<'_, MembersReport>;

    /// Returns the service-level burn by route and class.
    fn burn(&self) -> Reply<'_, BurnReport>;

    /// Adds, promotes or removes a control replica, and returns the state of the system after it.
    fn change_replicas(&self, change: ReplicaChange) -> Reply<'_, StatusReport>;
}
