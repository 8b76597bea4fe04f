//! Measures the maximum call rate of a node with one worker thread.

use std::{
    error::Error,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::Serialize;
use tokio::{task::JoinSet, time::Instant};
use trefoillock_stand_ins::{
    backend_server::BackendServerConfig,
    caller::{Caller, CallerRequest},
};

use crate::mesh::ComparedSystems;

/// The number of callers; each makes one call at a time.
const CALLERS: usize = 48;
/// How long calls are made.
const DURATION: Duration = Duration::from_secs(2);

#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    /// The calls per second through one entry node with one worker thread.
    ours_per_core: f64,
    /// The calls per second through the naive proxy, which has one worker thread.
    naive_per_core: f64,
}

pub(crate) async fn measure() -> Result<Figures, Box<dyn Error>> {
    let server = BackendServerConfig::new("treaty-desk", "1")?.capacity(64, 120);
    let systems = ComparedSystems::start(&server, 6).await?;
    Ok(Figures {
        ours_per_core: measure_throughput(systems.ours.caller_address(0)).await,
        naive_per_core: measure_throughput(systems.naive.address()).await,
    })
}

async fn measure_throughput(address: SocketAddr) -> f64 {
    let caller = Caller::new(Duration::from_secs(5));
    let answered = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let (caller, answered) = (caller.clone(), answered.clone());
        callers.spawn(async move {
            let mut n = 0_u64;
            while start.elapsed() < DURATION {
                let id = format!("{number}-{n}");
                let request = CallerRequest::get(format!("/positions/{id}"), id);
                let report = caller.call(address, &request).await;
                let good = report.status.is_some_and(|status| status.is_success());
                answered.fetch_add(u64::from(good), Ordering::Relaxed);
                n += 1;
            }
        });
    }
    callers.join_all().await;
    let answered = answered.load(Ordering::Relaxed);
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    let answered = answered as f64;
    answered / start.elapsed().as_secs_f64()
}

impl Figures {
    pub(crate) fn print(&self) {
        println!("Calls per second");
        println!(
            "  through an entry node of one core: {:.0}",
            self.ours_per_core
        );
        println!(
            "  through the naive proxy of one core: {:.0}\n",
            self.naive_per_core
        );
    }
}
