//! Starts a small deployment of trefoillock as separate processes on loopback addresses, with
//! stand-ins for clients, upstreams and operators that speak what the platform's pages say.
//!
//! Only the standard library is used. Each case includes this file as a module.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, OpenOptions},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The bounds of the deployment, as the platform's settings state them.
pub const CONTACT_S: f64 = 3.0;
pub const DRAIN_S: f64 = 2.0;
pub const GRACE_S: f64 = 6.0;
pub const CONFIG_APPLY_S: f64 = 2.0;
pub const HEARTBEAT_S: f64 = 1.5;

const INTERNAL: u16 = 7620;
const INBOUND: u16 = 8300;
const UPSTREAM: u16 = 8301;
const READINESS: u16 = 8302;
const OUTBOUND: u16 = 8304;
const ADMIN: u16 = 8306;

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
    file: PathBuf,
}

impl Record {
    pub fn new() -> Arc<Self> {
        let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| ".".to_owned());
        Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::new(Vec::new()),
            file: Path::new(&folder).join("record.txt"),
        })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl Into<String>) {
        self.add_at(self.now(), text);
    }

    pub fn add_at(&self, at: f64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Writes the lines in the order of their times, with a heading.
    pub fn write(&self, heading: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = format!("{heading}\n\n");
        for (at, line) in lines {
            text.push_str(&format!("{at:9.3} s  {line}\n"));
        }
        if let Err(error) = fs::write(&self.file, text) {
            eprintln!("{}: {error}", self.file.display());
        }
    }
}

/// Writes the record and ends the case. All processes must have been dropped before.
pub fn finish(record: &Record, heading: &str, code: i32) -> ! {
    record.write(heading);
    println!("{heading}");
    std::process::exit(code);
}

/// The loopback addresses and files of one deployment.
pub struct Deployment {
    folder: PathBuf,
    root: PathBuf,
    subnet: [u8; 2],
    commands: BTreeMap<String, Vec<String>>,
    cores: u8,
    record: Arc<Record>,
}

