//! The built program over loopback sockets, with small stand-ins for upstreams, discovery and callers.

use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Far more than anything takes here; reached only where something hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// A caller's time where the test does not wait for its end.
pub const LONG_BUDGET: &str = "60";

/// A request or an answer as it was on the socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message; `None` where the peer closes or breaks the connection first.
    pub fn read(input: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|&got| got > 0)?;
            Some(line.trim_end().to_owned())
        };
        let first_line = line()?;
        let mut headers = HashMap::new();
        loop {
            let header = line()?;
            match header.split_once(':') {
                Some((name, value)) => headers.insert(name.to_lowercase(), value.trim().to_owned()),
                None => break,
            };
        }
        let body = match headers.get("transfer-encoding") {
            Some(_) => chunks(input)?,
            None => {
                let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
                let mut body = vec![0; length];
                input.read_exact(&mut body).ok()?;
                body
            }
        };
        Some(Self { first_line, headers, body })
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// A body in chunks, to its end; `None` where it breaks off.
fn chunks(input: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|&got| got > 0)?;
        let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
        let from = body.len();
        body.resize(from + size, 0);
        input.read_exact(&mut body[from..]).ok()?;
        line.clear();
        while input.read_line(&mut line).ok().filter(|&got| got > 0)? > 2 {
            assert_eq!(size, 0, "only trailers stand between a chunk and the next");
            line.clear();
        }
        if size == 0 {
            return Some(body);
        }
    }
}

/// What a stand-in for an upstream does with a request.
#[derive(Clone)]
pub enum UpstreamAction {
    /// Does this with the connection, and closes it.
    Run(Arc<dyn Fn(&mut TcpStream) + Send + Sync>),
    /// Writes this and keeps the connection.
    Respond(String),
    /// Writes this and closes the connection.
    RespondAndClose(String),
    /// Writes the one, and then the other, which belongs to no request.
    RespondWithExtra(String, String),
    /// Says nothing until the peer closes.
    NeverRespond,
}

pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn rejected_response() -> String {
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".into()
}

/// What happens at an upstream.
#[derive(Debug)]
pub enum UpstreamEvent {
    Connected,
    Request(Message),
    /// What belongs to no request is written.
    ExtraWritten,
    /// A connection has ended.
    Closed,
}

/// A stand-in for an upstream; it tells what it sees in order.
pub struct Upstream {
    pub address: SocketAddr,
    pub events: Receiver<UpstreamEvent>,
}

impl Upstream {
    pub fn start(act: impl Fn(&Message) -> UpstreamAction + Send + Sync + 'static) -> Self {
        let (event_sender, events) = channel();
        let address = listen(move |stream| upstream_connection(stream, &act, &event_sender));
        Self { address, events }
    }

    /// The next request, whatever else is seen before.
    pub fn next_request(&self) -> Message {
        loop {
            if let UpstreamEvent::Request(message) =
                self.events.recv_timeout(TEST_TIMEOUT).expect("a request")
            {
                return message;
            }
        }
    }

    /// Waits until a connection has ended.
    pub fn wait_for_close(&self) {
        while !matches!(
            self.events.recv_timeout(TEST_TIMEOUT).expect("the end of a connection"),
            UpstreamEvent::Closed
        ) {}
    }

    /// Waits until something is written that belongs to no request.
    pub fn wait_for_extra(&self) {
        while !matches!(
            self.events.recv_timeout(TEST_TIMEOUT).expect("more than an answer"),
            UpstreamEvent::ExtraWritten
        ) {}
    }

    /// The requests seen since the last look.
    pub fn take_request_count(&self) -> usize {
        self.events.try_iter().filter(|seen| matches!(seen, UpstreamEvent::Request(_))).count()
    }
}

fn upstream_connection(
    stream: TcpStream,
    act: &impl Fn(&Message) -> UpstreamAction,
    tell: &Sender<UpstreamEvent>,
) {
    tell.send(UpstreamEvent::Connected).ok();
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(message) = Message::read(&mut input) {
        tell.send(UpstreamEvent::Request(message.clone())).ok();
        match act(&message) {
            UpstreamAction::Run(act) => {
                act(&mut output);
                break;
            }
            UpstreamAction::Respond(text) => output.write_all(text.as_bytes()).unwrap_or(()),
            UpstreamAction::RespondAndClose(text) => {
                output.write_all(text.as_bytes()).unwrap_or(());
                break;
            }
            UpstreamAction::RespondWithExtra(text, more) => {
                output.write_all(text.as_bytes()).unwrap_or(());
                output.write_all(more.as_bytes()).unwrap_or(());
                tell.send(UpstreamEvent::ExtraWritten).ok();
            }
            UpstreamAction::NeverRespond => {}
        }
    }
    // Not by dropping it: a test that starts its program just now holds a copy until that runs.
    output.shutdown(Shutdown::Both).ok();
    tell.send(UpstreamEvent::Closed).ok();
}

