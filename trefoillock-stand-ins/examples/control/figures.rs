//! The measured figures, their JSON form and their printed table.
//!
//! The source is the process that publishes the configuration: the leading control replica, or the
//! single server of the naive baseline.

use std::time::Duration;

use serde::Serialize;

/// Quantiles of durations, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Times {
    #[serde(rename = "p50_ms")]
    p50: f64,
    #[serde(rename = "p99_ms")]
    p99: f64,
    #[serde(rename = "max_ms")]
    max: f64,
}

impl Times {
    pub(crate) fn of(mut times: Vec<Duration>) -> Self {
        times.sort_unstable();
        let at = |percent: usize| {
            let at = (times.len() * percent).div_ceil(100).max(1) - 1;
            let time = times.get(at).copied().unwrap_or_default();
            time.as_secs_f64() * 1_000.0
        };
        Self {
            p50: at(50),
            p99: at(99),
            max: at(100),
        }
    }
}

/// The traffic and processor time of one process under ordinary load: drains and evidence, but no
/// change of the configuration.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Load {
    pub(crate) sent_bytes_per_s: f64,
    pub(crate) received_bytes_per_s: f64,
    pub(crate) messages_per_s: f64,
    pub(crate) core_percent: f64,
}

impl Load {
    fn bytes_per_s(&self) -> f64 {
        self.sent_bytes_per_s + self.received_bytes_per_s
    }
}

/// The figures of one method of distribution for a fleet of one size.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct DistributionFigures {
    /// The time from a change of the configuration until a node serves it.
    pub(crate) change: Times,
    /// The time from the simultaneous restart of half of the nodes until a node has the newest
    /// configuration and the full list of members.
    pub(crate) herd_return: Times,
    /// The number of bytes that the source sends for one change.
    pub(crate) source_bytes_per_change: f64,
    /// The source under ordinary load.
    pub(crate) source: Load,
    /// The busiest node under ordinary load.
    pub(crate) busiest_node: Load,
    /// The mean of all nodes under ordinary load.
    pub(crate) mean_node: Load,
}

/// The figures of a fleet on the in-memory network.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct VirtualFigures {
    pub(crate) nodes: usize,
    pub(crate) naive: DistributionFigures,
    pub(crate) ours: DistributionFigures,
    /// The time from the simultaneous start of all nodes until a node serves the configuration.
    pub(crate) cold_start: Times,
    /// The time from a change until the leader knows that every node serves it; the slowest change.
    pub(crate) known_in_force_ms: f64,
    /// The time from a drain until the list of a node shows it.
    pub(crate) drain: Times,
    /// The time from the silent loss of a node until the list of a node no longer has it.
    pub(crate) silent_loss: Times,
    /// The time from a change of the leader until every node has a list of the new leader.
    pub(crate) new_leader_list_ms: f64,
    /// The number of nodes attached directly to the leader.
    pub(crate) roots: usize,
    /// The largest number of children of a node.
    pub(crate) most_children: usize,
    pub(crate) config_snapshot_bytes: usize,
    pub(crate) config_delta_bytes: usize,
    pub(crate) members_snapshot_bytes: usize,
    /// The resident memory that each node adds, without the data that the nodes share in this
    /// process.
    pub(crate) memory_per_node_bytes: u64,
    /// The processor time of one node for its first configuration and list of members.
    pub(crate) snapshot_busy_ms: f64,
    /// The number of bytes that the busiest node sends while half of the nodes restart.
    pub(crate) herd_busiest_sent_bytes: u64,
    /// The number of bytes that the source sends while half of the nodes restart.
    pub(crate) herd_source_sent_bytes: u64,
    pub(crate) elapsed_s: f64,
}

/// The figures of a fleet over real sockets in one process.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct SocketFigures {
    pub(crate) nodes: usize,
    pub(crate) naive_change: Times,
    pub(crate) change: Times,
    pub(crate) cold_start: Times,
    pub(crate) naive_source_bytes_per_change: u64,
    pub(crate) source_bytes_per_change: u64,
    /// The processor time of the whole process per node while nothing changes, in percent of a
    /// core.
    pub(crate) idle_core_percent_per_node: f64,
    /// The message bytes per second that a node sends while nothing changes.
    pub(crate) idle_sent_bytes_per_s: f64,
    pub(crate) memory_per_node_bytes: u64,
}

fn format_times(times: Times) -> String {
    format!("{:>6.0} {:>6.0} {:>6.0}", times.p50, times.p99, times.max)
}

