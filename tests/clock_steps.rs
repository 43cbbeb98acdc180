//! Steps of the wall clock, forward and back: no start of an upstream may look older or younger for them.

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

const HOUR: i64 = 3_600_000;
/// Steps of a wall clock, in milliseconds.
const STEPS: [i64; 8] = [HOUR, -HOUR, 5_000, -5_000, 1_000, -1_000, 24 * HOUR, -24 * HOUR];

/// A balancer's two clocks and what it knows of starts. Times are in milliseconds since its start.
struct Clocks {
    /// What the wall clock shows at the start of the process.
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

    /// The clocks are read every half second, as the sweep of idle connections does.
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

    /// What another machine, with the same wall clock, shows now.
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

    /// A list that shows the upstream comes now; when that started, in milliseconds since the start of the process.
    fn list(&mut self, boot_ms: u64, origin: ListOrigin) -> Option<f64> {
        self.read();
        let started = self.starts.started("s-0", boot_ms, origin, Self::monotonic(self.now))?;
        Some((started as i64 - PROCESS_START as i64) as f64 / MS as f64)
    }

    fn told(&mut self, boot_ms: u64) -> Option<f64> {
        self.list(boot_ms, ListOrigin::Discovery)
    }
}

/// Asserts a time to a millisecond.
fn assert_at(started: Option<f64>, expected: i64, case: &str) {
    let started = started.unwrap_or_else(|| panic!("{case}: no start"));
    assert!((started - expected as f64).abs() <= 1.0, "{case}: started at {started}, not {expected}");
}

/// Without a step a start is where the wall clock puts it, before the process as well.
#[test]
fn a_start_lies_where_the_wall_clock_says() {
    for age in [0, 1, 700, 9_000, HOUR, 400 * 24 * HOUR] {
        let mut clocks = Clocks::new();
        clocks.run_until(3_000);
        let boot_ms = clocks.wall() - age as u64;
        assert_at(clocks.told(boot_ms), 3_000 - age, &format!("age {age}"));
        let mut clocks = Clocks::new();
        let started = clocks.list(boot_ms, ListOrigin::Configuration);
        assert_at(started, (3_000 - age).min(0), &format!("stored, age {age}"));
    }
}

/// What is long past has no time, before and after a start that has one.
#[test]
fn a_boot_time_of_zero_is_long_ago() {
    for step in STEPS {
        let mut clocks = Clocks::new();
        assert_eq!(clocks.told(0), None);
        clocks.step_wall_clock(step);
        clocks.run_until(2_000);
        assert_eq!(clocks.told(0), None);
        let boot_ms = clocks.wall();
        clocks.run_until(2_300);
        assert_at(clocks.told(boot_ms), 2_000, "a start after a long time");
        assert_eq!(clocks.told(0), None);
        clocks.run_until(9_000);
        assert_at(clocks.told(boot_ms), 2_000, "the same start told again");
    }
}

/// The step comes before the start: measured in the proxy as a share of calls that was wrong for up to an hour.
#[test]
fn a_start_after_a_step_lies_where_it_was() {
    for step in STEPS {
        let mut clocks = Clocks::new();
        clocks.told(0);
        clocks.run_until(60_000);
        clocks.step_wall_clock(step);
        clocks.run_until(61_000);
        let boot_ms = clocks.wall();
        clocks.run_until(61_400);
        assert_at(clocks.told(boot_ms), 61_000, &format!("step {step}"));
    }
}

/// The step comes between the start and the list that tells of it, of an upstream that is listed already or new.
#[test]
fn a_start_just_before_a_step_lies_where_it_was_or_later() {
    for is_listed in [true, false] {
        for step in STEPS {
            for late in [200, 3_000] {
                let mut clocks = Clocks::new();
                if is_listed {
                    clocks.told(0);
                }
                clocks.run_until(600_100);
                let boot_ms = clocks.wall();
                clocks.run_until(600_200);
                clocks.step_wall_clock(step);
                clocks.run_until(600_100 + late);
                let started = clocks.told(boot_ms).unwrap() as i64;
                let case = format!("listed {is_listed}, step {step}, told {late} ms late");
                assert!(started >= 600_099, "{case}: older than it is, {started}");
                assert!(started <= clocks.now, "{case}: in the future, {started}");
                if !(-late..=0).contains(&step) {
                    assert_at(Some(started as f64), 600_100, &case); // else the clock showed this time twice
                }
            }
        }
    }
}

/// A start that was told stays where it was, whatever the clock does and however often it is told.
#[test]
fn a_start_that_is_told_again_does_not_move() {
    let mut clocks = Clocks::new();
    clocks.run_until(4_000);
    let boot_ms = clocks.wall() - 500;
    let first = clocks.told(boot_ms);
    assert_at(first, 3_500, "the first list");
    for (at, step) in (1..).zip(STEPS) {
        clocks.step_wall_clock(step);
        clocks.run_until(4_000 + 700 * at);
        assert_eq!(clocks.told(boot_ms), first, "step {step}");
    }
}