/// Serves each connection to a free port on a thread of its own, until the test ends.
fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    listen_on(TcpListener::bind("127.0.0.1:0").unwrap(), serve)
}

fn listen_on(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// An address at which nothing listens, and nothing will: the port stays taken.
pub fn refusing_address() -> SocketAddr {
    let (socket, address) = bound();
    std::mem::forget(socket);
    address
}

/// A socket at which nothing listens yet.
fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Discovery while it is down: connections to it are refused.
pub struct UnavailableDiscovery {
    pub address: SocketAddr,
    socket: Socket,
}

impl UnavailableDiscovery {
    pub fn open() -> Self {
        let (socket, address) = bound();
        Self { address, socket }
    }

    /// It is back, and has this list.
    pub fn restore(self, targets: &[String]) -> Discovery {
        self.socket.listen(128).unwrap();
        let discovery = Discovery::on(self.socket.into(), "");
        discovery.set_targets(targets);
        discovery
    }
}

/// A stand-in for discovery.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    asked: Receiver<u64>,
}

impl Discovery {
    pub fn start() -> Self {
        Self::start_with_first_response("")
    }

    /// The first call gets this for an answer and the end of its connection, if it is not empty.
    pub fn start_with_first_response(first: &'static str) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap(), first)
    }

    fn on(listener: TcpListener, first: &'static str) -> Self {
        let failed = AtomicBool::new(first.is_empty());
        let state = Arc::new((Mutex::new((1, String::new())), Condvar::new()));
        let (shared, (tell, asked)) = (state.clone(), channel());
        let address = listen_on(listener, move |stream| {
            let mut output = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            while let Some(message) = Message::read(&mut input) {
                if !failed.swap(true, Ordering::Relaxed) {
                    output.write_all(first.as_bytes()).unwrap();
                    return;
                }
                // A call for the whole list names no version.
                let after = message.first_line.split("after=").nth(1);
                let after: u64 = after.map_or(0, |after| after.split('&').next().unwrap().parse().unwrap());
                tell.send(after).ok();
                let (lock, changed) = &*shared;
                let state = changed.wait_while(lock.lock().unwrap(), |(rev, _)| *rev <= after).unwrap();
                let body = format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, state.0, state.1);
                drop(state);
                if output.write_all(ok_response(&body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, state, asked }
    }

    /// Tells of a new list, and waits until the balancer has taken it and watches for the next.
    pub fn publish(&self, targets: &[String]) {
        self.set_targets(targets);
        self.wait_until_watched();
    }

    /// Has a new list from now on.
    pub fn set_targets(&self, targets: &[String]) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        *state = (state.0 + 1, targets.join(","));
        drop(state);
        changed.notify_all();
    }

    /// Waits until the balancer has taken the present list and watches for the next.
    pub fn wait_until_watched(&self) {
        let rev = self.state.0.lock().unwrap().0;
        while self.asked.recv_timeout(TEST_TIMEOUT).expect("the next watch") < rev {}
    }
}

/// An entry of a list: a warm upstream in the balancer's zone.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn in_service(upstreams: &[&Upstream]) -> Vec<String> {
    let entry =
        |(at, upstream): (usize, &&Upstream)| target(&format!("s-{at}"), upstream.address, "in_service");
    upstreams.iter().enumerate().map(entry).collect()
}

/// A configuration with a class that is safe (`look`), keyed (`pay`) and unsafe (`post`).
pub fn config(discovery: SocketAddr, known: &[String]) -> serde_json::Value {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"Name": name, "Effect": effect, "Group": "all", "WindowNs": 60_000_000_000_u64,
            "AimNs": 30_000_000_000_u64, "DeadlineNs": 60_000_000_000_u64, "LateWorth": 0.5, "Value": 1.0,
            "Stream": false})
    };
    let known: serde_json::Value =
        serde_json::from_str(&format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, known.join(","))).unwrap();
    serde_json::json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {
            "Classes": [class("look", "read_like"), class("pay", "idempotency_key"), class("post", "non_idempotent")],
            "Discovery": "push", "Layer": 1, "Layers": ["one", "two"], "Siblings": 1, "Ordinal": 0,
            "Limits": {"Cancelling": true, "ConnIdleNs": 60_000_000_000_u64, "ConnectTimeoutNs": 10_000_000_000_u64,
                "RetryAfter": false, "MaxRetryAfterNs": 1_000_000_000_u64, "TryLimit": 6, "MayDuplicate": true},
            "Safety": {"AnswerSlackNs": 16_000_000, "DrainGraceNs": 1_000_000_000_u64, "StartCapacity": 0.3,
                "TipMultiple": 2.5, "RampTimeNs": 8_400_000_000_u64},
            "Tenants": [{"Name": "acme", "QuotaRps": 1000.0, "Share": 1.0}],
            "ValueBy": "request", "Zone": 0, "Zones": ["a"],
        },
    })
}

