//! The folder that two processes share while one replaces the other. A separate thread accesses the folder, as a disk
//! that is slow, or hangs in a sync, must not delay requests. A single thread also carries out orders one after the
//! other. Tasks on the runtime's blocking pool would need a lock for that, and would pile up behind a disk that hangs.

use super::offline_endpoints::{OfflineEndpoints, ReadOutcome};
use super::orders::{OfflineList, OrderRequest};
use super::process_handover::ProcessHandover;
use super::withdrawn_endpoints::{WithdrawnEndpoints, WithdrawnEndpointsFile};
use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// How long the start of the process is delayed while the offline list cannot be read. Without the list, endpoints that
/// operators have taken offline would get requests.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two tries to read the list at the start.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A job for the thread.
enum Job {
    /// Look for changes by other processes, and tell them which endpoints get no new requests.
    Check(Option<Arc<WithdrawnEndpoints>>),
    /// Carry out an order.
    StoreOrder(OrderRequest),
}

/// The result of a job.
pub enum FolderEvent {
    /// A check has finished.
    CheckFinished(FolderState),
    /// An order is in force, and stored for later processes if there is a folder. The list is the one now in force.
    OrderStored(OrderRequest, OfflineList),
    /// An order could not be stored, and is not in force.
    OrderNotStored(OrderRequest),
}

/// The state of the shared folder when it was last checked.
#[derive(Debug, PartialEq, Eq)]
pub struct FolderState {
    /// The endpoints that operators have taken offline.
    pub offline: OfflineList,
    /// Whether another process of this balancer may be serving beside this one.
    pub overlapping: bool,
    /// The endpoints that get no new requests, as other processes know it.
    pub withdrawn: Vec<WithdrawnEndpoints>,
}

/// The handle of the shared folder, which sends jobs to its thread.
pub struct SharedFolder {
    jobs: Sender<Job>,
    /// Whether a check is running, in which case no other is started.
    checking: bool,
}

impl SharedFolder {
    /// Announces the process in the folder, under a name that no other process has, checks the folder once, and starts
    /// the thread. Without a folder, orders apply to this process only.
    pub fn open(
        folder: Option<PathBuf>,
        name: &str,
        report: impl Fn(FolderEvent) + Send + 'static,
    ) -> io::Result<(Self, FolderState)> {
        let handover = folder.clone().map(|folder| ProcessHandover::new(folder, name));
        let withdrawn = folder.clone().map(|folder| WithdrawnEndpointsFile::new(folder, name));
        let endpoints = OfflineEndpoints::new(folder);
        let mut worker = Worker {
            endpoints,
            handover,
            withdrawn,
            read_failed: false,
            repair_failed: false,
            store_failed: false,
        };
        worker.read_at_start();
        let state = worker.check(None);
        let (jobs, inbox) = channel();
        std::thread::Builder::new().name("shared-folder".into()).spawn(move || worker.run(&inbox, report))?;
        Ok((Self { jobs, checking: false }, state))
    }

    /// Starts a check for changes by other processes, unless one is running. They are told of the endpoints in
    /// `withdrawn`, also if they start later.
    pub fn check(&mut self, withdrawn: Option<Arc<WithdrawnEndpoints>>) {
        if !std::mem::replace(&mut self.checking, true) {
            self.jobs.send(Job::Check(withdrawn)).ok(); // the thread runs as long as this sender exists
        }
    }

    /// Records that the result of a check was received, so that the next check may start.
    pub fn finish_check(&mut self) {
        self.checking = false;
    }

    /// Has an order carried out by the thread.
    pub fn store_order(&self, request: OrderRequest) {
        self.jobs.send(Job::StoreOrder(request)).ok();
    }
}

/// The state of the thread.
struct Worker {
    endpoints: OfflineEndpoints,
    /// `None` without a folder.
    handover: Option<ProcessHandover>,
    /// `None` without a folder.
    withdrawn: Option<WithdrawnEndpointsFile>,
    /// Whether the last read failed, which is logged once.
    read_failed: bool,
    /// Whether the last repair failed, which is logged once.
    repair_failed: bool,
    /// Whether the last try to tell of withdrawn endpoints failed, which is logged once.
    store_failed: bool,
}

