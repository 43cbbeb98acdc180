use super::*;
use balancer::simulator::parse_settings;
use serde_json::json;

const MILLISECOND: u64 = 1_000_000;

/// The settings of a deployment with one class, whose late responses are worth nothing.
fn settings(latency_objective_ms: u64, deadline_ms: u64) -> Settings {
    let class = json!({
        "AimNs": latency_objective_ms * MILLISECOND, "DeadlineNs": deadline_ms * MILLISECOND,
        "Effect": "read_like", "LateWorth": 0.0, "Value": 1.0,
    });
    let settings = json!({
        "Classes": [class], "Discovery": "push", "Layer": 0, "Siblings": 1, "ValueBy": "request",
        "Limits": {"Cancelling": true, "TryLimit": 3}, "Zone": 0, "Zones": ["a"],
        "Safety": {"StartCapacity": 0.3, "TipMultiple": 2.5, "RampTimeNs": 0},
    });
    parse_settings(settings.to_string().as_bytes()).unwrap()
}

/// The schedule as milliseconds since the stop signal was noticed: `streaming_until`, `close_at` and `reject_at`.
fn schedule_ms(settings: &Settings, long_response_share: f64) -> [u128; 3] {
    let noticed_at = Instant::now();
    let schedule = ShutdownSchedule::new(settings, long_response_share, noticed_at);
    [schedule.streaming_until, schedule.close_at, schedule.reject_at]
        .map(|time| (time - noticed_at).as_millis())
}

/// Guards both kinds of late requests: those whose buffered responses are complete before the kill are served, and
/// those that may be open at the kill are limited to the time for which the platform allows that.
#[test]
fn requests_are_served_while_their_responses_come_before_the_kill() {
    assert_eq!(schedule_ms(&settings(1200, 3000), 0.0), [550, 2200, 2300]);
    assert_eq!(schedule_ms(&settings(300, 400), 0.0), [550, 500, 600]);
    assert_eq!(schedule_ms(&settings(3000, 3000), 0.0), [550, 450, 550], "responses may take until the kill");
    assert_eq!(
        schedule_ms(&settings(60_000, 60_000), 0.0),
        [550, 450, 550],
        "deadlines are longer than the wait"
    );
    assert_eq!(schedule_ms(&settings(500, 60_000), 0.0), [550, 2900, 3000]);
}

/// Guards clients of long responses: a late request for one would fail, though another balancer could serve it.
#[test]
fn late_requests_are_served_only_where_long_responses_are_rare() {
    assert_eq!(schedule_ms(&settings(1200, 3000), 0.001), [550, 2200, 2300]);
    assert_eq!(schedule_ms(&settings(1200, 3000), 0.1), [550, 450, 550]);
}
