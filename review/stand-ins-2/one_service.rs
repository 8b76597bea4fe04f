//! Two kinds of request to two services. One of the services is disturbed for a moment, and is well again.

use std::{
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{mesh::Mesh, system::*};

/// The time for which a crashed upstream is gone.
const DOWN: Duration = Duration::from_millis(4_500);
const WORK: Duration = Duration::from_millis(150);
/// The times from the first request to the steps of the disruption, and to the end.
const STEPS: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(12)];
const END: Duration = Duration::from_secs(75);
const UPSTREAMS: [u8; 3] = [9, 10, 11];
const ENTRIES: [u8; 3] = [12, 13, 14];

/// The first configuration has one route; the second adds that of the service `schedules`.
fn config(version: &str, base: &str, adds_route: bool) -> String {
    let added = if adds_route {
        r#",{"name":"r-2","prefix":"/schedules/","route_type":"download","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"schedules","max_attempts":2}"#
    } else {
        ""
    };
    format!(
        r#"{{"version":"{version}","base_version":"{base}","services":[{{"name":"schedules","health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false}},{{"name":"register","health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"virtual_hosts":[{{"host":"a.example","paths":[{{"name":"r-1","prefix":"/register/","route_type":"safe","timeout_s":2,"target_latency_s":0.5,"priority":2,"service":"register","max_attempts":2}}{added}]}}]}}"#
    )
}

/// What happens to the service `schedules`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// Two of its upstreams crash and come back, one some time after the other.
    Crashes,
    /// The nodes beside its upstreams get one heartbeat each of another writer. It gives the upstream's
    /// address and a service that no configuration names.
    OtherWriter,
}

impl Disruption {
    fn step(self, record: &Record, mesh: &Mesh, upstreams: &[Arc<Upstream>], at: usize) {
        match self {
            Self::Crashes => upstreams[at].crash(record, DOWN),
            Self::OtherWriter if at == 0 => {
                for (up, host) in upstreams.iter().zip(UPSTREAMS) {
                    let body = format!(
                        r#"{{"address":"{}","born":{},"info":{{"service":"archive","version":"v1","zone":"zone-a","capacity":4}},"status":{{"state":"ready","sequence":1,"warmup_left_s":0}}}}"#,
                        up.address,
                        unix_millis(),
                    );
                    let path = format!("/-/Instances.Heartbeat/agent-{host}");
                    let call = request("POST", &path, "node", "Content-Type: application/json\r\n", &body);
                    let answer = exchange(mesh.node(host).address(ADMIN), &call, Duration::from_secs(1));
                    let status = answer.map_or_else(|e| e.to_string(), |a| a.status.to_string());
                    record.line(&format!("heartbeat of another writer at machine {host}: {status}; {body}"));
                }
            }
            Self::OtherWriter => {}
        }
    }
}

#[derive(Default)]
struct Counts {
    asked: AtomicU32,
    served: AtomicU32,
}

