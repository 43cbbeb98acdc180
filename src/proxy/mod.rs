//! The proxy: accepts requests from clients and sends them on to upstreams. All decisions are made by the decision
//! module: the dispatcher notifies it of events and carries out the actions that it returns.

mod admin;
mod body;
mod clock;
mod clock_offsets;
mod discovery;
mod dispatcher;
mod downstream;
mod durable_file;
mod heap;
pub mod logging;
mod messages;
mod metrics;
mod minimum_rate;
mod offline_endpoints;
mod orders;
mod panic;
mod process_handover;
mod request_ids;
mod send_check;
mod shared_folder;
mod shutdown_schedule;
mod start_times;
mod sync;
mod upstream;
mod withdrawn_endpoints;

use crate::config::Config;
use crate::transient_errors::retry_blocking;
use balancer::decision::Settings;
use downstream::{DownstreamServer, ServerSignals};
use messages::DispatcherMessage;
use request_ids::{RequestIds, SharedTable};
use shared_folder::{FolderState, SharedFolder};
use shutdown_schedule::ShutdownSchedule;
use std::io::{self};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::FileTypeExt;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Reads the configuration again and applies its discovery address; all other settings need a restart. A configuration
/// that is invalid or cannot be read changes nothing.
async fn reload(discovery_address_sender: watch::Sender<SocketAddr>) {
    match Config::reload().await {
        Ok(config) => {
            tracing::info!("configuration read again, discovery at {}", config.discovery);
            discovery_address_sender.send_replace(config.discovery);
        }
        Err(error) => tracing::info!("configuration kept, as the new one is not sound: {error}"),
    }
}

/// The listening socket inherited from the platform, which keeps it open for all processes of this balancer.
#[allow(unsafe_code)]
fn inherited_listener(fd: RawFd) -> io::Result<TcpListener> {
    // Only an open socket may be used. The number of a closed descriptor may later be given to another file of this
    // process, which the listener would then use.
    if !std::fs::metadata(format!("/proc/self/fd/{fd}"))?.file_type().is_socket() {
        return Err(io::Error::other("not a socket"));
    }
    // SAFETY: the descriptor is open, the platform passed it to this process for this use alone, and it is converted
    // only once, at the start.
    let listener = unsafe { std::net::TcpListener::from_raw_fd(fd) };
    listener.set_nonblocking(true)?;
    retry_blocking(|| TcpListener::from_std(listener.try_clone()?))
}

/// Binds the address that clients connect to and listens on it.
fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Opens the folder that is shared with the processes that this one replaces and is replaced by.
fn open_shared_folder(
    config: &Config,
    dispatcher_sender: mpsc::UnboundedSender<DispatcherMessage>,
) -> Result<(SharedFolder, FolderState), String> {
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let name = format!("{}-{:x}", std::process::id(), config.seed);
    let report = move |event| {
        // Fails only once the dispatcher has stopped.
        dispatcher_sender.send(DispatcherMessage::SharedFolder(event)).ok();
    };
    SharedFolder::open(folder, &name, report)
        .map_err(|error| format!("cannot start the thread of the shared folder: {error}"))
}

/// Opens the table of request ids that this process shares with the one that it replaces or is replaced by. Without it,
/// each process knows its own ids only.
fn open_request_id_table(config: &Config) -> Option<SharedTable> {
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from).filter(|_| config.listen_fd.is_some())?;
    retry_blocking(|| SharedTable::open(&folder))
        .inspect_err(|error| tracing::info!(%error, "request ids are not shared with another process"))
        .ok()
}

/// Starts the shutdown, unless it has started already.
fn request_stop(
    shutdown_sender: &watch::Sender<Option<ShutdownSchedule>>,
    settings: &Settings,
    long_response_share: f64,
) {
    shutdown_sender.send_if_modified(|schedule| {
        if schedule.is_some() {
            return false;
        }
        let now = Instant::now();
        let new_schedule = ShutdownSchedule::new(settings, long_response_share, now);
        let serving_time = new_schedule.reject_at - now;
        tracing::info!("stop requested, requests are served for {serving_time:.2?} more");
        *schedule = Some(new_schedule);
        true
    });
}

