//! The numbered events of the log.
//!
//! `docs/EVENTS.md` lists them for operators; a test compares the list with this module.

/// The severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// A failure that an operator should look at.
    Error,
    /// An unusual event that the system handles by itself.
    Warn,
    /// An event of normal operation.
    Info,
}

impl From<LogLevel> for log::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
        }
    }
}

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $variant:ident = $number:literal, $name:literal, $level:ident;)+) => {
        /// An event that a process logs. A number is never reused for another event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &[Self] = &[$(Self::$variant),+];

            /// The number of the event.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number),+ }
            }

            /// The name of the event in the log, in kebab case.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name),+ }
            }

            /// The severity of the event.
            #[must_use]
            pub const fn level(self) -> LogLevel {
                match self { $(Self::$variant => LogLevel::$level),+ }
            }

            /// The description of the event and its fields, for operators.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => concat!($($doc),+)),+ }
            }
        }
    };
}

events! {
    /// The process has started; fields: process, version.
    ProcessStarted = 1001, "process-started", Info;
    /// The stop of the process began; calls in flight are completed, new ones are not accepted.
    StopRequested = 1002, "stop-requested", Info;
    /// The process has stopped; fields: cut, the number of calls that were aborted.
    ProcessStopped = 1003, "process-stopped", Info;
    /// A listening socket failed; fields: socket, error.
    ListenerFailed = 1004, "listener-failed", Error;
    /// The time limit of the stop has passed; the calls that are still in flight are aborted.
    CallsCut = 1005, "calls-cut", Warn;
    /// Log lines were dropped because the reader of the log was too slow; fields: count.
    LinesLeftOut = 1006, "lines-left-out", Warn;
    /// The settings file was read again after SIGHUP; fields: applied, and needs-restart: the settings that
    /// differ and take effect at the next start.
    SettingsReloaded = 1007, "settings-reloaded", Info;
    /// The settings file was read again after SIGHUP and is not valid; the old settings stay in force; fields: error.
    SettingsRejected = 1008, "settings-rejected", Error;
    /// The node applied a newer configuration; fields: version, routes, pools.
    ConfigTaken = 1101, "config-taken", Info;
    /// The node attached to a parent in the distribution tree; fields: parent, kind, unattached-millis.
    ParentAttached = 1102, "parent-attached", Info;
    /// The node lost its parent in the distribution tree; fields: parent, kind, reason, unconfirmed-millis, the age of the last answer of a leader.
    ParentLost = 1103, "parent-lost", Warn;
    /// A process did not become the parent of the node; fields: parent, kind, reason.
    AttachFailed = 1104, "attach-failed", Info;
    /// A backend server announced itself or changed; fields: address, service, version, state.
    ServerAnnounced = 1201, "server-announced", Info;
    /// The lease of a backend server expired; fields: address.
    ServerLost = 1202, "server-lost", Warn;
    /// A backend server crashed while it ran a call; fields: server, fingerprint.
    ServerCrashed = 1203, "server-crashed", Warn;
    /// A backend server stated in its answers another limit on the rate of calls; fields: address, limit and
    /// previous in calls per second or none, omitted.
    RateLimitChanged = 1204, "rate-limit-changed", Info;
    /// A backend server said in an answer that it leaves; fields: address, omitted.
    ServerDeparting = 1205, "server-departing", Info;
    /// A backend server made a statement about itself that cannot be read; the statement is ignored; fields:
    /// address, error, omitted.
    StatementIgnored = 1206, "statement-ignored", Warn;
    /// The data centre of the node is evacuated, and the node refuses calls to its backend servers; fields: data-centre,
    /// version, ordered: the time of the order.
    EvacuationApplied = 1207, "evacuation-applied", Info;
    /// The data centre of the node is readmitted, and calls to its backend servers are accepted; fields: data-centre,
    /// version, refused: calls that were refused because of evacuations since the start of the node.
    EvacuationLifted = 1208, "evacuation-lifted", Info;
    /// A backend server turned cold, so that the calls to it are limited; fields: address, limit in calls per
    /// second, left-millis until it is warm as far as it is known, omitted.
    ServerCold = 1209, "server-cold", Info;
    /// A backend server is warm again, and the limit of the warm-up has ended; fields: address, omitted.
    ServerWarm = 1210, "server-warm", Info;
    /// Control has recorded that a backend server left, and its departure is acknowledged; fields: server, runs by their
    /// incarnation, millis it took.
    DepartureRecorded = 1211, "departure-recorded", Info;
    /// Control has not recorded in time that a backend server left. The server gets no new calls from this node, but its
    /// departure is not acknowledged; fields: server, runs by their incarnation, millis it took.
    DepartureUnrecorded = 1212, "departure-unrecorded", Warn;
    /// A node cut the share of a new pool to zero on its own evidence; fields: route, move.
    LocalCut = 1301, "local-cut", Warn;
    /// A rollout took a step, and this node has backend servers of the new version; fields: rollout, service, version, step,
    /// server, calls: those that were sent to the backend server since the order, allowed: those that may be.
    VersionCalls = 1302, "version-calls", Info;
    /// An edit was accepted; fields: id, version, moves.
    EditAccepted = 1401, "edit-accepted", Info;
    /// An edit was refused; fields: id, reason.
    EditRefused = 1402, "edit-refused", Warn;
    /// A numbered document replaced the tables; fields: revision, version.
    DocumentAccepted = 1403, "document-accepted", Info;
    /// A numbered document was refused; fields: revision, current.
    DocumentRefused = 1404, "document-refused", Warn;
    /// A rollout was ordered; fields: service, version, deadline.
    RolloutOrdered = 1405, "rollout-ordered", Info;
    /// A rollout took a step; fields: rollout, service, step, state, share, evidence.
    RolloutStepped = 1406, "rollout-stepped", Info;
    /// The acknowledgement of a numbered document was sent; fields: revision, version, in-force: whether
    /// every known node served it by then, millis waited, lagging nodes, lost nodes.
    DocumentAcknowledged = 1407, "document-acknowledged", Info;
    /// A numbered document was read by an operator; fields: revision, term in which this replica leads.
    DocumentRead = 1408, "document-read", Info;
    /// The leader lets the new version of a rollout get more calls; fields: rollout, service, extension, purpose, granted in
    /// all, before: granted in all until now, allowed by the limits, service-calls and version-calls that are reported, parts by server.
    RolloutAllowance = 1409, "rollout-allowance", Info;
    /// The evacuation of a data centre was ordered; fields: data-centre, version.
    EvacuationStarted = 1410, "evacuation-started", Info;
    /// An evacuated data centre was readmitted; fields: data-centre, version.
    EvacuationFinished = 1411, "evacuation-finished", Info;
    /// A move has started; fields: move, route, from, to, deadline.
    MoveStarted = 1501, "move-started", Info;
    /// A move took a step; fields: move, step, state, share, evidence.
    MoveStepped = 1502, "move-stepped", Info;
    /// A move may miss its deadline; fields: move, route, reason.
    MoveAtRisk = 1503, "move-at-risk", Warn;
    /// A move is done; fields: move, route, evidence.
    MoveDone = 1504, "move-done", Info;
    /// A move was taken back; fields: move, route, reason, evidence.
    MoveTakenBack = 1505, "move-taken-back", Warn;
    /// The replica became leader; fields: term.
    LeaderElected = 1601, "leader-elected", Info;
    /// The replica is no longer leader; fields: term, reason.
    LeaderLost = 1602, "leader-lost", Warn;
    /// A replica was added, promoted, removed or readmitted; fields: change, and replica and reason if no operator ordered it.
    ReplicaChanged = 1603, "replica-changed", Info;
    /// The guards of idempotency keys changed; fields: slots.
    GuardsChanged = 1701, "guards-changed", Info;
    /// A request is refused by all nodes because it crashed backend servers; fields: fingerprint.
    RequestQuarantined = 1702, "request-quarantined", Warn;
    /// Calls of a workspace were refused because its quota is used up; fields: workspace, refused calls since the last
    /// such event.
    QuotaExceeded = 1711, "quota-exceeded", Warn;
    /// Calls were refused because no guard of a quota could be reached or could grant; fields: workspace of the last of them,
    /// refused calls since the last such event.
    QuotaGuardsUnreachable = 1712, "quota-guards-unreachable", Warn;
    /// The node began to grant parts of quotas; fields: workspaces.
    QuotaGuardStarted = 1713, "quota-guard-started", Info;
    /// The node grants no part of a quota any more, because no live leader has confirmed its configuration for too long;
    /// fields: workspaces.
    QuotaGuardStopped = 1714, "quota-guard-stopped", Warn;
    /// A call was retried; fields: request, route, workspace if there is one, server, reason, attempts, millis.
    CallRetried = 1801, "call-retried", Info;
    /// A call ended without an answer from a backend server; fields: request, route, workspace if there is one, outcome,
    /// reason, server, attempts, millis, config, members, limited-by and limit if a limit on the rate ended
    /// it, omitted.
    CallFailed = 1802, "call-failed", Warn;
    /// A call was answered by a backend server; fields: request, route, workspace if there is one, server, version, status,
    /// attempts, millis, config, omitted. Server errors have a higher rate limit than other
    /// answers.
    CallAnswered = 1803, "call-answered", Info;
    /// The destination node refused a call, which did not run; fields: request, workspace if there is one, server, reason,
    /// millis, rank, running, queued, slots, pause, limit if there is one, omitted.
    CallRefused = 1804, "call-refused", Warn;
    /// A call was sent to a local backend server and not answered in full; fields: request,
    /// workspace if there is one, server, reason, millis, part: body if the head had arrived, omitted.
    CallBroken = 1805, "call-broken", Warn;
    /// A call was cancelled because its caller disconnected before the response was complete, or because
    /// another attempt was answered; fields: request, route and attempts at the entry node, workspace if there
    /// is one, server, millis, part: head or body, which the entry node waited for, or destination in the line
    /// of the destination node, omitted.
    CallAbandoned = 1806, "call-abandoned", Info;
    /// A call was refused because it carried no key of a workspace, and its route does not allow anonymous calls; fields:
    /// request, route, reason, key: missing, malformed or unknown, config, omitted. The key itself is never logged.
    ApiKeyRefused = 1821, "api-key-refused", Warn;
}
