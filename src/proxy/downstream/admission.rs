//! Which connections are accepted, and which make room for them.

use crate::config::SURPLUS_CONNECTIONS;
use crate::proxy::downstream::client::ClientHandle;
use crate::proxy::downstream::client_task::ClientTask;
use crate::proxy::downstream::connection::SingleRequestStream;
use crate::proxy::downstream::request_framing::IdleState;
use crate::proxy::downstream::timing::{LOOK_EVERY, NEWLY, PATIENCE};
use crate::proxy::downstream::{DownstreamServer, LASTING_SHORTAGE};
use crate::proxy::messages::DispatcherMessage;
use crate::proxy::sync::lock;
use crate::transient_errors::{Backoff, is_shortage};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// Part of the room that connections without a call may fill, as one over this.
pub const UNCALLED: usize = 2;

/// Connections that could not be taken, in a row.
#[derive(Default)]
pub struct Failing {
    pub failures: u32,
    pub backoff: Backoff,
}

impl DownstreamServer {
    /// Cuts off the callers that take too long over a request. Guards the places of the others.
    pub async fn cut_overdue(self: Arc<Self>) {
        loop {
            sleep(LOOK_EVERY).await;
            let clients = lock(&self.clients);
            let overdue =
                clients.values().filter(|client| lock(&client.connection.framing).overdue(PATIENCE));
            overdue.for_each(|client| client.cut.notify_one());
        }
    }

    pub async fn accept(self: &Arc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        let mut failing: Option<Failing> = None;
        loop {
            self.has_room().await;
            match listener.accept().await {
                Ok((tcp, _)) => {
                    failing = None;
                    self.take(tcp, closing);
                }
                Err(error) => {
                    crate::proxy::logging::log(format_args!("cannot take a connection: {error}"));
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
    pub fn make_room(&self, failing: &Failing) {
        if failing.failures == 0 {
            return;
        }
        self.dispatcher.send(DispatcherMessage::DescriptorShortage).ok();
        let is_lasting = failing.failures >= LASTING_SHORTAGE;
        self.close_idle_where(|idle, _| {
            is_lasting
                || matches!(
                    idle,
                    IdleState::BetweenRequests | IdleState::UnrecognizedOnly | IdleState::Lingering
                )
        });
    }

    /// Waits until one more connection may be taken. The surplus is refused at once and the silent are sent away, so
    /// that is soon.
    pub async fn has_room(&self) {
        while self.count() >= self.config.limits.clients + SURPLUS_CONNECTIONS {
            self.close_idle();
            self.left.notified().await;
        }
    }

    pub fn count(&self) -> usize {
        lock(&self.clients).len()
    }

    /// Has an idle connection closed: one that has brought no call for a while goes before one that rests, and a
    /// request that has begun goes last, as it would be lost; of each kind, the one idle for longest. Those without
    /// a call have a part of the room, and where they fill it, one of them goes: a crowd pushes out nobody but
    /// itself. One that is closed may be writing just now; its caller knows then that its request was not taken.
    pub fn close_idle(&self) -> bool {
        self.close_idle_where(|_, _| true)
    }

    /// The same among those of which this holds.
    pub fn close_idle_where(&self, may_go: impl Fn(IdleState, Instant) -> bool) -> bool {
        let clients = lock(&self.clients);
        let idle =
            clients.values().filter_map(|client| Some((lock(&client.connection.framing).idle()?, client)));
        // One beyond the room that lingers holds no place in it.
        let idle: Vec<_> =
            idle.filter(|((idle, _), client)| *idle != IdleState::Lingering || !client.surplus).collect();
        // Those on their way out hold their places until they are gone.
        let uncalled = idle.iter().filter(|((idle, _), _)| *idle != IdleState::BetweenRequests).count();
        let crowded = uncalled > self.config.limits.clients / UNCALLED;
        let rank = |idle, since: Instant| match idle {
            IdleState::UnrecognizedOnly | IdleState::Lingering => 0,
            IdleState::Silent if since.elapsed() > NEWLY => 0,
            IdleState::BetweenRequests if !crowded => 1,
            IdleState::Silent => 2,
            IdleState::PartialHead => 3,
            IdleState::BetweenRequests => 4,
        };
        let staying = idle.into_iter().filter(|(_, client)| !client.leaving.load(Ordering::Relaxed));
        let candidates = staying.filter(|((idle, since), _)| may_go(*idle, *since));
        let goes = candidates.min_by_key(|((idle, since), _)| (rank(*idle, *since), *since));
        let Some((_, client)) = goes else { return false };
        client.leaving.store(true, Ordering::Relaxed);
        client.close.notify_one();
        true
    }

    pub fn take(self: &Arc<Self>, tcp: TcpStream, closing: &watch::Receiver<bool>) {
        tcp.set_nodelay(true).ok();
        let surplus = self.count() >= self.config.limits.clients && !self.close_idle();
        let (stream, connection) = SingleRequestStream::new(tcp);
        let (close, cut) = (Notify::new(), Notify::new());
        let client =
            Arc::new(ClientHandle { surplus, connection, leaving: AtomicBool::new(false), close, cut });
        let number = self.next_client.fetch_add(1, Ordering::Relaxed);
        lock(&self.clients).insert(number, client.clone());
        tokio::spawn(ClientTask { server: self.clone(), number, client }.serve(stream, closing.clone()));
    }
}