/// Serves until SIGTERM or SIGINT, and then until all accepted requests have been answered. SIGHUP reloads the
/// configuration.
pub async fn run(config: Config) -> Result<(), String> {
    let setup_error = |subject: &str, error: io::Error| format!("{subject}: {error}");
    let mut sigterm = signal(SignalKind::terminate()).map_err(|error| setup_error("SIGTERM", error))?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(|error| setup_error("SIGINT", error))?;
    let mut sighup = signal(SignalKind::hangup()).map_err(|error| setup_error("SIGHUP", error))?;
    let listener = match config.listen_fd {
        Some(fd) => {
            inherited_listener(fd).map_err(|error| setup_error(&format!("`LB_LISTEN_FD` {fd}"), error))?
        }
        None => retry_blocking(|| bind_listener(config.listen))
            .map_err(|error| setup_error(&format!("`listen` {}", config.listen), error))?,
    };
    let address = listener.local_addr().map_err(|error| setup_error("`listen`", error))?;
    tracing::info!("listening on {address}");

    let config = Arc::new(config);
    let (dispatcher_sender, inbox) = mpsc::unbounded_channel();
    let (ready_sender, ready_receiver) = watch::channel(false);
    let (watch_request_sender, watch_requests) = mpsc::unbounded_channel();
    let (shutdown_sender, shutdown_receiver) = watch::channel(None);
    let (discovery_address_sender, discovery_address_receiver) = watch::channel(config.discovery);
    let (discovery_attempted_sender, discovery_attempted_receiver) = watch::channel(false);

    let counters = Arc::new(metrics::Counters::new(&config.proxy_settings.classes));
    let shared_folder = config
        .uses_shared_folder()
        .then(|| open_shared_folder(&config, dispatcher_sender.clone()))
        .transpose()?;
    let memory = body::memory::MemoryBudget::new(&config.limits, heap::live_bytes);
    let counters_and_memory = (counters.clone(), memory.clone());
    let dispatcher = dispatcher::Dispatcher::new(
        config.clone(),
        dispatcher_sender.clone(),
        watch_request_sender,
        ready_sender,
        counters_and_memory,
        shared_folder,
        shutdown_receiver.clone(),
    )?;
    if let Some(address) = config.admin {
        let (counters, ready, dispatcher_sender) =
            (counters.clone(), ready_receiver.clone(), dispatcher_sender.clone());
        admin::start(address, admin::AdminContext { counters, ready, dispatcher_sender })?;
    }
    let mut dispatcher_task = tokio::spawn(dispatcher.run(inbox));
    tokio::spawn(discovery::run(
        config.clone(),
        dispatcher_sender.clone(),
        watch_requests,
        discovery_address_receiver,
        discovery_attempted_sender,
    ));
    let stop_counters = counters.clone();
    let signals = ServerSignals {
        ready: ready_receiver,
        discovery_attempted: discovery_attempted_receiver,
        shutdown: shutdown_receiver,
    };
    let request_ids = RequestIds::new(config.limits.memory, open_request_id_table(&config));
    let server =
        DownstreamServer::new(config.clone(), dispatcher_sender, signals, counters, memory, request_ids);
    let mut server_task = tokio::spawn(server.run(listener));

    // While the last clients are served, SIGHUP may still change discovery's address, and another SIGTERM or SIGINT
    // changes nothing.
    let mut outcome = Ok(());
    let request_stop =
        || request_stop(&shutdown_sender, &config.settings, stop_counters.long_response_share());
    loop {
        tokio::select! {
            result = &mut server_task =>
                return result.map_err(|error| format!("the task that accepts clients stopped: {error}")).and(outcome),
            // Open requests, and those that are received until the server has stopped, get the response of a failure.
            Err(error) = &mut dispatcher_task, if outcome.is_ok() => {
                outcome = Err(format!("the dispatcher stopped: {error}"));
                request_stop();
            }
            _ = sigterm.recv() => request_stop(),
            _ = sigint.recv() => request_stop(),
            _ = sighup.recv() => drop(tokio::spawn(reload(discovery_address_sender.clone()))),
        }
    }
}
