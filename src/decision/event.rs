//! The input of the decision module: events and the data they carry.
//!
//! Nothing here depends on a wire format. All times are nanoseconds of one monotonic clock with an arbitrary origin.

/// A point on the clock, in nanoseconds.
pub type Time = u64;
/// A length of time, in nanoseconds.
pub type Duration = u64;

/// One second, in nanoseconds.
pub(crate) const SECOND: Duration = 1_000_000_000;

/// Identifies a request. The code that feeds events to the balancer assigns the ids and never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// Identifies an upstream endpoint. The id says nothing about the endpoint's zone or age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// Position of a zone in the deployment's list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u8);

/// Lifecycle state of an endpoint, as listed by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    InService,
    /// Finishes its requests in flight; no new request may be sent to it.
    Draining,
    /// Terminated; forgotten once nothing refers to it.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The zone it runs in.
    pub zone: ZoneId,
    /// Its deduplication cell: with [`DeduplicationGroup::Cell`](super::DeduplicationGroup::Cell), the endpoints of
    /// a cell share the idempotency keys they have seen.
    pub cell: u16,
    /// Its lifecycle state.
    pub state: EndpointState,
    /// Its capacity, relative to that of the other endpoints.
    pub capacity: f32,
    /// When its process last started; `None` if that was long ago.
    pub started: Option<Time>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint responded without an error.
    Success,
    /// The endpoint responded with an error; the request may have run.
    Error,
    /// The endpoint found the request invalid. Its response is final and says nothing about the endpoint's health.
    InvalidRequest,
    /// The endpoint rejected the request before it ran.
    Rejected,
    /// No response within the attempt's time limit; the request may have run.
    Timeout,
    /// No connection could be established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The endpoint responded, so the request has run, but the response is too long to be forwarded now.
    Undeliverable,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the request did not run at the endpoint.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// The load that an endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The reported values, in the order of the deployment's report fields; only the first `len` are valid.
    pub values: [f32; 4],
    /// Number of reported values.
    pub len: usize,
}

/// A request as received from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncomingRequest {
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: usize,
    /// How much longer the client waits for the response.
    pub time_left: Duration,
    /// Estimated work that the request causes at an endpoint, in nanoseconds, if known.
    pub work: Option<Duration>,
    /// The body is still being received. The client's wait and the time limits of the attempts start at its last byte.
    pub body_incomplete: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Duration of the attempt, counted from when it was sent or, if later, from the last byte of the request body that
    /// was received from the client.
    pub elapsed: Duration,
    /// The request already has its final response, or its client has disconnected.
    pub request_closed: bool,
    /// An attempt has started to read the part of the request body that is not buffered, so the request cannot be
    /// sent again.
    pub body_consumed: bool,
    /// The load report that came with the response, if any.
    pub load: Option<LoadReport>,
}

impl AttemptEnd {
    /// Whether another attempt is possible and might end differently. The response to a repetition of a request is as
    /// long as the first one.
    pub(crate) fn allows_retry(&self) -> bool {
        !self.body_consumed && self.outcome != AttemptOutcome::Undeliverable
    }
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Changed entries of the endpoint list.
    EndpointsChanged(&'a [EndpointEntry]),
    /// The complete endpoint list; endpoints missing from it are removed.
    EndpointList(&'a [EndpointEntry]),
    /// A call to discovery failed or the watch broke; the endpoint list is unchanged.
    DiscoveryFailed,
    /// The discovery address now names another service, which has not been called yet; the endpoint list is unchanged.
    DiscoveryMoved,
    /// A client sent a request, which needs exactly one final response.
    Request(RequestId, IncomingRequest),
    /// The response to this attempt started and is streamed to the client, because it is too long or too slow to be
    /// buffered. This ends all deadlines of the request.
    ResponseStarted(RequestId, u32),
    /// An attempt ended.
    AttemptEnded(RequestId, AttemptEnd),
    /// The client disconnected and needs no response any more.
    ClientDisconnected(RequestId),
    /// A load query ended, with the endpoint's load report if it sent one.
    LoadQueryEnded(EndpointId, AttemptOutcome, Option<LoadReport>),
    /// An operator took an endpoint offline, listed or not. It stays offline until brought back online.
    Offline(EndpointId),
    /// An operator brought an endpoint back online.
    Online(EndpointId),
    /// A timer set by an [`Action::SetTimer`](super::Action::SetTimer) with this token has fired.
    Timer(u64),
}
