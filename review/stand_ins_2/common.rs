//! The stand-ins of the review's cases: upstreams, discovery, clients, and the record of what they saw. Only the standard
//! library is used, so that `build-2.sh` needs nothing but the compiler.

#![allow(dead_code)]

use std::fmt::Display;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

// ---- The run ----

/// One run of a case: where its files are, whether it is disrupted, and its record.
pub struct Run {
    pub trouble: bool,
    root: PathBuf,
    pub folder: PathBuf,
    command: String,
    start: Instant,
    record: Mutex<File>,
}

impl Run {
    /// Reads the environment that `run.sh` sets.
    pub fn new() -> Arc<Self> {
        let variable = |name: &str| std::env::var(name).unwrap_or_default();
        let (root, folder) = (PathBuf::from(variable("CASE_ROOT")), PathBuf::from(variable("CASE_TMP")));
        let record = File::create(variable("CASE_RECORD"));
        let Ok(record) = record else { cannot_run("the record cannot be written") };
        let trouble = variable("TROUBLE") != "0";
        let command = variable("CASE_COMMAND");
        let run = Self { trouble, root, folder, command, start: Instant::now(), record: Mutex::new(record) };
        run.line(format!("disruption: {}", if trouble { "yes" } else { "no (TROUBLE=0)" }));
        Arc::new(run)
    }

    /// Time since the run began.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line to the record.
    pub fn line(&self, text: impl Display) {
        let at = self.start.elapsed().as_secs_f64();
        writeln!(self.record.lock().unwrap(), "{at:9.4} {text}").ok();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }

    /// Ends the run: 1 if the rule was broken, 0 if it held.
    pub fn finish(&self, broken: bool, verdict: impl Display) -> ! {
        self.say(verdict);
        self.say(if broken { "RULE BROKEN" } else { "rule held" });
        exit(i32::from(broken))
    }
}

/// Ends the run with 2: the case could not run.
pub fn cannot_run(reason: impl Display) -> ! {
    println!("the case could not run: {reason}");
    exit(2)
}

// ---- Messages ----

/// A request or a response as it was received.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// How reading a message ended without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// The peer closed or reset the connection before the first byte of the message.
    ClosedBefore,
    /// The peer closed or reset the connection within the message.
    ClosedWithin,
    /// The message was not whole in time.
    TimedOut,
    /// The message is not HTTP.
    Malformed,
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes until `end`.
    fn fill(&mut self, end: Option<Instant>) -> Result<(), ReadEnd> {
        let closed = if self.buffer.is_empty() { ReadEnd::ClosedBefore } else { ReadEnd::ClosedWithin };
        loop {
            let left = end.map(|end| end.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left.is_zero()) {
                return Err(ReadEnd::TimedOut);
            }
            self.stream.set_read_timeout(left.map(|left| left.max(ms(1)))).ok();
            let mut piece = [0; 16 << 10];
            match self.stream.read(&mut piece) {
                Ok(0) => return Err(closed),
                Ok(length) => {
                    self.buffer.extend_from_slice(&piece[..length]);
                    return Ok(());
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(closed),
            }
        }
    }

    /// Reads a whole message until `end`.
    pub fn read(&mut self, end: Option<Instant>) -> Result<Message, ReadEnd> {
        let head_end = loop {
            if let Some(position) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break position;
            }
            self.fill(end)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first_line, headers, body: Vec::new() };
        let mut position = head_end + 4;
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let line_end = self.find_line(position, end)?;
                let size = String::from_utf8_lossy(&self.buffer[position..line_end]).into_owned();
                let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16) else {
                    return Err(ReadEnd::Malformed);
                };
                position = line_end + 2;
                if size == 0 {
                    // Trailers, up to the empty line.
                    loop {
                        let line_end = self.find_line(position, end)?;
                        let is_last = line_end == position;
                        position = line_end + 2;
                        if is_last {
                            break;
                        }
                    }
                    break;
                }
                while self.buffer.len() < position + size + 2 {
                    self.fill(end)?;
                }
                message.body.extend_from_slice(&self.buffer[position..position + size]);
                position += size + 2;
            }
        } else {
            let length: usize = message.header("content-length").parse().unwrap_or(0);
            while self.buffer.len() < position + length {
                self.fill(end)?;
            }
            message.body = self.buffer[position..position + length].to_vec();
            position += length;
        }
        self.buffer.drain(..position);
        Ok(message)
    }

    fn find_line(&mut self, from: usize, end: Option<Instant>) -> Result<usize, ReadEnd> {
        loop {
            let rest = self.buffer.get(from..).unwrap_or(&[]);
            if let Some(position) = rest.windows(2).position(|bytes| bytes == b"\r\n") {
                return Ok(from + position);
            }
            self.fill(end)?;
        }
    }
}

