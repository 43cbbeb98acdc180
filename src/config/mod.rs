//! What a balancer is told at its start, from the environment and a JSON file.

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

/// Connections taken beyond those that are served, to refuse their requests: left in the kernel's backlog,
/// they would count as taken and get no answer.
pub const SURPLUS_CONNECTIONS: usize = 16;
/// Connections of operators held at a time.
pub const ADMIN_CONNECTIONS: usize = 12;
/// Descriptors that the door needs: its connections, one more that is just taken, its listener and its runtime.
pub const ADMIN_DESCRIPTORS: usize = ADMIN_CONNECTIONS + 6;
/// Descriptors that are neither callers' nor upstreams': standard streams, listener, discovery, the runtime's,
/// files that are open for a moment, and callers taken only to be refused.
const RESERVED: usize = 16 + SURPLUS_CONNECTIONS;
/// Part of the descriptors that callers hold for requests at most, as one over this.
const CALLING: usize = 3;
/// Less memory than this, in MB, cannot serve anybody.
const LEAST_MEMORY: usize = 8;
/// Fewer descriptors than this cannot serve anybody.
const LEAST_SOCKETS: usize = 96;

/// The whole configuration, checked.
pub struct Config {
    pub listen: SocketAddr,
    /// The descriptor of a listening socket that the platform holds, to be used instead of binding `listen`.
    pub listen_fd: Option<RawFd>,
    /// Where operators call, if they do.
    pub admin: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub known: Listing,
    pub settings: Settings,
    pub proxy_settings: ProxySettings,
}

/// How the descriptors are shared out.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Connections to upstreams, idle ones included.
    pub upstreams: usize,
    /// Bytes of memory.
    pub memory: usize,
}

/// What the settings name and the decision module knows by position alone, and the figures of the sockets.
#[derive(Debug)]
pub struct ProxySettings {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub report_fields: Vec<String>,
    pub connect_timeout: Duration,
}

/// The configuration file as it is written.
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

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: usize,
    sockets: usize,
}

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

/// An entry of the settings of which only the name is read.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NamedEntry {
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawProxyLimits {
    connect_timeout_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTelemetry {
    #[serde(default)]
    fields: Vec<String>,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; the error is one line that names the field at fault.
    pub fn load() -> Result<Self, String> {
        let path = path()?;
        let text =
            retry_blocking(|| std::fs::read_to_string(&path)).map_err(|error| unreadable(&path, error))?;
        Self::parse(&text, variable("LB_LISTEN"), variable("LB_DISCOVERY"))
    }

    /// Reads the file once more. What it says of discovery is newer than the environment.
    pub async fn load_again() -> Result<Self, String> {
        let path = path()?;
        let text =
            retry(|| std::fs::read_to_string(&path)).await.map_err(|error| unreadable(&path, error))?;
        Self::parse(&text, variable("LB_LISTEN"), None)
    }

    /// Whether another process of this balancer, or an operator, may have to be followed.
    pub fn shares(&self) -> bool {
        self.admin.is_some() || self.listen_fd.is_some()
    }

    fn parse(text: &str, listen: Option<String>, discovery: Option<String>) -> Result<Self, String> {
        let raw: RawConfig = json("configuration", text)?;
        let settings = raw.settings.to_string();
        let proxy_settings: RawProxySettings = json("settings", &settings)?;
        let settings = simulator::settings(settings.as_bytes()).map_err(|error| error.to_string())?;
        settings.check().map_err(|error| format!("settings: {error}"))?;
        let admin = variable("LB_ADMIN_ADDR").or(raw.admin_addr).filter(|admin| !admin.is_empty());
        let sockets = raw.limits.sockets;
        if sockets < LEAST_SOCKETS {
            return Err(format!("`limits.sockets` is {sockets}, fewer than {LEAST_SOCKETS}"));
        }
        let memory = raw.limits.memory_mb;
        if memory < LEAST_MEMORY {
            return Err(format!("`limits.memory_mb` is {memory}, less than {LEAST_MEMORY}"));
        }
        // Every caller that waits has an attempt out; callers that do not only hold a place.
        let reserved = RESERVED + admin.as_ref().map_or(0, |_| ADMIN_DESCRIPTORS);
        let upstreams = (sockets / CALLING).min((sockets - reserved) / 2);
        let clients = sockets - reserved - upstreams;
        Ok(Self {
            listen: address("listen", listen.or(raw.listen))?,
            listen_fd: variable("LB_LISTEN_FD").map(|fd| descriptor(&fd)).transpose()?,
            discovery: address("discovery", discovery.or(raw.discovery))?,
            admin: admin.map(|admin| address("admin_addr", Some(admin))).transpose()?,
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

fn path() -> Result<String, String> {
    variable("LB_CONFIG").ok_or_else(|| "`LB_CONFIG` is not set".to_owned())
}

fn unreadable(path: &str, error: io::Error) -> String {
    format!("`LB_CONFIG` {path}: {error}")
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn json<T: DeserializeOwned>(what: &str, text: &str) -> Result<T, String> {
    let mut text = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut text).map_err(|error| format!("{what}: {error}"))?;
    text.end().map_err(|error| format!("{what}: {error}"))?;
    Ok(value)
}

fn descriptor(text: &str) -> Result<RawFd, String> {
    let fd = text.parse().ok().filter(|fd| *fd >= 0);
    fd.ok_or_else(|| format!("`LB_LISTEN_FD` is not the number of a descriptor: {text:?}"))
}

fn address(field: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("`{field}` is missing"))?;
    text.parse().map_err(|_| format!("`{field}` is not an address with a port: {text:?}"))
}