impl Deployment {
    /// Prepares a deployment with `cores` core machines, numbered from 1.
    pub fn new(cores: u8, record: &Arc<Record>) -> Self {
        let root = PathBuf::from(std::env::var("REPO_ROOT").unwrap_or_else(|_| ".".to_owned()));
        let folder = PathBuf::from(std::env::var("CASE_TEMP").expect("CASE_TEMP is set by run.sh"));
        let commands = read_commands(&root.join("deploy/system.toml"));
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .subsec_nanos()
            ^ std::process::id();
        for attempt in 0..200_u32 {
            let draw = seed.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7919);
            let subnet = [100 + (draw >> 8) as u8 % 100, (draw >> 16) as u8];
            let is_free = (1..=40_u8).all(|host| {
                let ip = Ipv4Addr::new(127, subnet[0], subnet[1], host);
                [INTERNAL, INTERNAL + 1, INBOUND, UPSTREAM, READINESS, OUTBOUND, ADMIN]
                    .iter()
                    .all(|port| TcpListener::bind((ip, *port)).is_ok())
            });
            if is_free {
                return Self {
                    folder,
                    root,
                    subnet,
                    commands,
                    cores,
                    record: record.clone(),
                };
            }
        }
        eprintln!("no free loopback addresses");
        std::process::exit(COULD_NOT_RUN);
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], host)
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = (1..=self.cores.min(3))
            .map(|host| format!("{}:{ADMIN}", self.ip(host)))
            .collect();
        seeds.join(",")
    }

    fn zone(host: u8) -> &'static str {
        ["zone-a", "zone-b", "zone-c"][usize::from(host) % 3]
    }

    fn settings(&self, host: u8, role: &str, class: &str, serves: &str) -> String {
        let ip = self.ip(host);
        let zone = Self::zone(host);
        format!(
            "self.node_name={class}-{zone}-{host}\nself.role={role}\nself.machine_class={class}\n\
             self.serves={serves}\nself.ip={ip}\nself.zone={zone}\nself.region=region-1\n\
             self.loss_counts={counts}\nself.bootstrap=true\nself.limits.cpu_share=0.2\n\
             self.limits.cpus=1\nself.limits.memory_mb=260\nself.limits.max_fds=4100\n\
             self.limits.bandwidth_mbps=1000.0\nnetwork.bind.admin={ip}:{ADMIN}\n\
             network.internal_ports={INTERNAL},{last}\nnetwork.seeds={seeds}\n\
             network.zones.zone-a=region-1\nnetwork.zones.zone-b=region-1\n\
             network.zones.zone-c=region-1\nprovider.discovery=static\nprovider.entry=static\n\
             provider.heartbeat_s={HEARTBEAT_S}\n\
             terms.contracts=base,drain,config,cost,retry,recover,rollout\n\
             terms.fault_tolerance.machines=2\nterms.fault_tolerance.zones=0\n\
             terms.fault_tolerance.regions=0\nterms.bounds.seed_lag_s=3\n\
             terms.bounds.addr_reuse_s=2\nterms.bounds.contact_s={CONTACT_S}\n\
             terms.bounds.ack_timeout_s=4\nterms.bounds.catch_up_s=4\n\
             terms.bounds.drain_s={DRAIN_S}\nterms.bounds.grace_s={GRACE_S}\n\
             terms.bounds.loss_slack_s=0.2\nterms.bounds.config_apply_s={CONFIG_APPLY_S}\n\
             terms.bounds.rollback_slack_s=0.25\nterms.bounds.max_skew_s=5\n\
             terms.bounds.budget_ratio=0.2\nterms.bounds.budget_window_s=10\n\
             terms.bounds.budget_slack=60\nterms.bounds.canary_share=0.1\n\
             terms.bounds.canary_slack=50\nterms.bounds.rollback_s=5\nterms.bounds.recover_s=15\n",
            counts = class == "core",
            last = INTERNAL + 15,
            seeds = self.seeds(),
        )
    }

    /// Starts all core machines.
    pub fn start_cores(&self) -> Vec<Machine> {
        (1..=self.cores).map(|host| self.start_core(host)).collect()
    }

    fn start_core(&self, host: u8) -> Machine {
        let data = self.folder.join(format!("data-{host}"));
        let mut settings = self.settings(host, "control", "core", "control");
        settings.push_str(&format!(
            "self.data_dir={}\nself.limits.disk_mb=256\n",
            data.display()
        ));
        self.start(host, "control", &settings)
    }

    /// Starts the machine of an upstream, whose service the settings name.
    pub fn start_node(&self, host: u8, service: &str) -> Machine {
        self.start_node_with(host, service, "")
    }

    /// The same with further lines in the settings; a later line replaces an earlier one.
    pub fn start_node_with(&self, host: u8, service: &str, more: &str) -> Machine {
        let ip = self.ip(host);
        let mut settings = self.settings(host, "node", "sidecar", "sidecar");
        settings.push_str(&format!(
            "self.local_app={ip}:{UPSTREAM}\nself.service={service}\n\
             network.bind.inbound={ip}:{INBOUND}\nnetwork.bind.outbound={ip}:{OUTBOUND}\n\
             network.bind.readiness={ip}:{READINESS}\nself.limits.disk_mb=0\n{more}"
        ));
        self.start(host, "node", &settings)
    }

    fn start(&self, host: u8, role: &str, settings: &str) -> Machine {
        let file = self.folder.join(format!("settings-{host}.conf"));
        fs::write(&file, settings).expect("the settings file can be written");
        let command = self.commands.get(role).expect("the deploy file has the role").clone();
        let mut machine = Machine {
            host,
            ip: self.ip(host),
            settings: file,
            log: self.folder.join(format!("log-{host}.txt")),
            pids: self.folder.join("pids"),
            root: self.root.clone(),
            command,
            child: None,
            record: self.record.clone(),
        };
        machine.start();
        machine
    }
}

