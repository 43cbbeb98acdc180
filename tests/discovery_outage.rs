//! Time from what discovery has to what the balancer does, after an outage and where discovery is slow. Each outage ends at the
//! worst moment: just after the balancer has given a call up, or while it connects.

mod common;

use common::join_all;
use common::process::*;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The shortest grace that the settings may give a drain, and the 50 ms by which each limit is longer on sockets.
const SHORTEST_GRACE: Duration = Duration::from_millis(50 + 50);
/// A change counts as notified this long after discovery had it and could be reached, whatever failed.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// A busy machine delays a call now and then, but not at the end of each of so many outages.
const MAX_TRIES: usize = 3;
/// Calls that fail in an outage before it ends. A backoff that grows has reached its longest pause by then.
const FAILED_CALLS: usize = 5;

/// What the agent does with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Answer,
    /// Accepts calls, and answers them once the outage is over.
    Silent,
    /// Closes the connection of each call.
    Close,
    /// Refuses each call with an error.
    Refuse,
}

struct AgentState {
    mode: Mode,
    revision: u64,
    targets: String,
    /// Calls that ended without an answer, by either side, since the mode was changed.
    failed_calls: usize,
    /// When the first call after the latest change of the mode was answered.
    answered_at: Option<Instant>,
}

/// A stand-in for the agent of discovery.
#[derive(Clone)]
struct Agent {
    address: SocketAddr,
    shared: Arc<(Mutex<AgentState>, Condvar)>,
    /// How long each call takes in addition to its wait.
    delay: Duration,
}

impl Agent {
    /// Starts an agent that lists these upstreams in revision 1.
    fn start(targets: &[String], delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = AgentState {
            mode: Mode::Answer,
            revision: 1,
            targets: targets.join(","),
            failed_calls: 0,
            answered_at: None,
        };
        let address = listener.local_addr().unwrap();
        let agent = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())), delay };
        let serving = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let agent = serving.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    fn state(&self) -> MutexGuard<'_, AgentState> {
        self.shared.0.lock().unwrap()
    }

    fn change(&self, change: impl FnOnce(&mut AgentState)) {
        let mut state = self.state();
        change(&mut state);
        (state.failed_calls, state.answered_at) = (0, None);
        drop(state);
        self.shared.1.notify_all();
    }

    /// Answers the calls of one connection.
    fn serve(&self, mut stream: TcpStream) {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = Message::read(&mut input) {
            let response = self.respond(&call, &stream);
            let is_written = response.is_some_and(|response| stream.write_all(response.as_bytes()).is_ok());
            if !is_written {
                self.state().failed_calls += 1;
                self.shared.1.notify_all();
                stream.shutdown(Shutdown::Both).ok();
                return;
            }
        }
    }

    /// Waits as a call does, and returns the response; `None` if the call ends without one.
    fn respond(&self, call: &Message, stream: &TcpStream) -> Option<String> {
        let parameter =
            |name: &str| call.first_line.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok();
        let after: u64 = parameter("after=").unwrap_or(0);
        let wait = Duration::from_millis(parameter("wait_ms=").unwrap_or(0));
        std::thread::sleep(self.delay);
        let wait_end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            match state.mode {
                Mode::Answer if state.revision > after || Instant::now() >= wait_end => break,
                Mode::Close => return None,
                Mode::Refuse => {
                    state.failed_calls += 1;
                    self.shared.1.notify_all();
                    return Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into());
                }
                Mode::Answer | Mode::Silent if is_closed(stream) => return None,
                Mode::Answer | Mode::Silent => {}
            }
            state = self.shared.1.wait_timeout(state, Duration::from_millis(1)).unwrap().0;
        }
        state.answered_at.get_or_insert_with(Instant::now);
        Some(list_response(state.revision, true, std::slice::from_ref(&state.targets)))
    }

    /// Has an outage until the balancer has failed several calls, and ends it with this list right at the last failure.
    /// Returns how long it then takes until a call is answered.
    fn fail_until_backed_off(&self, mode: Mode, targets: &[String]) -> Duration {
        self.change(|state| state.mode = mode);
        let mut state = self.state();
        while state.failed_calls < FAILED_CALLS {
            state = self.shared.1.wait(state).unwrap();
        }
        let returned_at = Instant::now();
        state.mode = Mode::Answer;
        state.revision += 1;
        state.targets = targets.join(",");
        state.answered_at = None;
        self.shared.1.notify_all();
        while state.answered_at.is_none() {
            state = self.shared.1.wait_timeout(state, Duration::from_millis(1)).unwrap().0;
        }
        state.answered_at.map_or(Duration::ZERO, |answered_at| answered_at - returned_at)
    }
}

/// Whether the peer has closed a connection.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// An upstream that responds with its name.
fn named_upstream(name: &'static str) -> Upstream {
    Upstream::start(move |_| UpstreamAction::Respond(ok_response(name)))
}

