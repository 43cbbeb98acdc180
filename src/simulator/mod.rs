//! The simulator's wire format: decodes batches of events and encodes replies with actions.

use crate::decision::{
    Action, AttemptEnd, AttemptOutcome, DeduplicationGroup, Duration, EndpointEntry, EndpointId,
    EndpointState, Event, Idempotency, IncomingRequest, LoadReport, RequestClass, RequestId, Settings,
    Tenant, Time, ZoneId,
};
use serde::Deserialize;
use std::fmt;

/// Size of a batch header in bytes.
pub const BATCH_HEADER_SIZE: usize = 20;
/// Size of a reply header in bytes.
pub const REPLY_HEADER_SIZE: usize = 12;
/// Size of an event record in bytes.
const EVENT_SIZE: usize = 48;
/// Size of an action record in bytes.
const ACTION_SIZE: usize = 24;
/// Size of an endpoint entry in bytes.
const ENTRY_SIZE: usize = 22;
/// Maximum number of endpoint lists that are stored at a time.
pub const MAX_ENDPOINT_LISTS: usize = 16;

/// Malformed input: a frame that cannot be decoded, or invalid settings in a frame or in the configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(String);

impl WireError {
    /// Creates an error with this message.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// The simulated time.
    pub now: Time,
    /// Number of bytes after the header.
    pub length: usize,
    /// Number of records.
    pub records: usize,
    /// Sequence number, repeated in the reply.
    pub sequence: u32,
}

impl BatchHeader {
    /// Reads a header and checks that its records fit its length.
    pub fn decode(bytes: &[u8; BATCH_HEADER_SIZE]) -> Result<Self, WireError> {
        let header = Self {
            now: u64_at(bytes, 0),
            length: u32_at(bytes, 8) as usize,
            records: u32_at(bytes, 12) as usize,
            sequence: u32_at(bytes, 16),
        };
        if header.records * EVENT_SIZE > header.length {
            return Err(WireError::new(format!(
                "batch {}: {} records do not fit into {} bytes",
                header.sequence, header.records, header.length
            )));
        }
        Ok(header)
    }
}

/// A decoded event record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// An instance of the decision module starts.
    InstanceStarted {
        /// Number of the instance.
        instance: u32,
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings in JSON.
        settings: &'a [u8],
    },
    /// An instance ends.
    InstanceEnded(u32),
    /// The number and entries of an endpoint list.
    EndpointList(usize, Vec<EndpointEntry>),
    /// Discovery announces an endpoint list to an instance.
    Announce {
        /// Number of the instance.
        instance: u32,
        /// Number of the list.
        list_number: usize,
        /// Whether the list holds only the entries that changed.
        delta: bool,
    },
    /// The number of an instance and an event for it.
    Event(u32, Event<'static>),
    /// An event that the decision module does not use.
    Ignored,
}

fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[offset..offset + N]);
    out
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes(array_at(bytes, offset))
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(array_at(bytes, offset))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(array_at(bytes, offset))
}

fn f32_at(bytes: &[u8], offset: usize) -> f32 {
    f32::from_le_bytes(array_at(bytes, offset))
}

/// Decodes the records of a batch, in order. `body` holds the bytes after the header.
pub fn decode_records(
    header: BatchHeader,
    body: &[u8],
) -> impl Iterator<Item = Result<Record<'_>, WireError>> {
    let (records, tail) = body.split_at(header.records * EVENT_SIZE);
    records.chunks_exact(EVENT_SIZE).map(move |record| decode_record(record, tail))
}

/// The part of the tail that a record refers to. The record has two 32-bit numbers at `field_offset`: the offset of the
/// part in the tail, and the number of items in the part, each of `item_size` bytes.
fn tail_part<'a>(
    record: &[u8],
    field_offset: usize,
    item_size: usize,
    tail: &'a [u8],
) -> Result<&'a [u8], WireError> {
    let offset = u32_at(record, field_offset) as usize;
    let length = u32_at(record, field_offset + 4) as usize * item_size;
    tail.get(offset..offset + length).ok_or_else(|| {
        WireError::new(format!(
            "offset {offset} and length {length} lie outside a tail of {} bytes",
            tail.len()
        ))
    })
}

