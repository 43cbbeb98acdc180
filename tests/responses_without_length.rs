//! Responses of unknown length past the deadlines of their requests: a long one is forwarded whole, however unevenly it
//! comes, and one that trickles ends in time. Sizes, pauses and framings are drawn from a seed around the boundary between the
//! two. `RESPONSE_SEEDS` sets the number of seeds.

mod common;

use common::join_all;
use common::process::*;
use common::streams::*;
use fastrand::Rng;
use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of seeds in a default run.
const DEFAULT_SEEDS: u64 = 12;
/// A final response is due within this time of the end of the budget; limits on sockets are longer by 50 ms.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500 + 50);
/// A delay of a piece by the machine up to which a test has to hold.
const TOLERATED_DELAY: Duration = Duration::from_millis(100);
/// A busy machine delays a response now and then, but not in each of so many tries.
const MAX_TRIES: usize = 5;
/// An upstream gives up a response without an end after this time.
const LONGEST_RESPONSE: Duration = Duration::from_secs(6);
/// The longest pause after which a response of unknown length may go on.
const MAX_PAUSE: Duration = Duration::from_millis(3000);

/// The largest piece of a long response in bytes: its length is not known to be long before the second one.
const MAX_LONG_PIECE: f64 = 60_000.0;

/// How the body of a response of unknown length is framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    /// Ends with the connection.
    Closed,
    /// Ends with the connection, as HTTP/1.0 has no chunks.
    Http10,
}

impl Framing {
    const ALL: [Self; 3] = [Self::Chunked, Self::Closed, Self::Http10];

    fn head(self) -> &'static str {
        match self {
            Self::Chunked => CHUNKED_HEAD,
            Self::Closed => HEAD_WITHOUT_LENGTH,
            Self::Http10 => "HTTP/1.0 200 OK\r\n\r\n",
        }
    }

    fn frame(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Self::Chunked => chunk(bytes),
            Self::Closed | Self::Http10 => bytes.to_vec(),
        }
    }

    fn end(self) -> &'static [u8] {
        match self {
            Self::Chunked => b"0\r\n\r\n",
            Self::Closed | Self::Http10 => b"",
        }
    }
}

/// A response in pieces of the same size.
#[derive(Clone, Copy, Debug)]
struct PacedResponse {
    framing: Framing,
    /// Time from the request to the first piece.
    work: Duration,
    piece: usize,
    /// Time from the start of a piece to the start of the next one.
    pause: Duration,
    /// Length of the body; `None` if it has no end.
    length: Option<usize>,
}

impl PacedResponse {
    /// The body of a response of this length.
    fn body(length: usize) -> Vec<u8> {
        (0..length).map(|index| index as u8).collect()
    }

    /// The pieces of the body as they are framed, up to its end if it has one.
    fn pieces(self) -> Box<dyn Iterator<Item = Vec<u8>>> {
        let frame = |bytes: &[u8]| self.framing.frame(bytes);
        match self.length {
            Some(length) => {
                let pieces: Vec<_> = Self::body(length).chunks(self.piece).map(frame).collect();
                Box::new(pieces.into_iter())
            }
            None => {
                let count = LONGEST_RESPONSE.div_duration_f64(self.pause) as usize;
                Box::new(std::iter::repeat_n(frame(&Self::body(self.piece)), count))
            }
        }
    }

    /// Writes the response, each piece at its scheduled time, and records the longest delay of a piece.
    fn write(self, max_delay: MaxDelay) -> UpstreamAction {
        UpstreamAction::Run(Arc::new(move |stream| {
            std::thread::sleep(self.work);
            stream.write_all(self.framing.head().as_bytes()).ok();
            let mut piece_at = Instant::now();
            for piece in self.pieces() {
                std::thread::sleep(piece_at.saturating_duration_since(Instant::now()));
                max_delay.record(piece_at.elapsed());
                if stream.write_all(&piece).is_err() {
                    return;
                }
                piece_at += self.pause;
            }
            if self.length.is_some() {
                stream.write_all(self.framing.end()).ok();
            }
        }))
    }
}

