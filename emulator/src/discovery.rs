//! Stands in for discovery and its agents on the virtual clock, as the protocol describes them.
//!
//! Pushed lists reach a balancer through an agent on its own machine, each some time after discovery has them.
//! Where lists are asked for, a balancer keeps a watch on discovery itself: a call waits there for what is new,
//! and the next one follows on its answer. Discovery works on the calls of all balancers in turn.

use crate::engine::{Queue, SECOND, Time, millis, seconds};
use balancer::decision::EndpointEntry;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// How long a watch waits, how long one may be silent beyond that, and the time in which a connection comes up:
/// those of the balancer's own client.
const WATCH_WAIT: Time = 2 * SECOND;
const RESPONSE_TIMEOUT: Time = SECOND;
const CONNECT_TIMEOUT: Time = SECOND / 2;
/// Pause before the next call of a watch that told nothing new.
const WATCH_PAUSE: Time = SECOND / 20;

/// The settings of the stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoveryConfig {
    /// Lists are asked for, not pushed.
    pub ask: bool,
    /// Time from a change to its being listed, in seconds: at least and at most.
    pub notice_min_s: f64,
    pub notice_max_s: f64,
    /// The same for a machine that has fallen silent.
    pub silent_notice_min_s: f64,
    pub silent_notice_max_s: f64,
    /// Time from a list to the agent that pushes it on, in milliseconds: at least and at most.
    pub push_min_ms: f64,
    pub push_max_ms: f64,
    /// One way from a balancer to discovery, in milliseconds.
    pub network_ms: f64,
    /// What a new call, and one that goes on with a watch, cost a machine of discovery, in microseconds.
    pub call_us: f64,
    pub watch_us: f64,
    /// Machines that discovery runs on.
    pub machines: f64,
    /// A balancer that asks counts as told after this time, in seconds.
    pub ask_within_s: f64,
    /// Changes of lists a day, beside those that faults bring about.
    pub changes_per_day: f64,
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        Self {
            ask: false,
            notice_min_s: 0.2,
            notice_max_s: 1.5,
            silent_notice_min_s: 3.0,
            silent_notice_max_s: 6.0,
            push_min_ms: 20.0,
            push_max_ms: 1000.0,
            network_ms: 0.5,
            call_us: 500.0,
            watch_us: 10.0,
            machines: 4.0,
            ask_within_s: 10.0,
            changes_per_day: 1600.0,
        }
    }
}

/// An event of discovery; the number tells a call from those before it.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// What there is reaches a balancer.
    ListDelivered(u32, u32),
    /// A call of a balancer reaches discovery.
    RequestReceived(u32, u32),
    /// The wait of a call is over.
    WatchWaitOver(u32, u32),
    /// A balancer's call got no answer in time.
    RequestTimedOut(u32, u32),
    /// A balancer makes its next call.
    NextRequest(u32, u32),
}

/// What comes of an event for a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// Nothing.
    Nothing,
    /// The entries that changed, perhaps none.
    Changes(Vec<EndpointEntry>),
    /// The call failed.
    Failed,
}

/// A change of a service's list.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// Position of the entry.
    entry: usize,
    changed_at: Time,
    listed_at: Time,
}

#[derive(Debug, Default)]
struct List {
    entries: Vec<EndpointEntry>,
    /// Its length is the list's version.
    changes: Vec<Change>,
    /// Calls that wait for news of it, in the order in which they came.
    waiting_requests: Vec<(u32, u32)>,
    /// The balancers that it is for.
    watchers: Vec<usize>,
}

/// What discovery or the agent holds of a balancer.
#[derive(Clone, Debug, Default)]
struct Watcher {
    service: usize,
    /// The version that it has been told.
    known_version: usize,
    /// The number of its call, or of the push on its way.
    request_number: u32,
    in_progress: bool,
    alive: bool,
    partitioned: bool,
    /// Since when it can be told.
    reachable_since: Time,
    /// Its call goes on with a watch.
    continues_watch: bool,
}

/// Times from a change until balancers follow it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PropagationStats {
    /// Changes told to a balancer each.
    pub count: u64,
    /// From the change itself, in nanoseconds: the longest, and the sum.
    pub max_delay: Time,
    pub total_delay: u128,
    /// The longest from when discovery had it and could be reached.
    pub max_notification_delay: Time,
}

