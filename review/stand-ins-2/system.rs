//! A small deployment of real processes on loopback addresses, with stand-ins for clients, upstreams and
//! the operator. Uses only the standard library.

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File},
    io::{self, ErrorKind, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub const ADMIN: u16 = 8306;
pub const OUTBOUND: u16 = 8304;
pub const READINESS: u16 = 8302;
pub const APP: u16 = 8301;
pub const INBOUND: u16 = 8300;
pub const MESH: u16 = 7620;

/// The time after which a run is given up.
const LONGEST_RUN: Duration = Duration::from_secs(116);

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run, and the processes that it started, if it takes too long.
pub fn limit_time(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        for pid in STARTED.lock().unwrap().drain(..) {
            // SAFETY: sends a signal to a child of this process that was not waited for.
            unsafe { kill(pid as i32, SIGKILL) };
        }
        finish(&record, Err(CannotRun("the run took too long".to_owned())));
    });
}

/// Whether the disruption is part of this run.
pub fn with_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Ends a run that could not be carried out.
pub struct CannotRun(pub String);

pub type Outcome<T> = Result<T, CannotRun>;

pub struct Deployment {
    pub folder: PathBuf,
    subnet: [u8; 2],
    tolerated: u32,
    extra_settings: String,
}

pub struct Machine {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Deployment {
    /// Chooses a loopback subnet in which the ports are free.
    pub fn new(tolerated: u32) -> Outcome<Self> {
        let pid = std::process::id();
        let folder = env::temp_dir().join(format!("trefoillock-review-{pid}"));
        fs::create_dir_all(&folder).map_err(|e| CannotRun(e.to_string()))?;
        for attempt in 0..50 {
            let at = pid.wrapping_add(attempt * 37);
            let subnet = [(at % 200) as u8 + 20, ((at / 200) % 250) as u8];
            let free = (1..=20).all(|host| {
                let ip = Ipv4Addr::new(127, subnet[0], subnet[1], host);
                TcpListener::bind((ip, ADMIN)).is_ok()
            });
            if free {
                return Ok(Self { folder, subnet, tolerated, extra_settings: String::new() });
            }
        }
        Err(CannotRun("no free ports".to_owned()))
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], host)
    }

    pub fn set_extra_settings(&mut self, text: &str) {
        self.extra_settings = text.to_owned();
    }

    fn common_settings(&self, host: u8, zone: &str) -> String {
        let ip = self.ip(host);
        let seeds: Vec<String> = (1..=3).map(|h| format!("{}:{ADMIN}", self.ip(h))).collect();
        format!(
            "self.node_name=machine-{host}\nself.role=role\nself.ip={ip}\nself.zone={zone}\n\
             self.region=region\nself.limits.cpus=1\nself.limits.memory_mb=260\n\
             self.limits.max_fds=4100\nself.limits.bandwidth_mbps=1000.0\n\
             network.bind.admin={ip}:{ADMIN}\nnetwork.internal_ports=7620,7635\n\
             network.seeds={}\nnetwork.zones.zone-a=region\nnetwork.zones.zone-b=region\n\
             network.zones.zone-c=region\nprovider.discovery=static\nprovider.entry=static\n\
             provider.heartbeat_s=1.5\nterms.contracts=base,drain,config,cost,retry,recover,rollout\n\
             terms.fault_tolerance.machines={}\nterms.fault_tolerance.zones=0\n\
             terms.fault_tolerance.regions=0\nterms.bounds.seed_lag_s=3\n\
             terms.bounds.addr_reuse_s=2\nterms.bounds.contact_s=3\nterms.bounds.ack_timeout_s=4\n\
             terms.bounds.catch_up_s=4\nterms.bounds.drain_s=2\nterms.bounds.grace_s=6\n\
             terms.bounds.loss_slack_s=0.2\nterms.bounds.config_apply_s=2\n\
             terms.bounds.rollback_slack_s=0.25\nterms.bounds.max_skew_s=5\n\
             terms.bounds.budget_ratio=0.2\nterms.bounds.budget_window_s=10\n\
             terms.bounds.budget_slack=60\nterms.bounds.canary_share=0.1\n\
             terms.bounds.canary_slack=50\nterms.bounds.rollback_s=5\nterms.bounds.recover_s=15\n{}",
            seeds.join(","),
            self.tolerated,
            self.extra_settings,
        )
    }

    fn zone(host: u8) -> &'static str {
        ["zone-a", "zone-b", "zone-c"][usize::from(host) % 3]
    }

    /// Starts a machine of the core. The machines 1 to 3 are the seeds.
    pub fn control(&self, host: u8, bootstrap: bool) -> Outcome<Machine> {
        let data = self.folder.join(format!("data-{host}"));
        let text = format!(
            "{}self.machine_class=core\nself.serves=control\nself.loss_counts=true\n\
             self.bootstrap={bootstrap}\nself.data_dir={}\nself.limits.disk_mb=256\n",
            self.common_settings(host, Self::zone(host)),
            data.display()
        );
        self.machine(host, &text)
    }

    pub fn data_folder(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Starts a machine beside an upstream of `service`.
    pub fn node(&self, host: u8, service: &str) -> Outcome<Machine> {
        let ip = self.ip(host);
        let text = format!(
            "{}self.machine_class=sidecar\nself.serves=sidecar\nself.loss_counts=false\n\
             self.bootstrap=true\nself.limits.disk_mb=0\nself.local_app={ip}:{APP}\n\
             self.service={service}\nnetwork.bind.inbound={ip}:{INBOUND}\n\
             network.bind.outbound={ip}:{OUTBOUND}\nnetwork.bind.readiness={ip}:{READINESS}\n",
            self.common_settings(host, Self::zone(host)),
        );
        self.machine(host, &text)
    }

    fn machine(&self, host: u8, text: &str) -> Outcome<Machine> {
        let settings = self.folder.join(format!("settings-{host}.conf"));
        fs::write(&settings, text).map_err(|e| CannotRun(e.to_string()))?;
        let log = self.folder.join(format!("machine-{host}.log"));
        let mut machine = Machine { ip: self.ip(host), settings, log, child: None };
        machine.start()?;
        Ok(machine)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

impl Machine {
    pub fn start(&mut self) -> Outcome<()> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| CannotRun(e.to_string()))?;
        let program = "target/release/trefoillock-platform";
        let mut command = Command::new(program);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = env::var(name) {
                command.env(name, value);
            }
        }
        let errors = log.try_clone().map_err(|e| CannotRun(e.to_string()))?;
        let child = command
            .env("TREFOILLOCK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| CannotRun(format!("{program}: {e}")))?;
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: sends a signal to a child of this process that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The exit status, once the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        Some(status.to_string())
    }

    pub fn edit_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let _ = fs::write(&self.settings, text.replace(from, to));
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.kill();
    }
}

