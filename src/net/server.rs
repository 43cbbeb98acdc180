//! The callers' side: takes connections, reads and checks requests, writes answers.

use super::body::{Budget, Gathered, MOST_BODY, MOST_KEPT, Payload, Reply, Rest, Room, gather};
use super::closing::{Ending, LINGER};
use super::config::Config;
use super::counters::{Counters, End, Taken};
use super::driver::{Answer, Call, Input};
use super::gate::{Gate, Idle, Line, MOST_HEAD, Seen, lock};
use super::panic::catch_panic;
use super::transient::{Backoff, is_shortage};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, DATE, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use woadstall::api::{Effect, RequestId, Settings};
use woadstall::policy::longest_wait;

/// How long callers are still served after a signal to stop, at least: they hear of it late.
const GO_ON: Duration = Duration::from_millis(500);
/// The kill comes no sooner after the signal than the longest deadline, counted as the first of these where it
/// is longer, and the second. Other balancers may be down until then, so callers are served for as long as the
/// module's answers still come in time, with a margin.
const KILL_AFTER: (Duration, Duration) = (Duration::from_secs(3), Duration::from_millis(700));
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Pause among new connections after which no more are waited for then.
const LAST_LOOK: Duration = Duration::from_millis(10);
/// Connections that a listener's backlog holds at most.
const MOST_BACKLOG: usize = 4096;
/// How long a caller may take over a request, the first one from its connecting on; and how often that is
/// looked at. Together they stay under the 3 s after which one that sends nothing whole is owed an end.
const PATIENCE: Duration = Duration::from_millis(2500);
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Part of the room that connections without a call may fill, as one over this.
const UNCALLED: usize = 2;
/// A new connection may bring its call a little later.
const NEWLY: Duration = Duration::from_millis(300);
/// Failures in a row, some 0.2 s with their pauses, after which a lack of descriptors is no matter of a moment. They are
/// counted and not timed: the process may have been held up itself.
const LASTING_SHORTAGE: u32 = 8;
/// Connections taken beyond those that are served, to refuse their requests: left in the kernel's backlog,
/// they would count as taken and get no answer.
pub const SURPLUS: usize = 16;
/// How long a surplus caller is to stay away, and one whose body found no room.
const COME_BACK: Duration = Duration::from_millis(500);
/// hyper's buffer for what a caller sends: beyond a head, it only makes bodies come in larger pieces.
const READ_BUFFER: usize = 2 * MOST_HEAD;
/// Added to the longest deadline or the patience, so long may answers take after the last connection was taken.
const LAST_ANSWERS: Duration = Duration::from_millis(60);

/// What all connections share.
pub struct Server {
    config: Arc<Config>,
    driver: UnboundedSender<Input>,
    ready: watch::Receiver<bool>,
    /// Whether the first list has been told: before that, nothing is sent on.
    told: watch::Receiver<bool>,
    counters: Arc<Counters>,
    next_id: AtomicU32,
    next_caller: AtomicU64,
    callers: Mutex<HashMap<u64, Arc<Caller>>>,
    /// The callers' own ids of the requests that are open.
    open: Arc<Mutex<HashSet<String>>>,
    /// What bodies may hold of the memory.
    budget: Arc<Budget>,
    /// A caller's connection has ended.
    left: Notify,
    /// Another process takes the new connections, or nobody does: each answer is the last on its own.
    leaving: AtomicBool,
    /// The answer to what comes now might come too late: it is refused.
    refusing: AtomicBool,
    /// The process ends: whatever is open is answered now.
    ending: AtomicBool,
}

/// A caller's connection.
struct Caller {
    /// Beyond the connections that may be served: its requests are refused at once.
    surplus: bool,
    line: Line,
    /// It is on its way out.
    leaving: AtomicBool,
    /// It is to be closed between requests.
    close: Notify,
    /// It is to be looked at: it may be overdue, or the process ends.
    cut: Notify,
}

/// A caller's place among the connections.
struct Place {
    server: Arc<Server>,
    number: u64,
    caller: Arc<Caller>,
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.server.callers).remove(&self.number);
        self.server.left.notify_one();
    }
}

impl Place {
    /// Serves a connection to its end. A panic ends this connection alone, and not without an answer.
    async fn serve(self, gate: Gate, closing: watch::Receiver<bool>) {
        let ending = catch_panic(self.exchange(gate, closing)).await.unwrap_or(Ending::Panicked);
        if ending == Ending::Panicked {
            super::log(format_args!("the task of a client's connection has panicked"));
        }
        self.caller.line.close(ending, self.caller.close.notified()).await;
    }

