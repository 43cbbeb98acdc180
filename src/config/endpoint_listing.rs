//! The JSON form of an endpoint list, in the configuration file and in discovery's responses.

use serde::Deserialize;

/// An endpoint list: either all endpoints or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    /// Revision of the list, from which the next request asks for changes.
    pub rev: u64,
    /// Whether `targets` holds all endpoints rather than only those that changed.
    #[serde(default)]
    pub all: bool,
    #[serde(default)]
    pub targets: Vec<ListedEndpoint>,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    pub uid: String,
    /// The address with its port.
    pub endpoint: String,
    /// The zone.
    #[serde(default)]
    pub az: String,
    /// The cell.
    #[serde(default)]
    pub pod_group: u16,
    pub state: ListedState,
    #[serde(default = "default_capacity_hint")]
    pub capacity_hint: f32,
    /// When the endpoint started, as Unix time in milliseconds; 0 means long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// State of an endpoint. An unknown state is read as `Terminating`, so that the endpoint gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    InService,
    Terminated,
    #[serde(other)]
    Terminating,
}

fn default_capacity_hint() -> f32 {
    1.0
}
