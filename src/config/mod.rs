//! The configuration of a balancer, read from a JSON file and the environment.

pub mod endpoint_listing;

use crate::transient_errors::{retry, retry_blocking};
use balancer::decision::Settings;
use balancer::simulator;
use endpoint_listing::Listing;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::time::Duration;

/// Client connections accepted beyond the limit, only to reject their requests: in the kernel's backlog they would
/// be connected, but never get a response.
pub const MAX_CONNECTIONS_OVER_LIMIT: usize = 16;
/// Maximum number of open connections to the admin server.
pub const ADMIN_CONNECTIONS: usize = 12;
/// File descriptors of the admin server: its connections, one more that is being accepted, its listener and those of
/// its runtime.
pub const ADMIN_DESCRIPTORS: usize = ADMIN_CONNECTIONS + 6;
/// File descriptors used neither for served clients nor for upstreams: standard streams, listener, discovery, the
/// runtime, files that are open briefly, and client connections accepted only to be rejected.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_CONNECTIONS_OVER_LIMIT;
/// Upstream connections use at most one file descriptor in this many.
const UPSTREAM_SHARE_DIVISOR: usize = 3;
/// Smallest `limits.memory_mb` with which requests can be served.
const MIN_MEMORY_MB: usize = 8;
/// Smallest `limits.sockets` with which requests can be served.
const MIN_SOCKETS: usize = 96;

/// The validated configuration of the process.
pub struct Config {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// File descriptor of a listening socket inherited from the platform, used instead of binding `listen`.
    pub listen_fd: Option<RawFd>,
    /// The address of the admin server, if there is to be one.
    pub admin: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the decision module's random numbers; also part of the name under which the process announces itself.
    pub seed: u64,
    pub limits: Limits,
    /// The endpoint list to start with, before discovery has answered.
    pub known: Listing,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings that only the proxy uses.
    pub proxy_settings: ProxySettings,
}

/// Limits on file descriptors and memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of connections to upstreams, idle ones included.
    pub upstreams: usize,
    /// Memory limit in bytes.
    pub memory: usize,
}

/// The settings that the proxy uses and the decision module does not: names that the decision module refers to by
/// position, and the connect timeout.
#[derive(Debug)]
pub struct ProxySettings {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub report_fields: Vec<String>,
    pub connect_timeout: Duration,
}

/// The configuration file as written by the user.
#[derive(Deserialize)]
struct RawConfig {
    listen: Option<String>,
    discovery: Option<String>,
    admin_addr: Option<String>,
    seed: String,
    limits: RawLimits,
    #[serde(default)]
    known: Listing,
    settings: Value,
}

/// `limits` of the configuration file.
#[derive(Deserialize)]
struct RawLimits {
    memory_mb: usize,
    sockets: usize,
}

/// The keys of `settings` that only the proxy uses.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawProxySettings {
    classes: Vec<NamedEntry>,
    #[serde(default)]
    tenants: Vec<NamedEntry>,
    zones: Vec<String>,
    limits: RawProxyLimits,
    telemetry: Option<RawTelemetry>,
}

/// A class or tenant of the settings, of which only the name is read.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NamedEntry {
    name: String,
}

/// The key of the settings' `Limits` that only the proxy uses.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawProxyLimits {
    connect_timeout_ns: u64,
}

