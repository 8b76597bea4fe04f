//! The stand-in callers of the demonstration. They make calls at fixed rates, send some postings
//! twice and count what they observe.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use trefoillock_core::Outcome;

use super::plan::CallPlan;
use crate::caller::{CallReport, Caller, CallerRequest};

/// The time after which a caller gives up on an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// On average, one in this number of postings is sent again even if it was answered.
const POSTINGS_PER_RESEND: u32 = 10;

/// What all callers observed.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallTally {
    /// The number of calls by kind, outcome and reason.
    pub(crate) outcomes: BTreeMap<(&'static str, &'static str, String), u64>,
    /// The number of answers with wrong content, see [`CallReport::wrong`].
    pub(crate) wrong: u64,
    /// The identities of calls that were refused as did-not-run each time they were sent.
    pub(crate) refused: Vec<String>,
    /// The number of postings that were sent again.
    pub(crate) resent: u64,
    /// The number of calls by path and by whether they are postings.
    pub(crate) by_path: BTreeMap<(&'static str, bool), u64>,
}

/// The addresses of the nodes that callers use; they change when nodes stop or start.
pub(crate) type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// The callers and their counts.
pub(crate) struct CallLoad {
    addresses: Addresses,
    tally: Arc<Mutex<CallTally>>,
    stop: CancellationToken,
    tasks: TaskTracker,
    next_number: Arc<AtomicU64>,
}

impl CallLoad {
    /// Creates a load generator without callers.
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses: Arc::new(Mutex::new(addresses)),
            tally: Arc::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            next_number: Arc::default(),
        }
    }

    /// Replaces the addresses that callers use.
    pub(crate) fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Starts making calls as planned. Each send goes to a node that is drawn at random.
    pub(crate) fn start(&self, plan: CallPlan, seed: u64) {
        let (addresses, tally) = (self.addresses.clone(), self.tally.clone());
        let (stop, tasks, next_number) = (
            self.stop.clone(),
            self.tasks.clone(),
            self.next_number.clone(),
        );
        let period = Duration::from_secs(1) / plan.rate.max(1);
        self.tasks.spawn(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let caller = Caller::new(CALL_TIMEOUT);
            let mut tick = tokio::time::interval(period);
            while stop.run_until_cancelled(tick.tick()).await.is_some() {
                let pick = |rng: &mut Pcg64Mcg| {
                    let addresses = addresses.lock().unwrap_or_else(PoisonError::into_inner);
                    let at = rng.random_range(0..addresses.len().max(1));
                    addresses.get(at).copied()
                };
                let (Some(first), Some(second)) = (pick(&mut rng), pick(&mut rng)) else {
                    continue;
                };
                let call = Call {
                    plan,
                    id: request_id(plan, next_number.fetch_add(1, Ordering::Relaxed)),
                    first,
                    second,
                    resend: plan.posting && rng.random_range(0..POSTINGS_PER_RESEND) == 0,
                };
                tasks.spawn(call.make(caller.clone(), tally.clone()));
            }
        });
    }

    /// Stops making calls, waits for the calls in flight and returns the counts.
    pub(crate) async fn finish(&self) -> CallTally {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The number of calls on a path that have ended so far, without postings.
    pub(crate) fn calls_on(&self, path: &'static str) -> u64 {
        let tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.by_path.get(&(path, false)).copied().unwrap_or(0)
    }
}

/// The prefix of the identities of postings.
pub(crate) const POSTING: &str = "posting";

fn request_id(plan: CallPlan, number: u64) -> String {
    let kind = if plan.posting { POSTING } else { "call" };
    format!("{kind}-{number}")
}

/// One call of a stand-in caller, with the addresses of the nodes for the first send and a resend.
struct Call {
    plan: CallPlan,
    id: String,
    first: SocketAddr,
    second: SocketAddr,
    /// Whether a posting is sent again even if it was answered, as if its answer had been lost.
    resend: bool,
}

impl Call {
    async fn make(self, caller: Caller, tally: Arc<Mutex<CallTally>>) {
        let req = if self.plan.posting {
            CallerRequest::post(self.plan.path, &self.id, format!("body of {}", self.id))
                .key(&self.id)
        } else {
            CallerRequest::get(self.plan.path, &self.id)
        };
        let first = caller.call(self.first, &req).await;
        let is_uncertain = first.outcome == Outcome::MayHaveRun;
        let second = if self.plan.posting && (is_uncertain || self.resend) {
            Some(caller.call(self.second, &req).await)
        } else {
            None
        };
        let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.count(&self, &first, second.as_ref());
    }
}

impl CallTally {
    fn count(&mut self, call: &Call, first: &CallReport, second: Option<&CallReport>) {
        let kind = if call.plan.posting {
            "posting"
        } else {
            "other"
        };
        let reason = first.reason.clone().unwrap_or_else(|| match first.status {
            None => "no-answer".to_owned(),
            Some(status) if status.is_success() => String::new(),
            Some(status) => status.as_str().to_owned(),
        });
        *self
            .outcomes
            .entry((kind, first.outcome.as_str(), reason))
            .or_default() += 1;
        *self
            .by_path
            .entry((call.plan.path, call.plan.posting))
            .or_default() += 1;
        self.wrong += u64::from(first.wrong) + second.map_or(0, |second| u64::from(second.wrong));
        self.resent += u64::from(second.is_some());
        let refused = |report: &CallReport| report.outcome == Outcome::DidNotRun;
        if refused(first) && second.is_none_or(refused) {
            self.refused.push(call.id.clone());
        }
    }
}
