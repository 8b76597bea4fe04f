//! The figures and how they are printed.

use std::time::Duration;

use serde::Serialize;

/// Quantiles of times, in milliseconds.
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

/// Bytes, messages and processor time of one role while nothing but ordinary work goes on.
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

/// What one way of distribution takes at one size.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Way {
    /// One change of the configuration, until a node serves it.
    pub(crate) change: Times,
    /// Half of the nodes die and return at once, until the last one serves the newest version.
    pub(crate) herd_return: Times,
    /// Bytes that the source sends for one change.
    pub(crate) source_bytes_per_change: f64,
    /// The source under ordinary work.
    pub(crate) source: Load,
    /// The busiest node under ordinary work.
    pub(crate) busiest_node: Load,
    /// The mean of all nodes under ordinary work.
    pub(crate) mean_node: Load,
}

/// Figures of a fleet on the in-memory network.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct VirtualFigures {
    pub(crate) nodes: usize,
    pub(crate) naive: Way,
    pub(crate) ours: Way,
    /// All nodes start at once, until a node serves the configuration.
    pub(crate) cold_start: Times,
    /// From a change until the leader knows that every node serves it.
    pub(crate) known_in_force_ms: f64,
    /// From a drain until it stands in the list of every node.
    pub(crate) drain: Times,
    /// From the silent loss of a node until it is in no list.
    pub(crate) silent_loss: Times,
    /// From a change of the leader until every node holds a list of the new leader.
    pub(crate) new_leader_list_ms: f64,
    /// Nodes attached to the leader.
    pub(crate) roots: usize,
    /// The largest number of children of a node.
    pub(crate) most_children: usize,
    pub(crate) config_snapshot_bytes: usize,
    pub(crate) config_delta_bytes: usize,
    pub(crate) members_snapshot_bytes: usize,
    /// Memory of the process for each node, without what the nodes share in this process.
    pub(crate) memory_per_node_bytes: u64,
    /// Processor time of one node for the first configuration and list.
    pub(crate) snapshot_busy_ms: f64,
    /// The busiest node's bytes sent while half of the nodes return.
    pub(crate) herd_busiest_sent_bytes: u64,
    /// The source's bytes sent while half of the nodes return.
    pub(crate) herd_source_sent_bytes: u64,
    pub(crate) elapsed_s: f64,
}

/// Figures of a fleet over real sockets in one process.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct SocketFigures {
    pub(crate) nodes: usize,
    pub(crate) naive_change: Times,
    pub(crate) change: Times,
    pub(crate) cold_start: Times,
    pub(crate) naive_source_bytes_per_change: u64,
    pub(crate) source_bytes_per_change: u64,
    /// Processor time of the whole process for each node, nothing changing.
    pub(crate) idle_core_percent_per_node: f64,
    /// Message bytes that a node sends, nothing changing.
    pub(crate) idle_sent_bytes_per_s: f64,
    pub(crate) memory_per_node_bytes: u64,
}

fn times(times: Times) -> String {
    format!("{:>6.0} {:>6.0} {:>6.0}", times.p50, times.p99, times.max)
}

fn kilobytes(bytes: f64) -> String {
    format!("{:.1}", bytes / 1_000.0)
}

pub(crate) fn print(fleets: &[VirtualFigures], sockets: &[SocketFigures]) {
    println!("In-memory network, virtual time; times in milliseconds as p50, p99, max");
    for fleet in fleets {
        print_ways(fleet);
        print_ours(fleet);
    }
    println!("\nReal sockets, all in one process; times in milliseconds as p50, p99, max");
    for fleet in sockets {
        print_sockets(fleet);
    }
}

fn row(name: &str, naive: &str, ours: &str) {
    println!("{name:<46}{naive:>24}{ours:>24}");
}

fn print_ways(f: &VirtualFigures) {
    println!(
        "\n{} nodes, {} attached to the leader, at most {} children",
        f.nodes, f.roots, f.most_children
    );
    row("", "naive", "ours");
    let both = |name: &str, value: &dyn Fn(&Way) -> String| {
        row(name, &value(&f.naive), &value(&f.ours));
    };
    both("change until served", &|way| times(way.change));
    both("half of the nodes return", &|way| times(way.herd_return));
    both("source, KB sent a change", &|way| {
        kilobytes(way.source_bytes_per_change)
    });
    both("source, KB/s sent", &|way| {
        kilobytes(way.source.sent_bytes_per_s)
    });
    both("source, KB/s received", &|way| {
        kilobytes(way.source.received_bytes_per_s)
    });
    both("source, % of a core", &|way| {
        format!("{:.3}", way.source.core_percent)
    });
    both("busiest node, KB/s both ways", &|way| {
        kilobytes(way.busiest_node.bytes_per_s())
    });
    both("mean node, KB/s both ways", &|way| {
        kilobytes(way.mean_node.bytes_per_s())
    });
    both("busiest node, % of a core", &|way| {
        format!("{:.3}", way.busiest_node.core_percent)
    });
}

fn print_ours(f: &VirtualFigures) {
    let ours = |name: &str, value: String| row(name, "", &value);
    ours(
        "source, messages/s",
        format!("{:.0}", f.ours.source.messages_per_s),
    );
    ours(
        "busiest node, messages/s",
        format!("{:.0}", f.ours.busiest_node.messages_per_s),
    );
    ours("all start at once, until served", times(f.cold_start));
    ours(
        "until the leader knows it in force, ms",
        format!("{:.0}", f.known_in_force_ms),
    );
    ours("drain until in every list", times(f.drain));
    ours("silent loss until in no list", times(f.silent_loss));
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
        &times(f.naive_change),
        &times(f.change),
    );
    let naive = kilobytes(f.naive_source_bytes_per_change as f64);
    let ours = kilobytes(f.source_bytes_per_change as f64);
    row("source, KB sent a change", &naive, &ours);
    row("all start at once, until served", "", &times(f.cold_start));
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