/// The key of the settings' `Telemetry` that only the proxy uses.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTelemetry {
    #[serde(default)]
    fields: Vec<String>,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; the error is one line that names the field at fault.
    pub fn load() -> Result<Self, String> {
        let path = config_path()?;
        let text =
            retry_blocking(|| std::fs::read_to_string(&path)).map_err(|error| read_error(&path, error))?;
        Self::parse(&text, environment_variable("LB_LISTEN"), environment_variable("LB_DISCOVERY"))
    }

    /// Reads the file again. Its `discovery` takes precedence over `LB_DISCOVERY`, which is older.
    pub async fn reload() -> Result<Self, String> {
        let path = config_path()?;
        let text =
            retry(|| std::fs::read_to_string(&path)).await.map_err(|error| read_error(&path, error))?;
        Self::parse(&text, environment_variable("LB_LISTEN"), None)
    }

    /// Whether the process needs the shared folder: operators may give orders, or another process of this balancer may
    /// run at the same time.
    pub fn uses_shared_folder(&self) -> bool {
        self.admin.is_some() || self.listen_fd.is_some()
    }

    fn parse(text: &str, listen: Option<String>, discovery: Option<String>) -> Result<Self, String> {
        let raw: RawConfig = parse_json("configuration", text)?;
        let settings = raw.settings.to_string();
        let proxy_settings: RawProxySettings = parse_json("settings", &settings)?;
        let settings = simulator::parse_settings(settings.as_bytes()).map_err(|error| error.to_string())?;
        settings.check().map_err(|error| format!("settings: {error}"))?;
        let admin =
            environment_variable("LB_ADMIN_ADDR").or(raw.admin_addr).filter(|admin| !admin.is_empty());
        let sockets = raw.limits.sockets;
        if sockets < MIN_SOCKETS {
            return Err(format!("`limits.sockets` is {sockets}, less than the minimum of {MIN_SOCKETS}"));
        }
        let memory = raw.limits.memory_mb;
        if memory < MIN_MEMORY_MB {
            return Err(format!("`limits.memory_mb` is {memory}, less than the minimum of {MIN_MEMORY_MB}"));
        }
        // Every client that waits for a response needs an upstream connection; an idle client needs only its own.
        let reserved = RESERVED_DESCRIPTORS + admin.as_ref().map_or(0, |_| ADMIN_DESCRIPTORS);
        let upstreams = (sockets / UPSTREAM_SHARE_DIVISOR).min((sockets - reserved) / 2);
        let clients = sockets - reserved - upstreams;
        Ok(Self {
            listen: parse_address("listen", listen.or(raw.listen))?,
            listen_fd: environment_variable("LB_LISTEN_FD").map(|fd| parse_descriptor(&fd)).transpose()?,
            discovery: parse_address("discovery", discovery.or(raw.discovery))?,
            admin: admin.map(|admin| parse_address("admin_addr", Some(admin))).transpose()?,
            seed: u64::from_str_radix(&raw.seed, 16)
                .map_err(|_| format!("`seed` is not a hexadecimal number: {:?}", raw.seed))?,
            limits: Limits { clients, upstreams, memory: memory.saturating_mul(1 << 20) },
            known: raw.known,
            settings,
            proxy_settings: ProxySettings {
                classes: proxy_settings.classes.into_iter().map(|class| class.name).collect(),
                tenants: proxy_settings.tenants.into_iter().map(|tenant| tenant.name).collect(),
                zones: proxy_settings.zones,
                report_fields: proxy_settings.telemetry.map_or(Vec::new(), |telemetry| telemetry.fields),
                connect_timeout: Duration::from_nanos(proxy_settings.limits.connect_timeout_ns),
            },
        })
    }
}

fn config_path() -> Result<String, String> {
    environment_variable("LB_CONFIG").ok_or_else(|| "`LB_CONFIG` is not set".to_owned())
}

fn read_error(path: &str, error: io::Error) -> String {
    format!("`LB_CONFIG` {path}: {error}")
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn parse_json<T: DeserializeOwned>(subject: &str, text: &str) -> Result<T, String> {
    let mut text = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut text).map_err(|error| format!("{subject}: {error}"))?;
    text.end().map_err(|error| format!("{subject}: {error}"))?;
    Ok(value)
}

fn parse_descriptor(text: &str) -> Result<RawFd, String> {
    let fd = text.parse().ok().filter(|fd| *fd >= 0);
    fd.ok_or_else(|| format!("`LB_LISTEN_FD` is not a file descriptor number: {text:?}"))
}

fn parse_address(field: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("`{field}` is missing"))?;
    text.parse().map_err(|_| format!("`{field}` is not an IP address with a port: {text:?}"))
}