/// Decodes one record; `tail` holds the data of variable length that follows the records.
fn decode_record<'a>(record: &[u8], tail: &'a [u8]) -> Result<Record<'a>, WireError> {
    let instance = u32_at(record, 1);
    let id = RequestId(u32_at(record, 5));
    let event = match record[0] {
        0 => {
            let settings = tail_part(record, 13, 1, tail)?;
            return Ok(Record::InstanceStarted { instance, seed: u64_at(record, 5), settings });
        }
        1 => match record[13] {
            kind @ 0..=2 => {
                let list_number = decode_list_number(u32_at(record, 9))?;
                return Ok(Record::Announce { instance, list_number, delta: kind == 0 });
            }
            3 => Event::DiscoveryFailed,
            kind => return Err(WireError::new(format!("unknown form {kind} of ANNOUNCE"))),
        },
        2 => Event::Request(
            id,
            IncomingRequest {
                class: u16_at(record, 21) as usize,
                tenant: u32_at(record, 17) as usize,
                time_left: u64_at(record, 23),
                work: (record[39] & 1 != 0).then(|| u64_at(record, 31)),
                body_incomplete: false,
            },
        ),
        3 => Event::ResponseStarted(id, record[9] as u32),
        4 => Event::AttemptEnded(
            id,
            AttemptEnd {
                attempt: record[18] as u32,
                outcome: decode_outcome(record[23])?,
                elapsed: u64_at(record, 9),
                request_closed: record[17] != 0,
                body_consumed: false,
                load: decode_load_report(record, 24)?,
            },
        ),
        5 => Event::ClientDisconnected(id),
        6 => Event::Timer(u64_at(record, 5)),
        7 => Event::LoadQueryEnded(
            EndpointId(u32_at(record, 5)),
            decode_outcome(record[9])?,
            decode_load_report(record, 18)?,
        ),
        8 => return Ok(Record::Ignored),
        9 => return Ok(Record::InstanceEnded(instance)),
        10 => {
            let entries = tail_part(record, 5, ENTRY_SIZE, tail)?;
            let entries = entries.chunks_exact(ENTRY_SIZE).map(decode_entry).collect::<Result<_, _>>()?;
            return Ok(Record::EndpointList(decode_list_number(u32_at(record, 1))?, entries));
        }
        code => return Err(WireError::new(format!("unknown event code {code}"))),
    };
    Ok(Record::Event(instance, event))
}

/// Converts the number of an endpoint list, and checks that it is less than [`MAX_ENDPOINT_LISTS`].
fn decode_list_number(number: u32) -> Result<usize, WireError> {
    let list_number = number as usize;
    if list_number < MAX_ENDPOINT_LISTS {
        Ok(list_number)
    } else {
        Err(WireError::new(format!("endpoint list number {number} is over 15")))
    }
}

/// Decodes the outcome of an attempt or a load query.
fn decode_outcome(code: u8) -> Result<AttemptOutcome, WireError> {
    Ok(match code {
        0 => AttemptOutcome::Success,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::Timeout,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NotSent,
        _ => return Err(WireError::new(format!("unknown outcome {code}"))),
    })
}

/// Decodes the load report at an offset of a record; `None` if it has no values.
fn decode_load_report(record: &[u8], offset: usize) -> Result<Option<LoadReport>, WireError> {
    let len = record[offset] as usize;
    if len > 4 {
        return Err(WireError::new(format!("load report of {len} values, over the maximum of 4")));
    }
    let mut report = LoadReport { len, ..LoadReport::default() };
    for (index, value) in report.values.iter_mut().enumerate().take(len) {
        *value = f32_at(record, offset + 1 + 4 * index);
    }
    Ok((len > 0).then_some(report))
}

