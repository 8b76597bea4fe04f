//! Measures the latency that the path adds to a direct call, at increasing call rates.

use std::{error::Error, net::SocketAddr, time::Duration};

use serde::Serialize;
use tokio::{task::JoinSet, time::Instant};
use trefoillock_stand_ins::{
    backend_server::BackendServerConfig,
    caller::{Caller, CallerRequest},
};

use crate::{bare_relay::BareRelay, mesh::ComparedSystems};

/// The call rate of one node, in calls per second.
const NODE_CALL_RATE: u32 = 263;
/// The measured call rates, in calls per second.
const CALL_RATES: [u32; 4] = [NODE_CALL_RATE, 526, 1_052, 2_104];
/// How long calls are measured at each rate.
const DURATION: Duration = Duration::from_secs(2);
/// How long calls are made before they are measured.
const WARM_UP: Duration = Duration::from_millis(300);
/// The target for the latency that both hops together add at p99, in milliseconds.
const TARGET_P99_MS: f64 = 0.38;

/// Latency quantiles in milliseconds.
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
    /// The latency that two relays add that only copy bytes.
    bare_added: Quantiles,
}

#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    target_added_p99_ms: f64,
    /// The highest measured rate such that this rate and all lower ones meet the target.
    highest_rate_within_target: Option<u32>,
    rows: Vec<Row>,
}

pub(crate) async fn measure() -> Result<Figures, Box<dyn Error>> {
    let server = BackendServerConfig::new("treaty-desk", "1")?;
    let systems = ComparedSystems::start(&server, 6).await?;
    let inner = BareRelay::start(systems.direct()?)?;
    let outer = BareRelay::start(inner.address())?;
    let mut rows = Vec::new();
    for rate in CALL_RATES {
        let direct = measure_rate(systems.direct()?, rate).await;
        let ours = measure_rate(systems.ours.caller_address(0), rate).await;
        let naive = measure_rate(systems.naive.address(), rate).await;
        let bare = measure_rate(outer.address(), rate).await;
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

/// Measures calls at a fixed rate, an open loop: calls do not wait for the answers to earlier ones.
async fn measure_rate(address: SocketAddr, rate: u32) -> Quantiles {
    let caller = Caller::new(Duration::from_secs(5));
    let interval = Duration::from_secs(1) / rate;
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut n = 0_u64;
    while at < WARM_UP + DURATION {
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
        println!("  highest rate that meets {target} ms at p99: {rate}\n");
    }
}
