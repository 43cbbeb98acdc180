//! SIGINT and SIGTERM, in a form that every part of a run can check or wait for.

use anyhow::{Context, Result};
use std::fmt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// A handle that shows whether SIGINT or SIGTERM has been received, and which.
#[derive(Clone, Debug)]
pub struct Interrupt(watch::Receiver<Option<Signal>>);

/// A signal that requests the end of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGINT.
    Interrupt,
    /// SIGTERM.
    Terminate,
}

impl Signal {
    /// Returns the exit status that a shell reports for a process ended by this signal.
    pub fn status(self) -> u8 {
        match self {
            Self::Interrupt => 128 + 2,
            Self::Terminate => 128 + 15,
        }
    }
}

/// Error of a run that was ended by a signal before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interrupted(pub Signal);

impl fmt::Display for Interrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Signal::Interrupt => "interrupted by SIGINT",
            Signal::Terminate => "interrupted by SIGTERM",
        })
    }
}

impl std::error::Error for Interrupted {}

impl Interrupt {
    /// Replaces the default action of both signals, which is to end the process, by a thread that waits for them.
    pub fn listen() -> Result<Self> {
        let (sender, receiver) = watch::channel(None);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("cannot start the runtime for signal handling")?;
        let (mut sigint, mut sigterm) = {
            let _context = runtime.enter();
            let subscribe = |kind| signal(kind).context("cannot install the signal handler");
            (subscribe(SignalKind::interrupt())?, subscribe(SignalKind::terminate())?)
        };
        let wait_for_signal = move || {
            runtime.block_on(async {
                let signal = tokio::select! {
                    _ = sigint.recv() => Signal::Interrupt,
                    _ = sigterm.recv() => Signal::Terminate,
                };
                sender.send_replace(Some(signal));
                sender.closed().await; // keeps the sender alive: its end must not be taken for a signal
            });
        };
        std::thread::Builder::new()
            .name("signals".into())
            .spawn(wait_for_signal)
            .context("cannot start the thread for signal handling")?;
        Ok(Self(receiver))
    }

    /// Returns an interrupt that never occurs.
    pub fn never() -> Self {
        let (sender, receiver) = watch::channel(None);
        drop(sender);
        Self(receiver)
    }

    /// Fails if a signal has been received.
    pub fn check(&self) -> Result<(), Interrupted> {
        self.0.borrow().map_or(Ok(()), |signal| Err(Interrupted(signal)))
    }

    /// Waits until a signal is received.
    pub async fn wait(&self) -> Interrupted {
        let mut receiver = self.0.clone();
        let signal = receiver.wait_for(Option::is_some).await.ok().and_then(|signal| *signal);
        match signal {
            Some(signal) => Interrupted(signal),
            None => std::future::pending().await, // the sender was dropped: no signal will be received
        }
    }
}