/// Discovery, and the agents of all balancers.
#[derive(Debug)]
pub struct Discovery {
    config: DiscoveryConfig,
    rng: ChaCha8Rng,
    lists: Vec<List>,
    watchers: Vec<Watcher>,
    down: bool,
    /// When it is done with the calls that it has.
    busy_until: Time,
    /// Calls and pushes, and entries told with them.
    pub messages: u64,
    pub entries_sent: u64,
    /// Calls that got no answer.
    pub failures: u64,
    pub propagation: PropagationStats,
}

impl Discovery {
    /// Discovery with a list for each service, and balancers that know them: each by the service it sends to.
    pub fn new(
        config: DiscoveryConfig,
        rng: ChaCha8Rng,
        lists: Vec<Vec<EndpointEntry>>,
        watchers: impl Iterator<Item = usize>,
    ) -> Self {
        let watcher = |service| Watcher { service, alive: true, ..Watcher::default() };
        let watchers: Vec<Watcher> = watchers.map(watcher).collect();
        let list = |entries| List { entries, ..List::default() };
        let mut lists: Vec<List> = lists.into_iter().map(list).collect();
        for (instance, watcher) in watchers.iter().enumerate() {
            lists[watcher.service].watchers.push(instance);
        }
        Self {
            config,
            rng,
            lists,
            watchers,
            down: false,
            busy_until: 0,
            messages: 0,
            entries_sent: 0,
            failures: 0,
            propagation: PropagationStats::default(),
        }
    }

    /// The list of a service as it stands.
    pub fn list(&self, service: usize) -> &[EndpointEntry] {
        &self.lists[service].entries
    }

    /// When a change that happens now is listed; later if its machine has just fallen silent.
    pub fn listing_time(&mut self, now: Time, silent: bool) -> Time {
        let (min, max) = match silent {
            false => (self.config.notice_min_s, self.config.notice_max_s),
            true => (self.config.silent_notice_min_s, self.config.silent_notice_max_s),
        };
        now + seconds(min + (max - min) * self.rng.random::<f64>())
    }

    /// Lists a change that happened at a time, and sets out to tell all that can be told.
    pub fn change<E: Copy + From<Event>>(
        &mut self,
        service: usize,
        entry: usize,
        change: impl FnOnce(&mut EndpointEntry),
        changed_at: Time,
        queue: &mut Queue<E>,
    ) {
        let list = &mut self.lists[service];
        change(&mut list.entries[entry]);
        list.changes.push(Change { entry, changed_at, listed_at: queue.now() });
        if self.config.ask {
            self.answer_waiting_requests(service, queue);
        } else {
            for index in 0..self.lists[service].watchers.len() {
                self.push_list(self.lists[service].watchers[index], queue);
            }
        }
    }

    /// Sets out to tell a balancer what it does not know, where lists are pushed.
    fn push_list<E: Copy + From<Event>>(&mut self, instance: usize, queue: &mut Queue<E>) {
        let down = self.down;
        let watcher = &mut self.watchers[instance];
        let has_changes = watcher.known_version < self.lists[watcher.service].changes.len();
        if self.config.ask
            || down
            || watcher.partitioned
            || !watcher.alive
            || watcher.in_progress
            || !has_changes
        {
            return;
        }
        let (min, max) = (self.config.push_min_ms, self.config.push_max_ms);
        watcher.in_progress = true;
        watcher.request_number += 1;
        let at = queue.now() + millis(min + (max - min) * self.rng.random::<f64>());
        queue.push(at, Event::ListDelivered(instance as u32, watcher.request_number).into());
    }

    /// Answers the calls that wait for news of a service.
    fn answer_waiting_requests<E: Copy + From<Event>>(&mut self, service: usize, queue: &mut Queue<E>) {
        if self.down {
            return;
        }
        for (instance, number) in std::mem::take(&mut self.lists[service].waiting_requests) {
            let watcher = &self.watchers[instance as usize];
            if watcher.request_number == number && !watcher.partitioned && watcher.alive {
                self.send_response(instance, number, queue);
            }
        }
    }

