//! A request that crashes each upstream that runs it, and that comes again.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{mesh::Mesh, system::*};

const CONTACT: Duration = Duration::from_secs(3);
/// The time for which a crashed upstream is gone.
const DOWN: Duration = Duration::from_secs(2);
/// The time that an upstream works on a request.
const WORK: Duration = Duration::from_millis(210);
/// The retries that may reach upstreams later than [`CONTACT`] after the third crash.
const ALLOWED_RETRIES: usize = 3;

const CRASHING: &str = "/claims/batch";
const UPSTREAMS: [u8; 3] = [9, 10, 11];
const ENTRIES: [u8; 7] = [12, 13, 14, 15, 16, 17, 18];

fn config(route_type: &str) -> String {
    format!(
        r#"{{"version":"r2","base_version":"r0","services":[{{"name":"claims","health_check_path":"/health","max_connections":120,"protocol":"h1","tls":false}},{{"name":"desk","health_check_path":"/health","max_connections":120,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"virtual_hosts":[{{"host":"a.example","paths":[{{"name":"r-1","prefix":"/claims/","route_type":"{route_type}","timeout_s":4,"target_latency_s":0.6,"priority":1,"service":"claims","max_attempts":2}},{{"name":"r-2","prefix":"/desk/","route_type":"safe","timeout_s":3,"target_latency_s":0.5,"priority":2,"service":"desk","max_attempts":2}}]}}]}}"#
    )
}

/// How the core is disturbed between two sends of the request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Between {
    Nothing,
    /// After every second send the leading process of the core is killed and starts again.
    KillLeader,
}

pub struct Case {
    /// The length of the request's body in bytes.
    pub body: usize,
    pub between: Between,
    pub route_type: &'static str,
    /// How often the request is sent.
    pub sends: usize,
}

