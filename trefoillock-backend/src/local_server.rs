//! The calls to one backend server.

use std::{
    io::ErrorKind,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{Request, Response};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout, timeout_at},
};
use trefoillock_core::{Announcement, MemberState, RefusalReason, RouteClass};
use trefoillock_policy::{Demand, LoadHint};
use trefoillock_process::Clock;

use crate::{
    AnswerKind, Body, CallFailure, Crash, Dialect, NotSent, OwnDialect,
    answer_body::AnswerBody,
    connection::Connection,
    slots::{Slot, SlotRefusal, Slots},
};

/// The longest time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time that a connection is kept idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest time that a connection takes to finish its last request after the answer.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// The number of connections that are tried after one was lost.
const PROBES: u32 = 3;
/// The pause between two of them.
const PROBE_PAUSE: Duration = Duration::from_millis(10);

/// The limits of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// The class of the call.
    pub class: RouteClass,
    /// The time by which the answer must have ended.
    pub deadline: Instant,
    /// The longest time that the call waits for a slot.
    pub queue: Duration,
    /// The rank of the call; 0 is the highest.
    pub rank: u8,
    /// The time by which the answer is worth most, if the call has an objective of its own.
    pub objective: Option<Instant>,
}

/// A backend server beside this node, in one incarnation.
///
/// At most as many calls run at once as it announced slots, on at most as many connections as
/// it announced, each of which carries one call at a time.
#[derive(Debug)]
pub struct LocalServer {
    announcement: Announcement,
    crashed: AtomicBool,
    clock: Clock,
    dialect: Arc<dyn Dialect>,
    slots: Arc<Slots>,
    idle: Mutex<Vec<Connection>>,
}

impl LocalServer {
    /// Creates a backend server without connections.
    #[must_use]
    pub fn new(announcement: Announcement, clock: Clock) -> Self {
        let slots = Slots::new(clock, announcement.slots, announcement.connections);
        slots.set_draining(announcement.state == MemberState::Draining);
        Self {
            crashed: AtomicBool::new(false),
            clock,
            dialect: Arc::new(OwnDialect),
            slots: Arc::new(slots),
            idle: Mutex::new(Vec::new()),
            announcement,
        }
    }

    /// What the backend server announced; its state may have changed since.
    #[must_use]
    pub fn dialect(mut self, dialect: Arc<dyn Dialect>) -> Self {
        self.dialect = dialect;
        self
    }

    /// What the backend server announced.
    #[must_use]
    pub const fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// The present load, as this node sees it.
    #[must_use]
    pub fn hint(&self) -> LoadHint {
        self.slots.hint()
    }

    /// Whether the announcement is of the same run with the same limits.
    pub(crate) fn continues(&self, next: &Announcement) -> bool {
        let mut held = self.announcement.clone();
        held.state = next.state;
        held == *next && !self.is_crashed()
    }

    /// Takes over the announced state.
    pub(crate) fn set_state(&self, state: MemberState) {
        self.slots.set_draining(state == MemberState::Draining);
    }

