//! A node is killed and comes back; its upstream leaves right after that. The node acknowledges the
//! deregistration, forgets it, and takes a late heartbeat for that of a new upstream.

#[path = "../stand-ins/harness.rs"]
mod harness;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use harness::*;

/// The time for which the node of the leaving upstream is down.
const DOWN: Duration = Duration::from_millis(500);
/// How late the last heartbeat arrives.
const LATE: Duration = Duration::from_millis(1_000);
/// The time after the acknowledgement for which the upstream still serves.
const SERVES_ON: Duration = Duration::from_secs(7);
const WORK: Duration = Duration::from_millis(120);
const CLIENTS: usize = 16;

fn main() {
    let record = Record::new();
    let deployment = Deployment::new(5, &record);
    let cores = deployment.start_cores();
    // Clients send at node 13; node 11 has the upstream that leaves.
    let mut leaving_node = deployment.start_node(11, "ledger");
    let other_node = deployment.start_node(12, "ledger");
    let entry = deployment.start_node(13, "desk");
    let leaving = Upstream::start(leaving_node.upstream(), "i-leaving", "ledger", WORK, &record);
    let other = Upstream::start(other_node.upstream(), "i-other", "ledger", WORK, &record);
    let desk = Upstream::start(entry.upstream(), "i-desk", "desk", WORK, &record);
    let (stays, leaves) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(true)));
    let beats = leaving.beat_while(leaving_node.admin(), leaves.clone());
    other.beat_while(other_node.admin(), stays.clone());
    desk.beat_while(entry.admin(), stays.clone());
    let operator = Operator::new(&cores, &record);
    let routes = [Route { prefix: "post", kind: "unsafe", service: "ledger", timeout_s: 2.0 }];
    if operator.replace(&config(2, 0, &["ledger", "desk"], &routes, 16_384)) != Some(200) {
        could_not_run(&record, "the configuration was not acknowledged");
    }
    let both_serve = || {
        let id = new_id();
        let request = client_request("POST", "/post/first", &id, Duration::from_secs(2));
        drop(request.send(entry.outbound(), Duration::from_secs(2)));
        !leaving.runs().is_empty() && !other.runs().is_empty()
    };
    if !wait_until(Duration::from_secs(15), both_serve) {
        could_not_run(&record, "the upstreams get no requests");
    }

    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(f64, String, String)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (stop, answers, record) = (stop.clone(), answers.clone(), record.clone());
            let outbound = entry.outbound();
            thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let id = new_id();
                    let path = format!("/post/{id}");
                    let request = client_request("POST", &path, &id, Duration::from_secs(3));
                    let at = record.now();
                    let answer = request.send(outbound, Duration::from_secs(4));
                    let result = answer.map_or_else(|error| error.to_string(), |a| a.status.to_string());
                    record.add_at(at, format!("client: sends {id}"));
                    record.add(format!("client: {id} answered {result}"));
                    answers.lock().unwrap().push((at, id, result));
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));

    // The upstream leaves: it sends no further heartbeat, and the last one is on its way for long.
    let mut back = 0.0;
    if has_trouble() {
        leaving_node.kill();
        thread::sleep(DOWN);
        leaves.store(false, Ordering::Release);
        drop(beats.join());
        leaving_node.restart();
        back = record.now();
    } else {
        leaves.store(false, Ordering::Release);
        drop(beats.join());
    }
    let late_beat = leaving.heartbeat("ready");
    let late = {
        let (leaving, admin) = (leaving.clone(), leaving_node.admin());
        thread::spawn(move || {
            thread::sleep(LATE);
            leaving.report(admin, &late_beat, "heartbeat (ready) that was sent before and arrives late")
        })
    };
    let is_acknowledged = || {
        let call = leaving.deregistration();
        leaving.report(leaving_node.admin(), &call, "deregistration")
    };
    if !wait_until(Duration::from_millis(800), is_acknowledged) {
        could_not_run(&record, "the deregistration was not acknowledged in time");
    }
    let acknowledged = record.now();
    drop(late.join());
    let rest = acknowledged + SERVES_ON.as_secs_f64() - record.now();
    thread::sleep(Duration::from_secs_f64(rest.max(0.0)));
    leaving.exit();
    let gone = record.now();
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Release);
    clients.into_iter().for_each(|client| drop(client.join()));
    stays.store(false, Ordering::Release);
    drop((leaving_node, other_node, entry, cores));

    // Both nodes that a request passes are in touch again `CONTACT_S` after the last start.
    let from = (acknowledged + DRAIN_S).max(back + CONTACT_S);
    let answers = answers.lock().unwrap().clone();
    let sent_at = |id: &str| answers.iter().find(|(_, known, _)| known == id).map(|(at, ..)| *at);
    let late_runs: Vec<Run> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.at > from && sent_at(&run.id).is_some_and(|at| at > from))
        .collect();
    let cut = answers
        .iter()
        .filter(|(_, id, result)| result != "200" && late_runs.iter().any(|run| run.id == *id))
        .count();
    let code = if late_runs.is_empty() { HELD } else { BROKEN };
    let heading = format!(
        "acknowledged as gone at {acknowledged:.3} s, node started at {back:.3} s, upstream exits at {gone:.3} s: {} requests \
         reached the upstream later than {from:.3} s, {cut} of them ended with its exit and got no success",
        late_runs.len(),
    );
    finish(&record, &heading, code);
}
