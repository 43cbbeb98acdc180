//! Starts the real program on loopback sockets, with stand-ins for upstreams, discovery and clients.

use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Limit for every wait in a test; reached only when something hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// An `X-Budget` in seconds for requests that should not run out of time.
pub const LONG_BUDGET: &str = "60";

/// A request or response as read from the socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message; `None` if the peer closes or resets the connection first.
    pub fn read(input: &mut impl BufRead) -> Option<Self> {
        let mut read_line = || {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|&bytes_read| bytes_read > 0)?;
            Some(line.trim_end().to_owned())
        };
        let first_line = read_line()?;
        let mut headers = HashMap::new();
        loop {
            let header = read_line()?;
            match header.split_once(':') {
                Some((name, value)) => headers.insert(name.to_lowercase(), value.trim().to_owned()),
                None => break,
            };
        }
        let body = match headers.get("transfer-encoding") {
            Some(_) => read_chunked_body(input)?,
            None => {
                let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
                let mut body = vec![0; length];
                input.read_exact(&mut body).ok()?;
                body
            }
        };
        Some(Self { first_line, headers, body })
    }

    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// A body in chunks, to its end; `None` where it breaks off.
fn read_chunked_body(input: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|&bytes_read| bytes_read > 0)?;
        let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        input.read_exact(&mut body[start..]).ok()?;
        line.clear();
        while input.read_line(&mut line).ok().filter(|&bytes_read| bytes_read > 0)? > 2 {
            assert_eq!(size, 0, "only the last chunk may be followed by trailers");
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
    /// Runs this on the connection, then closes it.
    Run(Arc<dyn Fn(&mut TcpStream) + Send + Sync>),
    /// Writes this response and keeps the connection.
    Respond(String),
    /// Writes this response and closes the connection.
    RespondAndClose(String),
    /// Writes the first string as the response, then the second as extra bytes that belong to no request.
    RespondWithExtra(String, String),
    /// Writes nothing and waits until the peer closes.
    NeverRespond,
}

/// A 200 response with this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The 503 by which an upstream rejects a request without having run it.
pub fn rejected_response() -> String {
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".into()
}

/// What a stand-in upstream observes on its connections.
#[derive(Debug)]
pub enum UpstreamEvent {
    Connected,
    Request(Message),
    /// The extra bytes of `RespondWithExtra` were written.
    ExtraWritten,
    /// A connection was closed.
    Closed,
}

/// A stand-in upstream that records its events in order.
pub struct Upstream {
    pub address: SocketAddr,
    pub events: Receiver<UpstreamEvent>,
}

impl Upstream {
    /// Listens on a free port and handles each request by the action that `act` returns for it.
    pub fn start(act: impl Fn(&Message) -> UpstreamAction + Send + Sync + 'static) -> Self {
        let (event_sender, events) = channel();
        let address = listen(move |stream| upstream_connection(stream, &act, &event_sender));
        Self { address, events }
    }

    /// Waits for the next request, skipping other events.
    pub fn next_request(&self) -> Message {
        loop {
            if let UpstreamEvent::Request(message) =
                self.events.recv_timeout(TEST_TIMEOUT).expect("the upstream received no request in time")
            {
                return message;
            }
        }
    }

    /// Waits until a connection is closed.
    pub fn wait_for_close(&self) {
        while !matches!(
            self.events.recv_timeout(TEST_TIMEOUT).expect("no upstream connection was closed in time"),
            UpstreamEvent::Closed
        ) {}
    }

    /// Waits until the extra bytes of `RespondWithExtra` are written.
    pub fn wait_for_extra(&self) {
        while !matches!(
            self.events.recv_timeout(TEST_TIMEOUT).expect("no extra bytes were written in time"),
            UpstreamEvent::ExtraWritten
        ) {}
    }

    /// Drains the pending events and returns the number of requests among them.
    pub fn take_request_count(&self) -> usize {
        self.events.try_iter().filter(|event| matches!(event, UpstreamEvent::Request(_))).count()
    }
}

/// Handles the requests of one connection to a stand-in upstream.
fn upstream_connection(
    stream: TcpStream,
    act: &impl Fn(&Message) -> UpstreamAction,
    event_sender: &Sender<UpstreamEvent>,
) {
    event_sender.send(UpstreamEvent::Connected).ok();
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(message) = Message::read(&mut input) {
        event_sender.send(UpstreamEvent::Request(message.clone())).ok();
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
                event_sender.send(UpstreamEvent::ExtraWritten).ok();
            }
            UpstreamAction::NeverRespond => {}
        }
    }
    // Dropping the stream is not enough: a program that another test is just spawning may hold a copy of the
    // descriptor until it calls exec.
    output.shutdown(Shutdown::Both).ok();
    event_sender.send(UpstreamEvent::Closed).ok();
}