/// Decodes an entry of an endpoint list.
fn decode_entry(bytes: &[u8]) -> Result<EndpointEntry, WireError> {
    let state = match bytes[9] {
        0 => EndpointState::Removed,
        1 => EndpointState::InService,
        2 => EndpointState::Draining,
        code => return Err(WireError::new(format!("unknown endpoint state {code}"))),
    };
    let started = u64_at(bytes, 14);
    Ok(EndpointEntry {
        endpoint: EndpointId(u32_at(bytes, 0)),
        zone: ZoneId(bytes[4]),
        cell: u16_at(bytes, 7),
        state,
        capacity: f32_at(bytes, 10),
        started: (started != 0).then_some(started),
    })
}

/// The reply to a batch, to which actions are added one by one.
#[derive(Debug, Default)]
pub struct Reply {
    /// The encoded action records.
    records: Vec<u8>,
    /// Texts that records refer to, which follow the records in the frame.
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        match action {
            Action::SetTimer { after, token } => self.push_record(0, instance, &[after, token]),
            Action::Reject { id, retry_after } => self.push_record(1, instance, &[&id.0, retry_after]),
            Action::Send { id, endpoint, times_out_at, .. } => {
                self.push_record(3, instance, &[&id.0, &endpoint.0, times_out_at])
            }
            Action::Log(text) => self.push_text(4, instance, text),
            Action::Fail(id) => self.push_record(6, instance, &[&id.0]),
            Action::QueryLoad(endpoint) => self.push_record(10, instance, &[&endpoint.0]),
            Action::CloseIdle(endpoint) => self.push_record(2, instance, &[&endpoint.0]),
            Action::WatchEndpoints => self.push_record(8, instance, &[&1u8]),
            Action::Cancel { id, attempt } => {
                self.push_record(11, instance, &[&id.0, &u8::try_from(*attempt).unwrap_or(u8::MAX)]);
            }
        }
    }

    /// Adds a fault action, which reports that an instance has failed to start.
    pub fn push_fault(&mut self, instance: u32, text: &str) {
        self.push_text(9, instance, text);
    }

    /// Adds a record that refers to a text in the tail.
    fn push_text(&mut self, code: u8, instance: u32, text: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.push_record(code, instance, &[&offset, &(text.len() as u32)]);
    }

    /// Adds a record, padded to its fixed size.
    fn push_record(&mut self, code: u8, instance: u32, fields: &[&dyn Field]) {
        let start = self.records.len();
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            field.write(&mut self.records);
        }
        self.records.resize(start + ACTION_SIZE, 0);
    }

    /// Appends the whole frame to `out` and clears the reply.
    pub fn finish(&mut self, sequence: u32, out: &mut Vec<u8>) {
        let length = self.records.len() + self.tail.len();
        let count = self.records.len() / ACTION_SIZE;
        out.reserve(REPLY_HEADER_SIZE + length);
        for value in [length as u32, count as u32, sequence] {
            out.extend_from_slice(&value.to_le_bytes());
        }
        out.append(&mut self.records);
        out.append(&mut self.tail);
    }
}

/// A value that is written to an action record, in little-endian order.
trait Field {
    /// Appends the value to `out`.
    fn write(&self, out: &mut Vec<u8>);
}

macro_rules! impl_field {
    ($($integer:ty),*) => {$(
        impl Field for $integer {
            fn write(&self, out: &mut Vec<u8>) {
                out.extend_from_slice(&self.to_le_bytes());
            }
        }
    )*};
}
impl_field!(u8, u32, u64);

