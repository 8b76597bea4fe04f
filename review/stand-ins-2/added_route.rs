//! A configuration adds a route for short requests to a service that also runs long ones.

use std::{
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{mesh::Mesh, system::*};

/// The work of a request on the first route, and on the added one.
const LONG_WORK: Duration = Duration::from_millis(1_100);
const SHORT_WORK: Duration = Duration::from_millis(22);
/// The deadlines of the clients, in milliseconds.
const LONG_DEADLINE_MS: u32 = 8_000;
const SHORT_DEADLINE_MS: u32 = 250;
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// The time for which the requests are judged.
const JUDGED: Duration = Duration::from_secs(30);

const UPSTREAMS: [u8; 3] = [9, 10, 11];
const ENTRIES: [u8; 3] = [12, 13, 14];
const SLOTS: u32 = 18;
const LONG_CLIENTS: usize = 18;
const SHORT_CLIENTS: usize = 6;

const FIRST_ROUTE: &str = "order-read";
const ADDED_ROUTE: &str = "unit-list";
/// The name of the added route in a run without the disruption.
const OTHER_NAME: &str = "unit-price";

fn config(version: &str, base: &str, added: Option<&str>) -> String {
    let added = added.map_or_else(String::new, |name| {
        format!(
            r#",{{"name":"{name}","prefix":"/units/","route_type":"safe","timeout_s":0.25,"target_latency_s":0.1,"priority":2,"service":"orderdesk","max_attempts":2}}"#
        )
    });
    format!(
        r#"{{"version":"{version}","base_version":"{base}","services":[{{"name":"orderdesk","health_check_path":"/health","max_connections":490,"protocol":"h1","tls":false}},{{"name":"stockdesk","health_check_path":"/health","max_connections":490,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"virtual_hosts":[{{"host":"a.example","paths":[{{"name":"{FIRST_ROUTE}","prefix":"/orders/","route_type":"safe","timeout_s":8,"target_latency_s":6,"priority":2,"service":"orderdesk","max_attempts":2}}{added}]}}]}}"#
    )
}

#[derive(Default)]
struct Counts {
    asked: AtomicU32,
    served: AtomicU32,
}

impl Counts {
    fn read(&self) -> (u32, u32) {
        (self.asked.load(Ordering::Relaxed), self.served.load(Ordering::Relaxed))
    }
}

fn call(prefix: &str, deadline_ms: u32, id: &str) -> Vec<u8> {
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n");
    request("GET", &format!("/{prefix}/{id}"), "a.example", &headers, "")
}

fn start_client(
    record: &Record,
    mesh: &Mesh,
    client: usize,
    prefix: &'static str,
    deadline_ms: u32,
    counts: &Arc<Counts>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let entry = mesh.entry(ENTRIES[client % ENTRIES.len()]);
    let (record, counts, stop) = (record.clone(), counts.clone(), stop.clone());
    thread::spawn(move || {
        for number in 0.. {
            if stop.load(Ordering::Acquire) {
                return;
            }
            let id = format!("{prefix}-{client}-{number}");
            counts.asked.fetch_add(1, Ordering::Relaxed);
            let timeout = Duration::from_millis(u64::from(deadline_ms) + 500);
            let answer = exchange(entry, &call(prefix, deadline_ms, &id), timeout);
            let status = answer.map_or_else(|e| e.to_string(), |a| a.status.to_string());
            record.line(&format!("client {id}: {status}"));
            if status == "200" {
                counts.served.fetch_add(1, Ordering::Relaxed);
            }
            let pause = 40 + (client * 29 + number * 17) % 120;
            thread::sleep(Duration::from_millis(pause as u64));
        }
    })
}

pub fn run(record: &Record) -> Outcome<Vec<String>> {
    let mut nodes: Vec<(u8, &str)> = UPSTREAMS.iter().map(|host| (*host, "orderdesk")).collect();
    nodes.extend(ENTRIES.iter().map(|host| (*host, "stockdesk")));
    let mesh = Mesh::start(record, 1, 3, &config("r2", "r0", None), &nodes)?;
    let handler: Arc<Handler> = Arc::new(|received: &Received, writer: &mut TcpStream| {
        let is_long = received.target.starts_with("/orders/");
        thread::sleep(if is_long { LONG_WORK } else { SHORT_WORK });
        answer_sized(received, writer, b"bytes")
    });
    let mut upstreams = Vec::new();
    for (host, service) in &nodes {
        upstreams.push(mesh.upstream(record, *host, service, "v1", SLOTS, handler.clone())?);
    }
    mesh.wait_until_served(&ENTRIES, &|id| call("orders", LONG_DEADLINE_MS, id))?;

    let stop = Arc::new(AtomicBool::new(false));
    let (long, short): (Arc<Counts>, Arc<Counts>) = Default::default();
    let mut clients: Vec<_> = (0..LONG_CLIENTS)
        .map(|client| start_client(record, &mesh, client, "orders", LONG_DEADLINE_MS, &long, &stop))
        .collect();
    thread::sleep(Duration::from_secs(10));
    let name = if with_trouble() { ADDED_ROUTE } else { OTHER_NAME };
    let next = config("r4", "r2", Some(name));
    let added = order(record, &mesh.admins(), "POST", "/-/Config.Replace", &next, Duration::from_secs(20));
    if added.is_none_or(|answer| answer.status != 200) {
        return Err(CannotRun("the second configuration was not accepted".to_owned()));
    }
    thread::sleep(CONFIG_APPLY);
    let first_clients = clients.len();
    clients.extend((0..SHORT_CLIENTS).map(|client| {
        start_client(record, &mesh, first_clients + client, "units", SHORT_DEADLINE_MS, &short, &stop)
    }));
    thread::sleep(Duration::from_secs(5));
    let before = (long.read(), short.read());
    thread::sleep(JUDGED);
    let after = (long.read(), short.read());
    stop.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    for up in &upstreams {
        up.end();
    }
    let share = |before: (u32, u32), after: (u32, u32)| {
        let (asked, served) = (after.0 - before.0, after.1 - before.1);
        (asked, served, f64::from(served) / f64::from(asked.max(1)))
    };
    let (long_asked, long_served, long_share) = share(before.0, after.0);
    let (short_asked, short_served, short_share) = share(before.1, after.1);
    record.line(&format!(
        "in {JUDGED:?}: {FIRST_ROUTE} {long_served} of {long_asked} served, {name} {short_served} of {short_asked}"
    ));
    if long_share < 0.8 {
        return Err(CannotRun("the first route was not served".to_owned()));
    }
    if short_asked >= 20 && short_share < long_share / 4.0 {
        return Ok(vec![format!(
            "CONFIG: {short_served} of {short_asked} requests on the added route {name} were served, {long_served} of \
             {long_asked} on the first one"
        )]);
    }
    Ok(Vec::new())
}