/// Handles each connection to a free port on its own thread, until the test ends.
fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    listen_on(TcpListener::bind("127.0.0.1:0").unwrap(), serve)
}

/// Handles each connection to a listener on its own thread, until the test ends.
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

/// A loopback address that refuses connections: its port stays bound but nothing listens on it.
pub fn refusing_address() -> SocketAddr {
    let (socket, address) = bound_socket();
    std::mem::forget(socket);
    address
}

/// A listening socket on a free port that the programs started later inherit.
pub fn inheritable_listener() -> Socket {
    let (socket, _) = bound_socket();
    socket.listen(128).unwrap();
    socket.set_cloexec(false).unwrap();
    socket
}

/// A socket bound to a free port that does not listen yet.
fn bound_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Discovery that is down: connections to its address are refused until it is restored.
pub struct UnavailableDiscovery {
    pub address: SocketAddr,
    socket: Socket,
}

impl UnavailableDiscovery {
    /// Reserves an address for discovery.
    pub fn open() -> Self {
        let (socket, address) = bound_socket();
        Self { address, socket }
    }

    /// Starts discovery at the address, with this endpoint list.
    pub fn restore(self, targets: &[String]) -> Discovery {
        self.socket.listen(128).unwrap();
        let discovery = Discovery::start_on(self.socket.into(), "");
        discovery.set_targets(targets);
        discovery
    }
}

/// A stand-in for discovery.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    requested_revisions: Receiver<u64>,
}

impl Discovery {
    /// Starts with an empty endpoint list.
    pub fn start() -> Self {
        Self::start_with_first_response("")
    }

    /// Writes `first_response` to the first request and closes its connection, unless the string is empty.
    pub fn start_with_first_response(first_response: &'static str) -> Self {
        Self::start_on(TcpListener::bind("127.0.0.1:0").unwrap(), first_response)
    }