/// Sends the request in pieces, as they come from a link; `seed` varies their sizes.
fn send_in_pieces(entry: SocketAddr, id: &str, body: &[u8], seed: usize) -> io::Result<Answer> {
    let mut stream = connect(entry, Duration::from_secs(4))?;
    let head = format!(
        "POST {CRASHING} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    let mut rest = body;
    let mut size = 5_000 + seed * 1_237 % 7_000;
    while !rest.is_empty() {
        let count = size.min(rest.len());
        // The node may have answered and closed the connection.
        if stream.write_all(&rest[..count]).is_err() {
            break;
        }
        rest = &rest[count..];
        size = 3_000 + (size * 31 + seed) % 11_000;
        thread::sleep(Duration::from_millis(1));
    }
    Reader::new(stream).answer()
}

/// Sends other requests to the same service all the time, and counts how they end.
fn send_others(record: Record, entry: SocketAddr, client: usize, stop: Arc<AtomicBool>) -> thread::JoinHandle<(u32, u32)> {
    thread::spawn(move || {
        let (mut answered, mut lost) = (0, 0);
        for number in 0.. {
            if stop.load(Ordering::Acquire) {
                break;
            }
            let id = format!("o-{client}-{number}");
            let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n");
            let bytes = request("POST", "/claims/other", "a.example", &headers, &format!("claim {id}"));
            match exchange(entry, &bytes, Duration::from_secs(4)) {
                Ok(answer) if answer.status == 200 => answered += 1,
                Ok(answer) if answer.status == 503 => record.line(&format!("client {id}: 503")),
                Ok(answer) => {
                    lost += 1;
                    record.line(&format!("client {id}: {}", answer.status));
                }
                Err(error) => {
                    lost += 1;
                    record.line(&format!("client {id}: {error}"));
                }
            }
            thread::sleep(Duration::from_millis(40));
        }
        (answered, lost)
    })
}

pub fn run(record: &Record, case: &Case) -> Outcome<Vec<String>> {
    let mut nodes: Vec<(u8, &str)> = UPSTREAMS.iter().map(|host| (*host, "claims")).collect();
    nodes.extend(ENTRIES.iter().map(|host| (*host, "desk")));
    let mut mesh = Mesh::start(record, 1, 3, &config(case.route_type), &nodes)?;
    // Where the core is disturbed, that is the disruption, and the request crashes upstreams without it too.
    let crashes = with_trouble() || case.between == Between::KillLeader;
    let handler: Arc<Handler> = Arc::new(move |received: &Received, writer: &mut TcpStream| {
        if received.target == CRASHING && crashes {
            return Ok(Next::Crash(DOWN));
        }
        thread::sleep(WORK);
        answer_sized(received, writer, b"noted")
    });
    let mut upstreams = Vec::new();
    for host in UPSTREAMS {
        upstreams.push(mesh.upstream(record, host, "claims", "v1", 9, handler.clone())?);
    }
    for host in ENTRIES {
        upstreams.push(mesh.upstream(record, host, "desk", "v1", 9, handler.clone())?);
    }
    mesh.wait_until_served(&ENTRIES, &|id| {
        let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n");
        request("POST", "/claims/other", "a.example", &headers, "claim")
    })?;
    thread::sleep(CONTACT);

    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..4)
        .map(|client| send_others(record.clone(), mesh.entry(ENTRIES[client]), client, stop.clone()))
        .collect();
    let body = "x".repeat(case.body).into_bytes();
    let mut sent_at = Vec::new();
    let crash_times = |upstreams: &[Arc<Upstream>]| {
        let mut times: Vec<Instant> = Vec::new();
        for up in upstreams {
            times.extend(up.crashes.lock().unwrap().iter().copied());
        }
        times.sort();
        times
    };
    for send in 0..case.sends {
        let at_entry = ENTRIES[send % ENTRIES.len()];
        let id = format!("crash-{send}");
        record.line(&format!("client {id}: sent at machine {at_entry}"));
        sent_at.push((id.clone(), Instant::now()));
        match send_in_pieces(mesh.entry(at_entry), &id, &body, send) {
            Ok(answer) => record.line(&format!("client {id}: {}", answer.status)),
            Err(error) => record.line(&format!("client {id}: {error}")),
        }
        // The crashed upstreams return, and all machines are in touch before the next send.
        thread::sleep(DOWN);
        // The leader has learned of two crashes since it began to lead.
        let is_refused = send % 2 == 1;
        if case.between == Between::KillLeader && with_trouble() && is_refused {
            let leader = mesh.leader().ok_or_else(|| CannotRun("no leader answers".to_owned()))?;
            record.line(&format!("the leader on machine {} is killed", leader + 1));
            mesh.controls[leader].kill();
            mesh.controls[leader].edit_settings("self.bootstrap=true", "self.bootstrap=false");
            thread::sleep(Duration::from_millis(500));
            mesh.controls[leader].start()?;
        }
        thread::sleep(CONTACT + Duration::from_millis(1_500));
    }
    stop.store(true, Ordering::Release);
    let (mut answered, mut lost) = (0, 0);
    for other in others {
        let counts = other.join().map_err(|_| CannotRun("a client failed".to_owned()))?;
        answered += counts.0;
        lost += counts.1;
    }
    record.line(&format!("other requests: {answered} answered, {lost} without an answer of an upstream"));
    let times = crash_times(&upstreams);
    let mut late = Vec::new();
    if let Some(third) = times.get(2) {
        for up in &upstreams {
            let runs = up.runs.lock().unwrap();
            let crashing = runs.iter().filter(|(_, received)| received.target == CRASHING);
            for (_, received) in crashing {
                let sent = sent_at.iter().find(|(id, _)| id == received.id());
                if sent.is_some_and(|(_, at)| *at > *third + CONTACT) {
                    late.push(received.id().to_owned());
                }
            }
        }
    }
    late.sort();
    record.line(&format!(
        "{} crashes; sends that reached upstreams later than contact_s after the third: {late:?}",
        times.len()
    ));
    for up in &upstreams {
        up.end();
    }
    if !with_trouble() && answered == 0 {
        return Err(CannotRun("nothing was served".to_owned()));
    }
    if late.len() > ALLOWED_RETRIES {
        return Ok(vec![format!(
            "BUDGET: the request crashed {} upstreams; {} of its retries reached upstreams later than contact_s \
             after the third crash; {lost} other requests had no answer of an upstream",
            times.len(),
            late.len()
        )]);
    }
    Ok(Vec::new())
}
