//! The balancer's sockets. Nothing here decides: the driver asks the decision module.

mod admin;
mod body;
mod clock;
mod clock_offsets;
mod discovery;
mod dispatcher;
mod downstream;
mod durable_file;
pub mod logging;
mod messages;
mod metrics;
mod minimum_rate;
mod offline_endpoints;
mod orders;
mod panic;
mod process_handover;
mod send_check;
mod shared_folder;
mod start_times;
mod sync;
mod upstream;

use crate::config::Config;
use crate::transient_errors::retry_blocking;
use messages::DispatcherMessage;
use shared_folder::{FolderState, SharedFolder};
use std::io::{self};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::FileTypeExt;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// Part of the memory that bodies may fill, as one over this.
const BODIES: usize = 4;
/// Connections that wait to be taken, at most.
const BACKLOG: u32 = 1024;
/// Takes over a new configuration: where discovery is. All else needs a new start. One that is not sound
/// changes nothing.
async fn reload(discovery: watch::Sender<SocketAddr>) {
    match Config::reload().await {
        Ok(config) => {
            logging::log(format_args!("configuration read again, discovery at {}", config.discovery));
            discovery.send_replace(config.discovery);
        }
        Err(error) => logging::log(format_args!("configuration kept, as the new one is not sound: {error}")),
    }
}

/// The listening socket that the platform holds for every process of this balancer.
#[allow(unsafe_code)]
fn inherited(fd: RawFd) -> io::Result<TcpListener> {
    // A closed or foreign descriptor must not be taken over: something of ours may get its number.
    if !std::fs::metadata(format!("/proc/self/fd/{fd}"))?.file_type().is_socket() {
        return Err(io::Error::other("not a socket"));
    }
    // SAFETY: it is open, and the platform handed it over for this use alone; it is taken once, at the start.
    let listener = unsafe { std::net::TcpListener::from_raw_fd(fd) };
    listener.set_nonblocking(true)?;
    retry_blocking(|| TcpListener::from_std(listener.try_clone()?))
}

/// Binds where callers connect.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Opens the folder that is shared with the process before and after this one.
fn open_shared_folder(
    config: &Config,
    dispatcher: mpsc::UnboundedSender<DispatcherMessage>,
) -> Result<(SharedFolder, FolderState), String> {
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let name = format!("{}-{:x}", std::process::id(), config.seed);
    let report = move |event| {
        dispatcher.send(DispatcherMessage::SharedFolder(event)).ok(); // the driver ends only with the program
    };
    SharedFolder::open(folder, &name, report).map_err(|error| format!("shared folder: {error}"))
}

/// Serves until a signal to stop, and then until all that was taken is answered.
pub async fn run(config: Config) -> Result<(), String> {
    let failed = |what: &str, error: io::Error| format!("{what}: {error}");
    let mut term = signal(SignalKind::terminate()).map_err(|e| failed("SIGTERM", e))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| failed("SIGINT", e))?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| failed("SIGHUP", e))?;
    let listener = match config.listen_fd {
        Some(fd) => inherited(fd).map_err(|error| failed(&format!("`LB_LISTEN_FD` {fd}"), error))?,
        None => retry_blocking(|| bind(config.listen))
            .map_err(|error| failed(&format!("`listen` {}", config.listen), error))?,
    };
    let address = listener.local_addr().map_err(|error| failed("`listen`", error))?;
    logging::log(format_args!("listening on {address}"));

    let config = Arc::new(config);
    let (events, inbox) = mpsc::unbounded_channel();
    let (ready, is_ready) = watch::channel(false);
    let (subscribe, subscribed) = mpsc::unbounded_channel();
    let (stop, stopping) = watch::channel(false);
    let (discovery, discovery_at) = watch::channel(config.discovery);
    let (tell, told) = watch::channel(false);

    let counters = Arc::new(metrics::Counters::new(&config.proxy_settings.classes));
    let shared =
        config.uses_shared_folder().then(|| open_shared_folder(&config, events.clone())).transpose()?;
    let body_memory = body::memory::BodyMemory::new(config.limits.memory / BODIES);
    let parts = (counters.clone(), body_memory.clone());
    let dispatcher =
        dispatcher::Dispatcher::new(config.clone(), events.clone(), subscribe, ready, parts, shared)?;
    if let Some(address) = config.admin {
        let (counters, ready, dispatcher) = (counters.clone(), is_ready.clone(), events.clone());
        admin::open(address, admin::AdminContext { counters, ready, dispatcher })?;
    }
    let mut driving = tokio::spawn(dispatcher.run(inbox));
    tokio::spawn(discovery::run(config.clone(), events.clone(), subscribed, discovery_at, tell));
    let server = downstream::DownstreamServer::new(config, events, (is_ready, told), counters, body_memory);
    let mut serving = tokio::spawn(server.run(listener, stopping));

    // Discovery may move while the last callers are served, and a second signal to stop changes nothing.
    let mut outcome = Ok(());
    loop {
        tokio::select! {
            ended = &mut serving => return ended.map_err(|error| format!("the server stopped: {error}")).and(outcome),
            // What is open is answered as failed, and so is what comes until the server has stopped.
            Err(error) = &mut driving, if outcome.is_ok() => {
                outcome = Err(format!("the driver stopped: {error}"));
                stop.send_replace(true);
            }
            _ = term.recv() => { stop.send_replace(true); }
            _ = int.recv() => { stop.send_replace(true); }
            _ = hup.recv() => drop(tokio::spawn(reload(discovery.clone()))),
        }
    }
}