impl Worker {
    /// Carries out jobs until the handle is dropped.
    fn run(mut self, inbox: &Receiver<Job>, report: impl Fn(FolderEvent)) {
        for job in inbox {
            report(match job {
                Job::Check(withdrawn) => FolderEvent::CheckFinished(self.check(withdrawn.as_deref())),
                Job::StoreOrder(request) => self.store_order(request),
            });
        }
    }

    /// Reads the offline list before any request is sent, and retries for a limited time while it cannot be read.
    fn read_at_start(&mut self) {
        let deadline = Instant::now() + READ_TIMEOUT;
        while self.read_list() == ReadState::Retry && Instant::now() < deadline {
            std::thread::sleep(READ_RETRY_INTERVAL);
        }
    }

    /// Reads the offline list, repairs it if needed, looks for other processes, and exchanges withdrawn endpoints with them.
    fn check(&mut self, own_withdrawn: Option<&WithdrawnEndpoints>) -> FolderState {
        self.read_list();
        self.repair();
        let overlapping = self.handover.as_mut().is_some_and(ProcessHandover::overlaps);
        self.store_withdrawn(own_withdrawn);
        let withdrawn = match (&self.withdrawn, &self.handover) {
            (Some(file), Some(handover)) if overlapping => file.read_others(handover),
            _ => Vec::new(),
        };
        FolderState { offline: self.endpoints.current().clone(), overlapping, withdrawn }
    }

    /// Reads the offline list and logs failures. Of consecutive reads that fail, only the first is logged.
    fn read_list(&mut self) -> ReadState {
        let outcome = self.endpoints.read();
        match &outcome {
            ReadOutcome::Unreadable(error) if !self.read_failed => {
                tracing::info!("the list of offline upstreams cannot be read now: {error}");
            }
            ReadOutcome::Damaged(error) => {
                tracing::info!("the list of offline upstreams is damaged, and ignored: {error}")
            }
            _ => {}
        }
        self.read_failed = matches!(outcome, ReadOutcome::Unreadable(_));
        match outcome {
            ReadOutcome::Unreadable(_) | ReadOutcome::Changing => ReadState::Retry,
            ReadOutcome::Unchanged | ReadOutcome::Changed | ReadOutcome::Absent | ReadOutcome::Damaged(_) => {
                ReadState::Final
            }
        }
    }

    /// Repairs the offline list if needed.
    fn repair(&mut self) {
        let result = self.endpoints.repair();
        log_first_failure(
            &result,
            &mut self.repair_failed,
            "the list of offline upstreams cannot be written now",
        );
    }

    /// Tells other processes which endpoints get no new requests.
    fn store_withdrawn(&mut self, withdrawn: Option<&WithdrawnEndpoints>) {
        let Some(file) = &mut self.withdrawn else { return };
        let text = "the withdrawn upstreams cannot be told to the other process";
        log_first_failure(&file.store(withdrawn), &mut self.store_failed, text);
    }

    /// Carries out an order, unless its operator has already got the response that it timed out.
    fn store_order(&mut self, request: OrderRequest) -> FolderEvent {
        if request.claim.is_claimed() {
            return FolderEvent::OrderNotStored(request); // timed out while it waited for earlier jobs
        }
        match self.endpoints.apply_order(&request.order, &request.claim) {
            Ok(list) => FolderEvent::OrderStored(request, list),
            Err(error) => {
                let uid = &request.order.uid;
                tracing::info!("an order about upstream {uid} cannot be carried out: {error}");
                FolderEvent::OrderNotStored(request)
            }
        }
    }
}

/// Logs a failure, unless the try before has failed as well.
fn log_first_failure<E: Display>(result: &Result<(), E>, has_failed: &mut bool, text: &str) {
    if let Err(error) = result
        && !*has_failed
    {
        tracing::info!("{text}: {error}");
    }
    *has_failed = result.is_err();
}

/// Whether the offline list has to be read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// The list is up to date, or cannot be made so by another read.
    Final,
    /// The list could not be read, or was being changed.
    Retry,
}