/// A response with a body of known length.
pub fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

// ---- Servers ----

/// Handles a request on a connection; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(Message, &mut Reader) -> bool + Send + Sync>;

/// Listens on a free port and serves each connection in a thread of its own.
pub fn serve(handler: Handler) -> SocketAddr {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { cannot_run("no free port") };
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let mut reader = Reader::new(stream);
                while let Ok(message) = reader.read(None) {
                    if !handler(message, &mut reader) {
                        break;
                    }
                }
                reader.stream.shutdown(Shutdown::Both).ok();
            });
        }
    });
    address
}

// ---- Discovery ----

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub state: &'static str,
    changed_in: u64,
}

/// What discovery answers with at present.
pub struct ListState {
    rev: u64,
    targets: Vec<Target>,
    /// It accepts calls and does not answer.
    pub silent: bool,
    /// How long each call waits in turn before it is handled.
    pub delay: Duration,
}

/// Discovery, or the agent that speaks for it.
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<ListState>, Condvar)>,
}

impl Discovery {
    pub fn start(run: &Arc<Run>, name: &str, upstreams: &[(String, SocketAddr)]) -> Self {
        let target = |(uid, address): &(String, SocketAddr)| Target {
            uid: uid.clone(),
            address: *address,
            state: "in_service",
            changed_in: 1,
        };
        let state = ListState {
            rev: 1,
            targets: upstreams.iter().map(target).collect(),
            silent: false,
            delay: Duration::ZERO,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let (handler_shared, run, name) = (shared.clone(), run.clone(), name.to_owned());
        let address = serve(Arc::new(move |request, reader| {
            let answer = answer_call(&handler_shared, &run, &name, request.path());
            let length = answer.len();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json";
            let text = format!("{head}\r\nContent-Length: {length}\r\n\r\n{answer}");
            reader.stream.write_all(text.as_bytes()).is_ok()
        }));
        Self { address, shared }
    }

    /// Changes the state of discovery, without a new version of the list.
    pub fn change(&self, change: impl FnOnce(&mut ListState)) {
        change(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
    }

    /// Lists an upstream in another state, in a new version.
    pub fn set_state(&self, uid: &str, state: &'static str) {
        self.change(|list| {
            list.rev += 1;
            let rev = list.rev;
            let target = list.targets.iter_mut().find(|target| target.uid == uid);
            target.into_iter().for_each(|target| (target.state, target.changed_in) = (state, rev));
        });
    }
}

fn query_value(path: &str, key: &str) -> Option<u64> {
    let query = path.split_once('?')?.1;
    let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(name, _)| *name == key);
    pair?.1.parse().ok()
}

/// Waits as a call of this path does, and returns the answer.
fn answer_call(shared: &(Mutex<ListState>, Condvar), run: &Run, name: &str, path: &str) -> String {
    let after = query_value(path, "after");
    let delay = shared.0.lock().unwrap().delay;
    run.line(format!("{name}: call {path}"));
    thread::sleep(delay);
    let wait_end = Instant::now() + ms(query_value(path, "wait_ms").unwrap_or(0).min(60_000));
    let mut list = shared.0.lock().unwrap();
    loop {
        let is_due = after.is_none_or(|after| list.rev > after) || Instant::now() >= wait_end;
        if is_due && !list.silent {
            break;
        }
        list = shared.1.wait_timeout(list, ms(5)).unwrap().0;
    }
    let is_shown = |target: &&Target| match after {
        Some(after) => target.changed_in > after,
        None => target.state != "terminated",
    };
    let entry = |target: &Target| {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"m","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
            target.uid, target.address, target.state
        )
    };
    let entries: Vec<String> = list.targets.iter().filter(is_shown).map(entry).collect();
    let (rev, all) = (list.rev, after.is_none());
    run.line(format!("{name}: answer to {path}: rev {rev}, {} entries", entries.len()));
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, entries.join(","))
}

