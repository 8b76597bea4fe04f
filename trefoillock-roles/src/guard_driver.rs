//! Assigns the guards of idempotency keys and quotas while this replica leads.
//!
//! The keys and the workspaces are divided into slots; each slot has a set of nodes, its guards, that
//! store which keys were used and keep the quotas. Without keys and quotas there are none. The driver compares the guard sets in the configuration with the live nodes and
//! proposes new sets to the replicated log.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use tokio::sync::watch;
use trefoillock_core::{Config, Guard, GuardTable, Map};
use trefoillock_node::ask_guard_acks;
use trefoillock_policy::{DeadGuards, GuardAck, GuardAcks, plan_guards};
use trefoillock_process::Event;
use trefoillock_replica::ReplicaHandle;
use trefoillock_rpc::{RpcClient, TrafficCounter};
use trefoillock_store::{Command, CommandAnswer};

use crate::{
    leadership::{LastLedTerm, Leadership},
    process_context::ProcessContext,
    shared_store::SharedStore,
};

/// The time between two plans of the guard sets.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Plans the guard sets and proposes changes while this replica leads.
pub(crate) struct GuardDriver {
    context: ProcessContext,
    replica: ReplicaHandle,
    store: SharedStore,
    traffic: Arc<TrafficCounter>,
    acks: GuardAcks,
    clients: Map<SocketAddr, RpcClient>,
    last_led_term: LastLedTerm,
}

impl GuardDriver {
    pub(crate) fn new(
        context: ProcessContext,
        replica: ReplicaHandle,
        store: SharedStore,
        traffic: Arc<TrafficCounter>,
    ) -> Self {
        Self {
            context,
            replica,
            store,
            traffic,
            acks: GuardAcks::new(),
            clients: Map::default(),
            last_led_term: LastLedTerm::default(),
        }
    }

    /// Runs until the process shuts down. Acknowledgements of guards are discarded when this replica
    /// begins to lead in a new term.
    pub(crate) async fn run(
        mut self,
        leadership: watch::Receiver<Leadership>,
        live: watch::Receiver<Arc<Vec<Guard>>>,
    ) {
        let mut tick = tokio::time::interval(PLAN_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while self
            .context
            .shutdown
            .run_until_cancelled(tick.tick())
            .await
            .is_some()
        {
            let leadership = *leadership.borrow();
            if self.last_led_term.begins_anew(leadership) {
                self.acks = GuardAcks::new();
            }
            let live = live.borrow().clone();
            if leadership.term.is_some() && !live.is_empty() {
                self.plan_and_propose(&live).await;
            }
        }
    }

    async fn plan_and_propose(&mut self, live: &[Guard]) {
        let config = self.store.lock().config().clone();
        if !self.context.settings.calls.idempotency_keys && !has_quotas(&config) {
            return;
        }
        self.collect_acks(config.guards(), live).await;
        let now = self.context.clock.now();
        let dead = DeadGuards::new();
        let sets = plan_guards(now, config.guards(), live, &dead, &self.acks);
        if sets.is_empty() {
            return;
        }
        let Ok(command) = Command::Guards(sets).encode() else {
            return;
        };
        let answer = self.replica.propose(command).await;
        let answer = answer
            .ok()
            .and_then(|(_, bytes)| CommandAnswer::decode(&bytes).ok());
        if let Some(CommandAnswer::Guards(slots)) = answer {
            self.context
                .events
                .write(Event::GuardsChanged, &[("slots", &slots)]);
        }
    }

    /// Asks the live guards of sets that are not settled yet for which slots they are active, and
    /// records their acknowledgements. Guards that do not answer are skipped.
    async fn collect_acks(&mut self, table: &GuardTable, live: &[Guard]) {
        let unsettled = table
            .iter()
            .filter(|(slot, set)| !self.acks.is_settled(**slot, set));
        let guards: BTreeSet<&Guard> = unsettled.flat_map(|(_, set)| &set.guards).collect();
        let guards: Vec<&Guard> = guards
            .into_iter()
            .filter(|guard| live.contains(guard))
            .collect();
        let requests = guards.iter().map(|guard| {
            let client = self.client(guard.peer_address);
            async move { (*guard, ask_guard_acks(&client).await) }
        });
        let requests: Vec<_> = requests.collect();
        let answers = futures::future::join_all(requests).await;
        let received = answers
            .into_iter()
            .filter_map(|(guard, acks)| Some((guard, acks.ok()?)));
        for (guard, acks) in received {
            self.record(guard, &acks);
        }
        self.remove_stale_clients(live);
    }

    fn record(&mut self, guard: &Guard, acks: &[GuardAck]) {
        for ack in acks {
            self.acks.record(*ack, &guard.node, guard.incarnation);
        }
    }

    fn client(&mut self, address: SocketAddr) -> RpcClient {
        let (token, traffic) = (&self.context.token, &self.traffic);
        let client = || RpcClient::new(address, token.clone(), traffic.clone());
        self.clients.entry(address).or_insert_with(client).clone()
    }

    fn remove_stale_clients(&mut self, live: &[Guard]) {
        let addresses: BTreeSet<SocketAddr> = live.iter().map(|guard| guard.peer_address).collect();
        self.clients
            .retain(|address, _| addresses.contains(address));
    }
}

/// Whether a workspace has a quota.
fn has_quotas(config: &Config) -> bool {
    let mut workspaces = config.tables().workspaces().into_iter().flatten();
    workspaces.any(|(_, workspace)| workspace.quota.is_some())
}
