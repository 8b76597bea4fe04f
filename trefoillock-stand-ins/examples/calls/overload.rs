//! Measures the goodput when callers offer up to three times the capacity of the backend servers.

use std::{collections::BTreeMap, error::Error, net::SocketAddr, time::Duration};

use serde::Serialize;
use tokio::{task::JoinSet, time::Instant};
use trefoillock_core::Outcome;
use trefoillock_stand_ins::{
    backend_server::BackendServerConfig,
    caller::{CallReport, Caller, CallerRequest},
};

use crate::mesh::ComparedSystems;

/// The number of backend servers.
const SERVERS: usize = 3;
/// The number of slots of a backend server.
const SLOTS: u32 = 9;
/// How long a call runs.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long calls are offered at each load.
const DURATION: Duration = Duration::from_secs(2);
/// The deadline of a call and the timeout of its caller, in milliseconds.
const DEADLINE_MS: u64 = 250;
/// The offered loads as multiples of the capacity.
const LOAD_FACTORS: [u32; 3] = [1, 2, 3];

/// The rate of correctly answered calls as a fraction of the capacity.
#[derive(Debug, Default, Serialize)]
struct Goodput {
    all: f64,
    lookups: f64,
    postings: f64,
    background: f64,
}

#[derive(Debug, Serialize)]
struct Row {
    factor: u32,
    ours: Goodput,
    naive: Goodput,
}

#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    /// The calls per second that the backend servers run when they are called directly by one
    /// closed-loop caller for each slot.
    capacity: f64,
    rows: Vec<Row>,
}

pub(crate) async fn measure() -> Result<Figures, Box<dyn Error>> {
    let server = BackendServerConfig::new("treaty-desk", "1")?
        .capacity(SLOTS, 120)
        .service_time(SERVICE_TIME)
        .connect_delay(Duration::from_millis(1));
    let capacity = measure_capacity(&server).await?;
    let mut rows = Vec::new();
    for factor in LOAD_FACTORS {
        // New systems for each load, because queues of the previous load would distort the result.
        let systems = ComparedSystems::start(&server, SERVERS).await?;
        let rate = capacity * f64::from(factor);
        let ours = offer_load(systems.ours.caller_address(0), rate, capacity).await;
        let naive = offer_load(systems.naive.address(), rate, capacity).await;
        rows.push(Row {
            factor,
            ours,
            naive,
        });
    }
    Ok(Figures { capacity, rows })
}

async fn measure_capacity(server: &BackendServerConfig) -> Result<f64, Box<dyn Error>> {
    let systems = ComparedSystems::start(server, SERVERS).await?;
    let mut callers = JoinSet::new();
    let start = Instant::now();
    for at in 1..=SERVERS {
        let server = systems
            .naive_servers
            .server(at)
            .ok_or("no backend server")?;
        for slot in 0..SLOTS {
            let address = server.address();
            callers.spawn(async move {
                let caller = Caller::new(Duration::from_secs(5));
                let mut calls = 0_u32;
                while start.elapsed() < DURATION / 2 {
                    let id = format!("{at}-{slot}-{calls}");
                    let request = CallerRequest::get(format!("/positions/{id}"), id);
                    caller.call(address, &request).await;
                    calls += 1;
                }
                calls
            });
        }
    }
    let calls: u32 = callers.join_all().await.into_iter().sum();
    Ok(f64::from(calls) / start.elapsed().as_secs_f64())
}

/// Offers calls at a fixed rate: of ten, 6 are lookups, 2 postings and 2 background checks.
async fn offer_load(address: SocketAddr, rate: f64, capacity: f64) -> Goodput {
    let caller = Caller::new(Duration::from_millis(DEADLINE_MS));
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let mut n = 0_u32;
    loop {
        let at = Duration::from_secs_f64(f64::from(n) / rate);
        if at >= DURATION {
            break;
        }
        tokio::time::sleep_until(start + at).await;
        let (class, request) = request(n);
        let (caller, request) = (caller.clone(), request.deadline_ms(DEADLINE_MS));
        calls.spawn(async move { (class, caller.call(address, &request).await) });
        n += 1;
    }
    let mut good: BTreeMap<&str, u32> = BTreeMap::new();
    for (class, report) in calls.join_all().await {
        *good.entry(class).or_default() += u32::from(is_good(&report));
    }
    let share = |class| {
        let count = good.get(class).copied().unwrap_or(0);
        f64::from(count) / DURATION.as_secs_f64() / capacity
    };
    let (lookups, postings, background) = (share("lookup"), share("posting"), share("background"));
    Goodput {
        all: lookups + postings + background,
        lookups,
        postings,
        background,
    }
}

fn request(n: u32) -> (&'static str, CallerRequest) {
    let id = format!("overload-{n}");
    match n % 10 {
        0..=5 => ("lookup", CallerRequest::get(format!("/positions/{id}"), id)),
        6 | 7 => (
            "posting",
            CallerRequest::post(format!("/claims/{id}"), id, "notify"),
        ),
        _ => (
            "background",
            CallerRequest::get(format!("/checks/{id}"), id),
        ),
    }
}

fn is_good(report: &CallReport) -> bool {
    report.outcome == Outcome::Answered
        && report.status.is_some_and(|status| status.is_success())
        && !report.truncated
        && !report.wrong
}

impl Figures {
    pub(crate) fn print(&self) {
        println!(
            "Goodput as a share of the capacity of {:.0} calls/s (all = lookups + postings + background)",
            self.capacity
        );
        for row in &self.rows {
            let text = |g: &Goodput| {
                let (all, lookups) = (g.all * 100.0, g.lookups * 100.0);
                let (postings, background) = (g.postings * 100.0, g.background * 100.0);
                format!("{all:4.0}% = {lookups:3.0} + {postings:3.0} + {background:3.0}")
            };
            let (ours, naive) = (text(&row.ours), text(&row.naive));
            println!("  {}x   trefoillock {ours}   naive {naive}", row.factor);
        }
        println!();
    }
}
