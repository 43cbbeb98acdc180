//! Load queries: where endpoints report their load only when queried, the next endpoints in the round robin are queried
//! before a request is sent.

use super::event::{Duration, LoadReport, RequestId, Time};
use super::request_table::PendingRequest;
use super::settings::Settings;
use super::statistics::TrafficStatistics;
use std::collections::HashMap;

/// Maximum number of endpoints that are queried for their load before a request is sent.
pub(crate) const MAX_QUERIED_ENDPOINTS: usize = 4;
/// Maximum cost of the load queries for a request, as a fraction of the request's weight
/// ([`RequestClass::priority_weight`](super::settings::RequestClass::priority_weight)). Queries that cost more are not
/// worthwhile, because choosing a better endpoint gains only a few percent.
const MAX_QUERY_COST: f64 = 0.01;
/// Timeout of load queries, in nanoseconds. Waiting longer costs more than a bad choice, and an endpoint that takes
/// longer is stalled.
pub(crate) const QUERY_TIMEOUT: Duration = 5_000_000;
/// Bit that marks the timer token of load queries; the lower bits of the token are the id of the waiting request.
const QUERY_TOKEN_BIT: u64 = 1 << 63;

/// Whether load queries are sent: they are cheap enough, the settings need and allow them, and load reports contain the
/// number of requests in flight.
pub(crate) fn is_enabled(settings: &Settings) -> bool {
    let is_cheap_enough = MAX_QUERIED_ENDPOINTS as f64 * settings.load_query_price <= MAX_QUERY_COST;
    is_cheap_enough && settings.load_on_query && settings.in_flight_value_position.is_some()
}

/// Token of the timer after which the load queries for a request time out.
pub(crate) fn timer_token(id: RequestId) -> u64 {
    QUERY_TOKEN_BIT | u64::from(id.0)
}

/// The request whose load queries timed out, if the token is that of load queries.
pub(crate) fn request_of_timer(token: u64) -> Option<RequestId> {
    (token & QUERY_TOKEN_BIT != 0).then_some(RequestId(token as u32))
}

/// The number of requests in flight in a load report, if it contains one.
pub(crate) fn reported_in_flight(load: Option<LoadReport>, settings: &Settings) -> Option<f64> {
    let load = load?;
    let values = &load.values[..load.len];
    values.get(settings.in_flight_value_position?).map(|&value| f64::from(value))
}

/// An endpoint that is being queried.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Position in the endpoint table.
    pub endpoint: usize,
    /// Its requests in flight, once reported.
    pub in_flight: Option<f64>,
}

/// A request that waits for the load reports of its candidates.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub request: PendingRequest,
    /// The queried endpoints, in the order of the round robin.
    pub candidates: Vec<Candidate>,
}

/// The requests that wait for load reports.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    pending: HashMap<RequestId, WaitingRequest>,
}

impl WaitingRequests {
    /// Adds a request that waits for the load reports of these endpoints.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest, endpoints: Vec<usize>) {
        let candidate = |endpoint| Candidate { endpoint, in_flight: None };
        let candidates = endpoints.into_iter().map(candidate).collect();
        self.pending.insert(id, WaitingRequest { request, candidates });
    }

    /// Removes a request, and returns it with its candidates if it was waiting.
    pub fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        self.pending.remove(&id)
    }

    /// Records the load of an endpoint. Returns the requests whose candidates have now all reported, in ascending order
    /// of their ids.
    pub fn on_report(&mut self, endpoint: usize, in_flight: f64) -> Vec<RequestId> {
        let mut complete = Vec::new();
        for (&id, waiting) in &mut self.pending {
            let candidates = waiting.candidates.iter_mut();
            candidates
                .filter(|candidate| candidate.endpoint == endpoint)
                .for_each(|candidate| candidate.in_flight = Some(in_flight));
            if waiting.candidates.iter().all(|candidate| candidate.in_flight.is_some()) {
                complete.push(id);
            }
        }
        complete.sort();
        complete
    }

    /// Positions of the endpoints that the waiting requests refer to.
    pub fn referenced_endpoints(&self) -> impl Iterator<Item = usize> {
        self.pending.values().flat_map(|waiting| {
            let candidates = waiting.candidates.iter().map(|candidate| candidate.endpoint);
            candidates.chain(waiting.request.referenced_endpoints())
        })
    }
}

/// Whether an endpoint with this many requests in flight, this one included, would respond only after the deadline of
/// the request. An endpoint that cannot stop the work of such a request would only delay the next ones. Only tier 0
/// drops requests for this reason, because requests in deeper tiers have already cost work in other tiers.
pub(crate) fn is_too_late(
    request: &PendingRequest,
    in_flight: f64,
    now: Time,
    settings: &Settings,
    traffic: &TrafficStatistics,
) -> bool {
    let time_left = request.deadline.saturating_sub(now) as f64;
    let per_in_flight = &traffic.latency_per_in_flight;
    settings.tier == 0 && per_in_flight.is_trusted() && in_flight * per_in_flight.mean > time_left
}