/// Reads the commands of the roles from the deploy file.
fn read_commands(file: &Path) -> BTreeMap<String, Vec<String>> {
    let text = fs::read_to_string(file).expect("the deploy file can be read");
    let mut commands = BTreeMap::new();
    let mut role = String::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("[roles.") {
            role = name.trim_end_matches(']').to_owned();
        } else if let Some(run) = line.strip_prefix("run = ") {
            let words = run.trim_matches('"').split(' ').map(str::to_owned);
            commands.insert(role.clone(), words.collect());
        }
    }
    commands
}

/// One machine with its process. The process is killed on drop.
pub struct Machine {
    pub host: u8,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    pids: PathBuf,
    root: PathBuf,
    command: Vec<String>,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Machine {
    pub fn outbound(&self) -> SocketAddr {
        (self.ip, OUTBOUND).into()
    }

    pub fn admin(&self) -> SocketAddr {
        (self.ip, ADMIN).into()
    }

    pub fn readiness(&self) -> SocketAddr {
        (self.ip, READINESS).into()
    }

    pub fn inbound(&self) -> SocketAddr {
        (self.ip, INBOUND).into()
    }

    pub fn upstream(&self) -> SocketAddr {
        (self.ip, UPSTREAM).into()
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log file can be opened");
        let mut command = Command::new(self.root.join(&self.command[0]));
        command
            .args(&self.command[1..])
            .current_dir(&self.root)
            .env_clear()
            .env("TREFOILLOCK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file can be shared"))
            .stderr(log);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        match command.spawn() {
            Ok(child) => {
                let mut pids = OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(&self.pids)
                    .expect("the list of processes can be written");
                let _ = writeln!(pids, "{}", child.id());
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("{}: {error}", self.command[0]);
                std::process::exit(COULD_NOT_RUN);
            }
        }
    }

    /// Sends a signal such as `STOP` or `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            self.record.add(format!("machine {}: signal {name}", self.host));
            let _ = Command::new("kill").args(["-s", name, &pid]).status();
        }
    }

    /// Kills the process, as a crash of the machine's process does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.add(format!("machine {}: killed", self.host));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended by itself. Returns whether it did within the time.
    pub fn wait_for_end(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// Starts the process again. The platform sets `bootstrap` at the first start only.
    pub fn restart(&mut self) {
        if let Ok(text) = fs::read_to_string(&self.settings) {
            let text = text.replace("self.bootstrap=true", "self.bootstrap=false");
            fs::write(&self.settings, text).expect("the settings file can be written");
        }
        self.start();
        self.record.add(format!("machine {}: started again", self.host));
    }

    /// Waits until the readiness endpoint answers 200.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(30));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let ask = Request::new("GET", "/-/ready").header("Host", "node");
        let answer = ask.send(self.readiness(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200 && answer.is_complete)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A request of a client, an operator or an upstream.
#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn json(mut self, body: &str) -> Self {
        self.body = body.as_bytes().to_vec();
        self.header("Content-Type", "application/json")
    }

    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// The bytes on the wire, with the length of the body.
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a connection of its own. `timeout` bounds the whole exchange.
    pub fn send(&self, to: SocketAddr, timeout: Duration) -> io::Result<Answer> {
        let until = Instant::now() + timeout;
        let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        stream.write_all(&self.bytes())?;
        let mut unread = Vec::new();
        Answer::read(&mut stream, &mut unread, until, &self.method)
    }
}

