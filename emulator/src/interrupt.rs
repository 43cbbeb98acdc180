//! SIGINT and SIGTERM, as something that any part of a run can look at or wait for.

use anyhow::{Context, Result};
use std::fmt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Tells whether the user has asked for the end, and by which signal.
#[derive(Clone, Debug)]
pub struct Interrupt(watch::Receiver<Option<Signal>>);

/// A signal that asks for the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Interrupt,
    Terminate,
}

impl Signal {
    /// The exit status that a shell would show for it.
    pub fn status(self) -> u8 {
        match self {
            Self::Interrupt => 128 + 2,
            Self::Terminate => 128 + 15,
        }
    }
}

/// A run was ended by a signal before it had measured what it is for.
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
    /// Takes both signals over from now on; they no longer end the process. A thread waits for them.
    pub fn listen() -> Result<Self> {
        let (sender, receiver) = watch::channel(None);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("cannot start the runtime for signals")?;
        let (mut int, mut term) = {
            let _context = runtime.enter();
            let take = |kind| signal(kind).context("cannot take over the signals");
            (take(SignalKind::interrupt())?, take(SignalKind::terminate())?)
        };
        let wait = move || {
            runtime.block_on(async {
                let signal = tokio::select! {
                    _ = int.recv() => Signal::Interrupt,
                    _ = term.recv() => Signal::Terminate,
                };
                sender.send_replace(Some(signal));
                sender.closed().await; // waiters must not take the end of this thread for a signal
            });
        };
        std::thread::Builder::new().name("signals".into()).spawn(wait).context("cannot start a thread")?;
        Ok(Self(receiver))
    }

    /// One that never comes.
    pub fn never() -> Self {
        let (sender, receiver) = watch::channel(None);
        drop(sender);
        Self(receiver)
    }

    /// Fails once a signal has come.
    pub fn check(&self) -> Result<(), Interrupted> {
        self.0.borrow().map_or(Ok(()), |signal| Err(Interrupted(signal)))
    }

    /// Waits until a signal comes.
    pub async fn wait(&self) -> Interrupted {
        let mut receiver = self.0.clone();
        let signal = receiver.wait_for(Option::is_some).await.ok().and_then(|signal| *signal);
        match signal {
            Some(signal) => Interrupted(signal),
            None => std::future::pending().await, // nobody listens
        }
    }
}