/// Draws a number evenly from a range in milliseconds.
fn draw_ms(rng: &mut Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

/// Draws a number from a range so that each order of magnitude is as likely.
fn draw_log(rng: &mut Rng, from: f64, to: f64) -> f64 {
    (from.ln() + rng.f64() * (to.ln() - from.ln())).exp()
}

/// A long response at 12 kB a second or more, with pauses of up to 2.5 s.
fn draw_long_response(rng: &mut Rng, budget: Duration) -> PacedResponse {
    let pause = Duration::from_secs_f64(draw_log(rng, 0.004, 2.5));
    let rate = draw_log(rng, 12_000.0, 60_000.0);
    PacedResponse {
        framing: Framing::ALL[rng.usize(..3)],
        work: budget.mul_f64(rng.f64() * 0.8),
        piece: (rate * pause.as_secs_f64()).min(MAX_LONG_PIECE).ceil() as usize,
        pause,
        length: Some(rng.usize(66_000..100_000)),
    }
}

/// A response without an end at 4 kB a second or less, in pieces of up to 2 kB.
fn draw_trickling_response(rng: &mut Rng, budget: Duration) -> PacedResponse {
    let rate = draw_log(rng, 300.0, 4000.0);
    let piece = draw_log(rng, 1.0, 2000.0).max(rate * 0.004).ceil();
    PacedResponse {
        framing: Framing::ALL[rng.usize(..3)],
        work: budget.mul_f64(rng.f64() * 0.8),
        piece: piece as usize,
        pause: Duration::from_secs_f64(piece / rate),
        length: None,
    }
}

/// The budget of a request, which ends in the middle of its response.
fn draw_budget(rng: &mut Rng) -> Duration {
    draw_ms(rng, 300..2400)
}

/// Repeats a request until it ends as it should.
fn try_until(mut send: impl FnMut() -> Result<(), String>) {
    let mut failures = Vec::new();
    for _ in 0..MAX_TRIES {
        match send() {
            Ok(()) => return,
            Err(failure) => failures.push(failure),
        }
    }
    panic!("{failures:?}");
}

/// Sends a request with this budget on a new connection. Returns the response, if it is complete, and how long it took.
fn send(program: &Program, class: &str, budget: Duration) -> (Option<Message>, Duration) {
    let mut client = program.connect();
    let sent_at = Instant::now();
    let response = client.request(class, &format!("{:.3}", budget.as_secs_f64()), "b");
    (response, sent_at.elapsed())
}

/// Checks that a long response is forwarded whole, unless the machine has delayed its upstream.
fn check_long_response(program: &Program, budget: Duration, response: PacedResponse, max_delay: &MaxDelay) {
    try_until(|| {
        max_delay.reset();
        let (received, elapsed) = send(program, "look", budget);
        match received {
            Some(received) if received.status() == 200 => {
                let body = PacedResponse::body(response.length.expect("a long response has an end"));
                assert!(
                    received.body == body,
                    "{response:?}: another body, of {} bytes",
                    received.body.len()
                );
                Ok(())
            }
            Some(received) if [502, 503].contains(&received.status()) => {
                Err(format!("{response:?}: {}, it began too late", received.status()))
            }
            received => {
                let received = received.map(|received| received.first_line);
                let failure = format!("{response:?}, {budget:?}: {received:?} after {elapsed:?}");
                std::thread::sleep(response.pause); // an upstream notices the end of its connection at its next piece
                assert!(max_delay.max() > TOLERATED_DELAY, "{failure}");
                Err(failure)
            }
        }
    });
}

/// Checks that a response that trickles ends in time, and not before the time of its request.
fn check_trickling_response(program: &Program, budget: Duration, response: PacedResponse) {
    try_until(|| {
        let (received, elapsed) = send(program, "post", budget);
        let status = received.map(|received| received.status());
        assert!([None, Some(502), Some(503)].contains(&status), "{response:?}: {status:?}");
        let is_cut_off_early = status.is_none() && elapsed + Duration::from_millis(50) < budget;
        assert!(!is_cut_off_early, "{response:?}, {budget:?}: cut off after {elapsed:?}");
        match elapsed <= budget + MAX_RESPONSE_DELAY {
            true => Ok(()),
            false => Err(format!("{response:?}, {budget:?}: ended after {elapsed:?}")),
        }
    });
}

/// Guards long responses of unknown length, which were cut off in a pause at the deadline, and the end of those that trickle,
/// which kept their clients for ever. Both come from the same upstream, so that one cannot be had for the other.
#[test]
fn long_responses_arrive_whole_and_trickling_ones_end_in_time() {
    let seeds = std::env::var("RESPONSE_SEEDS").map_or(DEFAULT_SEEDS, |seeds| seeds.parse().unwrap());
    for first_seed in (0..seeds).step_by(DEFAULT_SEEDS as usize) {
        let batch = first_seed..seeds.min(first_seed + DEFAULT_SEEDS);
        let threads: Vec<_> = batch
            .map(|seed| {
                std::thread::spawn(move || {
                    let mut rng = Rng::with_seed(seed);
                    let (long_budget, trickle_budget) = (draw_budget(&mut rng), draw_budget(&mut rng));
                    let long = draw_long_response(&mut rng, long_budget);
                    let trickling = draw_trickling_response(&mut rng, trickle_budget);
                    let max_delay = MaxDelay::default();
                    let upstream_delay = max_delay.clone();
                    let upstream =
                        Upstream::start(move |message| match message.first_line.contains("/look") {
                            true => long.write(upstream_delay.clone()),
                            false => trickling.write(MaxDelay::default()),
                        });
                    let program = start_with_upstream(&upstream);
                    std::thread::scope(|scope| {
                        scope.spawn(|| check_long_response(&program, long_budget, long, &max_delay));
                        scope.spawn(|| check_trickling_response(&program, trickle_budget, trickling));
                    });
                })
            })
            .collect();
        join_all(threads);
    }
}

/// Guards the end of a response that begins like a long one and then stops or trickles: the first one of an upstream ends
/// after the longest pause, and the next ones end in time.
#[test]
fn a_burst_that_goes_on_too_slowly_ends_and_is_remembered() {
    const BUDGET: Duration = Duration::from_millis(800);
    let burst = [CHUNKED_HEAD.as_bytes(), &chunk(&[b'a'; 30_000])].concat();
    let trickle = std::iter::once(burst.clone()).chain(std::iter::repeat_n(chunk(&[b'a'; 50]), 120));
    let cases = [
        ("stops", stall_after(burst.clone()), MAX_PAUSE),
        // The bucket drains for 3 s, less the fifth of the time that a kilobyte a second earns.
        ("trickles", write_paced(trickle.collect(), Duration::from_millis(50)), MAX_PAUSE.mul_f64(1.25)),
    ];
    join_all(cases.map(|(case, act, first_end)| {
        std::thread::spawn(move || {
            let upstream = Upstream::start(move |_| act.clone());
            let program = start_with_upstream(&upstream);
            let (received, elapsed) = send(&program, "post", BUDGET);
            assert!(received.is_none(), "{case}: complete");
            let latest = first_end + MAX_RESPONSE_DELAY;
            assert!((BUDGET..latest).contains(&elapsed), "{case}: ended after {elapsed:?}");
            try_until(|| {
                let (_, elapsed) = send(&program, "post", BUDGET);
                match elapsed <= BUDGET + MAX_RESPONSE_DELAY {
                    true => Ok(()),
                    false => Err(format!("{case}: ended after {elapsed:?}")),
                }
            });
        })
    }));
}