/// The settings in JSON, as a frame of the simulator and the configuration file contain them. [`Settings`] has the same
/// values under the terms of the decision module.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawSettings {
    classes: Vec<RawClass>,
    discovery: RawDiscovery,
    family_info: Option<RawFamily>,
    layer: u32,
    limits: RawLimits,
    over_share_worth: Option<f64>,
    prices: Option<RawPrices>,
    safety: RawSafety,
    siblings: u32,
    telemetry: Option<RawTelemetry>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    value_by: RawValueBy,
    zone: u8,
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawClass {
    aim_ns: Duration,
    aim_stretch: Option<f64>,
    deadline_ns: Duration,
    effect: RawEffect,
    group: Option<RawGroup>,
    late_worth: Option<f64>,
    window_ns: Option<Duration>,
    value: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawDiscovery {
    Push,
    Ask,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawValueBy {
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawFamily {
    passes_deadline: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawLimits {
    cancelling: bool,
    conn_idle_ns: Option<Duration>,
    max_retry_after_ns: Option<Duration>,
    #[serde(default)]
    may_probe: bool,
    try_limit: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawSafety {
    ask_within_ns: Option<Duration>,
    start_capacity: f64,
    tip_multiple: f64,
    ramp_time_ns: Duration,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTelemetry {
    #[serde(default)]
    fields: Vec<String>,
    via: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawPrices {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    probe: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTenant {
    quota_rps: f64,
}

/// Parses the settings of an instance from JSON. An error names the invalid or missing key.
pub fn parse_settings(text: &[u8]) -> Result<Settings, WireError> {
    let error = |error: &dyn fmt::Display| WireError::new(format!("settings: {error}"));
    let mut text = serde_json::Deserializer::from_slice(text);
    let raw: RawSettings = serde_path_to_error::deserialize(&mut text).map_err(|e| error(&e))?;
    text.end().map_err(|e| error(&e))?;
    let classes = raw.classes.into_iter().map(request_class).collect::<Result<Vec<_>, _>>()?;
    let polls_discovery = matches!(raw.discovery, RawDiscovery::Ask);
    if polls_discovery && raw.safety.ask_within_ns.is_none() {
        return Err(WireError::new("settings: missing field `AskWithinNs`"));
    }
    let prices = raw.prices.unwrap_or_default();
    let (fields, via) =
        raw.telemetry.map_or((Vec::new(), None), |telemetry| (telemetry.fields, telemetry.via));
    Ok(Settings {
        classes,
        tenants: raw.tenants.into_iter().map(|tenant| Tenant { quota_rps: tenant.quota_rps }).collect(),
        over_quota_weight: raw.over_share_worth.unwrap_or(1.0),
        weight_by_work: matches!(raw.value_by, RawValueBy::Work),
        zone: ZoneId(raw.zone),
        zones: raw.zones.len(),
        replicas: raw.siblings,
        tier: raw.layer,
        propagates_deadline: raw.family_info.and_then(|family| family.passes_deadline).unwrap_or(true),
        polls_discovery,
        poll_within: raw.safety.ask_within_ns.unwrap_or(0),
        may_cancel: raw.limits.cancelling,
        max_retry_after: raw.limits.max_retry_after_ns.unwrap_or(0),
        max_attempts: raw.limits.try_limit,
        idle_timeout: raw.limits.conn_idle_ns.unwrap_or(Duration::MAX),
        initial_capacity: raw.safety.start_capacity, // a fraction of the capacity when warm
        overload_multiple: raw.safety.tip_multiple,
        warm_up_time: raw.safety.ramp_time_ns,
        in_flight_value_position: fields.iter().position(|field| field == "inflight"),
        cross_zone_price: prices.cross_zone,
        load_query_price: prices.probe,
        load_on_query: raw.limits.may_probe && via.as_deref() == Some("probe"),
    })
}

/// Converts a class of the settings.
fn request_class(raw: RawClass) -> Result<RequestClass, WireError> {
    let idempotency = match raw.effect {
        RawEffect::ReadLike => Idempotency::Idempotent,
        RawEffect::NonIdempotent => Idempotency::NonIdempotent,
        RawEffect::IdempotencyKey => {
            let missing = |key| WireError::new(format!("settings: missing field `{key}`"));
            let group = match raw.group.ok_or_else(|| missing("Group"))? {
                RawGroup::All => DeduplicationGroup::All,
                RawGroup::Zone => DeduplicationGroup::Zone,
                RawGroup::Cell => DeduplicationGroup::Cell,
            };
            Idempotency::Keyed(group, raw.window_ns.ok_or_else(|| missing("WindowNs"))?)
        }
    };
    Ok(RequestClass {
        latency_objective: raw.aim_ns,
        objective_stretch: raw.aim_stretch.unwrap_or(0.0),
        deadline: raw.deadline_ns,
        idempotency,
        late_weight: raw.late_worth.unwrap_or(0.0),
        priority_weight: raw.value,
    })
}