/// The program, running.
pub struct Program {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
    log: BufReader<ChildStderr>,
}

impl Program {
    pub fn start(config: &serde_json::Value) -> Self {
        Self::start_with(config, &[])
    }

    /// Starts it with more in its environment.
    pub fn start_with(config: &serde_json::Value, environment: &[(&str, String)]) -> Self {
        Self::start_as(config, &mut Command::new(env!("CARGO_BIN_EXE_balancer")), environment)
    }

    /// Starts it where the kernel lets it open no more descriptors than its configuration allows.
    pub fn start_with_descriptor_limit(config: &serde_json::Value) -> Self {
        let most = config["limits"]["sockets"].to_string();
        let limited = ["-c", r#"ulimit -n "$0" && exec "$1""#, &most, env!("CARGO_BIN_EXE_balancer")];
        Self::start_as(config, Command::new("sh").args(limited), &[])
    }

    fn start_as(config: &serde_json::Value, command: &mut Command, environment: &[(&str, String)]) -> Self {
        let (mut child, mut log, config) = spawn(&config.to_string(), command, environment);
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address = line.trim().rsplit(' ').next().unwrap().parse();
        let address = address.unwrap_or_else(|_| {
            child.kill().ok();
            panic!("no address in {line:?}")
        });
        Self { child, config, address, log }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Puts this text in place of the configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// Stops the program where it is: what happens until it goes on, it finds all at once.
    pub fn pause(&self) {
        self.signal("-STOP");
        let state = || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            stat.rsplit(") ").next().unwrap().starts_with('T')
        };
        eventually("the program stops", state);
    }

    /// Waits until no signal is on its way to it.
    pub fn wait_until_signals_delivered(&self) {
        let none = || {
            let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
            let pending =
                status.lines().filter(|line| line.starts_with("SigPnd") || line.starts_with("ShdPnd"));
            pending.into_iter().all(|line| line.trim_end().ends_with("\t0000000000000000"))
        };
        eventually("signals are taken", none);
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits for a line of the log that holds this text.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the program has ended, not logged {text:?}");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Connections that callers have with it.
    pub fn client_connections(&self) -> usize {
        self.sockets(&["01", "08"])
    }

    /// Waits until the kernel has the end of each caller, by FIN or by RST. A test that starts its program just now may
    /// hold a copy of a socket that was closed.
    pub fn wait_until_clients_disconnected(&self) {
        eventually("the end of each caller", || self.sockets(&["01"]) == 0);
    }

    /// Its sockets for callers in these states: 01 is established, 08 left by the caller.
    fn sockets(&self, states: &[&str]) -> usize {
        let SocketAddr::V4(address) = self.address else { unreachable!("bound to IPv4") };
        let address = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let own = sockets.lines().map(|socket| socket.split_whitespace().skip(1));
        own.filter(|fields| {
            let mut fields = fields.clone();
            fields.next() == Some(&address) && fields.nth(1).is_some_and(|state| states.contains(&state))
        })
        .count()
    }

    /// Descriptors that it holds.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Resident memory, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("its memory");
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Waits for the end; the rest of the log comes with it.
    pub fn wait_for_exit(mut self) -> (ExitStatus, String) {
        let mut log = String::new();
        self.log.read_to_string(&mut log).unwrap();
        (self.child.wait().unwrap(), log)
    }

    pub fn connect(&self) -> Client {
        self.try_connect().expect("a connection")
    }

    pub fn try_connect(&self) -> Option<Client> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Some(Client { input: BufReader::new(stream) })
    }

    /// One request on a connection of its own.
    pub fn request(&self, class: &str) -> Message {
        self.connect().request(class, LONG_BUDGET, "body").expect("an answer")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Runs the program with this text as its configuration until it ends by itself.
pub fn run_until_exit(config: &str) -> (ExitStatus, String) {
    run_until_exit_with(config, &[])
}

pub fn run_until_exit_with(config: &str, environment: &[(&str, String)]) -> (ExitStatus, String) {
    let command = &mut Command::new(env!("CARGO_BIN_EXE_balancer"));
    let (mut child, mut log, _) = spawn(config, command, environment);
    let mut text = String::new();
    log.read_to_string(&mut text).unwrap();
    (child.wait().unwrap(), text)
}

fn spawn(
    config: &str,
    command: &mut Command,
    environment: &[(&str, String)],
) -> (Child, BufReader<ChildStderr>, PathBuf) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("config-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let mut child = command
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_ADMIN_ADDR")
        .env_remove("LB_LISTEN_FD")
        .env("LB_CONFIG", &path)
        .envs(environment.iter().cloned())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    (child, log, path)
}

/// A caller's connection.
pub struct Client {
    pub input: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn send(&mut self, class: &str, budget: &str, body: &str) {
        self.write(&request_text(class, budget, body));
    }

    /// Leaves: by FIN, by RST, or by FIN behind so many further bytes.
    pub fn disconnect(mut self, way: DisconnectMode) {
        match way {
            DisconnectMode::Fin => {}
            DisconnectMode::Rst => {
                socket2::SockRef::from(self.input.get_ref()).set_linger(Some(Duration::ZERO)).unwrap()
            }
            DisconnectMode::FinAfterBytes(bytes) => self.write(&"m".repeat(bytes)),
        }
    }

    /// The next answer; `None` where the connection ends without one.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// One request and its answer; `None` where the connection has ended.
    pub fn request(&mut self, class: &str, budget: &str, body: &str) -> Option<Message> {
        self.input.get_mut().write_all(request_text(class, budget, body).as_bytes()).ok()?;
        self.read_response()
    }
}

/// Idle callers, so many at a time: one that is closed comes again.
pub struct IdleClients(Arc<AtomicBool>);

impl IdleClients {
    /// Each says this, and nothing more.
    pub fn connect(address: SocketAddr, size: usize, says: fn() -> String) -> Self {
        const AT_ONCE: usize = 20; // more than are taken beyond the places
        let (dispersed, mut held) = (Arc::new(AtomicBool::new(false)), Vec::new());
        let is_over = dispersed.clone();
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                held.retain_mut(is_open);
                for _ in held.len()..size.min(held.len() + AT_ONCE) {
                    let Ok(mut caller) = TcpStream::connect_timeout(&address, TEST_TIMEOUT) else { break };
                    caller.write_all(says().as_bytes()).ok();
                    caller.set_nonblocking(true).unwrap();
                    held.push(caller);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        Self(dispersed)
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Whether a connection that does not block goes on; what has come on it is dropped.
fn is_open(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 512]) {
        Ok(got) => got > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}

/// How a caller leaves.
#[derive(Clone, Copy, Debug)]
pub enum DisconnectMode {
    Fin,
    Rst,
    FinAfterBytes(usize),
}

/// All ways to leave: with few bytes, and with more than are kept of what follows a request.
pub const DISCONNECT_MODES: [DisconnectMode; 4] = [
    DisconnectMode::Fin,
    DisconnectMode::Rst,
    DisconnectMode::FinAfterBytes(10),
    DisconnectMode::FinAfterBytes(40 << 10),
];

/// A request as a caller writes it, with an id of its own.
pub fn request_text(class: &str, budget: &str, body: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    request_text_with_id(
        &format!("9b1f03aa{:08x}", NEXT.fetch_add(1, Ordering::Relaxed)),
        class,
        budget,
        body,
    )
}

pub fn request_text_with_id(id: &str, class: &str, budget: &str, body: &str) -> String {
    let (method, extra, body) = match class {
        "look" => ("GET", "", ""),
        "pay" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n", body),
        _ => ("POST", "", body),
    };
    format!(
        "{method} /{class}?x=1 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
         X-Caller: acme\r\nX-Budget: {budget}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A peer that does nothing by itself: the test takes each connection, reads and writes on it.
pub struct ManualPeer {
    pub address: SocketAddr,
    taken: Receiver<TcpStream>,
}

impl ManualPeer {
    pub fn open() -> Self {
        let (tell, taken) = channel();
        let tell = Mutex::new(tell);
        let address = listen(move |stream| drop(tell.lock().unwrap().send(stream)));
        Self { address, taken }
    }

    /// The next connection.
    pub fn accept(&self) -> PeerConnection {
        let stream = self.taken.recv_timeout(TEST_TIMEOUT).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        PeerConnection { input: BufReader::new(stream) }
    }
}

/// A connection that was taken at a `ManualPeer`.
pub struct PeerConnection {
    pub input: BufReader<TcpStream>,
}

impl PeerConnection {
    pub fn read(&mut self) -> Message {
        Message::read(&mut self.input).expect("a message")
    }

    /// The next message; `None` where the peer closes or breaks the connection first.
    pub fn try_read(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    pub fn write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes as far as the peer still listens.
    pub fn try_write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).ok();
    }

    /// Closes it, whoever else holds a copy.
    pub fn close(&self) {
        self.input.get_ref().shutdown(Shutdown::Both).ok();
    }

    /// Whether the peer ends the connection without another byte.
    pub fn is_closed_by_peer(&mut self) -> bool {
        reads_eof(&mut self.input)
    }
}

/// Whether a reader ends without another byte. A read with a timeout is not restarted by the kernel after a signal:
/// the end of a child of this process may interrupt it in any thread.
pub fn reads_eof(input: &mut impl Read) -> bool {
    loop {
        match input.read(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => return matches!(other, Ok(0)),
        }
    }
}

/// A list as discovery writes it, indented.
pub fn list_response(rev: u64, all: bool, targets: &[String]) -> String {
    let body = format!(
        "{{\n  \"rev\": {rev},\n  \"all\": {all},\n  \"targets\": [\n    {}\n  ]\n}}\n",
        targets.join(",\n    ")
    );
    ok_response(&body)
}

/// An address whose connections do not come up until the test lets them in: those before fill the backlog.
pub struct BlockedListener {
    pub address: SocketAddr,
    listener: TcpListener,
    before: Vec<TcpStream>,
}

impl BlockedListener {
    pub fn open() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let another = || TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        let before = std::iter::from_fn(another).collect();
        let crowded = Self { address, listener, before };
        crowded.wait_until_none_pending(); // the last try of our own is over
        crowded
    }

    /// Waits until so many connections wait to come up.
    pub fn wait_for_pending(&self, waiting: usize) {
        eventually("connections that wait", || pending_connections(self.address) == waiting);
    }

    /// Waits until no connection waits to come up any more.
    pub fn wait_until_none_pending(&self) {
        self.wait_for_pending(0);
    }

    /// Lets in what waits, which takes the kernel some seconds, and whatever comes later.
    pub fn accept_connections(
        self,
        act: impl Fn(&Message) -> UpstreamAction + Send + Sync + 'static,
    ) -> Upstream {
        let (event_sender, events) = channel();
        let address = self.address;
        let act = Arc::new(act);
        std::thread::spawn(move || {
            drop(self.before);
            for stream in self.listener.incoming().map_while(Result::ok) {
                let (act, event_sender) = (act.clone(), event_sender.clone());
                std::thread::spawn(move || upstream_connection(stream, &*act, &event_sender));
            }
        });
        Upstream { address, events }
    }
}

/// Connections to an address that have not come up.
pub fn pending_connections(address: SocketAddr) -> usize {
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(address) = address else { unreachable!("bound to IPv4") };
    let address = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut waiting = 0;
    for socket in sockets.lines() {
        let mut fields = socket.split_whitespace().skip(2);
        waiting += usize::from(fields.next() == Some(&address) && fields.next() == Some(SYN_SENT));
    }
    waiting
}

/// Waits until something holds.
pub fn eventually(what: &str, holds: impl Fn() -> bool) {
    let asked = std::time::Instant::now();
    while !holds() {
        assert!(asked.elapsed() < TEST_TIMEOUT, "never: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}
