//! The stand-ins of the cases: balancer process, upstreams, discovery agent and client connections. Standard library
//! only. Every address is a loopback address with a free port.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The longest time that a case may take.
const CASE_LIMIT: Duration = Duration::from_secs(110);

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

// ---- The record, and the end of a case ----

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static TEMPORARY_FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Seconds since the start of the case.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |record| record.start.elapsed().as_secs_f64())
}

/// Writes a line to `record.txt`.
pub fn record(line: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        writeln!(file, "{:10.4} {line}", record.start.elapsed().as_secs_f64()).ok();
    }
}

/// Whether the disruption of the case is on.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case on a thread of its own, ends all processes that it started, and exits with its status.
pub fn run_case(case: fn() -> Verdict) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_default());
    let Ok(file) = File::create(folder.join("record.txt")) else {
        writeln!(io::stdout(), "record.txt cannot be written in the folder {folder:?}").ok();
        std::process::exit(2)
    };
    RECORD.set(Record { start: Instant::now(), file: Mutex::new(file) }).ok();
    record(&format!("trouble {}", if has_trouble() { "on" } else { "off" }));
    let runner = thread::spawn(case);
    let start = Instant::now();
    while !runner.is_finished() && start.elapsed() < CASE_LIMIT {
        sleep(Duration::from_millis(20));
    }
    let verdict = if runner.is_finished() {
        runner.join().unwrap_or(Verdict::CouldNotRun)
    } else {
        Verdict::CouldNotRun
    };
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        child.kill().ok();
        child.wait().ok();
    }
    for folder in TEMPORARY_FOLDERS.lock().unwrap().drain(..) {
        std::fs::remove_dir_all(folder).ok();
    }
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::CouldNotRun => (2, "the case could not run"),
    };
    record(text);
    writeln!(io::stdout(), "{text}").ok();
    std::process::exit(status)
}

/// Kills the balancers, as the platform does.
pub fn kill_balancers() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        child.kill().ok();
        child.wait().ok();
    }
}

/// Sends a signal, such as "TERM", to a process that this case started.
pub fn send_signal(pid: u32, name: &str) {
    Command::new("/bin/sh").args(["-c", &format!("kill -s {name} {pid}")]).status().ok();
}

/// Writes a line to the record and to standard output.
pub fn report(line: &str) {
    record(line);
    writeln!(io::stdout(), "{line}").ok();
}

// ---- Random numbers ----

/// A small generator of random numbers (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }

    /// A waiting time with this mean, exponentially distributed.
    pub fn waiting_time(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.fraction()).ln())
    }
}

// ---- Messages ----

