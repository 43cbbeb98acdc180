//! Injects faults into the system calls of a program under test. Loaded by `LD_PRELOAD`, this library replaces
//! functions of the C library by its own wrappers and reads a fault plan from the environment variable `FAULT_PLAN`.
//!
//! # The plan
//!
//! A plan consists of rules, separated by `;`. The first rule that injects a fault into a call decides; the rules after
//! it do not count the call as a match.
//!
//! ```text
//! rule   = call ":" fault { ":" option }
//! fault  = ERRNO            the call fails with this error, such as ENETUNREACH
//!        | "short=" BYTES   a read or write transfers at most this number of bytes
//!        | "delay=" MS      the call is made after this delay in milliseconds
//!        | "kill"           the process is killed with SIGKILL instead of making the call
//! option = "from=" N        the first matching call that may get the fault, counted from 1
//!        | "count=" N       at most this number of calls get the fault
//!        | "share=" F       this fraction (0 to 1) of the matching calls, sampled by the seed, gets the fault
//!        | "seed=" N        the seed of that sample, 0 by default
//!        | "on=inet"        only IPv4 and IPv6 sockets, not files, pipes or the socket that delivers signals
//!        | "path=" PREFIX   only files whose absolute path starts with the prefix
//!        | "port=" N        only sockets with this local or remote port, or being bound or connected to it
//! ```
//!
//! `FAULT_PLAN="connect:ENETUNREACH:share=0.33:seed=7;accept:EMFILE:from=3:count=2;write:short=1:on=inet"`
//!
//! Rules apply to the calls that the balancer makes through the C library; [`plan::Call`] lists them. A plan that does
//! not parse ends the process with one line on standard error and status 2. If `FAULT_LOG` is set, each injected fault
//! is appended to the file it names, as a line `call fault`.
//!
//! # The wall clock
//!
//! `WALL_CLOCK_STEP` names a file that holds the offset of the wall clock in milliseconds, negative if the clock is
//! behind. Replacing the file while the program runs steps the clock; the monotonic clocks are unaffected.
//!
//! # Limits
//!
//! - Calls that bypass the C library cannot be intercepted. `rustix` makes its system calls directly; in the balancer,
//!   that is the `poll` that checks whether a client has disconnected.
//! - Calls that proceed go directly to the kernel, not to another preloaded library.
//! - An error that the kernel would report later through `SO_ERROR` is returned by the call itself.
//! - `EAGAIN` for a read or write on a descriptor that is ready is not a failure that occurs on Linux. A program that
//!   relies on edge-triggered polling, as the balancer does, gets no further event for the descriptor and stalls.
//!
//! # Safety
//!
//! This crate and the balancer's handling of its inherited descriptor are the only places with `unsafe` code. Each
//! wrapper has the signature and contract of the C library function it replaces and passes its arguments on unchanged,
//! except that a fault may limit the number of bytes. A wrapper reads the memory behind its arguments only where
//! the kernel would.

mod interpose;
mod log;
pub mod plan;
mod target;
mod wall_clock;