    /// Has requests answered until the connection is not to be served any longer.
    async fn exchange(&self, gate: Gate, mut closing: watch::Receiver<bool>) -> Ending {
        let line = &self.caller.line;
        let service =
            service_fn(async |request: Request<Incoming>| Ok::<_, Infallible>(self.respond(request).await));
        let connection =
            http1::Builder::new().max_buf_size(READ_BUFFER).serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        // How long a connection on which nothing has come is kept, once it is to be closed between requests.
        let mut closes = None;
        let mut place_needed = false;
        loop {
            if place_needed && matches!(lock(&line.seen).idle(), Some((Idle::Begun, _))) {
                return Ending::NoRoom;
            }
            if closes.is_some_and(|newly| line.may_close(newly)) {
                connection.as_mut().graceful_shutdown();
            }
            tokio::select! {
                biased; // a request that has come is read before its connection is closed between requests
                _ = connection.as_mut() => return Ending::Done,
                () = self.caller.cut.notified() => {
                    // What has come in this moment is read first.
                    let turn = if line.has_bytes() { LOOK_EVERY / 10 } else { Duration::ZERO };
                    tokio::select! {
                        biased;
                        _ = connection.as_mut() => return Ending::Done,
                        () = sleep(turn) => {}
                    }
                    if self.server.ending.load(Ordering::Relaxed) {
                        return Ending::Shutdown;
                    }
                    if lock(&line.seen).overdue(PATIENCE) {
                        return Ending::Overdue;
                    }
                }
                () = async { drop(closing.wait_for(|close| *close).await) }, if closes.is_none() => {
                    closes = Some(NEWLY);
                }
                () = self.caller.close.notified() => {
                    (closes, place_needed) = (Some(Duration::ZERO), true);
                }
                () = sleep(LOOK_EVERY / 10), if closes.is_some() => {}
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Reply> {
        let is_call = self.server.class(&request).is_some();
        let mut reply = match self.caller.surplus {
            true => self.server.refuse_surplus(&request),
            false => self.server.reply(request, &self.caller.line).await,
        };
        let mut seen = lock(&self.caller.line.seen);
        // One that has begun to come behind this one was read: it is answered before the connection ends.
        let closes = self.closes() && !seen.holds_more();
        // What is left of a request that was answered early is not waited for.
        let is_early = reply.body().is_whole() && seen.outstanding() > 0;
        if closes || is_early || seen.is_last() || seen.both_lengths() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        seen.responds();
        if reply.body().is_whole() {
            seen.answered(is_call);
        }
        reply
    }

    /// Whether the connection is to end with an answer.
    fn closes(&self) -> bool {
        let leaving = self.caller.leaving.load(Ordering::Relaxed);
        self.caller.surplus || leaving || self.server.leaving.load(Ordering::Relaxed)
    }
}

/// Connections that could not be taken, in a row.
#[derive(Default)]
struct Failing {
    failures: u32,
    backoff: Backoff,
}

/// Tells the driver that a caller has gone, unless it got its answer.
struct Owed<'a>(Option<RequestId>, &'a UnboundedSender<Input>);

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.0 {
            self.1.send(Input::CallerGone(id)).ok();
        }
    }
}

impl Server {
    /// A server that hands its requests to the driver.
    pub fn new(
        config: Arc<Config>,
        driver: UnboundedSender<Input>,
        (ready, told): (watch::Receiver<bool>, watch::Receiver<bool>),
        counters: Arc<Counters>,
        budget: Arc<Budget>,
    ) -> Self {
        Self {
            config,
            driver,
            ready,
            told,
            counters,
            next_id: AtomicU32::new(0),
            next_caller: AtomicU64::new(0),
            callers: Mutex::default(),
            open: Arc::default(),
            budget,
            left: Notify::new(),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            ending: AtomicBool::new(false),
        }
    }