/// A response as a client sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the protocol says that the body has ended where it should.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Reads one response. An error means that no complete head arrived.
    pub fn read(
        stream: &mut TcpStream,
        unread: &mut Vec<u8>,
        until: Instant,
        method: &str,
    ) -> io::Result<Self> {
        let head_end = loop {
            if let Some(at) = find(unread, b"\r\n\r\n") {
                break at;
            }
            if read_more(stream, unread, until)? == 0 {
                let error = if unread.is_empty() {
                    "closed without an answer"
                } else {
                    "closed within the head of the answer"
                };
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, error));
            }
        };
        let head: Vec<u8> = unread.drain(..head_end + 4).collect();
        let (first, headers) = parse_head(&head);
        let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
        let status = status.ok_or_else(|| io::Error::other("not an answer"))?;
        let mut answer = Self {
            status,
            headers,
            body: Vec::new(),
            is_complete: false,
        };
        let chunked = answer
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        let length: Option<usize> = answer
            .header("content-length")
            .and_then(|length| length.parse().ok());
        if method == "HEAD" || status == 204 || status == 304 {
            answer.is_complete = true;
        } else if chunked {
            answer.is_complete = read_chunks(stream, unread, until, &mut answer.body).is_ok();
        } else if let Some(length) = length {
            while unread.len() < length {
                match read_more(stream, unread, until) {
                    Ok(1..) => {}
                    _ => break,
                }
            }
            let taken = unread.len().min(length);
            answer.body = unread.drain(..taken).collect();
            answer.is_complete = answer.body.len() == length;
        } else {
            answer.is_complete = loop {
                match read_more(stream, unread, until) {
                    Ok(0) => break true,
                    Ok(_) => {}
                    Err(_) => break false,
                }
            };
            answer.body = std::mem::take(unread);
        }
        Ok(answer)
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

pub fn parse_head(head: &[u8]) -> (String, Vec<(String, String)>) {
    let text = String::from_utf8_lossy(head);
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    });
    (first, headers.collect())
}

/// Reads once, until a time. Returns the number of bytes, 0 at the end of the stream.
pub fn read_more(stream: &mut TcpStream, unread: &mut Vec<u8>, until: Instant) -> io::Result<usize> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))?;
    let mut buf = [0; 16 * 1024];
    let count = match stream.read(&mut buf) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            return Err(io::ErrorKind::TimedOut.into());
        }
        other => other?,
    };
    unread.extend_from_slice(&buf[..count]);
    Ok(count)
}

fn read_chunks(
    stream: &mut TcpStream,
    unread: &mut Vec<u8>,
    until: Instant,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "the body ended early");
    loop {
        let line_end = loop {
            if let Some(at) = find(unread, b"\r\n") {
                break at;
            }
            if read_more(stream, unread, until)? == 0 {
                return Err(ended());
            }
        };
        let line: Vec<u8> = unread.drain(..line_end + 2).collect();
        let text = String::from_utf8_lossy(&line);
        let text = text.trim().split(';').next().unwrap_or_default().to_owned();
        let size = usize::from_str_radix(&text, 16).map_err(io::Error::other)?;
        while unread.len() < size + 2 {
            if read_more(stream, unread, until)? == 0 {
                let taken = unread.len().min(size);
                body.extend(unread.drain(..taken));
                return Err(ended());
            }
        }
        body.extend(unread.drain(..size));
        unread.drain(..2);
        if size == 0 {
            return Ok(());
        }
    }
}

/// A request as an upstream has read it.
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub arrived: f64,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or("-")
    }
}

/// A request that an upstream has run.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub path: String,
    /// The value of `X-Caller-Service`, if there was one.
    pub caller: Option<String>,
    pub at: f64,
}

/// An upstream. It runs a request after reading it whole, takes `work` for it and answers with a
/// signature. A request that expects another instance gets 421 and is not run.
pub struct Upstream {
    pub instance: String,
    pub service: String,
    pub version: String,
    pub born: u64,
    pub address: SocketAddr,
    pub capacity: u32,
    runs: Mutex<Vec<Run>>,
    is_open: AtomicBool,
    sequence: AtomicU64,
    record: Arc<Record>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Upstream {
    pub fn start(
        address: SocketAddr,
        instance: &str,
        service: &str,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the address of the upstream is free");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let upstream = Arc::new(Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            version: "v1".to_owned(),
            born: u64::try_from(born.as_millis()).unwrap_or_default(),
            address,
            capacity: 9,
            runs: Mutex::new(Vec::new()),
            is_open: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            record: record.clone(),
            connections: Mutex::new(Vec::new()),
        });
        let served = upstream.clone();
        listener.set_nonblocking(true).expect("the listener can be polled");
        thread::spawn(move || {
            while served.is_open.load(Ordering::Acquire) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            served.connections.lock().unwrap().push(copy);
                        }
                        let served = served.clone();
                        thread::spawn(move || served.serve(stream, work));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        upstream
    }

