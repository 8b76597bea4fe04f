//! The latency that the path adds to a direct call, at rising rates.

use std::{error::Error, net::SocketAddr, time::Duration};

use serde::Serialize;
use tokio::{task::JoinSet, time::Instant};
use trefoillock_stand_ins::{
    backend_server::BackendServerConfig,
    caller::{Caller, CallerRequest},
};

use crate::{bare_relay::BareRelay, mesh::Sides};

/// The calls a second that one node takes.
const NODE_RATE: u32 = 263;
/// The rates that are tried, in calls a second.
const RATES: [u32; 4] = [NODE_RATE, 526, 1_052, 2_104];
/// The time for which a rate is held.
const SPAN: Duration = Duration::from_secs(2);
/// The time for which calls are made before they are counted.
const WARM_UP: Duration = Duration::from_millis(300);
/// The target for both hops together, in milliseconds.
const TARGET_P99_MS: f64 = 0.38;

/// Quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Quantiles {
    p50: f64,
    p99: f64,
    p999: f64,
}

impl Quantiles {
    fn minus(self, other: Self) -> Self {
        Self {
            p50: self.p50 - other.p50,
            p99: self.p99 - other.p99,
            p999: self.p999 - other.p999,
        }
    }
}

#[derive(Debug, Serialize)]
struct Row {
    rate: u32,
    direct: Quantiles,
    ours_added: Quantiles,
    naive_added: Quantiles,
    /// What two relays that only copy bytes add.
    bare_added: Quantiles,
}

#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    target_added_p99_ms: f64,
    /// The highest rate up to which every tried rate holds the target.
    highest_rate_within_target: Option<u32>,
    rows: Vec<Row>,
}

pub(crate) async fn measure() -> Result<Figures, Box<dyn Error>> {
    let server = BackendServerConfig::new("treaty-desk", "1")?;
    let sides = Sides::start(&server, 6).await?;
    let inner = BareRelay::start(sides.direct()?)?;
    let outer = BareRelay::start(inner.address())?;
    let mut rows = Vec::new();
    for rate in RATES {
        let direct = run(sides.direct()?, rate).await;
        let ours = run(sides.ours.caller_address(0), rate).await;
        let naive = run(sides.naive.address(), rate).await;
        let bare = run(outer.address(), rate).await;
        rows.push(Row {
            rate,
            direct,
            ours_added: ours.minus(direct),
            naive_added: naive.minus(direct),
            bare_added: bare.minus(direct),
        });
    }
    let within = rows
        .iter()
        .take_while(|row| row.ours_added.p99 <= TARGET_P99_MS);
    Ok(Figures {
        target_added_p99_ms: TARGET_P99_MS,
        highest_rate_within_target: within.last().map(|row| row.rate),
        rows,
    })
}

/// Makes calls at a rate, whether or not earlier ones were answered.
async fn run(address: SocketAddr, rate: u32) -> Quantiles {
    let caller = Caller::new(Duration::from_secs(5));
    let interval = Duration::from_secs(1) / rate;
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut n = 0_u64;
    while at < WARM_UP + SPAN {
        tokio::time::sleep_until(start + at).await;
        let (caller, counted) = (caller.clone(), at >= WARM_UP);
        let request = CallerRequest::get(format!("/positions/{n}"), format!("{n}"));
        calls.spawn(async move {
            let sent = Instant::now();
            caller.call(address, &request).await;
            counted.then(|| sent.elapsed())
        });
        at += interval;
        n += 1;
    }
    let mut latencies: Vec<f64> = calls
        .join_all()
        .await
        .into_iter()
        .flatten()
        .map(|latency| latency.as_secs_f64() * 1_000.0)
        .collect();
    latencies.sort_by(f64::total_cmp);
    let quantile = |permille: usize| {
        let at = (latencies.len() * permille / 1_000).min(latencies.len().saturating_sub(1));
        latencies.get(at).copied().unwrap_or(f64::NAN)
    };
    Quantiles {
        p50: quantile(500),
        p99: quantile(990),
        p999: quantile(999),
    }
}

impl Figures {
    pub(crate) fn print(&self) {
        println!("Latency added to a direct call, ms (p50 / p99 / p99.9)");
        println!(
            "  calls/s   direct                  trefoillock             naive                   two bare relays"
        );
        for row in &self.rows {
            let text = |q: &Quantiles| format!("{:6.3} {:6.3} {:7.3}", q.p50, q.p99, q.p999);
            let (direct, ours) = (text(&row.direct), text(&row.ours_added));
            let (naive, bare) = (text(&row.naive_added), text(&row.bare_added));
            println!("  {:>7}   {direct}   {ours}   {naive}   {bare}", row.rate);
        }
        let rate = self.highest_rate_within_target;
        let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        let target = self.target_added_p99_ms;
        println!("  highest rate that holds {target} ms at p99: {rate}\n");
    }
}
