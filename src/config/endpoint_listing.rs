//! The JSON form of an endpoint list, in the configuration file and in discovery's responses.

use serde::Deserialize;

/// An endpoint list: either all endpoints or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    /// Revision of the list. The next request to discovery asks for the changes since this revision.
    pub rev: u64,
    /// Whether `targets` holds all endpoints rather than only those that changed.
    #[serde(default)]
    pub all: bool,
    /// The endpoints.
    #[serde(default)]
    pub targets: Vec<ListedEndpoint>,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// The unique id of the endpoint.
    pub uid: String,
    /// The IP address with the port.
    pub endpoint: String,
    /// The name of the zone.
    #[serde(default)]
    pub az: String,
    /// The number of the cell.
    #[serde(default)]
    pub pod_group: u16,
    /// The state in which the endpoint is listed.
    pub state: ListedState,
    /// The capacity of the endpoint, relative to that of the others.
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
    /// The endpoint accepts new requests.
    InService,
    /// The endpoint is to be removed from the list.
    Terminated,
    /// The endpoint gets no new requests.
    #[serde(other)]
    Terminating,
}

/// The capacity of an endpoint that is listed without one.
fn default_capacity_hint() -> f32 {
    1.0
}
