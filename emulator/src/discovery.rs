//! A simulated discovery service and its agents, on the virtual clock.
//!
//! Pushed lists reach a balancer through an agent on its own machine, each with a delay after discovery has the
//! list. Where balancers poll, each keeps a watch on discovery: a request waits there for changes, and the next
//! request follows its response. Discovery processes the requests of all balancers one after another.

use crate::engine::{Queue, SECOND, Time, millis, seconds};
use balancer::decision::EndpointEntry;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// How long discovery holds a watch request open. This value and the two timeouts below are those of the discovery
/// client in the real balancer.
const WATCH_WAIT: Time = 2 * SECOND;
/// How long a balancer waits for a response, beyond the time for which the request may be held open.
const RESPONSE_TIMEOUT: Time = SECOND;
/// How long a balancer waits for a new connection.
const CONNECT_TIMEOUT: Time = SECOND / 2;
/// Pause before the next watch request after a response without changes.
const WATCH_PAUSE: Time = SECOND / 20;

/// Configuration of the simulated discovery service and its agents.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoveryConfig {
    /// Balancers poll for lists instead of having them pushed.
    pub ask: bool,
    /// Minimum time until discovery lists a change, in seconds.
    pub notice_min_s: f64,
    /// Maximum time until discovery lists a change, in seconds.
    pub notice_max_s: f64,
    /// Minimum time until discovery lists the removal of a machine that stopped responding, in seconds.
    pub silent_notice_min_s: f64,
    /// Maximum time until discovery lists the removal of a machine that stopped responding, in seconds.
    pub silent_notice_max_s: f64,
    /// Minimum time from listing a change until an agent pushes it to its balancer, in milliseconds.
    pub push_min_ms: f64,
    /// Maximum time from listing a change until an agent pushes it to its balancer, in milliseconds.
    pub push_max_ms: f64,
    /// One-way network delay between a balancer and discovery, in milliseconds.
    pub network_ms: f64,
    /// Processing time of a request that does not continue a watch, in microseconds on one machine.
    pub call_us: f64,
    /// Processing time of a request that continues a watch, in microseconds on one machine.
    pub watch_us: f64,
    /// Number of machines that discovery runs on.
    pub machines: f64,
    /// A polling balancer is considered notified of whatever was listed this many seconds ago.
    pub ask_within_s: f64,
    /// List changes per day, in addition to those caused by faults.
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

/// An event of discovery: the index of the module instance that it concerns, and the number of the request or push.
/// Events with an outdated number are ignored.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A list or a response reaches a balancer.
    ListDelivered(u32, u32),
    /// A request of a balancer reaches discovery.
    RequestReceived(u32, u32),
    /// The time for which a watch request may be held open is over.
    WatchWaitOver(u32, u32),
    /// A balancer's request got no response in time.
    RequestTimedOut(u32, u32),
    /// A balancer sends its next request.
    NextRequest(u32, u32),
}

/// What an event means for the balancer that it concerns.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The balancer is not notified.
    Nothing,
    /// The entries that changed; may be empty.
    Changes(Vec<EndpointEntry>),
    /// The request failed.
    Failed,
}

/// A change of an entry in a service's list.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// Position of the entry in the list.
    entry: usize,
    /// When the change happened.
    changed_at: Time,
    /// When discovery listed it.
    listed_at: Time,
}

/// The endpoint list of a service.
#[derive(Debug, Default)]
struct List {
    entries: Vec<EndpointEntry>,
    /// All changes so far. Their number is the version of the list.
    changes: Vec<Change>,
    /// Instance and number of each watch request that is held open, in order of arrival.
    waiting_requests: Vec<(u32, u32)>,
    /// Module instances that use this list.
    watchers: Vec<usize>,
}

/// What discovery, or the agent, knows about a module instance.
#[derive(Clone, Debug, Default)]
struct Watcher {
    service: usize,
    /// The list version that the instance has.
    known_version: usize,
    /// Number of the latest request or push.
    request_number: u32,
    /// Whether a request or a push is in progress.
    in_progress: bool,
    alive: bool,
    /// Whether the instance is in a region that is partitioned from discovery.
    partitioned: bool,
    /// Since when the instance can be reached.
    reachable_since: Time,
    /// Whether the request in progress, or else the next one, continues a watch.
    continues_watch: bool,
}

/// Delays from changes until balancers apply them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PropagationStats {
    /// Number of deliveries: each change counts once for each balancer.
    pub count: u64,
    /// Longest delay since the change happened, in nanoseconds.
    pub max_delay: Time,
    /// Sum of the delays since the changes happened, in nanoseconds.
    pub total_delay: u128,
    /// Longest delay since discovery had listed the change and could reach the balancer, in nanoseconds.
    pub max_notification_delay: Time,
}

/// The discovery service and the agents of all balancers.
#[derive(Debug)]
pub struct Discovery {
    config: DiscoveryConfig,
    rng: ChaCha8Rng,
    lists: Vec<List>,
    watchers: Vec<Watcher>,
    down: bool,
    /// When discovery will have processed the requests that it has received.
    busy_until: Time,
    /// Number of requests and pushes.
    pub messages: u64,
    /// Number of list entries sent in responses and pushes.
    pub entries_sent: u64,
    /// Number of requests without a response.
    pub failures: u64,
    /// Delays of list changes.
    pub propagation: PropagationStats,
}