fn kilobytes(bytes: f64) -> String {
    format!("{:.1}", bytes / 1_000.0)
}

pub(crate) fn print(fleets: &[VirtualFigures], sockets: &[SocketFigures]) {
    println!("In-memory network, virtual time; times in milliseconds as p50, p99, max");
    for fleet in fleets {
        print_comparison(fleet);
        print_own_figures(fleet);
    }
    println!("\nReal sockets, all in one process; times in milliseconds as p50, p99, max");
    for fleet in sockets {
        print_sockets(fleet);
    }
}

fn row(name: &str, naive: &str, ours: &str) {
    println!("{name:<46}{naive:>24}{ours:>24}");
}

fn print_comparison(f: &VirtualFigures) {
    println!(
        "\n{} nodes, {} attached to the leader, at most {} children",
        f.nodes, f.roots, f.most_children
    );
    row("", "naive", "ours");
    let both = |name: &str, value: &dyn Fn(&DistributionFigures) -> String| {
        row(name, &value(&f.naive), &value(&f.ours));
    };
    both("change until served", &|m| format_times(m.change));
    both("half of the nodes return", &|m| format_times(m.herd_return));
    both("source, KB sent a change", &|m| {
        kilobytes(m.source_bytes_per_change)
    });
    both("source, KB/s sent", &|m| {
        kilobytes(m.source.sent_bytes_per_s)
    });
    both("source, KB/s received", &|m| {
        kilobytes(m.source.received_bytes_per_s)
    });
    both("source, % of a core", &|m| {
        format!("{:.3}", m.source.core_percent)
    });
    both("busiest node, KB/s both ways", &|m| {
        kilobytes(m.busiest_node.bytes_per_s())
    });
    both("mean node, KB/s both ways", &|m| {
        kilobytes(m.mean_node.bytes_per_s())
    });
    both("busiest node, % of a core", &|m| {
        format!("{:.3}", m.busiest_node.core_percent)
    });
}

fn print_own_figures(f: &VirtualFigures) {
    let ours = |name: &str, value: String| row(name, "", &value);
    ours(
        "source, messages/s",
        format!("{:.0}", f.ours.source.messages_per_s),
    );
    ours(
        "busiest node, messages/s",
        format!("{:.0}", f.ours.busiest_node.messages_per_s),
    );
    ours(
        "all start at once, until served",
        format_times(f.cold_start),
    );
    ours(
        "until the leader knows it in force, ms",
        format!("{:.0}", f.known_in_force_ms),
    );
    ours("drain until in every list", format_times(f.drain));
    ours("silent loss until in no list", format_times(f.silent_loss));
    ours(
        "new leader until its list is everywhere, ms",
        format!("{:.0}", f.new_leader_list_ms),
    );
    ours(
        "configuration snapshot, KB",
        kilobytes(f.config_snapshot_bytes as f64),
    );
    ours(
        "configuration delta, KB",
        kilobytes(f.config_delta_bytes as f64),
    );
    ours(
        "members snapshot, KB",
        kilobytes(f.members_snapshot_bytes as f64),
    );
    ours(
        "memory of the machine a node, KB",
        kilobytes(f.memory_per_node_bytes as f64),
    );
    ours(
        "first snapshots, ms of processor a node",
        format!("{:.1}", f.snapshot_busy_ms),
    );
    ours(
        "herd: busiest node, KB sent in all",
        kilobytes(f.herd_busiest_sent_bytes as f64),
    );
    ours(
        "herd: source, KB sent in all",
        kilobytes(f.herd_source_sent_bytes as f64),
    );
    ours("seconds to measure", format!("{:.1}", f.elapsed_s));
}

fn print_sockets(f: &SocketFigures) {
    println!("\n{} nodes", f.nodes);
    row("", "naive", "ours");
    row(
        "change until served",
        &format_times(f.naive_change),
        &format_times(f.change),
    );
    let naive = kilobytes(f.naive_source_bytes_per_change as f64);
    let ours = kilobytes(f.source_bytes_per_change as f64);
    row("source, KB sent a change", &naive, &ours);
    row(
        "all start at once, until served",
        "",
        &format_times(f.cold_start),
    );
    let idle = format!("{:.3}", f.idle_core_percent_per_node);
    row("idle, % of a core a node", "", &idle);
    row(
        "idle, KB/s sent a node",
        "",
        &kilobytes(f.idle_sent_bytes_per_s),
    );
    row(
        "memory a node, KB",
        "",
        &kilobytes(f.memory_per_node_bytes as f64),
    );
}
