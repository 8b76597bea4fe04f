//! A node is stopped while clients send it postings with long bodies.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{mesh::Mesh, system::*};

/// The time from the SIGTERM to the SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// The time in which the platform notices that a stopping node is not ready; it sends no new work from then on.
const LAST_START: Duration = Duration::from_millis(2_000);
/// A request whose last byte is sent later than this after the SIGTERM must not be cut.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// The work of a posting, and the time that its client and its route give it.
const WORK: Duration = Duration::from_millis(1_200);
const DEADLINE: Duration = Duration::from_secs(9);

const BODY: usize = 300_000;
const PIECES: usize = 30;
const UPLOAD: Duration = Duration::from_millis(2_900);
/// The time between the starts of two postings.
const STEP: Duration = Duration::from_millis(100);
const REQUESTS: u32 = 30;

const UPSTREAMS: [u8; 3] = [9, 10, 11];
const ENTRY: u8 = 12;

fn config() -> String {
    r#"{"version":"r2","base_version":"r0","services":[{"name":"claims","health_check_path":"/health","max_connections":120,"protocol":"h1","tls":false},{"name":"desk","health_check_path":"/health","max_connections":120,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"virtual_hosts":[{"host":"a.example","paths":[{"name":"r-1","prefix":"/claims/","route_type":"unsafe","timeout_s":10,"target_latency_s":5,"priority":1,"service":"claims","max_attempts":2}]}]}"#.to_owned()
}

/// How a posting ended for its client.
#[derive(Debug, Clone)]
struct Ended {
    id: String,
    /// When the first and the last byte were sent, and when the answer or the end of the connection came.
    started: Instant,
    sent: Option<Instant>,
    ended: Instant,
    answer: Result<Answer, String>,
}

/// Sends a posting evenly over [`UPLOAD`] and waits for its answer.
fn post(entry: SocketAddr, id: String) -> Ended {
    let started = Instant::now();
    let mut sent = None;
    let answer = connect(entry, DEADLINE).and_then(|mut stream| {
        let head = format!(
            "POST /claims/upload HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
             Content-Length: {BODY}\r\n\r\n",
            DEADLINE.as_millis()
        );
        let mut reader = Reader::new(stream.try_clone()?);
        let is_answered = Arc::new(AtomicBool::new(false));
        let writing = is_answered.clone();
        let writer = thread::spawn(move || -> Option<Instant> {
            stream.write_all(head.as_bytes()).ok()?;
            let piece = vec![b'x'; BODY / PIECES];
            for at in 0..PIECES {
                if writing.load(Ordering::Acquire) {
                    return None;
                }
                stream.write_all(&piece).ok()?;
                if at + 1 < PIECES {
                    thread::sleep(UPLOAD / PIECES as u32);
                }
            }
            Some(Instant::now())
        });
        let answer = reader.answer();
        is_answered.store(true, Ordering::Release);
        sent = writer.join().ok().flatten();
        answer
    });
    Ended { id, started, sent, ended: Instant::now(), answer: answer.map_err(|e| e.to_string()) }
}

pub fn run(record: &Record) -> Outcome<Vec<String>> {
    let mut nodes: Vec<(u8, &str)> = UPSTREAMS.iter().map(|host| (*host, "claims")).collect();
    nodes.push((ENTRY, "desk"));
    let mesh = Mesh::start(record, 1, 3, &config(), &nodes)?;
    let ends: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let work_ends = ends.clone();
    let handler: Arc<Handler> = Arc::new(move |received: &Received, writer: &mut TcpStream| {
        let is_upload = received.target == "/claims/upload";
        thread::sleep(if is_upload { WORK } else { Duration::from_millis(50) });
        work_ends.lock().unwrap().push((received.id().to_owned(), Instant::now()));
        answer_sized(received, writer, b"noted")
    });
    let mut upstreams = Vec::new();
    for (host, service) in &nodes {
        upstreams.push(mesh.upstream(record, *host, service, "v1", 18, handler.clone())?);
    }
    mesh.wait_until_served(&[ENTRY], &|id| {
        let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n");
        request("POST", "/claims/first", "a.example", &headers, "claim")
    })?;
    thread::sleep(Duration::from_secs(4));

    // The last posting starts when the platform has taken the node out.
    let first_start = Instant::now();
    let term_at = first_start + STEP * REQUESTS - LAST_START;
    let entry = mesh.entry(ENTRY);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|at| {
            thread::spawn(move || {
                thread::sleep((first_start + STEP * (at + 1)).saturating_duration_since(Instant::now()));
                post(entry, format!("upload-{at}"))
            })
        })
        .collect();
    thread::sleep(term_at.saturating_duration_since(Instant::now()));
    let mut node = mesh.nodes;
    let (_, mut stopped) = node.remove(node.iter().position(|(host, _)| *host == ENTRY).unwrap_or_default());
    let term = Instant::now();
    if with_trouble() {
        stopped.signal(SIGTERM);
        record.line("machine 12 gets SIGTERM");
        thread::sleep((term + GRACE).saturating_duration_since(Instant::now()));
        let ended = stopped.ended();
        record.line(&format!("at the end of the grace time: {ended:?}"));
        stopped.kill();
    }
    let mut broken = Vec::new();
    let after = |at: Instant| at.saturating_duration_since(term).as_secs_f64();
    for client in clients {
        let ended = client.join().map_err(|_| CannotRun("a client failed".to_owned()))?;
        let runs: Vec<Instant> = upstreams
            .iter()
            .flat_map(|up| {
                let runs = up.runs.lock().unwrap();
                let own = runs.iter().filter(|(_, received)| received.id() == ended.id);
                own.map(|(at, _)| *at).collect::<Vec<_>>()
            })
            .collect();
        let (status, is_answered) = match &ended.answer {
            Ok(answer) => (answer.status.to_string(), answer.status == 200 && answer.whole),
            Err(error) => (error.clone(), false),
        };
        record.line(&format!(
            "client {}: begun {:.3} s after the SIGTERM or before, last byte {}, ended {:.3}: {status}; {}",
            ended.id,
            after(ended.started),
            ended.sent.map_or("not sent".to_owned(), |at| format!("sent {:.3}", after(at))),
            after(ended.ended),
            runs.first().map_or("no upstream got the whole of it".to_owned(), |at| format!("an upstream ran it from {:.3}", after(*at))),
        ));
        if !with_trouble() {
            if !is_answered {
                broken.push(format!("{} was not served without the disruption: {status}", ended.id));
            }
            continue;
        }
        let Some(sent) = ended.sent else { continue };
        let is_late = sent > term + EXCUSED_UNTIL;
        let is_in_time = ended.ended < ended.started + DEADLINE && ended.ended <= term + GRACE + Duration::from_secs(1);
        let is_refusal = matches!(&ended.answer, Ok(answer) if [408, 421, 429, 503].contains(&answer.status));
        if is_answered || !is_late || !is_in_time {
            continue;
        }
        if is_refusal && runs.is_empty() {
            continue;
        }
        if !runs.is_empty() {
            broken.push(format!(
                "LOST: {} was sent by {:.3} s after the SIGTERM, its upstream was at work from {:.3} s, and it ended with {status} at {:.3} s",
                ended.id, after(sent), after(runs[0]), after(ended.ended)
            ));
        } else if ended.answer.is_err() && ended.ended > sent + LOSS_SLACK {
            broken.push(format!("LOST: {} was read and ended with {status}", ended.id));
        }
    }
    for up in &upstreams {
        up.end();
    }
    Ok(broken)
}