    /// A balancer subscribes: it makes its first call, or the first after a failure.
    pub fn start_watch<E: Copy + From<Event>>(&mut self, instance: usize, queue: &mut Queue<E>) {
        let watcher = &mut self.watchers[instance];
        if self.config.ask && watcher.alive && !watcher.in_progress {
            watcher.in_progress = true;
            watcher.continues_watch = false;
            self.send_request(instance as u32, queue);
        }
    }

    fn send_request<E: Copy + From<Event>>(&mut self, instance: u32, queue: &mut Queue<E>) {
        let watcher = &mut self.watchers[instance as usize];
        watcher.request_number += 1;
        self.messages += 1;
        let (number, now) = (watcher.request_number, queue.now());
        let reachable = !self.down && !watcher.partitioned;
        // A connection that exists goes silent with its call, a new one does not come up. A call that does not go on
        // with a watch does not wait.
        let timeout = match (watcher.continues_watch, reachable) {
            (true, _) => WATCH_WAIT + RESPONSE_TIMEOUT,
            (false, true) => RESPONSE_TIMEOUT,
            (false, false) => CONNECT_TIMEOUT,
        };
        if reachable {
            queue.push(now + millis(self.config.network_ms), Event::RequestReceived(instance, number).into());
        }
        queue.push(now + timeout, Event::RequestTimedOut(instance, number).into());
    }

    fn send_response<E: Copy + From<Event>>(&mut self, instance: u32, number: u32, queue: &mut Queue<E>) {
        let continues_watch = self.watchers[instance as usize].continues_watch;
        let cost = if continues_watch { self.config.watch_us } else { self.config.call_us };
        let at = self.schedule_work(queue.now(), cost) + millis(self.config.network_ms);
        queue.push(at, Event::ListDelivered(instance, number).into());
    }

    /// Works on a call that costs a machine so many microseconds, after those before it; tells when that is done.
    fn schedule_work(&mut self, now: Time, cost_us: f64) -> Time {
        self.busy_until = self.busy_until.max(now) + (cost_us * 1e3 / self.config.machines.max(1.0)) as Time;
        self.busy_until
    }

    /// Takes an event; tells the balancer that it concerns, and what that one hears.
    pub fn handle<E: Copy + From<Event>>(
        &mut self,
        event: Event,
        queue: &mut Queue<E>,
    ) -> (usize, Notification) {
        let (Event::ListDelivered(instance, number)
        | Event::RequestReceived(instance, number)
        | Event::WatchWaitOver(instance, number)
        | Event::RequestTimedOut(instance, number)
        | Event::NextRequest(instance, number)) = event;
        let at = instance as usize;
        let watcher = &self.watchers[at];
        if watcher.request_number != number || !watcher.alive || !watcher.in_progress {
            return (at, Notification::Nothing);
        }
        let reachable = !self.down && !watcher.partitioned;
        let (service, known_version, continues_watch) =
            (watcher.service, watcher.known_version, watcher.continues_watch);
        match event {
            Event::ListDelivered(..) if reachable => return (at, self.on_list_delivered(instance, queue)),
            Event::ListDelivered(..) if !self.config.ask => self.watchers[at].in_progress = false,
            Event::RequestReceived(..) if reachable => {
                // What was missed is asked for without a wait, and so answered even where there is nothing new.
                if known_version < self.lists[service].changes.len() || !continues_watch {
                    self.send_response(instance, number, queue);
                } else {
                    self.lists[service].waiting_requests.push((instance, number));
                    queue.push(queue.now() + WATCH_WAIT, Event::WatchWaitOver(instance, number).into());
                }
            }
            Event::WatchWaitOver(..) if reachable => {
                let waiting_requests = &mut self.lists[service].waiting_requests;
                if let Some(position) =
                    waiting_requests.iter().position(|&request| request == (instance, number))
                {
                    waiting_requests.remove(position);
                    self.send_response(instance, number, queue);
                }
            }
            Event::RequestTimedOut(..) => {
                let watcher = &mut self.watchers[at];
                (watcher.in_progress, watcher.continues_watch) = (false, false);
                watcher.request_number += 1;
                self.lists[service].waiting_requests.retain(|&call| call != (instance, number));
                self.failures += 1;
                return (at, Notification::Failed);
            }
            Event::NextRequest(..) => self.send_request(instance, queue),
            Event::ListDelivered(..) | Event::RequestReceived(..) | Event::WatchWaitOver(..) => {} // it hears nothing, and gives up
        }
        (at, Notification::Nothing)
    }

