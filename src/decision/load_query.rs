//! Load queries: where endpoints report their load only on request, the next ones in the round robin are queried before
//! a request is sent.

use super::event::{Duration, LoadReport, RequestId, Time};
use super::request_table::PendingRequest;
use super::settings::Settings;
use super::statistics::TrafficStatistics;
use std::collections::HashMap;

/// Maximum number of endpoints that are queried for their load before a request is sent.
pub(crate) const MAX_QUERIED_ENDPOINTS: usize = 4;
/// Maximum cost of the load queries for a request, as a fraction of its weight: choosing a better endpoint gains only a
/// few percent.
const MAX_QUERY_COST: f64 = 0.01;
/// Timeout of load queries, in nanoseconds: waiting longer costs more than a bad choice, and an endpoint that takes
/// longer is stalled.
pub(crate) const QUERY_TIMEOUT: Duration = 5_000_000;
/// Bit that marks the timer token of a load query; the lower bits of the token are the request id.
const QUERY_TOKEN_BIT: u64 = 1 << 63;

/// Whether the settings enable load queries: they are allowed, needed and cheap enough.
pub(crate) fn is_enabled(settings: &Settings) -> bool {
    let is_cheap_enough = MAX_QUERIED_ENDPOINTS as f64 * settings.load_query_price <= MAX_QUERY_COST;
    is_cheap_enough && settings.load_on_request && settings.in_flight_figure_position.is_some()
}

/// Token of the timer after which the load query of a request times out.
pub(crate) fn timer_token(id: RequestId) -> u64 {
    QUERY_TOKEN_BIT | u64::from(id.0)
}

/// The request whose load query timed out, if the token is that of a load query.
pub(crate) fn request_of_timer(token: u64) -> Option<RequestId> {
    (token & QUERY_TOKEN_BIT != 0).then_some(RequestId(token as u32))
}

/// The number of requests in flight in a load report, if it contains one.
pub(crate) fn reported_in_flight(load: Option<LoadReport>, settings: &Settings) -> Option<f64> {
    let load = load?;
    let figures = &load.figures[..load.len];
    figures.get(settings.in_flight_figure_position?).map(|&figure| f64::from(figure))
}

/// An endpoint that is being queried.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Position in the endpoint table.
    pub endpoint: usize,
    /// Its requests in flight, once reported.
    pub in_flight: Option<f64>,
}

/// A request that waits for the load of its candidates.
#[derive(Debug)]
pub(crate) struct LoadQuery {
    pub request: PendingRequest,
    /// The queried endpoints, in the order of the round robin.
    pub candidates: Vec<Candidate>,
}

/// The requests that wait for load queries.
#[derive(Debug, Default)]
pub(crate) struct LoadQueries {
    pending: HashMap<RequestId, LoadQuery>,
}

impl LoadQueries {
    /// Adds a request that waits for the load of these endpoints.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest, endpoints: Vec<usize>) {
        let candidate = |endpoint| Candidate { endpoint, in_flight: None };
        let candidates = endpoints.into_iter().map(candidate).collect();
        self.pending.insert(id, LoadQuery { request, candidates });
    }

    /// Removes a request, and returns it with its candidates if it was waiting.
    pub fn remove(&mut self, id: RequestId) -> Option<LoadQuery> {
        self.pending.remove(&id)
    }

    /// Records the load of an endpoint. Returns the requests whose candidates have now all reported, in ascending
    /// order.
    pub fn on_report(&mut self, endpoint: usize, in_flight: f64) -> Vec<RequestId> {
        let mut complete = Vec::new();
        for (&id, query) in &mut self.pending {
            let candidates = query.candidates.iter_mut();
            candidates
                .filter(|candidate| candidate.endpoint == endpoint)
                .for_each(|candidate| candidate.in_flight = Some(in_flight));
            if query.candidates.iter().all(|candidate| candidate.in_flight.is_some()) {
                complete.push(id);
            }
        }
        complete.sort();
        complete
    }

    /// Positions of the endpoints that the waiting requests refer to.
    pub fn referenced_endpoints(&self) -> impl Iterator<Item = usize> {
        self.pending.values().flat_map(|query| {
            let candidates = query.candidates.iter().map(|candidate| candidate.endpoint);
            candidates.chain(query.request.referenced_endpoints())
        })
    }
}

/// Whether the response would miss the deadline of the request behind this number of requests in flight. Where work
/// cannot be stopped, it would then delay the next requests for nothing. Deeper tiers never drop a request for this
/// reason, because other tiers have already worked on it.
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
