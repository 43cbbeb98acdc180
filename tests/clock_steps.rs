//! Steps of the wall clock, forward and back: they must not make the start of an upstream look earlier or later.

mod common;

#[path = "../src/proxy/clock.rs"]
#[allow(dead_code)]
mod clock;
#[path = "../src/proxy/clock_offsets.rs"]
mod clock_offsets;
#[path = "../src/proxy/start_times.rs"]
#[allow(dead_code)]
mod start_times;

use balancer::decision::Time;
use clock::{Clock, ClockReading, PROCESS_START, WallTime};
use common::process::*;
use common::wall_clock::WallClock;
use common::{MS, SECOND};
use start_times::{ListOrigin, StartTimes};
use std::time::{Duration, Instant};

/// One hour, in milliseconds.
const HOUR_MS: i64 = 3_600_000;
/// Steps of the wall clock, in milliseconds.
const STEPS_MS: [i64; 8] = [HOUR_MS, -HOUR_MS, 5_000, -5_000, 1_000, -1_000, 24 * HOUR_MS, -24 * HOUR_MS];

/// The monotonic and the wall clock of a balancer, and the start times that it has recorded. Times are in milliseconds
/// since the start of the process.
struct Clocks {
    /// Wall time at the start of the process, in Unix milliseconds; a step of the wall clock changes it.
    wall_at_start: i64,
    now: i64,
    starts: StartTimes,
}

impl Clocks {
    fn new() -> Self {
        let mut clocks = Self { wall_at_start: 1_700_000_000_000, now: 0, starts: StartTimes::default() };
        clocks.read();
        clocks
    }

    /// Advances the time, reading the clocks every half second as the sweep of idle connections does.
    fn run_until(&mut self, at: i64) {
        while self.now + 500 < at {
            self.now += 500;
            self.read();
        }
        self.now = at;
    }

    fn step_wall_clock(&mut self, by: i64) {
        self.wall_at_start += by;
    }

    /// The wall time in Unix milliseconds, which another machine with the same wall clock reads now.
    fn wall(&self) -> u64 {
        u64::try_from(self.wall_at_start + self.now).unwrap()
    }

    fn monotonic(at: i64) -> Time {
        PROCESS_START.checked_add_signed(at * MS as i64).unwrap()
    }

    fn read(&mut self) {
        let wall = WallTime::from_unix_millis(self.wall());
        self.starts.record_clock_reading(ClockReading { monotonic: Self::monotonic(self.now), wall });
    }

    /// Receives a list with the upstream now; returns when the upstream started, in milliseconds since the start of the
    /// process.
    fn receive(&mut self, boot_ms: u64, origin: ListOrigin) -> Option<f64> {
        self.read();
        let started = self.starts.started("s-0", boot_ms, origin, Self::monotonic(self.now))?;
        Some((started as i64 - PROCESS_START as i64) as f64 / MS as f64)
    }

    /// Receives such a list from discovery.
    fn receive_from_discovery(&mut self, boot_ms: u64) -> Option<f64> {
        self.receive(boot_ms, ListOrigin::Discovery)
    }
}

/// Asserts a start time to the millisecond.
fn assert_at(started: Option<f64>, expected: i64, case: &str) {
    let started = started.unwrap_or_else(|| panic!("{case}: no start time"));
    assert!((started - expected as f64).abs() <= 1.0, "{case}: started at {started}, not {expected}");
}

/// Without a step, an upstream started when the wall clock says, also before the start of the process.
#[test]
fn an_upstream_started_when_the_wall_clock_says() {
    for age in [0, 1, 700, 9_000, HOUR_MS, 400 * 24 * HOUR_MS] {
        let mut clocks = Clocks::new();
        clocks.run_until(3_000);
        let boot_ms = clocks.wall() - age as u64;
        assert_at(clocks.receive_from_discovery(boot_ms), 3_000 - age, &format!("age {age}"));
        let mut clocks = Clocks::new();
        let started = clocks.receive(boot_ms, ListOrigin::Configuration);
        assert_at(started, (3_000 - age).min(0), &format!("stored, age {age}"));
    }
}

/// A boot time of zero stands for a start long ago, which has no start time, before and after a start that has one.
#[test]
fn a_boot_time_of_zero_is_long_ago() {
    for step in STEPS_MS {
        let mut clocks = Clocks::new();
        assert_eq!(clocks.receive_from_discovery(0), None);
        clocks.step_wall_clock(step);
        clocks.run_until(2_000);
        assert_eq!(clocks.receive_from_discovery(0), None);
        let boot_ms = clocks.wall();
        clocks.run_until(2_300);
        assert_at(clocks.receive_from_discovery(boot_ms), 2_000, "a start after a long time");
        assert_eq!(clocks.receive_from_discovery(0), None);
        clocks.run_until(9_000);
        assert_at(clocks.receive_from_discovery(boot_ms), 2_000, "the same start listed again");
    }
}