/// Checks that a list is applied within the shortest grace at the end of one of several outages.
fn check_in_time(case: &str, mut outage: impl FnMut() -> Duration) {
    let mut delays = Vec::new();
    for _ in 0..MAX_TRIES {
        delays.push(outage());
        if delays.last().is_some_and(|delay| *delay <= SHORTEST_GRACE) {
            return;
        }
    }
    panic!("{case}: {delays:?}");
}

/// Guards the drain rule after an outage: balancers asked for the new list up to 1 s after the agent had it, and sent to an
/// upstream that drained meanwhile.
#[test]
fn a_list_is_requested_within_the_shortest_grace_after_an_outage() {
    join_all([Mode::Silent, Mode::Close, Mode::Refuse].map(|mode| {
        std::thread::spawn(move || {
            let (first, second) = (named_upstream("first"), named_upstream("second"));
            let lists = [("first", &first), ("second", &second)]
                .map(|(name, upstream)| (name, target("s-0", upstream.address, "in_service")));
            let agent = Agent::start(std::slice::from_ref(&lists[0].1), Duration::ZERO);
            let program = Program::start(&config(agent.address, std::slice::from_ref(&lists[0].1)));
            let mut outages = 0;
            check_in_time(&format!("{mode:?}"), || {
                outages += 1;
                let (name, list) = &lists[outages % 2];
                let delay = agent.fail_until_backed_off(mode, std::slice::from_ref(list));
                eventually("the list is applied", || program.request("look").body == name.as_bytes());
                delay
            });
        })
    }));
}

/// The same where connections to the agent are refused or hang.
#[test]
fn an_agent_is_called_within_the_shortest_grace_after_connections_failed() {
    const OUTAGE: Duration = Duration::from_millis(2500);
    let new = named_upstream("new");
    let list = [target("s-new", new.address, "in_service")];
    check_in_time("refused", || {
        let agent = UnavailableDiscovery::open();
        let program = Program::start(&config(agent.address, &list));
        std::thread::sleep(OUTAGE);
        let returned_at = Instant::now();
        let agent = agent.restore(&list);
        agent.wait_until_watched();
        drop(program);
        returned_at.elapsed()
    });
    check_in_time("hung", || {
        let blocked = BlockedListener::open();
        let program = Program::start(&config(blocked.address, &list));
        std::thread::sleep(OUTAGE);
        blocked.wait_until_none_pending();
        blocked.wait_for_pending(1);
        let returned_at = Instant::now();
        let agent = blocked.accept_connections(|_| UpstreamAction::NeverRespond);
        agent.next_request();
        drop(program);
        returned_at.elapsed()
    });
}

/// Guards the drain rule where a shared discovery takes 1.5 s for each call: it was never heard again.
#[test]
fn a_slow_discovery_that_is_polled_is_heard() {
    const CALL_TIME: Duration = Duration::from_millis(1500);
    let (old, new, newer) = (named_upstream("old"), named_upstream("new"), named_upstream("newer"));
    let [old, new, newer] =
        [&old, &new, &newer].map(|upstream| target("s-0", upstream.address, "in_service"));
    let agent = Agent::start(&[old], CALL_TIME);
    let mut config = config(agent.address, std::slice::from_ref(&new));
    config["settings"]["Discovery"] = "ask".into();
    config["settings"]["Safety"]["AskWithinNs"] = 10_000_000_000_u64.into();
    let program = Program::start(&config);
    for (name, list) in [("new", new), ("newer", newer)] {
        agent.change(|state| {
            state.revision += 1;
            state.targets = list;
        });
        let changed_at = Instant::now();
        eventually("the list is applied", || {
            program.request("look").body == name.as_bytes() && agent.state().answered_at.is_some()
        });
        assert!(changed_at.elapsed() < NOTIFICATION_LIMIT, "{name}: {:?}", changed_at.elapsed());
    }
}

/// Guards the drain rule at the end of each watch without a change: the next one was opened 50 ms late, in which a change counted as
/// notified. An agent that does not wait must not be called in a tight loop for that.
#[test]
fn the_next_watch_follows_a_watch_without_a_change_at_once() {
    const MAX_GAP: Duration = Duration::from_millis(15);
    const MIN_GAP: Duration = Duration::from_millis(15);
    let discovery = ManualPeer::open();
    let upstream = named_upstream("served");
    let _program = Program::start(&config(discovery.address, &in_service(&[&upstream])));
    let mut agent = discovery.accept();
    agent.read();
    let unchanged = list_response(1, false, &[]);
    let mut answer_after = |wait: Duration| {
        agent.write(&unchanged);
        assert!(agent.read().first_line.contains("wait_ms=2000 "));
        std::thread::sleep(wait);
        let answered_at = Instant::now();
        agent.write(&unchanged);
        assert!(agent.read().first_line.contains("after=1&"));
        answered_at.elapsed()
    };
    let at_once = answer_after(Duration::ZERO);
    assert!(at_once >= MIN_GAP, "called again after {at_once:?}");
    let gaps: Vec<Duration> = (0..MAX_TRIES).map(|_| answer_after(Duration::from_millis(2010))).collect();
    assert!(gaps.iter().any(|gap| *gap <= MAX_GAP), "{gaps:?}");
}
