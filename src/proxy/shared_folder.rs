//! What two processes share while one replaces the other, on a thread of its own: a disk that is slow, or hangs in a
//! sync, must not hold up requests. One thread also carries orders out one after the other; tasks on the runtime's
//! blocking pool would need a lock for that, and would pile up behind a disk that hangs.

use super::offline_endpoints::{OfflineEndpoints, Reading};
use super::orders::{OfflineList, OrderRequest};
use super::process_handover::ProcessHandover;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// How long a start waits for a list that cannot be read. Without it, what the process before was told to leave
/// alone would be used.
const READ_PATIENCE: Duration = Duration::from_secs(3);
/// Time between two tries to read the list at a start.
const READ_RETRY: Duration = Duration::from_millis(20);

/// What the thread is to do.
enum Job {
    /// Look for changes that other processes made.
    Check,
    /// Carry an order out.
    PersistOrder(OrderRequest),
}

/// What the thread reports.
pub enum FolderEvent {
    /// A check ended.
    CheckFinished(FolderState),
    /// An order is kept for the processes after this one; the list that holds now.
    OrderPersisted(OrderRequest, OfflineList),
    /// An order could not be kept, and is not in force.
    OrderNotPersisted(OrderRequest),
}

/// What is shared, as it was seen last.
#[derive(Debug, PartialEq, Eq)]
pub struct FolderState {
    /// The endpoints that operators have taken out.
    pub offline: OfflineList,
    /// Another process of this balancer may serve beside this one.
    pub overlapping: bool,
}

/// The shared folder, as its user sees it.
pub struct SharedFolder {
    jobs: Sender<Job>,
    /// A check is under way; a slow one delays the next.
    checking: bool,
}

impl SharedFolder {
    /// Opens the folder, under a name that no other process has, and looks at it once. Without a folder, orders hold
    /// for this process only.
    pub fn open(
        folder: Option<PathBuf>,
        name: &str,
        report: impl Fn(FolderEvent) + Send + 'static,
    ) -> io::Result<(Self, FolderState)> {
        let handover = folder.clone().map(|folder| ProcessHandover::new(folder, name));
        let endpoints = OfflineEndpoints::new(folder);
        let mut worker = Worker { endpoints, handover, reading_fails: false, repair_fails: false };
        worker.read_at_start();
        let state = worker.check();
        let (jobs, inbox) = channel();
        std::thread::Builder::new().name("shared-folder".into()).spawn(move || worker.run(&inbox, report))?;
        Ok((Self { jobs, checking: false }, state))
    }

    /// Looks for changes that other processes made, unless that goes on already.
    pub fn check(&mut self) {
        if !std::mem::replace(&mut self.checking, true) {
            self.jobs.send(Job::Check).ok(); // the thread ends only with this sender
        }
    }

    /// The report of a check has come.
    pub fn finish_check(&mut self) {
        self.checking = false;
    }

    /// Carries an order out.
    pub fn persist_order(&self, request: OrderRequest) {
        self.jobs.send(Job::PersistOrder(request)).ok();
    }
}

/// The thread's part.
struct Worker {
    endpoints: OfflineEndpoints,
    handover: Option<ProcessHandover>,
    /// The list cannot be read, and that has been logged.
    reading_fails: bool,
    /// A repair has failed, and that has been logged.
    repair_fails: bool,
}

impl Worker {
    fn run(mut self, inbox: &Receiver<Job>, report: impl Fn(FolderEvent)) {
        for job in inbox {
            report(match job {
                Job::Check => FolderEvent::CheckFinished(self.check()),
                Job::PersistOrder(request) => self.persist_order(request),
            });
        }
    }

    /// Reads the list before anything is sent, and tries again for a while if it cannot be read.
    fn read_at_start(&mut self) {
        let deadline = Instant::now() + READ_PATIENCE;
        while self.read_list() == ReadState::Retry && Instant::now() < deadline {
            std::thread::sleep(READ_RETRY);
        }
    }

    fn check(&mut self) -> FolderState {
        self.read_list();
        self.repair();
        let overlapping = self.handover.as_mut().is_some_and(ProcessHandover::overlaps);
        FolderState { offline: self.endpoints.current().clone(), overlapping }
    }

    fn read_list(&mut self) -> ReadState {
        let reading = self.endpoints.read();
        match &reading {
            Reading::Unreadable(error) if !self.reading_fails => {
                crate::proxy::logging::log(format_args!(
                    "the list of upstreams taken out cannot be read now: {error}"
                ));
            }
            Reading::Damaged(error) => crate::proxy::logging::log(format_args!(
                "the list of upstreams taken out is damaged, and not followed: {error}"
            )),
            _ => {}
        }
        self.reading_fails = matches!(reading, Reading::Unreadable(_));
        match reading {
            Reading::Unreadable(_) | Reading::Changing => ReadState::Retry,
            Reading::Unchanged | Reading::Changed | Reading::Absent | Reading::Damaged(_) => {
                ReadState::Settled
            }
        }
    }

    fn repair(&mut self) {
        let repaired = self.endpoints.repair();
        if let Err(error) = &repaired
            && !self.repair_fails
        {
            crate::proxy::logging::log(format_args!(
                "the list of upstreams taken out cannot be written now: {error}"
            ));
        }
        self.repair_fails = repaired.is_err();
    }

    fn persist_order(&mut self, request: OrderRequest) -> FolderEvent {
        if request.claim.is_claimed() {
            return FolderEvent::OrderNotPersisted(request); // given up while it waited for its turn
        }
        match self.endpoints.change(&request.order, &request.claim) {
            Ok(list) => FolderEvent::OrderPersisted(request, list),
            Err(error) => {
                let uid = &request.order.uid;
                crate::proxy::logging::log(format_args!(
                    "an order about upstream {uid} cannot be kept: {error}"
                ));
                FolderEvent::OrderNotPersisted(request)
            }
        }
    }
}

/// Whether a list was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    Settled,
    Retry,
}