    /// Serves until told to stop, then for a while longer, and returns when all is answered.
    pub async fn run(self, listener: TcpListener, mut stopping: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let looking = tokio::spawn(server.clone().cut_overdue());
        let (close, closing) = watch::channel(false);
        let shared = server.config.listen_fd.is_some();
        let stopped = async {
            stopping.wait_for(|stop| *stop).await.ok();
            if !shared {
                sleep(server.go_on()).await;
            }
        };
        tokio::select! {
            () = server.accept(&listener, &closing) => {}
            () = stopped => {}
        }
        let mut rest = None;
        if shared {
            // The next process takes what waits in the backlog. The callers we have may be writing just now:
            // they are sent to it one by one, with their answers.
            drop(listener);
            server.leaving.store(true, Ordering::Relaxed);
            timeout(server.go_on(), server.all_left()).await.ok();
        } else {
            // What waits in the backlog counts as taken, and closing the listener would reset it.
            let taking = rest.insert(tokio::spawn(server.clone().take_rest(listener, closing)));
            timeout(10 * LAST_LOOK, taking).await.ok();
        }
        server.leaving.store(true, Ordering::Relaxed);
        close.send_replace(true);
        timeout(10 * LAST_LOOK, server.all_left()).await.ok(); // what was just taken still has its time
        server.refusing.store(true, Ordering::Relaxed);
        // Where the process was held up, the backlog is not empty yet: its callers are refused, not reset.
        let answered = async {
            if let Some(taking) = rest.as_mut().filter(|taking| !taking.is_finished()) {
                taking.await.ok();
            }
            server.all_left().await;
        };
        let longest = Duration::from_nanos(longest_deadline(&server.config.settings));
        timeout(longest.max(PATIENCE + LOOK_EVERY) + LAST_ANSWERS, answered).await.ok();
        rest.inspect(JoinHandle::abort);
        looking.abort();
        server.end_all().await;
    }

    /// Answers what is still open when the process ends: dropped with its task, it would get no answer.
    async fn end_all(&self) {
        self.ending.store(true, Ordering::Relaxed);
        lock(&self.callers).values().for_each(|caller| caller.cut.notify_one());
        timeout(LOOK_EVERY + LINGER, self.all_left()).await.ok();
    }

    /// Takes what waits in the backlog, and closes the listener. Who comes later is taken as well, as nobody can tell,
    /// but no more than a backlog holds.
    async fn take_rest(self: Arc<Self>, listener: TcpListener, closing: watch::Receiver<bool>) {
        let mut backoff = Backoff::default();
        for _ in 0..MOST_BACKLOG {
            self.has_room().await;
            match timeout(LAST_LOOK, listener.accept()).await {
                Ok(Ok((tcp, _))) => {
                    backoff = Backoff::default();
                    self.take(tcp, &closing);
                }
                // The others still wait: closing the listener would reset them.
                Ok(Err(error)) => {
                    super::log(format_args!("cannot take a connection: {error}"));
                    sleep(backoff.pause()).await;
                }
                Err(_) => return,
            }
        }
    }

    async fn all_left(&self) {
        while self.count() > 0 {
            self.left.notified().await;
        }
    }

    /// How long callers are still served after a signal to stop.
    fn go_on(&self) -> Duration {
        let settings = &self.config.settings;
        let kill = Duration::from_nanos(longest_deadline(settings)).min(KILL_AFTER.0) + KILL_AFTER.1;
        let answers = Duration::from_nanos(longest_wait(settings)) + KILL_MARGIN;
        kill.saturating_sub(answers).max(GO_ON)
    }