    /// The requests that it has run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Ends the upstream, as its process exits.
    pub fn exit(&self) {
        self.is_open.store(false, Ordering::Release);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.add(format!("upstream {}: exits", self.instance));
    }

    fn serve(&self, mut stream: TcpStream, work: Duration) {
        let mut unread = Vec::new();
        while let Some(received) = self.receive(&mut stream, &mut unread) {
            let answer = self.answer(&received, work);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Reads one request; `None` at the end of the connection.
    pub fn receive(&self, stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Received> {
        let until = Instant::now() + Duration::from_secs(60);
        let head_end = loop {
            if let Some(at) = find(unread, b"\r\n\r\n") {
                break at;
            }
            if read_more(stream, unread, until).ok()? == 0 {
                return None;
            }
        };
        let arrived = self.record.now();
        let head: Vec<u8> = unread.drain(..head_end + 4).collect();
        let (first, headers) = parse_head(&head);
        let mut words = first.split(' ');
        let mut received = Received {
            method: words.next()?.to_owned(),
            path: words.next()?.to_owned(),
            headers,
            body: Vec::new(),
            arrived,
        };
        let length: usize = received
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        while unread.len() < length {
            if read_more(stream, unread, until).ok()? == 0 {
                return None;
            }
        }
        received.body = unread.drain(..length).collect();
        Some(received)
    }

    fn answer(&self, received: &Received, work: Duration) -> String {
        let id = received.id();
        let instance = &self.instance;
        if received.path == "/health" {
            return format!(
                "HTTP/1.1 200 OK\r\nX-Upstream-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        if received.header("x-expect-instance").is_some_and(|expected| expected != instance) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n\
                 X-Upstream-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        self.note_run(received);
        thread::sleep(work);
        let body = format!("{instance} ran {}", received.path);
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {instance}.{id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    pub fn note_run(&self, received: &Received) {
        let run = Run {
            id: received.id().to_owned(),
            path: received.path.clone(),
            caller: received.header("x-caller-service").map(str::to_owned),
            at: received.arrived,
        };
        self.runs.lock().unwrap().push(run);
        let (instance, id, path) = (&self.instance, received.id(), &received.path);
        self.record
            .add_at(received.arrived, format!("upstream {instance}: runs {id} {path}"));
    }

    /// The next heartbeat; each one has a higher sequence number.
    pub fn heartbeat(&self, state: &str) -> Request {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"{}\",\
             \"zone\":\"zone-a\",\"capacity\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"warmup_left_s\":0}}}}",
            self.address, self.born, self.service, self.version, self.capacity
        );
        let path = format!("/-/Instances.Heartbeat/{}", self.instance);
        Request::new("POST", &path).header("Host", "node").json(&body)
    }

    pub fn deregistration(&self) -> Request {
        let path = format!("/-/Instances.Deregister/{}", self.instance);
        let body = format!("{{\"born\":{}}}", self.born);
        Request::new("POST", &path).header("Host", "node").json(&body)
    }

    /// Sends a heartbeat or a deregistration. Returns whether it was acknowledged within a second.
    pub fn report(&self, to: SocketAddr, call: &Request, what: &str) -> bool {
        let sent = self.record.now();
        let answer = call.send(to, Duration::from_secs(1));
        let status = answer.as_ref().map_or_else(|error| error.to_string(), |a| a.status.to_string());
        self.record
            .add_at(sent, format!("upstream {}: {what}: {status}", self.instance));
        answer.is_ok_and(|answer| (200..300).contains(&answer.status))
    }

    /// Sends heartbeats at the usual interval until the flag is cleared.
    pub fn beat_while(self: &Arc<Self>, to: SocketAddr, beats: Arc<AtomicBool>) -> thread::JoinHandle<()> {
        let upstream = self.clone();
        thread::spawn(move || {
            while beats.load(Ordering::Acquire) {
                upstream.report(to, &upstream.heartbeat("ready"), "heartbeat (ready)");
                let until = Instant::now() + Duration::from_secs_f64(HEARTBEAT_S);
                while Instant::now() < until && beats.load(Ordering::Acquire) {
                    thread::sleep(Duration::from_millis(10));
                }
            }
        })
    }
}

/// The operator: sends calls to any core machine and follows redirects.
pub struct Operator {
    cores: Vec<SocketAddr>,
    record: Arc<Record>,
}

impl Operator {
    pub fn new(cores: &[Machine], record: &Arc<Record>) -> Self {
        Self {
            cores: cores.iter().map(Machine::admin).collect(),
            record: record.clone(),
        }
    }

    /// Sends a call until it gets a clear answer, for at most `timeout`.
    pub fn send(&self, call: &Request, timeout: Duration) -> Option<Answer> {
        let until = Instant::now() + timeout;
        let mut next = 0;
        while Instant::now() < until {
            let mut to = self.cores[next % self.cores.len()];
            next += 1;
            for _ in 0..3 {
                let Ok(answer) = call.send(to, Duration::from_secs(3)) else {
                    break;
                };
                if answer.status == 307 {
                    let location = answer.header("location").unwrap_or_default();
                    let host = location.strip_prefix("http://").unwrap_or_default();
                    let host = host.split('/').next().unwrap_or_default();
                    match host.parse() {
                        Ok(address) => to = address,
                        Err(_) => break,
                    }
                    continue;
                }
                if answer.status < 500 && answer.status != 429 && answer.status != 408 {
                    return Some(answer);
                }
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Replaces the configuration and waits for the acknowledgement.
    pub fn replace(&self, config: &str) -> Option<u16> {
        let call = Request::new("POST", "/-/Config.Replace")
            .header("Host", "control")
            .json(config);
        let sent = self.record.now();
        let answer = self.send(&call, Duration::from_secs(30));
        let status = answer.map(|answer| answer.status);
        self.record.add_at(sent, "operator: sends a configuration");
        self.record.add(format!("operator: configuration answered {status:?}"));
        status
    }
}

/// A configuration with one host and the given routes and limits.
pub fn config(version: u32, base: u32, services: &[&str], routes: &[Route<'_>], header_bytes: u32) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"max_connections\":120,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"r-{}\",\"prefix\":\"/{}/\",\"route_type\":\"{}\",\"timeout_s\":{},\
                 \"target_latency_s\":{},\"priority\":1,\"service\":\"{}\",\"max_attempts\":2}}",
                route.prefix, route.prefix, route.kind, route.timeout_s, route.timeout_s.min(0.5), route.service
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"base_version\":\"r{base}\",\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":{header_bytes},\"max_body_bytes\":67108864,\
         \"header_timeout_s\":3,\"idle_timeout_s\":15}},\
         \"virtual_hosts\":[{{\"host\":\"a.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}

pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An identity that no other attempt has.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A request of a client with an identity and a deadline.
pub fn client_request(method: &str, path: &str, id: &str, deadline: Duration) -> Request {
    Request::new(method, path)
        .header("Host", "a.example")
        .header("X-Attempt-Id", id)
        .header("X-Deadline-Ms", &deadline.as_millis().to_string())
}

/// Waits until a condition holds. Returns whether it did within the time.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Ends the case because its preparation failed.
pub fn could_not_run(record: &Record, why: &str) -> ! {
    finish(record, &format!("the case could not run: {why}"), COULD_NOT_RUN)
}

