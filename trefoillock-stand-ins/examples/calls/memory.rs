//! Measures the resident memory of an idle node.

use std::error::Error;

use serde::Serialize;
use trefoillock_rpc::Token;
use trefoillock_stand_ins::mesh_node::MeshNode;

/// The number of nodes over which the memory is averaged.
const NODES: u32 = 32;
/// The size of a page, in kibibytes.
const PAGE_KIB: f64 = 4.0;

#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    /// The mean resident memory that another idle node adds to the process, in kibibytes.
    idle_node_kib: f64,
    /// The resident memory of this process with one idle node, in kibibytes.
    process_kib: f64,
}

pub(crate) fn measure() -> Result<Figures, Box<dyn Error>> {
    let first = MeshNode::start("node-first", Token::none(), 1)?;
    let before = resident_kib()?;
    let mut nodes = Vec::new();
    for n in 0..NODES {
        nodes.push(MeshNode::start(&format!("node-{n}"), Token::none(), 1)?);
    }
    let after = resident_kib()?;
    drop(nodes);
    drop(first);
    Ok(Figures {
        idle_node_kib: (after - before) / f64::from(NODES),
        process_kib: before,
    })
}

fn resident_kib() -> Result<f64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).ok_or("no resident size")?;
    Ok(pages.parse::<f64>()? * PAGE_KIB)
}

impl Figures {
    pub(crate) fn print(&self) {
        println!("Memory, KiB");
        println!("  process with one idle node: {:.0}", self.process_kib);
        println!("  each further idle node: {:.0}\n", self.idle_node_kib);
    }
}
