//! Makes system calls of a program under test fail. Set as `LD_PRELOAD`, this library stands in front of the C
//! library's wrappers and reads a plan from the environment variable `FAULT_PLAN`.
//!
//! # The plan
//!
//! Rules, separated by `;`. The first rule that strikes a call decides.
//!
//! ```text
//! rule   = call ":" fault { ":" option }
//! fault  = ERRNO            the call fails with it, by name: ENETUNREACH
//!        | "short=" BYTES   a read or write moves at most so many bytes
//!        | "delay=" MS      the call is made so much later
//!        | "kill"           the process gets SIGKILL in place of the call
//! option = "from=" N        the first call that is struck, counted from 1 among those that match
//!        | "count=" N       so many calls are struck, and none after them
//!        | "share=" F       this part of the calls is struck, drawn from the seed
//!        | "seed=" N
//!        | "on=inet"        only TCP sockets, not files, pipes or the socket that tells of signals
//!        | "path=" PREFIX   only files whose absolute path begins so
//!        | "port=" N        only sockets with this port at either end, or that are to have it
//! ```
//!
//! `FAULT_PLAN="connect:ENETUNREACH:share=0.33:seed=7;accept:EMFILE:from=3:count=2;write:short=1:on=inet"`
//!
//! The calls are those that the balancer makes through the C library: [`plan::Call`] lists them, and what they are
//! called there. A plan that does not parse ends the process with one line and status 2. Each fault is noted in the
//! file named by `FAULT_LOG`, if it is set, as a line `call fault`.
//!
//! # The wall clock
//!
//! `WALL_CLOCK_STEP` names a file with the milliseconds by which the wall clock is ahead (behind, with a minus sign). The
//! file may be replaced while the program runs, which steps the clock; the monotonic clocks run on.
//!
//! # Limits
//!
//! - Calls that bypass the C library are out of reach. `rustix` makes its calls itself: of the balancer's, that is the
//!   `poll` that looks whether a caller has left.
//! - What goes on goes to the kernel directly, not to another preloaded library.
//! - An error that the kernel would tell later, through `SO_ERROR`, is told by the call itself.
//!
//! - EAGAIN of a read or write with bytes or room there is no failure that Linux knows: a program that waits for
//!   edges, as ours does, never hears of them again.
//!
//! # Safety
//!
//! This crate and the balancer's inherited descriptor are the only places with `unsafe` code. Each function in
//! `interpose` has the C library's own signature and contract, and hands its arguments on as they came; what it reads
//! of them, it reads as the kernel would.

mod interpose;
mod log;
pub mod plan;
mod target;
mod wall_clock;