/// Each change of the boot time is another start, later than the last list that showed the one before, and none is in
/// the future: also where the boot time is off, as a machine with another clock tells it.
#[test]
fn a_new_start_lies_between_the_last_list_and_now() {
    for off in STEPS {
        let mut clocks = Clocks::new();
        clocks.told(0);
        clocks.run_until(30_000);
        clocks.told(0);
        let mut former = 30_000.0;
        for (nth, at) in [30_200, 30_200, 31_000, 90_000].into_iter().enumerate() {
            clocks.run_until(at);
            let boot_ms = clocks.wall().checked_add_signed(off).unwrap() + nth as u64;
            let started = clocks.told(boot_ms).unwrap();
            assert!(started > former && started <= at as f64 + 0.001, "off by {off}, at {at}: {started}");
            former = started;
        }
    }
}

/// A process that starts knows an old list: nothing is known of when that was told.
#[test]
fn a_stored_list_does_not_bound_a_start() {
    let mut clocks = Clocks::new();
    clocks.list(0, ListOrigin::Configuration);
    let boot_ms = clocks.wall() - 6_000;
    clocks.run_until(50);
    assert_at(clocks.told(boot_ms), -6_000, "started before the process");
}

/// A wall clock that is slewed, or read by a process that is held up, has not been stepped.
#[test]
fn a_wall_clock_that_drifts_is_followed() {
    let mut clocks = Clocks::new();
    clocks.told(0);
    for _ in 0..1_000 {
        clocks.run_until(clocks.now + 500);
        clocks.step_wall_clock(10);
        clocks.read();
    }
    let (started, boot_ms) = (clocks.now, clocks.wall());
    clocks.run_until(clocks.now + 400);
    assert_at(clocks.told(boot_ms), started, "10 s in all");
}

/// Boot times that no clock can have shown harm nothing.
#[test]
fn boot_times_beyond_all_bounds_are_now_or_long_ago() {
    let mut clocks = Clocks::new();
    clocks.run_until(1_000);
    assert_at(clocks.told(u64::MAX), 1_000, "far in the future");
    clocks.run_until(2_000);
    assert!(
        clocks.told(1).is_some_and(|started| started > 1_000.0 && started <= 2_000.0),
        "bounded by the list"
    );
    let mut clocks = Clocks::new();
    assert!(clocks.told(1).is_some_and(|started| started < -1e9), "long before the process");
}

#[test]
fn only_names_that_are_kept_are_remembered() {
    let mut clocks = Clocks::new();
    clocks.told(7);
    assert_eq!(clocks.starts.len(), 1);
    clocks.starts.retain(|uid| uid != "s-0");
    assert_eq!(clocks.starts.len(), 0);
}

/// The scheduling clock and its instants are each other's inverse.
#[test]
fn the_monotonic_clock_starts_at_its_constant_and_runs_on() {
    let clock = Clock::new();
    let now = clock.now();
    assert!((PROCESS_START..PROCESS_START + 60 * SECOND).contains(&now));
    assert_eq!(clock.time(clock.instant(now + SECOND)), now + SECOND);
    assert!(clock.read().monotonic >= now);
}

// ---- The share of calls that a restarted upstream gets ----

/// Time over which an upstream is brought up to its share after a start.
const RAMP: Duration = Duration::from_secs(4);
/// Part of its capacity that it has at first.
const START_CAPACITY: f64 = 0.1;
/// How long an upstream takes to answer: long beside the noise of a busy machine, which makes one look the slower.
const ANSWERED_AFTER: Duration = Duration::from_millis(10);
/// The calls for which a share is counted, and the time from one to the next. It is one that a busy machine can keep:
/// the share of a cold upstream goes by the rate of the calls.
const CALLS: u32 = 50;
const SPACING: Duration = Duration::from_millis(20);
/// Of two equal upstreams a cold one gets a share of 0.05 to 0.16 in the first quarter of the ramp and a warm one 0.5.
const MOST_OF_A_COLD_ONE: f64 = 0.3;
const LEAST_OF_A_WARM_ONE: f64 = 0.22;
/// How long after its ramp an upstream may get less, as some answers were late and it looks the slower. One that counts
/// as cold for a step of the clock does so for longer.
const MOST_NOISE: Duration = Duration::from_secs(12);
/// Steps of the wall clock that all machines share, and none.
const SHARED_STEPS: [i64; 6] = [0, HOUR, -HOUR, 20_000, 5_000, -5_000];

fn started_at(uid: &str, upstream: &Upstream, boot_ms: u64) -> String {
    let warm = target(uid, upstream.address, "in_service");
    warm.replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#))
}

/// The program with two equal upstreams, one of which is restarted.
struct TwoUpstreams {
    clock: WallClock,
    restarted: Upstream,
    other: Upstream,
    discovery: Discovery,
    program: Program,
    caller: Client,
}