    fn start_on(listener: TcpListener, first_response: &'static str) -> Self {
        let first_response_sent = AtomicBool::new(first_response.is_empty());
        let state = Arc::new((Mutex::new((1, String::new())), Condvar::new()));
        let (shared, (sender, requested_revisions)) = (state.clone(), channel());
        let address = listen_on(listener, move |stream| {
            let mut output = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            while let Some(message) = Message::read(&mut input) {
                if !first_response_sent.swap(true, Ordering::Relaxed) {
                    output.write_all(first_response.as_bytes()).unwrap();
                    return;
                }
                // A request for the whole list carries no revision.
                let after = message.first_line.split("after=").nth(1);
                let after: u64 = after.map_or(0, |after| after.split('&').next().unwrap().parse().unwrap());
                sender.send(after).ok();
                let (lock, changed) = &*shared;
                let state = changed.wait_while(lock.lock().unwrap(), |(rev, _)| *rev <= after).unwrap();
                let body = format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, state.0, state.1);
                drop(state);
                if output.write_all(ok_response(&body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, state, requested_revisions }
    }

    /// Publishes a new list and waits until the balancer has applied it and watches for the next one.
    pub fn publish(&self, targets: &[String]) {
        self.set_targets(targets);
        self.wait_until_watched();
    }

    /// Replaces the list without waiting for the balancer.
    pub fn set_targets(&self, targets: &[String]) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        *state = (state.0 + 1, targets.join(","));
        drop(state);
        changed.notify_all();
    }

    /// Waits until the balancer has applied the current list and watches for the next one.
    pub fn wait_until_watched(&self) {
        let rev = self.state.0.lock().unwrap().0;
        while self.requested_revisions.recv_timeout(TEST_TIMEOUT).expect("no watch for the next list in time")
            < rev
        {}
    }
}

/// A JSON list entry for a warm upstream in the balancer's zone.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// List entries `s-0`, `s-1`, ... for these upstreams, all in service.
pub fn in_service(upstreams: &[&Upstream]) -> Vec<String> {
    in_service_at(upstreams.iter().map(|upstream| upstream.address))
}

/// List entries `s-0`, `s-1`, ... for the upstreams at these addresses, all in service.
pub fn in_service_at(addresses: impl IntoIterator<Item = SocketAddr>) -> Vec<String> {
    let addresses = addresses.into_iter().enumerate();
    addresses.map(|(index, address)| target(&format!("s-{index}"), address, "in_service")).collect()
}

/// A configuration with one idempotent class (`look`), one with idempotency keys (`pay`) and one that is not
/// idempotent (`post`).
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

/// A running balancer process.
pub struct Program {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
    log: BufReader<ChildStderr>,
}

impl Program {
    /// Starts the program with this configuration and waits until it listens.
    pub fn start(config: &serde_json::Value) -> Self {
        Self::start_with(config, &[])
    }

    /// Starts the program with additional environment variables.
    pub fn start_with(config: &serde_json::Value, environment: &[(&str, String)]) -> Self {
        Self::start_command(config, &mut Command::new(env!("CARGO_BIN_EXE_balancer")), environment)
    }

    /// Starts the program with its configured `sockets` limit as the kernel's limit on open descriptors.
    pub fn start_with_descriptor_limit(config: &serde_json::Value) -> Self {
        let max_descriptors = config["limits"]["sockets"].to_string();
        let limited =
            ["-c", r#"ulimit -n "$0" && exec "$1""#, &max_descriptors, env!("CARGO_BIN_EXE_balancer")];
        Self::start_command(config, Command::new("sh").args(limited), &[])
    }

    fn start_command(
        config: &serde_json::Value,
        command: &mut Command,
        environment: &[(&str, String)],
    ) -> Self {
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

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.signal("-KILL");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// Stops the process by SIGSTOP. After `resume` it finds all events of the meantime at once.
    pub fn pause(&self) {
        self.signal("-STOP");
        let is_stopped = || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            stat.rsplit(") ").next().unwrap().starts_with('T')
        };
        eventually("the program stops", is_stopped);
    }

    /// Waits until the process has no pending signal.
    pub fn wait_until_signals_delivered(&self) {
        let none_pending = || {
            let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
            let pending =
                status.lines().filter(|line| line.starts_with("SigPnd") || line.starts_with("ShdPnd"));
            pending.into_iter().all(|line| line.trim_end().ends_with("\t0000000000000000"))
        };
        eventually("pending signals are delivered", none_pending);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Reads the log up to a line that contains this text and returns the line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the program exited without logging {text:?}"
            );
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Number of client connections that the kernel still holds open for the program.
    pub fn client_connections(&self) -> usize {
        self.count_sockets(&["01", "08"])
    }

    /// Waits until the kernel has received the FIN or RST of every client. The end may be late: a program that another
    /// test is just spawning may hold a copy of a closed socket until it calls exec.
    pub fn wait_until_clients_disconnected(&self) {
        eventually("every client has disconnected", || self.count_sockets(&["01"]) == 0);
    }

    /// Counts the client sockets in these states of /proc/net/tcp: 01 is ESTABLISHED, 08 is CLOSE_WAIT.
    fn count_sockets(&self, states: &[&str]) -> usize {
        let SocketAddr::V4(address) = self.address else { unreachable!("bound to IPv4") };
        let address = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let local_sockets = sockets.lines().map(|socket| socket.split_whitespace().skip(1));
        local_sockets
            .filter(|fields| {
                let mut fields = fields.clone();
                fields.next() == Some(&address) && fields.nth(1).is_some_and(|state| states.contains(&state))
            })
            .count()
    }

    /// Number of open descriptors of the process.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Resident memory of the process, in KiB.
    pub fn resident_kib(&self) -> u64 {
        self.memory_kib("VmRSS")
    }

    /// Private memory of the process, in KiB: without its program text, and without memory of the kernel.
    pub fn private_kib(&self) -> u64 {
        self.memory_kib("RssAnon")
    }

    /// The highest resident memory of the process so far, in KiB.
    pub fn peak_resident_kib(&self) -> u64 {
        self.memory_kib("VmHWM")
    }

    /// A figure of `/proc/PID/status`, in KiB.
    fn memory_kib(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with(name)).expect("no such figure of memory");
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Waits until the process exits; returns its status and the rest of its log.
    pub fn wait_for_exit(mut self) -> (ExitStatus, String) {
        let mut log = String::new();
        self.log.read_to_string(&mut log).unwrap();
        (self.child.wait().unwrap(), log)
    }

    /// Fills the pipe of the log, which nobody reads.
    pub fn fill_log_pipe(&self) {
        const O_NONBLOCK: i32 = 0o4000;
        let path = format!("/proc/{}/fd/2", self.child.id());
        let mut pipe = std::fs::OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(path).unwrap();
        while pipe.write(b"filler\n").is_ok() {}
    }

    /// Waits until the process exits, without reading its log.
    pub fn wait_for_exit_unread(&mut self) {
        let started = std::time::Instant::now();
        while self.child.try_wait().unwrap().is_none() {
            assert!(started.elapsed() < TEST_TIMEOUT, "the program does not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Opens a client connection.
    pub fn connect(&self) -> Client {
        self.try_connect().expect("the program accepts no connection")
    }

    /// Opens a client connection; `None` if it is refused.
    pub fn try_connect(&self) -> Option<Client> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Some(Client { input: BufReader::new(stream) })
    }

    /// Sends one request on a new connection and returns its response.
    pub fn request(&self, class: &str) -> Message {
        self.connect().request(class, LONG_BUDGET, "body").expect("the connection ended without a response")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Starts the program with this upstream alone, without discovery.
pub fn start_with_upstream(upstream: &Upstream) -> Program {
    Program::start(&config(refusing_address(), &in_service(&[upstream])))
}

/// Runs the program with this configuration text until it exits by itself; returns its status and log.
pub fn run_until_exit(config: &str) -> (ExitStatus, String) {
    run_until_exit_with(config, &[])
}

/// Like `run_until_exit`, with additional environment variables.
pub fn run_until_exit_with(config: &str, environment: &[(&str, String)]) -> (ExitStatus, String) {
    let command = &mut Command::new(env!("CARGO_BIN_EXE_balancer"));
    let (mut child, mut log, _) = spawn(config, command, environment);
    let mut text = String::new();
    log.read_to_string(&mut text).unwrap();
    (child.wait().unwrap(), text)
}

/// Writes the configuration to a file and spawns the program with it; returns the process, its log and the file.
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

/// A client connection.
pub struct Client {
    pub input: BufReader<TcpStream>,
}

impl Client {
    /// Writes this text.
    pub fn write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes a request without waiting for the response.
    pub fn send(&mut self, class: &str, budget: &str, body: &str) {
        self.write(&request_text(class, budget, body));
    }

    /// Closes the connection by FIN, by RST, or by FIN after this many further bytes.
    pub fn disconnect(mut self, mode: DisconnectMode) {
        match mode {
            DisconnectMode::Fin => {}
            DisconnectMode::Rst => {
                socket2::SockRef::from(self.input.get_ref()).set_linger(Some(Duration::ZERO)).unwrap()
            }
            DisconnectMode::FinAfterBytes(bytes) => self.write(&"m".repeat(bytes)),
        }
    }

    /// Reads the next response; `None` if the connection ends first.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Sends a request and reads its response; `None` if the connection ends first.
    pub fn request(&mut self, class: &str, budget: &str, body: &str) -> Option<Message> {
        self.input.get_mut().write_all(request_text(class, budget, body).as_bytes()).ok()?;
        self.read_response()
    }
}

/// A fixed number of idle client connections; one that the program closes is opened again.
pub struct IdleClients(Arc<AtomicBool>);

impl IdleClients {
    /// Opens the connections and writes this text, and nothing more, on each.
    pub fn connect(address: SocketAddr, size: usize, initial_text: fn() -> String) -> Self {
        const CONNECTS_PER_ROUND: usize = 20; // more than the program accepts beyond its connection limit
        let (stopped, mut connections) = (Arc::new(AtomicBool::new(false)), Vec::new());
        let is_stopped = stopped.clone();
        std::thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                connections.retain_mut(is_open);
                for _ in connections.len()..size.min(connections.len() + CONNECTS_PER_ROUND) {
                    let Ok(mut client) = TcpStream::connect_timeout(&address, TEST_TIMEOUT) else { break };
                    client.write_all(initial_text().as_bytes()).ok();
                    client.set_nonblocking(true).unwrap();
                    connections.push(client);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        Self(stopped)
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Whether a non-blocking connection is still open; discards the bytes received on it.
fn is_open(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 512]) {
        Ok(bytes_read) => bytes_read > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
pub enum DisconnectMode {
    /// By FIN.
    Fin,
    /// By RST.
    Rst,
    /// By FIN after this many further bytes.
    FinAfterBytes(usize),
}

/// All modes; the two byte counts are below and above what the program buffers behind a request.
pub const DISCONNECT_MODES: [DisconnectMode; 4] = [
    DisconnectMode::Fin,
    DisconnectMode::Rst,
    DisconnectMode::FinAfterBytes(10),
    DisconnectMode::FinAfterBytes(40 << 10),
];

/// The text of a request with a unique id.
pub fn request_text(class: &str, budget: &str, body: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    request_text_with_id(
        &format!("9b1f03aa{:08x}", NEXT.fetch_add(1, Ordering::Relaxed)),
        class,
        budget,
        body,
    )
}

/// The text of a request with this id.
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

/// A listening peer whose connections the test itself accepts, reads and writes.
pub struct ManualPeer {
    pub address: SocketAddr,
    accepted: Receiver<TcpStream>,
}

impl ManualPeer {
    /// Listens on a free port.
    pub fn open() -> Self {
        let (sender, accepted) = channel();
        let sender = Mutex::new(sender);
        let address = listen(move |stream| drop(sender.lock().unwrap().send(stream)));
        Self { address, accepted }
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> PeerConnection {
        let stream = self.accepted.recv_timeout(TEST_TIMEOUT).expect("no connection in time");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        PeerConnection { input: BufReader::new(stream) }
    }
}

/// A connection accepted by a `ManualPeer`.
pub struct PeerConnection {
    pub input: BufReader<TcpStream>,
}

impl PeerConnection {
    /// Reads the next message.
    pub fn read(&mut self) -> Message {
        Message::read(&mut self.input).expect("the connection ended without a message")
    }

    /// Reads the next message; `None` if the peer closes or resets the connection first.
    pub fn try_read(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Writes this text.
    pub fn write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes this text, ignoring errors of a connection that the peer has closed.
    pub fn try_write(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).ok();
    }

    /// Shuts the connection down, even if a spawning program holds a copy of the descriptor.
    pub fn close(&self) {
        self.input.get_ref().shutdown(Shutdown::Both).ok();
    }

    /// Whether the peer closes the connection without sending another byte.
    pub fn is_closed_by_peer(&mut self) -> bool {
        reads_eof(&mut self.input)
    }
}

/// Whether a reader is at its end. A read with a timeout is not restarted by the kernel after a signal, such as the
/// SIGCHLD of a child process of another test, so an interrupted read is repeated.
pub fn reads_eof(input: &mut impl Read) -> bool {
    loop {
        match input.read(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => return matches!(other, Ok(0)),
        }
    }
}

/// A discovery response with this list, indented as the real discovery writes it.
pub fn list_response(rev: u64, all: bool, targets: &[String]) -> String {
    let body = format!(
        "{{\n  \"rev\": {rev},\n  \"all\": {all},\n  \"targets\": [\n    {}\n  ]\n}}\n",
        targets.join(",\n    ")
    );
    ok_response(&body)
}

/// A listener with a full backlog: connections to it stay pending until the test accepts them.
pub struct BlockedListener {
    pub address: SocketAddr,
    listener: TcpListener,
    backlog_connections: Vec<TcpStream>,
}

impl BlockedListener {
    /// Opens the listener and fills its backlog.
    pub fn open() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        let backlog_connections = std::iter::from_fn(connect).collect();
        let blocked = Self { address, listener, backlog_connections };
        blocked.wait_until_none_pending(); // the connect that timed out is abandoned
        blocked
    }

    /// Waits until this many connections are pending.
    pub fn wait_for_pending(&self, pending: usize) {
        eventually("the expected number of connections is pending", || {
            pending_connections(self.address) == pending
        });
    }

    /// Waits until no connection is pending.
    pub fn wait_until_none_pending(&self) {
        self.wait_for_pending(0);
    }

    /// Accepts the pending connections, which takes the kernel some seconds, and all later ones.
    pub fn accept_connections(
        self,
        act: impl Fn(&Message) -> UpstreamAction + Send + Sync + 'static,
    ) -> Upstream {
        let (event_sender, events) = channel();
        let address = self.address;
        let act = Arc::new(act);
        std::thread::spawn(move || {
            drop(self.backlog_connections);
            for stream in self.listener.incoming().map_while(Result::ok) {
                let (act, event_sender) = (act.clone(), event_sender.clone());
                std::thread::spawn(move || upstream_connection(stream, &*act, &event_sender));
            }
        });
        Upstream { address, events }
    }
}

/// Number of connections to an address that are not established yet.
pub fn pending_connections(address: SocketAddr) -> usize {
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(address) = address else { unreachable!("bound to IPv4") };
    let address = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut pending = 0;
    for socket in sockets.lines() {
        let mut fields = socket.split_whitespace().skip(2);
        pending += usize::from(fields.next() == Some(&address) && fields.next() == Some(SYN_SENT));
    }
    pending
}

/// Waits until a condition holds; fails after `TEST_TIMEOUT`.
pub fn eventually(description: &str, condition: impl Fn() -> bool) {
    let started = std::time::Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "condition not met in time: {description}");
        std::thread::sleep(Duration::from_millis(1));
    }
}