/// The wall clock is stepped before the start: the restarted upstream got a wrong share of the requests for up to an
/// hour.
#[test]
fn a_step_before_a_start_does_not_move_it() {
    for step in STEPS_MS {
        let mut clocks = Clocks::new();
        clocks.receive_from_discovery(0);
        clocks.run_until(60_000);
        clocks.step_wall_clock(step);
        clocks.run_until(61_000);
        let boot_ms = clocks.wall();
        clocks.run_until(61_400);
        assert_at(clocks.receive_from_discovery(boot_ms), 61_000, &format!("step {step}"));
    }
}

/// The wall clock is stepped between the start of an upstream, which is listed already or new, and the list that shows
/// the start.
#[test]
fn a_step_just_after_a_start_does_not_make_it_earlier() {
    for is_listed in [true, false] {
        for step in STEPS_MS {
            for delay in [200, 3_000] {
                let mut clocks = Clocks::new();
                if is_listed {
                    clocks.receive_from_discovery(0);
                }
                clocks.run_until(600_100);
                let boot_ms = clocks.wall();
                clocks.run_until(600_200);
                clocks.step_wall_clock(step);
                clocks.run_until(600_100 + delay);
                let started = clocks.receive_from_discovery(boot_ms).unwrap() as i64;
                let case = format!("listed {is_listed}, step {step}, shown {delay} ms late");
                assert!(started >= 600_099, "{case}: {started} is too early");
                assert!(started <= clocks.now, "{case}: {started} is in the future");
                if !(-delay..=0).contains(&step) {
                    assert_at(Some(started as f64), 600_100, &case); // otherwise the clock showed this time twice
                }
            }
        }
    }
}

/// A start time that was recorded does not change, whatever the wall clock does and however often it is listed.
#[test]
fn a_start_that_is_listed_again_does_not_move() {
    let mut clocks = Clocks::new();
    clocks.run_until(4_000);
    let boot_ms = clocks.wall() - 500;
    let first = clocks.receive_from_discovery(boot_ms);
    assert_at(first, 3_500, "the first list");
    for (at, step) in (1..).zip(STEPS_MS) {
        clocks.step_wall_clock(step);
        clocks.run_until(4_000 + 700 * at);
        assert_eq!(clocks.receive_from_discovery(boot_ms), first, "step {step}");
    }
}

/// Each change of the boot time is another start, later than the last list that showed the start before it, and not in
/// the future, also where the boot time is wrong because it comes from a machine with another clock.
#[test]
fn a_new_start_lies_between_the_last_list_and_now() {
    for offset in STEPS_MS {
        let mut clocks = Clocks::new();
        clocks.receive_from_discovery(0);
        clocks.run_until(30_000);
        clocks.receive_from_discovery(0);
        let mut previous = 30_000.0;
        for (nth, at) in [30_200, 30_200, 31_000, 90_000].into_iter().enumerate() {
            clocks.run_until(at);
            let boot_ms = clocks.wall().checked_add_signed(offset).unwrap() + nth as u64;
            let started = clocks.receive_from_discovery(boot_ms).unwrap();
            assert!(
                started > previous && started <= at as f64 + 0.001,
                "off by {offset}, at {at}: {started}"
            );
            previous = started;
        }
    }
}

/// The list in the configuration of a new process is old, and when it was written is unknown: an upstream may have
/// started later, but still before the process.
#[test]
fn a_stored_list_does_not_bound_a_start() {
    let mut clocks = Clocks::new();
    clocks.receive(0, ListOrigin::Configuration);
    let boot_ms = clocks.wall() - 6_000;
    clocks.run_until(50);
    assert_at(clocks.receive_from_discovery(boot_ms), -6_000, "started before the process");
}

/// A wall clock that is slewed, or read by a process that is delayed, does not count as stepped.
#[test]
fn a_wall_clock_that_drifts_is_followed() {
    let mut clocks = Clocks::new();
    clocks.receive_from_discovery(0);
    for _ in 0..1_000 {
        clocks.run_until(clocks.now + 500);
        clocks.step_wall_clock(10);
        clocks.read();
    }
    let (started, boot_ms) = (clocks.now, clocks.wall());
    clocks.run_until(clocks.now + 400);
    assert_at(clocks.receive_from_discovery(boot_ms), started, "drifted by 10 s in total");
}

