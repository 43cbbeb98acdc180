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

/// Maximum number of client connections accepted beyond the limit, only to reject their requests. In the kernel's
/// backlog, these clients would be connected, but get no response.
pub const MAX_CONNECTIONS_OVER_LIMIT: usize = 16;
/// Maximum number of open connections to the admin server.
pub const ADMIN_CONNECTIONS: usize = 12;
/// Number of file descriptors that the admin server needs: its connections, one more that is being accepted, its
/// listener and the descriptors of its runtime.
pub const ADMIN_DESCRIPTORS: usize = ADMIN_CONNECTIONS + 6;
/// Number of file descriptors for the request ids that the processes of a replacement share.
pub const REQUEST_ID_DESCRIPTORS: usize = 3;
/// Number of file descriptors used neither for served clients nor for upstreams: those of the standard streams, the
/// listener, discovery and the runtime, files that are open briefly, and client connections over the limit.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_CONNECTIONS_OVER_LIMIT;
/// Upstream connections may use the number of file descriptors divided by this.
const UPSTREAM_SHARE_DIVISOR: usize = 3;
/// Smallest `limits.memory_mb` with which requests can be served.
const MIN_MEMORY_MB: usize = 8;
/// Bytes in a unit of `limits.memory_mb`.
const MEGABYTE: usize = 1_000_000;
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
    /// Limits on file descriptors and memory.
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
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the fields of a load report.
    pub report_fields: Vec<String>,
    /// How long connecting to an upstream may take.
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
    /// Reads the configuration from the file that `LB_CONFIG` names and from the environment. An error is one line that
    /// names the invalid or missing key.
    pub fn load() -> Result<Self, String> {
        let path = config_path()?;
        let text =
            retry_blocking(|| std::fs::read_to_string(&path)).map_err(|error| read_error(&path, error))?;
        Self::parse(&text, environment_variable("LB_LISTEN"), environment_variable("LB_DISCOVERY"))
    }

    /// Reads the configuration again. The file must state `discovery`: `LB_DISCOVERY` is not used, as it is older.
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

    /// Parses and validates the text of the configuration file. `listen` and `discovery` are the addresses from the
    /// environment, which take precedence over those of the file.
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
        // A client that waits for a response needs an upstream connection beside its own; an idle client does not.
        let listen_fd = environment_variable("LB_LISTEN_FD").map(|fd| parse_descriptor(&fd)).transpose()?;
        let reserved = RESERVED_DESCRIPTORS
            + admin.as_ref().map_or(0, |_| ADMIN_DESCRIPTORS)
            + listen_fd.map_or(0, |_| REQUEST_ID_DESCRIPTORS);
        let upstreams = (sockets / UPSTREAM_SHARE_DIVISOR).min((sockets - reserved) / 2);
        let clients = sockets - reserved - upstreams;
        Ok(Self {
            listen: parse_address("listen", listen.or(raw.listen))?,
            listen_fd,
            discovery: parse_address("discovery", discovery.or(raw.discovery))?,
            admin: admin.map(|admin| parse_address("admin_addr", Some(admin))).transpose()?,
            seed: u64::from_str_radix(&raw.seed, 16)
                .map_err(|_| format!("`seed` is not a hexadecimal number: {:?}", raw.seed))?,
            limits: Limits { clients, upstreams, memory: memory.saturating_mul(MEGABYTE) },
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

/// The path of the configuration file.
fn config_path() -> Result<String, String> {
    environment_variable("LB_CONFIG").ok_or_else(|| "`LB_CONFIG` is not set".to_owned())
}

fn read_error(path: &str, error: io::Error) -> String {
    format!("`LB_CONFIG` {path}: {error}")
}

/// The value of an environment variable, unless it is not set, empty or not valid Unicode.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Parses JSON. An error starts with `subject` and the path of the invalid key, if there is one.
fn parse_json<T: DeserializeOwned>(subject: &str, text: &str) -> Result<T, String> {
    let mut text = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut text).map_err(|error| format!("{subject}: {error}"))?;
    text.end().map_err(|error| format!("{subject}: {error}"))?;
    Ok(value)
}

/// Parses the value of `LB_LISTEN_FD`.
fn parse_descriptor(text: &str) -> Result<RawFd, String> {
    let fd = text.parse().ok().filter(|fd| *fd >= 0);
    fd.ok_or_else(|| format!("`LB_LISTEN_FD` is not a file descriptor number: {text:?}"))
}

/// Parses the address that a field of the configuration has to contain.
fn parse_address(field: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("`{field}` is missing"))?;
    text.parse().map_err(|_| format!("`{field}` is not an IP address with a port: {text:?}"))
}