pub fn run(record: &Record, disruption: Disruption) -> Outcome<Vec<String>> {
    let mut nodes: Vec<(u8, &str)> = UPSTREAMS.iter().map(|host| (*host, "schedules")).collect();
    nodes.extend(ENTRIES.iter().map(|host| (*host, "register")));
    let mesh = Mesh::start(record, 1, 3, &config("r2", "r0", false), &nodes)?;
    let next = config("r4", "r2", true);
    let added = order(record, &mesh.admins(), "POST", "/-/Config.Replace", &next, Duration::from_secs(20));
    if added.is_none_or(|answer| answer.status != 200) {
        return Err(CannotRun("the second configuration was not accepted".to_owned()));
    }
    let handler: Arc<Handler> = Arc::new(|received: &Received, writer: &mut TcpStream| {
        thread::sleep(WORK);
        answer_sized(received, writer, b"bytes")
    });
    let mut upstreams = Vec::new();
    for (host, service) in &nodes {
        upstreams.push(mesh.upstream(record, *host, service, "v1", 12, handler.clone())?);
    }
    let call = |kind: &str, id: &str| {
        // The clients of a kind read one document.
        let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 2000\r\n");
        request("GET", &format!("/{kind}/2026"), "a.example", &headers, "")
    };
    for kind in ["schedules", "register"] {
        mesh.wait_until_served(&ENTRIES, &|id| call(kind, &format!("{kind}-{id}")))?;
    }
    thread::sleep(Duration::from_secs(2));

    let stop = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let kinds = ["schedules", "register"];
    let counts: Vec<Arc<Counts>> = kinds.iter().map(|_| Arc::default()).collect();
    let mut clients = Vec::new();
    for client in 0..30 {
        let kind = client % 2;
        let entry = mesh.entry(ENTRIES[client / 2 % ENTRIES.len()]);
        let (stop, counts, record) = (stop.clone(), counts[kind].clone(), record.clone());
        let call = move |id: &str| call(kinds[kind], id);
        clients.push(thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let id = format!("{}-{client}-{number}", kinds[kind]);
                counts.asked.fetch_add(1, Ordering::Relaxed);
                let answer = exchange(entry, &call(&id), Duration::from_secs(2));
                let status = answer.map_or_else(|e| e.to_string(), |a| a.status.to_string());
                record.line(&format!("client {id}: {status}"));
                if status == "200" {
                    counts.served.fetch_add(1, Ordering::Relaxed);
                }
                // Clients that pause alike would all wait for an upstream, or none, when one crashes.
                let pause = 40 + (client * 29 + number * 17) % 120;
                thread::sleep(Duration::from_millis(pause as u64));
            }
        }));
    }
    let mut at = 0;
    let mut before_last = Vec::new();
    while start.elapsed() < END {
        thread::sleep(Duration::from_millis(50));
        let is_due = STEPS.get(at).is_some_and(|due| start.elapsed() >= *due);
        if is_due && with_trouble() {
            disruption.step(record, &mesh, &upstreams, at);
            at += 1;
        }
        if before_last.is_empty() && start.elapsed() > END - Duration::from_secs(30) {
            before_last = counts.iter().map(|c| (c.asked.load(Ordering::Relaxed), c.served.load(Ordering::Relaxed))).collect();
        }
    }
    stop.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    let share = |asked: u32, served: u32| f64::from(served) / f64::from(asked.max(1));
    let (mut whole, mut last) = (Vec::new(), Vec::new());
    let (mut all_asked, mut all_served, mut last_asked) = (0, 0, Vec::new());
    for ((kind, counts), (asked_before, served_before)) in kinds.iter().zip(&counts).zip(&before_last) {
        let (asked, served) = (counts.asked.load(Ordering::Relaxed), counts.served.load(Ordering::Relaxed));
        let (late_asked, late_served) = (asked - asked_before, served - served_before);
        record.line(&format!("{kind}: {served} of {asked} served; in the last 30 s {late_served} of {late_asked}"));
        all_asked += asked;
        all_served += served;
        last_asked.push(late_asked);
        whole.push(share(asked, served));
        last.push(share(late_asked, late_served));
    }
    let all = share(all_asked, all_served);
    for up in &upstreams {
        up.end();
    }
    if whole[1] < 0.9 {
        return Err(CannotRun("the other kind of request was not served".to_owned()));
    }
    let mut broken = Vec::new();
    if last_asked[0] >= 20 && last[0] < last[1] / 4.0 {
        broken.push(format!(
            "CONFIG: of {} requests on the later route in the last 30 s {:.3} were served, {:.3} on the first one",
            last_asked[0], last[0], last[1]
        ));
    }
    if whole[0] < all / 4.0 {
        broken.push(format!("Starved: {:.3} of the requests of a kind were served, {all:.3} of all", whole[0]));
    }
    Ok(broken)
}