// ---- The balancer ----

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub late_worth: f64,
    pub group: &'static str,
    pub window_ms: u64,
}

impl Class {
    /// How long a client waits for an answer: four fifths of the deadline.
    pub fn budget(&self) -> Duration {
        ms(self.deadline_ms * 4 / 5)
    }
}

const SAFE: &str = "read_like";
const UNSAFE: &str = "non_idempotent";
const KEYED: &str = "idempotency_key";

const fn class(name: &'static str, effect: &'static str, aim_ms: u64, deadline_ms: u64) -> Class {
    Class { name, effect, aim_ms, deadline_ms, late_worth: 0.0, group: "all", window_ms: 10_000 }
}

/// The settings of a deployment.
pub struct Deployment {
    pub classes: [Class; 3],
    /// `push` or `ask`.
    pub discovery: &'static str,
    pub try_limit: u32,
    pub second_copies: bool,
    pub cancelling: bool,
    pub max_retry_after_ms: u64,
    pub idle_ms: u64,
    pub connect_timeout_ms: u64,
    pub drain_grace_ms: u64,
    pub fall_ms: u64,
    pub fall_multiple: f64,
}

/// A small deployment with the classes and limits of `loket-prod`.
pub const LOKET_PROD: Deployment = Deployment {
    classes: [
        class("check", SAFE, 600, 1500),
        class("tag-claim", UNSAFE, 1200, 3000),
        Class { window_ms: 1500, ..class("payment", KEYED, 400, 1000) },
    ],
    discovery: "push",
    try_limit: 3,
    second_copies: true,
    cancelling: true,
    max_retry_after_ms: 1500,
    idle_ms: 10_000,
    connect_timeout_ms: 100,
    drain_grace_ms: 750,
    fall_ms: 3000,
    fall_multiple: 4.0,
};

/// A small deployment with the classes and limits of `sen-hcm-main`.
pub const SEN_HCM_MAIN: Deployment = Deployment {
    classes: [
        class("balance", SAFE, 800, 2000),
        class("transfer", UNSAFE, 1000, 2500),
        class("bill-pay", KEYED, 2500, 6000),
    ],
    try_limit: 6,
    max_retry_after_ms: 2000,
    idle_ms: 15_000,
    connect_timeout_ms: 200,
    drain_grace_ms: 500,
    fall_ms: 1500,
    fall_multiple: 3.0,
    ..LOKET_PROD
};

/// A small deployment with the classes and limits of `slow-ask`.
pub const SLOW_ASK: Deployment = Deployment {
    classes: [
        Class { late_worth: 0.5, ..class("ledger-post", UNSAFE, 2500, 8000) },
        Class { late_worth: 0.2, group: "cell", window_ms: 4000, ..class("statement", KEYED, 3000, 7000) },
        Class { group: "zone", window_ms: 3000, ..class("mandate", KEYED, 1500, 5000) },
    ],
    discovery: "ask",
    try_limit: 2,
    second_copies: false,
    cancelling: false,
    max_retry_after_ms: 0,
    idle_ms: 4000,
    connect_timeout_ms: 600,
    drain_grace_ms: 300,
    fall_ms: 1000,
    fall_multiple: 2.5,
};

