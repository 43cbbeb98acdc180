//! The settings: request classes, tenants, zones, limits and prices.
//!
//! The values are read from the configuration file or from the simulator; this module defines and validates them.
//! Error messages name the keys as written there. All times are in nanoseconds.

use super::event::{Duration, ZoneId};
use thiserror::Error;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat and to reject at any time.
    Idempotent,
    /// Carries an idempotency key: the endpoints of the deduplication group drop repeats for this time.
    Keyed(DeduplicationGroup, Duration),
    /// Must not run more than once.
    NonIdempotent,
}

/// The endpoints that share the idempotency keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationGroup {
    /// All endpoints.
    All,
    /// The endpoints in the zone of the first one that may have run the request.
    Zone,
    /// The endpoints in the cell of the first one that may have run the request.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time has the full weight.
    pub latency_objective: Duration,
    /// The objective is extended by this multiple of the request's own work.
    pub objective_stretch: f64,
    /// The longest time that a client waits for the response, over all attempts.
    pub deadline: Duration,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// Fraction of the weight that a response after the objective still has, from 0 to 1.
    pub late_weight: f64,
    /// Weight of one request, or of one unit of its work if [`Settings::weight_by_work`] is set.
    pub priority_weight: f64,
}

/// A tenant of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, summed over all balancers, that keep their full weight.
    pub quota_rps: f64,
}

/// The settings of one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; requests refer to them by position.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of its weight that a request over its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Weights apply to a unit of work instead of a request.
    pub weight_by_work: bool,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: usize,
    /// Number of balancers that send to the same tier, including this one.
    pub replicas: u32,
    /// The tier that this balancer sends to; tier 0 serves the clients.
    pub tier: u32,
    /// Requests to deeper tiers carry the time that their client has left.
    pub propagates_deadline: bool,
    /// Discovery has to be polled; it pushes no changes.
    pub polls_discovery: bool,
    /// Where discovery is polled, a balancer is expected to know every change that was listed this long ago.
    pub poll_within: Duration,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// The longest `Retry-After` that clients honour.
    pub max_retry_after: Duration,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Idle connections are closed after this time.
    pub idle_timeout: Duration,
    /// Fraction of its capacity that a cold endpoint starts with, from 0 to 1.
    pub initial_capacity: f64,
    /// A cold endpoint that receives more than this multiple of its current capacity is overloaded.
    pub overload_multiple: f64,
    /// Time after which a cold endpoint is warm.
    pub warm_up_time: Duration,
    /// Position of the number of requests in flight in load reports, if they contain it.
    pub in_flight_value_position: Option<usize>,
    /// Endpoints report their load only in response to load queries, and load queries are allowed.
    pub load_on_query: bool,
    /// Cost of sending every request to another zone, as a fraction of the weight of all requests.
    pub cross_zone_price: f64,
    /// Cost of one load query for every request, as a fraction of the weight of all requests.
    pub load_query_price: f64,
}

/// An invalid value in the settings. The message names the key as it is written there.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("`Classes` is empty")]
    NoClasses,
    /// A number is negative, infinite or not a number.
    #[error("`{key}` is {value}, not a finite number of 0 or more")]
    InvalidNumber {
        /// Path of the key.
        key: String,
        /// Its value.
        value: f64,
    },
    /// A number that has to be positive is 0.
    #[error("`{0}` is 0, not positive")]
    Zero(String),
    /// The balancer's zone is not in the deployment's list of zones.
    #[error("`Zone` is {zone}, out of range for the {zones} zones in `Zones`")]
    UnknownZone {
        /// Position of the balancer's zone.
        zone: u8,
        /// Number of zones.
        zones: usize,
    },
    /// A fraction is not between 0 and 1.
    #[error("`{key}` is {value}, not between 0 and 1")]
    NotAFraction {
        /// Path of the key.
        key: &'static str,
        /// Its value.
        value: f64,
    },
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Names the first key that has an invalid value.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (position, class) in self.classes.iter().enumerate() {
            class.check(position)?;
        }
        for (position, tenant) in self.tenants.iter().enumerate() {
            check_non_negative(|| format!("Tenants[{position}].QuotaRps"), tenant.quota_rps)?;
        }
        if usize::from(self.zone.0) >= self.zones {
            return Err(SettingsError::UnknownZone { zone: self.zone.0, zones: self.zones });
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::Zero("Limits.TryLimit".into()));
        }
        if !(0.0..=1.0).contains(&self.initial_capacity) {
            let value = self.initial_capacity;
            return Err(SettingsError::NotAFraction { key: "Safety.StartCapacity", value });
        }
        check_non_negative(|| "OverShareWorth".into(), self.over_quota_weight)?;
        check_non_negative(|| "Prices.Probe".into(), self.load_query_price)?;
        check_non_negative(|| "Prices.CrossZone".into(), self.cross_zone_price)?;
        check_non_negative(|| "Safety.TipMultiple".into(), self.overload_multiple)
    }

    /// Whether requests of a class may run more than once.
    pub(crate) fn is_repeatable(&self, class: usize) -> bool {
        self.classes[class].idempotency != Idempotency::NonIdempotent
    }

    /// The longest time that the client of any request waits for the response.
    pub fn longest_wait(&self) -> Duration {
        self.classes.iter().map(RequestClass::longest_wait).max().unwrap_or(0)
    }
}

impl RequestClass {
    fn check(&self, position: usize) -> Result<(), SettingsError> {
        let key = |name: &str| format!("Classes[{position}].{name}");
        check_non_negative(|| key("AimStretch"), self.objective_stretch)?;
        check_non_negative(|| key("LateWorth"), self.late_weight)?;
        check_non_negative(|| key("Value"), self.priority_weight)?;
        if self.latency_objective == 0 {
            return Err(SettingsError::Zero(key("AimNs")));
        }
        if self.deadline == 0 {
            return Err(SettingsError::Zero(key("DeadlineNs")));
        }
        Ok(())
    }

    /// Where a response after the objective has no weight, clients are not kept waiting beyond the objective.
    fn longest_wait(&self) -> Duration {
        let ends_at_objective = self.late_weight <= 0.0 && self.objective_stretch <= 0.0;
        if ends_at_objective { self.latency_objective.min(self.deadline) } else { self.deadline }
    }
}

fn check_non_negative(key: impl FnOnce() -> String, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(SettingsError::InvalidNumber { key: key(), value })
}