/// Boot times that no clock can have shown are limited to plausible start times.
#[test]
fn impossible_boot_times_count_as_now_or_long_ago() {
    let mut clocks = Clocks::new();
    clocks.run_until(1_000);
    assert_at(clocks.receive_from_discovery(u64::MAX), 1_000, "far in the future");
    clocks.run_until(2_000);
    assert!(
        clocks.receive_from_discovery(1).is_some_and(|started| started > 1_000.0 && started <= 2_000.0),
        "limited by the list before"
    );
    let mut clocks = Clocks::new();
    assert!(
        clocks.receive_from_discovery(1).is_some_and(|started| started < -1e9),
        "long before the process"
    );
}

#[test]
fn starts_of_upstreams_that_are_not_retained_are_forgotten() {
    let mut clocks = Clocks::new();
    clocks.receive_from_discovery(7);
    assert_eq!(clocks.starts.len(), 1);
    clocks.starts.retain(|uid| uid != "s-0");
    assert_eq!(clocks.starts.len(), 0);
}

/// Conversions between times of the monotonic clock and instants are inverse to each other.
#[test]
fn the_monotonic_clock_starts_at_its_constant_and_runs_on() {
    let clock = Clock::new();
    let now = clock.now();
    assert!((PROCESS_START..PROCESS_START + 60 * SECOND).contains(&now));
    assert_eq!(clock.time(clock.instant(now + SECOND)), now + SECOND);
    assert!(clock.read().monotonic >= now);
}

// ---- The share of requests that a restarted upstream gets ----

/// How long an upstream warms up after a start.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// Relative capacity at the start of the warm-up.
const START_CAPACITY: f64 = 0.1;
/// Latency of an upstream: long compared with the noise of a busy machine, which makes one upstream look slower than
/// the other.
const LATENCY: Duration = Duration::from_millis(10);
/// Number of requests over which a share is counted.
const REQUESTS: u32 = 50;
/// Time from one request to the next. A busy machine can keep up with it, as it has to: the share of a cold upstream
/// depends on the rate of the requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound of the share of a cold upstream in the first quarter of its warm-up: of two equal upstreams it gets 0.05
/// to 0.16 then.
const MAX_COLD_SHARE: f64 = 0.3;
/// Lower bound of the share of a warm upstream: of two equal upstreams it gets 0.5.
const MIN_WARM_SHARE: f64 = 0.22;
/// How long after its warm-up an upstream may get less, as some late responses make it look slower. An upstream that
/// counts as cold because of a clock step does so for longer.
const MAX_NOISE_TIME: Duration = Duration::from_secs(12);
/// Steps of the wall clock that all machines share, in milliseconds, and a case without a step.
const SHARED_STEPS_MS: [i64; 6] = [0, HOUR_MS, -HOUR_MS, 20_000, 5_000, -5_000];

/// The entry of an upstream in the discovery list, in service and with this boot time.
fn target_with_boot_time(uid: &str, upstream: &Upstream, boot_ms: u64) -> String {
    let warm = target(uid, upstream.address, "in_service");
    warm.replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#))
}

/// The program with two equal upstreams, one of which is restarted.
struct RestartScenario {
    clock: WallClock,
    restarted: Upstream,
    other: Upstream,
    discovery: Discovery,
    program: Program,
    client: Client,
}