impl Discovery {
    /// Creates a discovery service with one list per service. `watchers` gives, for each module instance, the
    /// service that it sends requests to; each instance starts with the current version of that list.
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

    /// The current list of a service.
    pub fn list(&self, service: usize) -> &[EndpointEntry] {
        &self.lists[service].entries
    }

    /// Returns when a change that happens now will be listed; later if the machine stopped without notice.
    pub fn listing_time(&mut self, now: Time, silent: bool) -> Time {
        let (min, max) = match silent {
            false => (self.config.notice_min_s, self.config.notice_max_s),
            true => (self.config.silent_notice_min_s, self.config.silent_notice_max_s),
        };
        now + seconds(min + (max - min) * self.rng.random::<f64>())
    }

    /// Lists a change that happened at `changed_at`, and starts to notify the balancers that can be reached.
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

    /// Starts to push the changes that a balancer does not have, if lists are pushed.
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

    /// Responds to the watch requests that wait for changes of a service's list.
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

    /// Starts a balancer's watch: sends its first request, or the first one after a failure.
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
        // An existing connection stays silent during an outage, whereas a new one cannot be established. Requests
        // that do not continue a watch are not held open.
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

    /// Queues the processing of a request that takes `cost_us` microseconds on one machine; returns when it is done.
    fn schedule_work(&mut self, now: Time, cost_us: f64) -> Time {
        self.busy_until = self.busy_until.max(now) + (cost_us * 1e3 / self.config.machines.max(1.0)) as Time;
        self.busy_until
    }

    /// Handles an event. Returns the module instance that it concerns and what that instance is notified of.
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
        let index = instance as usize;
        let watcher = &self.watchers[index];
        if watcher.request_number != number || !watcher.alive || !watcher.in_progress {
            return (index, Notification::Nothing);
        }
        let reachable = !self.down && !watcher.partitioned;
        let (service, known_version, continues_watch) =
            (watcher.service, watcher.known_version, watcher.continues_watch);
        match event {
            Event::ListDelivered(..) if reachable => return (index, self.on_list_delivered(instance, queue)),
            Event::ListDelivered(..) if !self.config.ask => self.watchers[index].in_progress = false,
            Event::RequestReceived(..) if reachable => {
                // The first request of a watch fetches what the balancer missed. It is not held open, and so gets a
                // response even without changes.
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
                let watcher = &mut self.watchers[index];
                (watcher.in_progress, watcher.continues_watch) = (false, false);
                watcher.request_number += 1;
                self.lists[service].waiting_requests.retain(|&request| request != (instance, number));
                self.failures += 1;
                return (index, Notification::Failed);
            }
            Event::NextRequest(..) => self.send_request(instance, queue),
            // Discovery cannot be reached, so the request times out.
            Event::ListDelivered(..) | Event::RequestReceived(..) | Event::WatchWaitOver(..) => {}
        }
        (index, Notification::Nothing)
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
            let delay = now - change.changed_at;
            let propagation = &mut self.propagation;
            propagation.count += 1;
            propagation.total_delay += u128::from(delay);
            propagation.max_delay = propagation.max_delay.max(delay);
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

    /// Starts or ends an outage of discovery. At the start, the requests that are held open are dropped.
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

    /// Separates a module instance from discovery, or connects it again.
    pub fn set_partitioned<E: Copy + From<Event>>(
        &mut self,
        instance: usize,
        partitioned: bool,
        queue: &mut Queue<E>,
    ) {
        let watcher = &mut self.watchers[instance];
        watcher.partitioned = partitioned;
        if partitioned {
            let watcher_id = instance as u32;
            self.lists[watcher.service].waiting_requests.retain(|&(waiting, _)| waiting != watcher_id);
        } else {
            watcher.reachable_since = queue.now();
            self.push_list(instance, queue);
        }
    }

    /// Handles the end of a module instance.
    pub fn instance_stopped(&mut self, instance: usize) {
        let watcher = &mut self.watchers[instance];
        (watcher.alive, watcher.in_progress, watcher.continues_watch) = (false, false, false);
        watcher.request_number += 1;
        let watcher_id = instance as u32;
        self.lists[watcher.service].waiting_requests.retain(|&(waiting, _)| waiting != watcher_id);
    }

    /// Starts a module instance and returns when it has its first list. While discovery cannot be reached, the
    /// instance waits only for the connect timeout; its configured list is then assumed to be up to date.
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

    /// Number of changes not yet delivered to running balancers that can be reached; each counts once per balancer.
    pub fn undelivered_changes(&self) -> usize {
        let reachable =
            self.watchers.iter().filter(|watcher| watcher.alive && !watcher.partitioned && !self.down);
        reachable.map(|watcher| self.lists[watcher.service].changes.len() - watcher.known_version).sum()
    }
}