impl Deployment {
    /// The configuration file of one balancer.
    pub fn config(
        &self,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: &[(String, SocketAddr)],
    ) -> String {
        let class = |class: &Class| {
            format!(
                r#"{{"Name":"{}","Effect":"{}","Group":"{}","WindowNs":{}000000,"AimNs":{}000000,"DeadlineNs":{}000000,"LateWorth":{:?},"Value":1.0,"Stream":false}}"#,
                class.name,
                class.effect,
                class.group,
                class.window_ms,
                class.aim_ms,
                class.deadline_ms,
                class.late_worth
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let entry = |(uid, address): &(String, SocketAddr)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"in_service","capacity_hint":1.0,"boot_ms":0}}"#
            )
        };
        let known: Vec<String> = known.iter().map(entry).collect();
        let limits = format!(
            r#"{{"Cancelling":{},"ConnIdleNs":{}000000,"ConnectTimeoutNs":{}000000,"CpuUsPerRequest":0.0,"CpuUsPerS":750000,"MaxOpen":30000,"MaxRetryAfterNs":{},"MayDuplicate":{},"MayProbe":false,"Peers":false,"RetryAfter":{},"StreamsPerConn":1,"TryLimit":{}}}"#,
            self.cancelling,
            self.idle_ms,
            self.connect_timeout_ms,
            self.max_retry_after_ms * 1_000_000,
            self.second_copies,
            self.max_retry_after_ms > 0,
            self.try_limit
        );
        let safety = format!(
            r#"{{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"DrainGraceNs":{}000000,"FallNs":{}000000,"RampTimeNs":8600000000,"StartCapacity":0.32,"TipMultiple":{:?}}}"#,
            self.drain_grace_ms, self.fall_ms, self.fall_multiple
        );
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"5ac1f03b7e9d2468",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"rev":1,"all":true,"targets":[{}]}},
"settings":{{"Classes":[{}],"Clients":{{"MarksRetry":true}},"Discovery":"{}","Family":"chain","FamilyInfo":{{"PassesDeadline":true}},
"Kinds":["m"],"Layer":0,"Layers":["front","back"],"Siblings":2,"Ordinal":0,"Limits":{limits},
"OverShareWorth":0.2,"Prices":{{"CrossZone":0.04,"Probe":0.01}},"Safety":{safety},
"StepNs":5000000,"Telemetry":{{"Fields":["util","qps"],"Via":"answers"}},
"Tenants":[{{"Name":"acme","QuotaRps":1000.0,"Share":1.0}}],"ValueBy":"request","Weights":"none","Zone":0,"Zones":["a"]}}}}"#,
            known.join(","),
            classes.join(","),
            self.discovery
        )
    }
}

/// What the platform keeps for all processes of one balancer.
pub struct Platform {
    pub listener: TcpListener,
    config_path: PathBuf,
    folder: PathBuf,
}

impl Platform {
    pub fn new(run: &Run) -> Self {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { cannot_run("no free port") };
        let folder = run.folder.join("shared.tmp");
        fs::create_dir_all(&folder).ok();
        Self { listener, config_path: run.folder.join("config.json"), folder }
    }
}

/// The file that names a running process, for `run.sh` to end it if the case is ended early.
fn pid_path(run: &Run, name: &str) -> PathBuf {
    run.folder.join(format!("{name}.pid"))
}

/// An address that nobody listens on at present.
fn free_address() -> SocketAddr {
    let Ok(probe) = TcpListener::bind("127.0.0.1:0") else { cannot_run("no free port") };
    probe.local_addr().unwrap()
}

fn spawn(
    run: &Run,
    name: &str,
    command: &str,
    config_path: &Path,
    folder: &Path,
    environment: &[(&str, String)],
    input: Stdio,
) -> Child {
    let log = File::create(run.folder.join(format!("{name}.log"))).map(Stdio::from);
    let child = Command::new("/bin/sh")
        .args(["-c", command])
        .current_dir(&run.root)
        .env("LB_NAME", "n1")
        .env("LB_CONFIG", config_path)
        .env("TMPDIR", folder)
        .envs(environment.iter().map(|(name, value)| (name, value)))
        .stdin(input)
        .stdout(Stdio::null())
        .stderr(log.unwrap_or(Stdio::null()))
        .spawn();
    let Ok(child) = child else { cannot_run("the balancer cannot be started") };
    fs::write(pid_path(run, name), child.id().to_string()).ok();
    child
}

/// Waits until a balancer answers a call of this path with 200.
fn wait_until_ready(run: &Run, name: &str, address: SocketAddr, path: &str) {
    let call = format!("GET {path} HTTP/1.1\r\nHost: lb\r\n\r\n");
    let end = Instant::now() + ms(30_000);
    loop {
        let answer = Client::new(address).raw(call.as_bytes(), ms(2000));
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return run.line(format!("{name}: ready, {path} at {address}"));
        }
        if Instant::now() > end {
            cannot_run("the balancer is not ready within 30 s");
        }
        thread::sleep(ms(20));
    }
}

/// A running balancer, killed when it is dropped.
pub struct Balancer {
    child: Child,
    pub address: SocketAddr,
    config_path: PathBuf,
    pid_path: PathBuf,
}