/// A response as it was read from a connection.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads the bytes of a connection up to the end of a message.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// The start line and the headers of the next message; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let pairs = lines.filter_map(|line| line.split_once(':'));
                let headers = pairs.map(|(k, v)| (k.trim().to_lowercase(), v.trim().to_owned()));
                return Ok(Some((first, headers.collect())));
            }
            if self.fill()? == 0 {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::Error::new(ErrorKind::UnexpectedEof, "the head is cut"));
            }
        }
    }

    pub fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                return Err(io::Error::new(ErrorKind::UnexpectedEof, "the body is cut"));
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::Error::new(ErrorKind::UnexpectedEof, "a line is cut"));
            }
        }
    }

    /// Reads a body to `body`, as far as it comes. Returns whether it is whole.
    pub fn body(
        &mut self,
        headers: &BTreeMap<String, String>,
        is_response: bool,
        body: &mut Vec<u8>,
    ) -> io::Result<()> {
        if headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
                let chunk = self.exactly(size)?;
                body.extend(chunk);
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        if let Some(length) = headers.get("content-length") {
            let length = length.parse().map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
            while body.len() < length {
                if self.buf.is_empty() && self.fill()? == 0 {
                    return Err(io::Error::new(ErrorKind::UnexpectedEof, "the body is cut"));
                }
                let count = self.buf.len().min(length - body.len());
                body.extend(self.buf.drain(..count));
            }
            return Ok(());
        }
        if is_response {
            loop {
                body.append(&mut self.buf);
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    pub fn answer(&mut self) -> io::Result<Answer> {
        loop {
            let Some((first, headers)) = self.head()? else {
                return Err(io::Error::new(ErrorKind::UnexpectedEof, "no answer"));
            };
            let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            if (100..200).contains(&status) {
                continue;
            }
            let mut answer = Answer { status, headers, ..Answer::default() };
            if status == 204 || status == 304 {
                answer.whole = true;
                return Ok(answer);
            }
            let mut body = Vec::new();
            let read = self.body(&answer.headers, true, &mut body);
            answer.whole = read.is_ok();
            answer.body = body;
            return Ok(answer);
        }
    }

    pub fn rest(&mut self) -> Vec<u8> {
        while self.fill().is_ok_and(|count| count > 0) {}
        std::mem::take(&mut self.buf)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Answer> {
    let mut stream = connect(address, timeout)?;
    stream.write_all(request)?;
    Reader::new(stream).answer()
}

pub fn request(method: &str, path: &str, host: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}{length}\r\n{body}").into_bytes()
}

/// Sends a call of the operator to the machines in turn until one gives a clear answer.
pub fn order(
    record: &Record,
    admins: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> Option<Answer> {
    let until = Instant::now() + within;
    let call = request(method, path, "control", "Content-Type: application/json\r\n", body);
    let mut at = 0;
    while Instant::now() < until {
        let mut address = admins[at % admins.len()];
        at += 1;
        for _ in 0..3 {
            match exchange(address, &call, Duration::from_secs(1)) {
                Ok(answer) if answer.status == 307 => {
                    let location = answer.header("location").unwrap_or_default();
                    let host = location.trim_start_matches("http://").split('/').next();
                    match host.and_then(|h| h.parse().ok()) {
                        Some(next) => address = next,
                        None => break,
                    }
                }
                Ok(answer) if answer.status >= 500 || answer.status == 408 || answer.status == 429 => break,
                Ok(answer) => {
                    record.line(&format!("operator {method} {path} at {address}: {}", answer.status));
                    return Some(answer);
                }
                Err(_) => break,
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.line(&format!("operator {method} {path}: no clear answer"));
    None
}

pub fn eventually(within: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A request as an upstream has read it.
#[derive(Debug, Clone)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn id(&self) -> &str {
        self.headers.get("x-attempt-id").map_or("", String::as_str)
    }
}

/// What an upstream does after it has answered a request, or has not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
    /// Its process ends at once, and is back after this time as a new incarnation.
    Crash(Duration),
}

pub type Handler = dyn Fn(&Received, &mut TcpStream) -> io::Result<Next> + Send + Sync;

/// An upstream. Its handler answers a request.
pub struct Upstream {
    pub address: SocketAddr,
    name: String,
    /// The identity, the start and the last sequence number of the present incarnation.
    incarnation: Mutex<Incarnation>,
    pub runs: Mutex<Vec<(Instant, Received)>>,
    pub crashes: Mutex<Vec<Instant>>,
    pub draining: AtomicBool,
    pub silent: AtomicBool,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    stop: AtomicBool,
    service: String,
    version: String,
    slots: u32,
}

struct Incarnation {
    id: String,
    born: u64,
    sequence: u64,
    number: u32,
}

pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}

impl Upstream {
    pub fn start(
        record: &Record,
        address: SocketAddr,
        name: &str,
        service: &str,
        version: &str,
        slots: u32,
        handler: Arc<Handler>,
    ) -> Outcome<Arc<Self>> {
        let listener = TcpListener::bind(address).map_err(|e| CannotRun(e.to_string()))?;
        let upstream = Arc::new(Self {
            address,
            name: name.to_owned(),
            incarnation: Mutex::new(Incarnation {
                id: format!("{name}-1"),
                born: unix_millis(),
                sequence: 0,
                number: 1,
            }),
            runs: Mutex::default(),
            crashes: Mutex::default(),
            draining: AtomicBool::default(),
            silent: AtomicBool::default(),
            is_down: AtomicBool::default(),
            connections: Mutex::default(),
            stop: AtomicBool::default(),
            service: service.to_owned(),
            version: version.to_owned(),
            slots,
        });
        upstream.clone().accept(record.clone(), listener, handler);
        Ok(upstream)
    }

    fn accept(self: Arc<Self>, record: Record, listener: TcpListener, handler: Arc<Handler>) {
        thread::spawn(move || {
            let mut listener = Some(listener);
            while !self.stop.load(Ordering::Acquire) {
                if self.is_down.load(Ordering::Acquire) {
                    listener = None;
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                let Some(open) = &listener else {
                    listener = TcpListener::bind(self.address).ok();
                    continue;
                };
                let _ = open.set_nonblocking(true);
                let Ok((stream, _)) = open.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    let mut connections = self.connections.lock().unwrap();
                    connections.push(copy);
                }
                let (up, record, handler) = (self.clone(), record.clone(), handler.clone());
                thread::spawn(move || {
                    let _ = up.serve(&record, stream, &handler);
                });
            }
        });
    }

    pub fn id(&self) -> String {
        self.incarnation.lock().unwrap().id.clone()
    }

    /// Ends the process: all its connections break and nothing listens until it is back.
    pub fn crash(self: &Arc<Self>, record: &Record, down: Duration) {
        if self.is_down.swap(true, Ordering::AcqRel) {
            return;
        }
        record.line(&format!("upstream {} crashes", self.id()));
        self.crashes.lock().unwrap().push(Instant::now());
        // The listener is closed before the connections break, as when a process ends.
        thread::sleep(Duration::from_millis(12));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (up, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(down);
            {
                let mut incarnation = up.incarnation.lock().unwrap();
                incarnation.number += 1;
                incarnation.id = format!("{}-{}", up.name, incarnation.number);
                incarnation.born = unix_millis();
                incarnation.sequence = 0;
            }
            up.is_down.store(false, Ordering::Release);
            record.line(&format!("upstream {} has started", up.id()));
        });
    }

    fn serve(self: &Arc<Self>, record: &Record, stream: TcpStream, handler: &Arc<Handler>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        let own_id = self.id();
        loop {
            let Some((first, headers)) = reader.head()? else { return Ok(()) };
            let mut words = first.split(' ');
            let method = words.next().unwrap_or_default().to_owned();
            let target = words.next().unwrap_or_default().to_owned();
            let mut body = Vec::new();
            if let Err(error) = reader.body(&headers, false, &mut body) {
                let id = headers.get("x-attempt-id").cloned().unwrap_or_default();
                record.line(&format!(
                    "upstream {own_id} did not get the whole of {id}: {} bytes, {error}",
                    body.len()
                ));
                return Ok(());
            }
            if target == "/health" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Upstream-Id: {own_id}\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            let expected = headers.get("x-expect-instance");
            let received = Received { method, target, headers: headers.clone(), body };
            if expected.is_some_and(|expected| *expected != own_id) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\nX-Not-Executed: 1\r\n\
                     X-Upstream-Id: {own_id}\r\nContent-Length: 0\r\n\r\n",
                    received.id(),
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            record.line(&format!(
                "upstream {own_id} runs {} {} {} ({} bytes, deadline {} ms)",
                received.id(),
                received.method,
                received.target,
                received.body.len(),
                headers.get("x-deadline-ms").map_or("no", String::as_str),
            ));
            self.runs.lock().unwrap().push((Instant::now(), received.clone()));
            match handler(&received, &mut writer)? {
                Next::Keep => {}
                Next::Close => {
                    let _ = writer.shutdown(Shutdown::Write);
                    return Ok(());
                }
                Next::Crash(down) => {
                    self.crash(record, down);
                    return Ok(());
                }
            }
        }
    }

    pub fn has_run(&self, id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|(_, r)| r.id() == id).count()
    }

    /// The path and the body of the next heartbeat.
    pub fn next_beat(&self) -> (String, String) {
        let state = if self.draining.load(Ordering::Acquire) { "draining" } else { "ready" };
        let mut incarnation = self.incarnation.lock().unwrap();
        incarnation.sequence += 1;
        let body = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"{}","zone":"zone-a","capacity":{}}},"status":{{"state":"{state}","sequence":{},"warmup_left_s":0}}}}"#,
            self.address,
            incarnation.born,
            self.service,
            self.version,
            self.slots,
            incarnation.sequence,
        );
        (format!("/-/Instances.Heartbeat/{}", incarnation.id), body)
    }

    /// Sends one heartbeat; returns the status of its answer.
    pub fn beat(&self, admin: SocketAddr) -> Option<u16> {
        let (path, body) = self.next_beat();
        let call = request("POST", &path, "node", "Content-Type: application/json\r\n", &body);
        exchange(admin, &call, Duration::from_secs(1)).ok().map(|a| a.status)
    }

    /// Sends heartbeats every `heartbeat_s` while the upstream is up.
    pub fn keep_beating(self: &Arc<Self>, admin: SocketAddr) {
        let up = self.clone();
        thread::spawn(move || {
            let mut last = (String::new(), Instant::now());
            while !up.stop.load(Ordering::Acquire) {
                let is_due = last.0 != up.id() || last.1.elapsed() >= Duration::from_millis(1_500);
                let is_up = !up.is_down.load(Ordering::Acquire) && !up.silent.load(Ordering::Acquire);
                if is_due && is_up {
                    last = (up.id(), Instant::now());
                    up.beat(admin);
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    pub fn end(&self) {
        self.stop.store(true, Ordering::Release);
    }
}

/// The head of an answer up to the blank line, without a length.
pub fn head(received: &Received, status: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {}\r\nX-Response-Signature: s.{}\r\n{more}\r\n",
        received.id(),
        received.id()
    )
}

/// Answers a request with a body of stated length.
pub fn answer_sized(received: &Received, writer: &mut TcpStream, body: &[u8]) -> io::Result<Next> {
    let head = head(received, "200 OK", &format!("Content-Length: {}\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)?;
    Ok(Next::Keep)
}

/// Runs a case: prints the verdict and ends the process with its exit code.
pub fn finish(record: &Record, verdict: Outcome<Vec<String>>) -> ! {
    let code = match verdict {
        Ok(broken) if broken.is_empty() => {
            record.line("verdict: held");
            println!("held");
            0
        }
        Ok(broken) => {
            for text in &broken {
                record.line(&format!("broken: {text}"));
                println!("broken: {text}");
            }
            1
        }
        Err(CannotRun(why)) => {
            record.line(&format!("verdict: could not run: {why}"));
            println!("could not run: {why}");
            2
        }
    };
    std::process::exit(code)
}