    /// Whether the process was found not to accept connections any more.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.crashed.load(Ordering::Acquire)
    }

    /// Whether new work may be sent.
    ///
    /// # Errors
    ///
    /// Returns the reason why not.
    pub fn check_open(&self) -> Result<(), RefusalReason> {
        if self.slots.is_draining() {
            return Err(RefusalReason::Draining);
        }
        if self.is_crashed() {
            return Err(RefusalReason::Draining);
        }
        Ok(())
    }

    /// Sends a call and returns the head of its answer; the body streams.
    ///
    /// Dropping the future or the body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns the reason, and what is known about the execution of the call.
    pub async fn call(
        self: &Arc<Self>,
        req: Request<Body>,
        limits: CallLimits,
    ) -> Result<Response<Body>, CallFailure> {
        self.check_open().map_err(refuse)?;
        let slot = self
            .slot(limits)
            .await
            .map_err(|refusal| refuse(refusal.reason).with_pause(refusal.pause))?;
        self.check_open().map_err(refuse)?;
        let conn = self.connection(limits).await.map_err(refuse)?;
        self.exchange(conn, req, limits, slot).await
    }

    /// Waits for a slot for a bounded time.
    async fn slot(&self, limits: CallLimits) -> Result<Slot, SlotRefusal> {
        let (now, instant) = (self.clock.now(), Instant::now());
        let at = |time: Instant| now + time.saturating_duration_since(instant);
        let demand = Demand {
            class: limits.class,
            rank: limits.rank,
            deadline: at(limits.deadline),
            objective: limits.objective.map(at),
        };
        let acquiring = self.slots.acquire(demand, limits.queue);
        let acquired = timeout_at(limits.deadline, acquiring).await;
        acquired.unwrap_or_else(|_| Err(RefusalReason::Deadline.into()))
    }

    /// Takes an idle connection or opens a new one.
    async fn connection(&self, limits: CallLimits) -> Result<Connection, RefusalReason> {
        while let Some(mut conn) = self.pop_idle() {
            let ready = timeout(READY_TIMEOUT, conn.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(conn);
            }
        }
        let open = self.slots.open_connection();
        let open = open.ok_or(RefusalReason::Overloaded)?;
        let until = limits.deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let opening = Connection::open(self.announcement.address, open);
        match timeout_at(until, opening).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                self.crashed.store(true, Ordering::Release);
                Err(RefusalReason::Draining)
            }
            Err(_) if until == limits.deadline => Err(RefusalReason::Deadline),
            Ok(Err(_)) | Err(_) => Err(RefusalReason::Unreachable),
        }
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.retain(|conn| {
            !conn.sender.is_closed() && now.duration_since(conn.idle_since) < IDLE_TIMEOUT
        });
        idle.pop()
    }

    /// Takes back a connection whose answer has ended.
    pub(crate) fn put_idle(&self, mut conn: Connection) {
        conn.idle_since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(conn);
    }

    /// Sends the request on the connection and waits for the head of the answer.
    async fn exchange(
        self: &Arc<Self>,
        mut conn: Connection,
        mut req: Request<Body>,
        limits: CallLimits,
        slot: Slot,
    ) -> Result<Response<Body>, CallFailure> {
        let left = limits.deadline.saturating_duration_since(Instant::now());
        let expected = self
            .dialect
            .write(req.headers_mut(), &self.announcement, left);
        let before = conn.written();
        let answer = timeout_at(limits.deadline, conn.sender.try_send_request(req)).await;
        let reason = match answer {
            Ok(Ok(resp)) => {
                let (head, body) = resp.into_parts();
                return match self.dialect.read(expected.as_ref(), &head) {
                    AnswerKind::Answer => {
                        let body = AnswerBody::new(body, conn, self.clone(), slot).boxed();
                        Ok(Response::from_parts(head, body))
                    }
                    AnswerKind::DidNotRun => {
                        // The rest of the refusal leaves the connection as any answer would.
                        drop(AnswerBody::new(body, conn, self.clone(), slot));
                        let proof = NotSent::refused_by_peer();
                        let reason = RefusalReason::RefusedByServer;
                        Err(CallFailure::did_not_run(reason, proof))
                    }
                    AnswerKind::Spoiled => {
                        conn.close().await;
                        Err(CallFailure::may_have_run(RefusalReason::SpoiledAnswer))
                    }
                };
            }
            Ok(Err(_)) => RefusalReason::ConnectionLost,
            Err(_) => RefusalReason::Deadline,
        };
        if conn.close().await == before {
            let proof = NotSent::nothing_written();
            return Err(CallFailure::did_not_run(reason, proof));
        }
        let crash = match reason {
            RefusalReason::ConnectionLost => self.probe().await,
            _ => Crash::No,
        };
        Err(CallFailure::may_have_run(reason).with_crash(crash))
    }

    /// Finds out whether the process still accepts connections after one was lost.
    ///
    /// A process that is dying may still accept one for a moment, so it is asked several times.
    pub async fn probe(&self) -> Crash {
        for attempt in 0..PROBES {
            if attempt > 0 {
                sleep(PROBE_PAUSE).await;
            }
            let opening = TcpStream::connect(self.announcement.address);
            if matches!(timeout(CONNECT_TIMEOUT, opening).await, Ok(Err(_))) {
                self.crashed.store(true, Ordering::Release);
                return Crash::Yes;
            }
        }
        Crash::No
    }
}

/// Refuses a call of which nothing was written.
const fn refuse(reason: RefusalReason) -> CallFailure {
    CallFailure::did_not_run(reason, NotSent::nothing_written())
}