impl Balancer {
    /// Starts a balancer with the command of the deploy file, and waits until it is ready.
    pub fn start(
        run: &Arc<Run>,
        name: &str,
        deployment: &Deployment,
        discovery: SocketAddr,
        known: &[(String, SocketAddr)],
    ) -> Self {
        let address = free_address();
        let config_path = run.folder.join(format!("{name}.json"));
        let private = run.folder.join(format!("{name}.tmp"));
        fs::create_dir_all(&private).ok();
        fs::write(&config_path, deployment.config(address, discovery, known)).ok();
        let environment = [("LB_LISTEN", address.to_string()), ("LB_DISCOVERY", discovery.to_string())];
        let child = spawn(run, name, &run.command, &config_path, &private, &environment, Stdio::null());
        wait_until_ready(run, name, address, "/healthz");
        Self { child, address, config_path, pid_path: pid_path(run, name) }
    }

    /// Starts a process of a balancer whose listening socket is held by the platform, and waits until it says yes. All
    /// processes of the balancer have the same configuration and the same folder, and each has an address for operators.
    pub fn start_process(
        run: &Arc<Run>,
        name: &str,
        platform: &Platform,
        deployment: &Deployment,
        discovery: SocketAddr,
        known: &[(String, SocketAddr)],
    ) -> Self {
        let address = platform.listener.local_addr().unwrap();
        let operators = free_address();
        fs::write(&platform.config_path, deployment.config(address, discovery, known)).ok();
        let environment = [
            ("LB_LISTEN", address.to_string()),
            ("LB_DISCOVERY", discovery.to_string()),
            ("LB_ADMIN_ADDR", operators.to_string()),
            ("LB_LISTEN_FD", "3".to_owned()),
        ];
        let Ok(listener) = platform.listener.try_clone() else { cannot_run("the listener cannot be shared") };
        // The socket is handed over as the standard input, and moved to descriptor 3.
        let command = format!("exec 3<&0 0</dev/null; {}", run.command);
        let listener = Stdio::from(OwnedFd::from(listener));
        let (config_path, folder) = (&platform.config_path, &platform.folder);
        let child = spawn(run, name, &command, config_path, folder, &environment, listener);
        wait_until_ready(run, name, operators, "/control/ready");
        Self { child, address, config_path: config_path.clone(), pid_path: pid_path(run, name) }
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status().ok();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn config_path(&self) -> &Path {
        &self.config_path
    }

    pub fn stop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        fs::remove_file(&self.pid_path).ok();
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stop();
    }
}

// ---- Clients ----

/// A client with a connection that it keeps. As the protocol asks, a request that crosses the close of a kept connection is
/// sent once more over a new one.
pub struct Client {
    address: SocketAddr,
    pub reader: Option<Reader>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, reader: None }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Reader> {
        TcpStream::connect_timeout(&address, ms(2000)).map(Reader::new)
    }

    /// Sends a request and reads its answer within `wait`.
    pub fn raw(&mut self, request: &[u8], wait: Duration) -> Result<Message, ReadEnd> {
        let end = Instant::now() + wait;
        loop {
            let kept = self.reader.take();
            let was_kept = kept.is_some();
            let Some(mut reader) = kept.or_else(|| Self::connect(self.address).ok()) else {
                return Err(ReadEnd::ClosedBefore);
            };
            let sent = reader.stream.write_all(request);
            let answer = sent.map_err(|_| ReadEnd::ClosedBefore).and_then(|()| reader.read(Some(end)));
            match answer {
                Err(ReadEnd::ClosedBefore) if was_kept => {}
                Ok(answer) => {
                    if !answer.closes() {
                        self.reader = Some(reader);
                    }
                    return Ok(answer);
                }
                Err(read_end) => return Err(read_end),
            }
        }
    }

    /// Sends a request of a class, and waits for its answer until it counts as lost.
    pub fn call(&mut self, class: &Class, id: &str) -> Result<Message, ReadEnd> {
        self.raw(request(class, id).as_bytes(), class.budget() + ms(600))
    }
}

/// The text of a request.
pub fn request(class: &Class, id: &str) -> String {
    let (method, body) =
        if class.effect == SAFE { ("GET", "") } else { ("POST", "{\"order\":\"an order\"}") };
    let name = class.name;
    let mut text = format!(
        "{method} /{name} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Call-Class: {name}\r\nX-Caller: acme\r\nX-Budget: {:.3}\r\n",
        class.budget().as_secs_f64()
    );
    if class.effect == KEYED {
        text += &format!("Idempotency-Key: key-{id}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text + "\r\n" + body
}

/// A random number below `bound`, from a state that the caller keeps (xorshift).
pub fn random(state: &mut u64, bound: u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state % bound
}