impl RestartScenario {
    fn start() -> Self {
        let clock = WallClock::new();
        let start_upstream = |body: &'static str| {
            Upstream::start(move |_| {
                std::thread::sleep(LATENCY);
                UpstreamAction::Respond(ok_response(body))
            })
        };
        let (restarted, other) = (start_upstream("restarted"), start_upstream("other"));
        let discovery = Discovery::start();
        let mut config = config(discovery.address, &in_service(&[&restarted, &other]));
        config["settings"]["Safety"]["StartCapacity"] = START_CAPACITY.into();
        config["settings"]["Safety"]["RampTimeNs"] = u64::try_from(WARM_UP_TIME.as_nanos()).unwrap().into();
        let program = Program::start_with(&config, &clock.environment());
        let client = program.connect();
        let mut scenario = Self { clock, restarted, other, discovery, program, client };
        scenario.publish_boot_time(0);
        // Afterwards the list is old, and the balancer knows the request rate.
        scenario.count_requests(u32::MAX, Instant::now() + WARM_UP_TIME + WARM_UP_TIME / 10);
        scenario
    }

    /// Publishes when the restarted upstream started; the balancer has received the list on return.
    fn publish_boot_time(&self, boot_ms: u64) {
        let restarted = target_with_boot_time("s-0", &self.restarted, boot_ms);
        self.discovery.publish(&[restarted, target("s-1", self.other.address, "in_service")]);
    }

    /// Sends up to `max_requests` requests before `end`; returns how many the restarted upstream got and how many were
    /// sent.
    fn count_requests(&mut self, max_requests: u32, end: Instant) -> (u32, u32) {
        let (mut to_restarted, mut requests) = (0, 0);
        let started = Instant::now();
        while requests < max_requests && Instant::now() < end {
            let response = self.client.request("look", LONG_BUDGET, "").expect("no response");
            to_restarted += u32::from(response.body == b"restarted");
            requests += 1;
            std::thread::sleep((REQUEST_INTERVAL * requests).saturating_sub(started.elapsed()));
        }
        (to_restarted, requests)
    }

    /// Asserts that the restarted upstream is cold after its start, which was listed just now, and warm after the
    /// warm-up.
    fn assert_warms_up(mut self, started: Instant, case: &str) {
        let (to_restarted, requests) = self.count_requests(REQUESTS, started + WARM_UP_TIME / 4);
        let max = MAX_COLD_SHARE * f64::from(requests) + 2.0;
        assert!(
            f64::from(to_restarted) <= max,
            "{case}: cold, it gets {to_restarted} of {requests} requests"
        );
        let warm_at = started + WARM_UP_TIME + WARM_UP_TIME / 10;
        std::thread::sleep(warm_at.saturating_duration_since(Instant::now()));
        let min = MIN_WARM_SHARE * f64::from(REQUESTS);
        loop {
            let (to_restarted, requests) = self.count_requests(REQUESTS, Instant::now() + TEST_TIMEOUT);
            if f64::from(to_restarted) >= min {
                break;
            }
            let is_in_time = Instant::now() < warm_at + MAX_NOISE_TIME;
            assert!(is_in_time, "{case}: warm, it gets {to_restarted} of {requests} requests");
        }
        self.program.terminate();
        assert!(self.program.wait_for_exit().0.success());
    }
}

/// Guards slow start against a boot time that is too early or too late, as the balancer sees it after a step of its own
/// clock.
#[test]
fn a_restarted_upstream_gets_its_share_whatever_its_boot_time_says() {
    std::thread::scope(|scope| {
        for offset in SHARED_STEPS_MS {
            scope.spawn(move || {
                let scenario = RestartScenario::start();
                scenario.publish_boot_time(0);
                scenario.publish_boot_time(scenario.clock.unix_millis().checked_add_signed(offset).unwrap());
                scenario.assert_warms_up(Instant::now(), &format!("off by {offset} ms"));
            });
        }
    });
}

/// How long after a start discovery lists it.
const LIST_DELAY: Duration = Duration::from_millis(300);

/// Guards slow start where the wall clock of all machines is stepped just before an upstream is restarted.
#[test]
fn a_restarted_upstream_gets_its_share_after_a_step_of_the_wall_clock() {
    std::thread::scope(|scope| {
        for step in SHARED_STEPS_MS {
            scope.spawn(move || {
                let mut scenario = RestartScenario::start();
                scenario.clock.step(step);
                scenario.publish_boot_time(scenario.clock.unix_millis());
                scenario.assert_warms_up(Instant::now(), &format!("stepped by {step} ms before the start"));
            });
        }
    });
}

/// The same where the step comes between the start and the list that shows it, long after the list before.
#[test]
fn a_restarted_upstream_gets_its_share_where_the_wall_clock_is_stepped_before_the_list() {
    std::thread::scope(|scope| {
        for step in SHARED_STEPS_MS {
            scope.spawn(move || {
                let mut scenario = RestartScenario::start();
                let (started, boot_ms) = (Instant::now(), scenario.clock.unix_millis());
                std::thread::sleep(LIST_DELAY);
                scenario.clock.step(step);
                scenario.publish_boot_time(boot_ms);
                scenario.assert_warms_up(started, &format!("stepped by {step} ms after the start"));
            });
        }
    });
}

/// A start time that was recorded does not change where a list shows it again after a step during the warm-up.
#[test]
fn a_step_during_the_warm_up_changes_no_share() {
    std::thread::scope(|scope| {
        for step in SHARED_STEPS_MS {
            scope.spawn(move || {
                let mut scenario = RestartScenario::start();
                let (started, boot_ms) = (Instant::now(), scenario.clock.unix_millis());
                scenario.publish_boot_time(boot_ms);
                scenario.clock.step(step);
                scenario.publish_boot_time(boot_ms);
                scenario.assert_warms_up(started, &format!("stepped by {step} ms during the warm-up"));
            });
        }
    });
}