/// A request or an answer as read from a socket.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message. `Ok(None)` is an orderly end before its first byte.
    pub fn read(input: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(mut message) = Self::read_head(input)? else { return Ok(None) };
        if message.headers.contains_key("transfer-encoding") {
            loop {
                let line = read_line(input)?.ok_or(ErrorKind::UnexpectedEof)?;
                let digits = line.split(';').next().unwrap_or("").trim().to_owned();
                let size = usize::from_str_radix(&digits, 16).map_err(|_| ErrorKind::InvalidData)?;
                let start = message.body.len();
                message.body.resize(start + size, 0);
                input.read_exact(&mut message.body[start..])?;
                while !read_line(input)?.ok_or(ErrorKind::UnexpectedEof)?.is_empty() {}
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body = vec![0; length];
            input.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    /// Reads a head only.
    pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(first_line) = read_line(input)? else { return Ok(None) };
        let mut message = Self { first_line, ..Self::default() };
        loop {
            let line = read_line(input)?.ok_or(ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

fn read_line(input: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if input.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

/// A 200 with this body and a load report.
pub fn answer(body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Load-Report: {{\"util\":0.31,\"qps\":12.0}}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

// ---- Upstreams and discovery ----

/// Serves each connection to a free loopback port on a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            stream.set_nodelay(true).ok();
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// An upstream that reads one request after another and has `act` answer each. It closes a connection that has been
/// idle for the time in the settings. `act` returns whether the connection stays open.
pub fn upstream(
    act: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> SocketAddr {
    listen(move |stream| {
        stream.set_read_timeout(Some(Duration::from_secs(10))).ok();
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = Message::read(&mut input) {
            let is_kept = match request.header("x-call-id") {
                "" => output.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_ok(),
                _ => act(&request, &mut output).unwrap_or(false),
            };
            if !is_kept {
                break;
            }
        }
    })
}

/// An entry of the endpoint list, in the balancer's own zone.
pub fn entry(uid: &str, address: SocketAddr, state: &str) -> String {
    entry_in("ams-1", uid, address, state)
}

/// An entry of the endpoint list.
pub fn entry_in(zone: &str, uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"gw-2c","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// The agent that speaks for discovery on the balancer's machine. It answers at once with what it has, and stays silent
/// while discovery is down.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
}

struct AgentState {
    revision: u64,
    entries: Vec<String>,
    silent: bool,
}

impl Agent {
    pub fn start(entries: &[String]) -> Self {
        let state = AgentState { revision: 1, entries: entries.to_vec(), silent: false };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        let address = listen(move |stream| {
            let Ok(mut output) = stream.try_clone() else { return };
            let mut input = BufReader::new(stream);
            while let Ok(Some(request)) = Message::read(&mut input) {
                let number = |name: &str| -> u64 {
                    let text = request.target().split(name).nth(1).and_then(|rest| rest.split('&').next());
                    text.and_then(|text| text.parse().ok()).unwrap_or(0)
                };
                let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=").min(60_000)));
                let end = Instant::now() + wait;
                let (lock, changed) = &*shared;
                let mut state = lock.lock().unwrap();
                while state.silent || state.revision <= after && Instant::now() < end {
                    state = changed.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
                }
                let text = match state.revision > after {
                    true => {
                        let entries = state.entries.join(",");
                        format!(r#"{{"rev":{},"all":true,"targets":[{entries}]}}"#, state.revision)
                    }
                    false => format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, state.revision),
                };
                drop(state);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                if output.write_all((head + &text).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, state }
    }

    /// Discovery goes down: the agent falls silent and learns nothing.
    pub fn fall_silent(&self) {
        self.state.0.lock().unwrap().silent = true;
        self.state.1.notify_all();
    }

    /// The agent has a new list, and answers again if it was silent.
    pub fn tell(&self, entries: &[String]) {
        let mut state = self.state.0.lock().unwrap();
        (state.revision, state.entries, state.silent) = (state.revision + 1, entries.to_vec(), false);
        drop(state);
        self.state.1.notify_all();
    }
}

// ---- The balancer ----

/// A balancer process, started by the command `run` of the deploy file.
#[derive(Clone, Copy)]
pub struct Balancer {
    pub address: SocketAddr,
    pub pid: u32,
}

impl Balancer {
    /// Starts a balancer with this list as the last one that it knew, and waits until it is ready.
    pub fn start(agent: SocketAddr, known: &[String]) -> Option<Self> {
        Self::start_with(agent, known, 96, 512)
    }

    /// Starts a balancer with these limits on memory and descriptors.
    pub fn start_with(agent: SocketAddr, known: &[String], memory_mb: u64, sockets: usize) -> Option<Self> {
        let free_address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(free_address, agent, known, memory_mb, sockets)
    }

    /// Starts a balancer that listens at this address.
    pub fn start_at(
        listen: SocketAddr,
        agent: SocketAddr,
        known: &[String],
        memory_mb: u64,
        sockets: usize,
    ) -> Option<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let deploy = std::fs::read_to_string("deploy/balancer.toml").ok()?;
        let line = deploy.lines().find(|line| line.starts_with("run = "))?;
        let command = line.split('"').nth(1)?.to_owned();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("review-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        TEMPORARY_FOLDERS.lock().unwrap().push(folder.clone());
        let config = CONFIG
            .replace("LISTEN", &listen.to_string())
            .replace("AGENT", &agent.to_string())
            .replace(
                "SEED",
                &format!("{:x}", 0x8c1f_30d2_0000_0000_u64 + u64::from(std::process::id()) * 64 + number),
            )
            .replace("KNOWN", &known.join(","))
            .replace("MEMORY_MB", &memory_mb.to_string())
            .replace("SOCKETS", &sockets.to_string());
        std::fs::write(folder.join("config.json"), config).ok()?;
        let mut child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env_remove("LB_LISTEN")
            .env_remove("LB_DISCOVERY")
            .env_remove("LB_ADMIN_ADDR")
            .env_remove("LB_LISTEN_FD")
            .env("LB_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .ok()?;
        let pid = child.id();
        let mut log = BufReader::new(child.stderr.take()?);
        CHILDREN.lock().unwrap().push(child);
        let mut line = String::new();
        log.read_line(&mut line).ok()?;
        record(&format!("balancer {number} log: {}", line.trim()));
        let address: SocketAddr = line.trim().rsplit(' ').next()?.parse().ok()?;
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                record(&format!("balancer {number} log: {line}"));
            }
        });
        for _ in 0..200 {
            let mut client = Client::connect(address).ok()?;
            client.send(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n").ok()?;
            if Message::read(&mut client.input).ok()??.status() == 200 {
                return Some(Self { address, pid });
            }
            sleep(Duration::from_millis(50));
        }
        None
    }
}

/// A client connection.
pub struct Client {
    pub input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self { input: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.input.get_mut().write_all(bytes)
    }

    /// Reads up to `limit` bytes; 0 is the end of the connection.
    pub fn read_some(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.input.read(buffer)
    }
}

/// A class of requests in the settings below: its name, its share of the requests, its method and its deadline.
pub const CLASSES: [(&str, f64, &str, f64); 3] =
    [("check", 0.45, "GET", 1.5), ("tag-claim", 0.46, "POST", 3.0), ("payment", 0.09, "POST", 1.0)];

/// Draws a class by the shares.
pub fn draw_class(random: &mut Random) -> usize {
    let fraction = random.fraction();
    match fraction {
        _ if fraction < 0.45 => 0,
        _ if fraction < 0.91 => 1,
        _ => 2,
    }
}

/// A fresh X-Call-Id.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The text of a request as a client sends it.
pub fn request(class: usize, id: &str, budget: f64, body: &[u8]) -> Vec<u8> {
    let head = request_head(class, id, budget, body.len());
    [head.as_bytes(), if CLASSES[class].2 == "POST" { body } else { b"" }].concat()
}

/// The head of a request. Only the method POST has a body.
pub fn request_head(class: usize, id: &str, budget: f64, body_length: usize) -> String {
    let (name, _, method, _) = CLASSES[class];
    let mut head = format!(
        "{method} /{name}/v1?n=7 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Call-Class: {name}\r\n\
         X-Caller: hengelbond-zuid\r\nX-Budget: {budget:.3}\r\n"
    );
    if name == "payment" {
        head += &format!("Idempotency-Key: 5c0f6e1a{id}\r\n");
    }
    if method == "POST" {
        head += &format!("Content-Length: {body_length}\r\n");
    }
    head + "\r\n"
}

/// A flag that ends the threads of a case.
pub static STOP: AtomicBool = AtomicBool::new(false);

pub fn is_stopped() -> bool {
    STOP.load(Ordering::Relaxed)
}

/// The configuration: the settings of the deployment described in the brief, one tier, one zone.
const CONFIG: &str = r#"{"name":"n1","listen":"LISTEN","discovery":"AGENT","seed":"SEED",
"limits":{"cores":1.0,"memory_mb":MEMORY_MB,"sockets":SOCKETS},
"known":{"rev":1,"all":true,"targets":[KNOWN]},
"settings":{
"Classes":[
{"AimNs":600000000,"DeadlineNs":1500000000,"Effect":"read_like","Group":"all","LateWorth":0.0,"Name":"check","Stream":false,"Value":1.0,"WindowNs":5000000000},
{"AimNs":1200000000,"DeadlineNs":3000000000,"Effect":"non_idempotent","Group":"all","LateWorth":0.0,"Name":"tag-claim","Stream":false,"Value":2.0,"WindowNs":5000000000},
{"AimNs":400000000,"DeadlineNs":1000000000,"Effect":"idempotency_key","Group":"all","LateWorth":0.0,"Name":"payment","Stream":false,"Value":10.0,"WindowNs":1500000000}],
"Clients":{"MarksRetry":true},"Discovery":"push","Family":"chain","FamilyInfo":{"PassesDeadline":true},
"Kinds":["gw-2c"],"Layer":0,"Layers":["gateway","permits"],
"Limits":{"Cancelling":true,"ConnIdleNs":10000000000,"ConnectTimeoutNs":100000000,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,"MaxOpen":30000,"MaxRetryAfterNs":1500000000,"MayDuplicate":true,"MayProbe":true,"Peers":false,"RetryAfter":true,"StreamsPerConn":1,"TryLimit":3},
"Ordinal":0,"OverShareWorth":0.2,
"Prices":{"Connection":0.0,"CrossZone":0.04,"Discovery":0.0,"Handshake":0.0,"LateFail":0.08,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.02},
"Safety":{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"DrainGraceNs":750000000,"FallNs":3000000000,"RampTimeNs":8600000000,"StartCapacity":0.32,"TipMultiple":4.0},
"ScoringMix":{"Whole":0.4,"WorstClass":0.2,"WorstTenant":0.25,"WorstWindow":0.15},"Siblings":2,"StepNs":5000000,
"Telemetry":{"Fields":["util","qps"],"Via":"answers"},
"Tenants":[{"Name":"hengelbond-zuid","QuotaRps":124.0,"Share":0.68},{"Name":"wbe-veluwerand","QuotaRps":35.0,"Share":0.19},{"Name":"visclub-delta","QuotaRps":24.0,"Share":0.13}],
"ValueBy":"work","Weights":"none","Zone":0,"Zones":["ams-1","rtm-1"]}}
"#;