    fn on_list_delivered<E: Copy + From<Event>>(
        &mut self,
        instance: u32,
        queue: &mut Queue<E>,
    ) -> Notification {
        let now = queue.now();
        let watcher = &mut self.watchers[instance as usize];
        let list = &self.lists[watcher.service];
        let new_changes = &list.changes[watcher.known_version..];
        for change in new_changes {
            let age = now - change.changed_at;
            let propagation = &mut self.propagation;
            propagation.count += 1;
            propagation.total_delay += u128::from(age);
            propagation.max_delay = propagation.max_delay.max(age);
            let notification_delay = now.saturating_sub(change.listed_at.max(watcher.reachable_since));
            propagation.max_notification_delay = propagation.max_notification_delay.max(notification_delay);
        }
        let mut changed: Vec<usize> = new_changes.iter().map(|change| change.entry).collect();
        changed.sort_unstable();
        changed.dedup();
        let entries: Vec<EndpointEntry> =
            changed.into_iter().map(|entry| list.entries[entry].clone()).collect();
        watcher.known_version = list.changes.len();
        watcher.request_number += 1;
        self.entries_sent += entries.len() as u64;
        if self.config.ask {
            watcher.continues_watch = true;
            let pause = if entries.is_empty() { WATCH_PAUSE } else { 0 };
            queue.push(now + pause, Event::NextRequest(instance, watcher.request_number).into());
        } else {
            watcher.in_progress = false;
            self.messages += 1;
        }
        Notification::Changes(entries)
    }

    /// Discovery falls silent, or answers again. Calls that wait with it are dropped.
    pub fn set_down<E: Copy + From<Event>>(&mut self, down: bool, queue: &mut Queue<E>) {
        self.down = down;
        if down {
            self.lists.iter_mut().for_each(|list| list.waiting_requests.clear());
        } else {
            let now = queue.now();
            self.watchers.iter_mut().for_each(|watcher| watcher.reachable_since = now);
            (0..self.watchers.len()).for_each(|instance| self.push_list(instance, queue));
        }
    }

    /// A balancer is cut off from discovery, or not any more.
    pub fn set_partitioned<E: Copy + From<Event>>(
        &mut self,
        instance: usize,
        partitioned: bool,
        queue: &mut Queue<E>,
    ) {
        let watcher = &mut self.watchers[instance];
        watcher.partitioned = partitioned;
        if partitioned {
            let at = instance as u32;
            self.lists[watcher.service].waiting_requests.retain(|&(waiting, _)| waiting != at);
        } else {
            watcher.reachable_since = queue.now();
            self.push_list(instance, queue);
        }
    }

    /// A balancer has ended.
    pub fn instance_stopped(&mut self, instance: usize) {
        let watcher = &mut self.watchers[instance];
        (watcher.alive, watcher.in_progress, watcher.continues_watch) = (false, false, false);
        watcher.request_number += 1;
        let at = instance as u32;
        self.lists[watcher.service].waiting_requests.retain(|&(waiting, _)| waiting != at);
    }

    /// A balancer has started, and asks for its first list: when it has it. With discovery silent it
    /// waits no longer than for a connection; the list that it is configured with then is taken to be as good.
    pub fn first_list_at(&mut self, instance: usize, now: Time) -> Time {
        let watcher = &mut self.watchers[instance];
        watcher.alive = true;
        watcher.reachable_since = now;
        watcher.known_version = self.lists[watcher.service].changes.len();
        self.messages += 1;
        self.entries_sent += self.lists[watcher.service].entries.len() as u64;
        if self.down || watcher.partitioned {
            return now + CONNECT_TIMEOUT;
        }
        if !self.config.ask {
            return now + millis(self.config.push_min_ms);
        }
        self.schedule_work(now, self.config.call_us) + 2 * millis(self.config.network_ms)
    }

    /// Changes that balancers which live and can be reached have not been told.
    pub fn undelivered_changes(&self) -> usize {
        let reachable =
            self.watchers.iter().filter(|watcher| watcher.alive && !watcher.partitioned && !self.down);
        reachable.map(|watcher| self.lists[watcher.service].changes.len() - watcher.known_version).sum()
    }
}