impl TwoUpstreams {
    fn start() -> Self {
        let clock = WallClock::new();
        let answering = |body: &'static str| {
            Upstream::start(move |_| {
                std::thread::sleep(ANSWERED_AFTER);
                UpstreamAction::Respond(ok_response(body))
            })
        };
        let (restarted, other) = (answering("restarted"), answering("other"));
        let discovery = Discovery::start();
        let mut config = config(discovery.address, &in_service(&[&restarted, &other]));
        config["settings"]["Safety"]["StartCapacity"] = START_CAPACITY.into();
        config["settings"]["Safety"]["RampTimeNs"] = u64::try_from(RAMP.as_nanos()).unwrap().into();
        let program = Program::start_with(&config, &clock.environment());
        let caller = program.connect();
        let mut two = Self { clock, restarted, other, discovery, program, caller };
        two.list(0);
        two.share(u32::MAX, Instant::now() + RAMP + RAMP / 10); // the list is old, and the rate of the calls known
        two
    }

    /// Discovery tells when the restarted upstream started; the balancer has taken it on return.
    fn list(&self, boot_ms: u64) {
        let restarted = started_at("s-0", &self.restarted, boot_ms);
        self.discovery.publish(&[restarted, target("s-1", self.other.address, "in_service")]);
    }

    /// The calls that the restarted upstream gets, of how many that were made: so many, or those before an end.
    fn share(&mut self, most: u32, end: Instant) -> (u32, u32) {
        let (mut to_restarted, mut calls) = (0, 0);
        let first = Instant::now();
        while calls < most && Instant::now() < end {
            let answer = self.caller.request("look", LONG_BUDGET, "").expect("an answer");
            to_restarted += u32::from(answer.body == b"restarted");
            calls += 1;
            std::thread::sleep((SPACING * calls).saturating_sub(first.elapsed()));
        }
        (to_restarted, calls)
    }

    /// Asserts that it is cold after a start, which was told just now, and warm once the ramp is over.
    fn assert_brought_up(mut self, started: Instant, case: &str) {
        let (to_restarted, calls) = self.share(CALLS, started + RAMP / 4);
        let most = MOST_OF_A_COLD_ONE * f64::from(calls) + 2.0;
        assert!(f64::from(to_restarted) <= most, "{case}: cold, it gets {to_restarted} of {calls} calls");
        let warm = started + RAMP + RAMP / 10;
        std::thread::sleep(warm.saturating_duration_since(Instant::now()));
        let least = LEAST_OF_A_WARM_ONE * f64::from(CALLS);
        loop {
            let (to_restarted, calls) = self.share(CALLS, Instant::now() + TEST_TIMEOUT);
            if f64::from(to_restarted) >= least {
                break;
            }
            let is_in_time = Instant::now() < warm + MOST_NOISE;
            assert!(is_in_time, "{case}: warm, it gets {to_restarted} of {calls} calls");
        }
        self.program.terminate();
        assert!(self.program.wait_for_exit().0.success());
    }
}

/// Guards slow start against a boot time that is off, forward or back, as our own clock sees it after a step.
#[test]
fn a_restarted_upstream_gets_its_share_whatever_its_boot_time_says() {
    std::thread::scope(|scope| {
        for off in SHARED_STEPS {
            scope.spawn(move || {
                let two = TwoUpstreams::start();
                two.list(0);
                two.list(two.clock.unix_millis().checked_add_signed(off).unwrap());
                two.assert_brought_up(Instant::now(), &format!("off by {off} ms"));
            });
        }
    });
}

/// How long a start takes to be listed.
const LISTED_AFTER: Duration = Duration::from_millis(300);

/// Guards slow start in the proxy where the clock of all machines is stepped just before an upstream is restarted.
#[test]
fn a_restarted_upstream_gets_its_share_after_a_step_of_the_wall_clock() {
    std::thread::scope(|scope| {
        for step in SHARED_STEPS {
            scope.spawn(move || {
                let mut two = TwoUpstreams::start();
                two.clock.step(step);
                two.list(two.clock.unix_millis());
                two.assert_brought_up(Instant::now(), &format!("stepped by {step} ms before the start"));
            });
        }
    });
}

/// The same where the step comes between the start and the list that tells of it. The list before was long ago.
#[test]
fn a_restarted_upstream_gets_its_share_where_the_wall_clock_is_stepped_before_the_list() {
    std::thread::scope(|scope| {
        for step in SHARED_STEPS {
            scope.spawn(move || {
                let mut two = TwoUpstreams::start();
                let (started, boot_ms) = (Instant::now(), two.clock.unix_millis());
                std::thread::sleep(LISTED_AFTER);
                two.clock.step(step);
                two.list(boot_ms);
                two.assert_brought_up(started, &format!("stepped by {step} ms after the start"));
            });
        }
    });
}

/// A start that is known stays where it is, also where a list tells it again after a step.
#[test]
fn a_step_within_the_ramp_changes_no_share() {
    std::thread::scope(|scope| {
        for step in SHARED_STEPS {
            scope.spawn(move || {
                let mut two = TwoUpstreams::start();
                let (started, boot_ms) = (Instant::now(), two.clock.unix_millis());
                two.list(boot_ms);
                two.clock.step(step);
                two.list(boot_ms);
                two.assert_brought_up(started, &format!("stepped by {step} ms within the ramp"));
            });
        }
    });
}