    /// Cuts off the callers that take too long over a request. Guards the places of the others.
    async fn cut_overdue(self: Arc<Self>) {
        loop {
            sleep(LOOK_EVERY).await;
            let callers = lock(&self.callers);
            let overdue = callers.values().filter(|caller| lock(&caller.line.seen).overdue(PATIENCE));
            overdue.for_each(|caller| caller.cut.notify_one());
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        let mut failing: Option<Failing> = None;
        loop {
            self.has_room().await;
            match listener.accept().await {
                Ok((tcp, _)) => {
                    failing = None;
                    self.take(tcp, closing);
                }
                Err(error) => {
                    super::log(format_args!("cannot take a connection: {error}"));
                    let failing = failing.get_or_insert_default();
                    if is_shortage(&error) {
                        self.make_room(failing);
                    }
                    failing.failures += 1;
                    sleep(failing.backoff.pause()).await;
                }
            }
        }
    }

    /// Frees descriptors and memory where the lack of them was not over with a pause. Nobody who may have a request on
    /// the way is closed for a lack of a moment.
    fn make_room(&self, failing: &Failing) {
        if failing.failures == 0 {
            return;
        }
        self.driver.send(Input::DescriptorsShort).ok();
        let is_lasting = failing.failures >= LASTING_SHORTAGE;
        self.close_idle_where(|idle, _| {
            is_lasting || matches!(idle, Idle::Resting | Idle::Strange | Idle::Lingering)
        });
    }

    /// Waits until one more connection may be taken. The surplus is refused at once and the silent are sent away, so
    /// that is soon.
    async fn has_room(&self) {
        while self.count() >= self.config.limits.callers + SURPLUS {
            self.close_idle();
            self.left.notified().await;
        }
    }

    fn count(&self) -> usize {
        lock(&self.callers).len()
    }

    /// Has an idle connection closed: one that has brought no call for a while goes before one that rests, and a
    /// request that has begun goes last, as it would be lost; of each kind, the one idle for longest. Those without
    /// a call have a part of the room, and where they fill it, one of them goes: a crowd pushes out nobody but
    /// itself. One that is closed may be writing just now; its caller knows then that its request was not taken.
    fn close_idle(&self) -> bool {
        self.close_idle_where(|_, _| true)
    }

    /// The same among those of which this holds.
    fn close_idle_where(&self, may_go: impl Fn(Idle, Instant) -> bool) -> bool {
        let callers = lock(&self.callers);
        let idle = callers.values().filter_map(|caller| Some((lock(&caller.line.seen).idle()?, caller)));
        // One beyond the room that lingers holds no place in it.
        let idle: Vec<_> =
            idle.filter(|((idle, _), caller)| *idle != Idle::Lingering || !caller.surplus).collect();
        // Those on their way out hold their places until they are gone.
        let uncalled = idle.iter().filter(|((idle, _), _)| *idle != Idle::Resting).count();
        let crowded = uncalled > self.config.limits.callers / UNCALLED;
        let rank = |idle, since: Instant| match idle {
            Idle::Strange | Idle::Lingering => 0,
            Idle::Silent if since.elapsed() > NEWLY => 0,
            Idle::Resting if !crowded => 1,
            Idle::Silent => 2,
            Idle::Begun => 3,
            Idle::Resting => 4,
        };
        let staying = idle.into_iter().filter(|(_, caller)| !caller.leaving.load(Ordering::Relaxed));
        let candidates = staying.filter(|((idle, since), _)| may_go(*idle, *since));
        let goes = candidates.min_by_key(|((idle, since), _)| (rank(*idle, *since), *since));
        let Some((_, caller)) = goes else { return false };
        caller.leaving.store(true, Ordering::Relaxed);
        caller.close.notify_one();
        true
    }

    fn take(self: &Arc<Self>, tcp: TcpStream, closing: &watch::Receiver<bool>) {
        tcp.set_nodelay(true).ok();
        let surplus = self.count() >= self.config.limits.callers && !self.close_idle();
        let (gate, line) = Gate::new(tcp);
        let (close, cut) = (Notify::new(), Notify::new());
        let caller = Arc::new(Caller { surplus, line, leaving: AtomicBool::new(false), close, cut });
        let number = self.next_caller.fetch_add(1, Ordering::Relaxed);
        lock(&self.callers).insert(number, caller.clone());
        tokio::spawn(Place { server: self.clone(), number, caller }.serve(gate, closing.clone()));
    }

    fn refuse_surplus(&self, request: &Request<Incoming>) -> Response<Reply> {
        match self.class(request) {
            Some(class) => self.refuse(class),
            None => refusal(COME_BACK),
        }
    }

    /// Refuses a request of a class that nobody has heard of yet.
    fn refuse(&self, class: usize) -> Response<Reply> {
        self.counters.count(class, End::Busy);
        refusal(COME_BACK)
    }

    /// The class that a request's path names.
    fn class(&self, request: &Request<Incoming>) -> Option<usize> {
        let in_path = request.uri().path().split('/').nth(1)?;
        self.config.names.classes.iter().position(|class| class == in_path)
    }

    /// Waits until the first list is told.
    async fn first_list(&self) {
        self.told.clone().wait_for(|told| *told).await.ok();
    }

    async fn reply(&self, request: Request<Incoming>, line: &Line) -> Response<Reply> {
        if request.uri().path() == "/healthz" {
            self.first_list().await;
            return match *self.ready.borrow() {
                true => status(StatusCode::OK),
                false => status(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        match self.call(request, line).await {
            Ok(reply) => reply,
            Err((code, text)) => {
                let mut reply = Response::new(Reply::from(Bytes::from_static(text.as_bytes())));
                *reply.status_mut() = code;
                reply
            }
        }
    }

    async fn call(
        &self,
        request: Request<Incoming>,
        line: &Line,
    ) -> Result<Response<Reply>, (StatusCode, &'static str)> {
        let seen = &line.seen;
        if lock(seen).both_lengths() {
            return Err((StatusCode::BAD_REQUEST, "Content-Length beside Transfer-Encoding\n"));
        }
        let asked = self.check(&request)?;
        let size = request.body().size_hint();
        if size.lower() > MOST_BODY {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"));
        }
        let size = size.exact().and_then(|size| usize::try_from(size).ok());
        let Some(room) = self.budget.take(size.map_or(MOST_KEPT, |size| size.min(MOST_KEPT))) else {
            return Ok(self.refuse(asked.class));
        };
        let Some(named) = Named::take(&self.open, asked.call_id) else {
            self.counters.count(asked.class, End::Failure);
            return Err((StatusCode::CONFLICT, "a request with this X-Call-Id is open\n"));
        };
        let (mut head, mut body) = request.into_parts();
        let (kept, whole) = match timeout(PATIENCE, gather(&mut body, MOST_KEPT, None)).await {
            Ok(Ok(Gathered { kept, whole })) => (kept, whole || body.is_end_stream()),
            Ok(Err(_)) => return Err((StatusCode::BAD_REQUEST, "the body broke off\n")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come\n")),
        };
        let first_deadline = Instant::now() + asked.budget;
        // Read before it waits, so that its time runs meanwhile.
        let is_told = timeout(asked.budget, self.first_list()).await.is_ok();
        if !is_told || self.refusing.load(Ordering::Relaxed) {
            return Ok(self.refuse(asked.class));
        }
        end_to_end(&mut head.headers);
        let mut held = Held { seen: None, _taken: None, _named: named, _room: room };
        let (rest, came) = if whole { (None, None) } else { Some(Rest::new(body)).unzip() };
        let (is_head, is_old) = (head.method == Method::HEAD, head.version < Version::HTTP_11);
        let request = Request::from_parts(head, Payload { kept, rest });
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let mut owed = Owed(Some(id), &self.driver);
        let (answer, mut answered) = oneshot::channel();
        let Asked { class, tenant, work, budget, .. } = asked;
        let mut has_come = || {
            held._taken = Some(self.counters.taken());
            lock(seen).whole() + budget
        };
        let deadline = if whole { has_come() } else { first_deadline };
        let caller = line.presence();
        let call = Call { id, request, caller, class, tenant, work, deadline, answer };
        self.driver.send(Input::Called(Box::new(call))).ok();
        let left = Err((StatusCode::BAD_REQUEST, "the caller has left\n")); // nobody reads this
        let early = match came {
            None => None,
            Some(came) => tokio::select! {
                biased;
                Ok(()) = came => {
                    self.driver.send(Input::Whole(id, has_come())).ok();
                    None
                }
                answer = &mut answered => Some(answer),
                // Nobody reads on while an attempt waits for its connection.
                () = line.closed() => return left,
            },
        };
        let answer = match early {
            Some(answer) => answer,
            None => tokio::select! {
                biased;
                answer = answered => answer,
                () = line.left() => return left, // with it the request is given up
            },
        };
        owed.0 = None;
        Ok(match answer.unwrap_or(Answer::Failed) {
            Answer::Served(mut reply) => {
                *reply.version_mut() = Version::HTTP_11;
                let length = reply.headers().get(CONTENT_LENGTH).filter(|_| is_head).cloned();
                end_to_end(reply.headers_mut());
                // The length of what a HEAD does not bring is for its caller to know.
                length.map(|length| reply.headers_mut().insert(CONTENT_LENGTH, length));
                if !reply.body().is_whole() {
                    held.seen = Some(seen.clone());
                    // Without chunks, the end of the connection is that of the body.
                    if is_old && reply.body().size_hint().exact().is_none() {
                        let seen = seen.clone();
                        reply.body_mut().on_break(move || lock(&seen).resets = true);
                    }
                    reply.body_mut().hold(held);
                }
                reply
            }
            Answer::Refused(stay_away) => refusal(stay_away),
            Answer::Failed => status(StatusCode::BAD_GATEWAY),
        })
    }

    /// What a request asks for, or why it cannot be taken.
    fn check(&self, request: &Request<Incoming>) -> Result<Asked, (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let (headers, names) = (request.headers(), &self.config.names);
        let in_path = request.uri().path().split('/').nth(1).unwrap_or("");
        let class = self.class(request).ok_or((StatusCode::NOT_FOUND, "no such path\n"))?;
        if text(headers, "x-call-class") != Some(in_path) {
            return Err(bad("X-Call-Class is missing or not that of the path\n"));
        }
        let keyed = text(headers, "idempotency-key").is_some_and(|key| !key.is_empty());
        let method = match self.config.settings.classes[class].effect {
            Effect::Safe if request.method() == Method::HEAD => Method::HEAD,
            Effect::Safe => Method::GET,
            Effect::Keyed(..) if !keyed => return Err(bad("Idempotency-Key is missing\n")),
            Effect::Keyed(..) | Effect::Unsafe => Method::POST,
        };
        if request.method() != method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class\n"));
        }
        // What is there twice may be read one way here and another way by the upstream.
        for name in ["x-call-id", "x-call-class", "x-caller", "x-budget", "x-call-cost", "idempotency-key"] {
            if headers.get_all(name).iter().nth(1).is_some() {
                return Err(bad("a header is there twice\n"));
            }
        }
        let call_id = text(headers, "x-call-id").filter(|id| !id.is_empty());
        let tenant = match names.tenants.is_empty() {
            true => Some(0),
            false => {
                text(headers, "x-caller").and_then(|caller| names.tenants.iter().position(|t| t == caller))
            }
        };
        let budget = text(headers, "x-budget").and_then(|budget| budget.parse().ok());
        let cost = match headers.contains_key("x-call-cost") {
            false => Some(None),
            true => text(headers, "x-call-cost")
                .and_then(|cost| cost.parse::<f64>().ok())
                .filter(|cost| cost.is_finite() && *cost >= 0.0)
                .map(|micros| Some((micros * 1e3) as u64)),
        };
        Ok(Asked {
            call_id: call_id.ok_or(bad("X-Call-Id is missing or malformed\n"))?.to_owned(),
            class,
            tenant: tenant.ok_or(bad("X-Caller is missing or not known\n"))?,
            budget: budget
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
                .filter(|budget| *budget <= MOST_BUDGET)
                .ok_or(bad("X-Budget is missing or malformed\n"))?,
            work: cost.ok_or(bad("X-Call-Cost is malformed\n"))?,
        })
    }
}

fn longest_deadline(settings: &Settings) -> u64 {
    settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0)
}

/// The name of an open request. Guards against a second one under it: upstreams and callers could not tell
/// their answers apart.
struct Named(Arc<Mutex<HashSet<String>>>, String);

impl Named {
    fn take(open: &Arc<Mutex<HashSet<String>>>, name: String) -> Option<Self> {
        lock(open).insert(name.clone()).then(|| Self(open.clone(), name))
    }
}

impl Drop for Named {
    fn drop(&mut self) {
        lock(&self.0).remove(&self.1);
    }
}

/// What a request holds until its answer is over.
struct Held {
    /// Its connection, where its answer goes on after it has begun.
    seen: Option<Arc<Mutex<Seen>>>,
    _taken: Option<Taken>,
    _named: Named,
    _room: Room,
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(seen) = &self.seen {
            lock(seen).answered(true);
        }
    }
}

/// No caller waits for longer.
const MOST_BUDGET: Duration = Duration::from_secs(3600);

struct Asked {
    call_id: String,
    class: usize,
    tenant: usize,
    budget: Duration,
    work: Option<u64>,
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn status(code: StatusCode) -> Response<Reply> {
    let mut reply = Response::new(Reply::default());
    *reply.status_mut() = code;
    reply
}

/// A refusal, with advice on how long to stay away unless that is zero.
fn refusal(stay_away: Duration) -> Response<Reply> {
    let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
    if stay_away > Duration::ZERO
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", stay_away.as_secs_f64()))
    {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Leaves the headers that are meant for the other end, not for this connection.
fn end_to_end(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let hop = [CONNECTION, CONTENT_LENGTH, DATE, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    let others = ["keep-alive", "proxy-connection", "x-load-report"].map(HeaderName::from_static);
    for name in hop.into_iter().chain(others).chain(named) {
        headers.remove(name);
    }
}
