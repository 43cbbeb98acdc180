//! The fault plan: its grammar, and the selection of a fault for each intercepted system call.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A system call that faults can be injected into. Several functions of the C library may map to the same call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Accept,
    Bind,
    Connect,
    EpollCtl,
    EpollWait,
    Fdatasync,
    Flock,
    Fsync,
    Listen,
    Open,
    Read,
    Rename,
    SetSockOpt,
    Socket,
    Unlink,
    Write,
}

/// The names of each call in a plan. The first name is the one that is written to the fault log.
const CALL_NAMES: &[(Call, &[&str])] = &[
    (Call::Accept, &["accept", "accept4"]),
    (Call::Bind, &["bind"]),
    (Call::Connect, &["connect"]),
    (Call::EpollCtl, &["epoll_ctl"]),
    (Call::EpollWait, &["epoll_wait"]),
    (Call::Fdatasync, &["fdatasync"]),
    (Call::Flock, &["flock"]),
    (Call::Fsync, &["fsync"]),
    (Call::Listen, &["listen"]),
    (Call::Open, &["open", "open64", "openat"]),
    (Call::Read, &["read", "readv", "recv", "recvfrom"]),
    (Call::Rename, &["rename"]),
    (Call::SetSockOpt, &["setsockopt"]),
    (Call::Socket, &["socket"]),
    (Call::Unlink, &["unlink"]),
    (Call::Write, &["write", "writev", "send", "sendto", "sendmsg"]),
];

/// The errors that can be injected, by name and `errno` value.
const ERRORS: &[(&str, i32)] = &[
    ("E2BIG", libc::E2BIG),
    ("EACCES", libc::EACCES),
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("EBADF", libc::EBADF),
    ("EBUSY", libc::EBUSY),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EDQUOT", libc::EDQUOT),
    ("EHOSTDOWN", libc::EHOSTDOWN),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EINVAL", libc::EINVAL),
    ("EIO", libc::EIO),
    ("EISDIR", libc::EISDIR),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENODEV", libc::ENODEV),
    ("ENOENT", libc::ENOENT),
    ("ENOLCK", libc::ENOLCK),
    ("ENOMEM", libc::ENOMEM),
    ("ENONET", libc::ENONET),
    ("ENOPROTOOPT", libc::ENOPROTOOPT),
    ("ENOSPC", libc::ENOSPC),
    ("ENOTCONN", libc::ENOTCONN),
    ("EOPNOTSUPP", libc::EOPNOTSUPP),
    ("EPERM", libc::EPERM),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("EROFS", libc::EROFS),
    ("ESTALE", libc::ESTALE),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

impl Call {
    /// Returns the name that the fault log uses for this call.
    pub fn name(self) -> &'static str {
        let entry = CALL_NAMES.iter().find(|(call, _)| *call == self);
        entry.map_or("", |(_, names)| names[0])
    }

    /// Whether the call transfers a number of bytes that `short=` can limit.
    fn supports_short_transfer(self) -> bool {
        matches!(self, Self::Read | Self::Write)
    }
}

impl FromStr for Call {
    type Err = RuleError;

    fn from_str(name: &str) -> Result<Self, RuleError> {
        let call = CALL_NAMES.iter().find(|(_, names)| names.contains(&name));
        call.map(|(call, _)| *call).ok_or(RuleError::UnknownCall)
    }
}

/// A fault to inject into a matching call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this `errno` value.
    Errno(i32),
    /// The call transfers at most this number of bytes.
    Short(usize),
    /// The call is made after this delay.
    Delay(Duration),
    /// The process is killed with SIGKILL instead of making the call.
    Kill,
}

impl FromStr for Fault {
    type Err = RuleError;

    fn from_str(text: &str) -> Result<Self, RuleError> {
        match text.split_once('=') {
            Some(("short", bytes)) => {
                let bytes = parse_number(bytes)?;
                // A transfer of zero bytes would signal an end of the stream that has not been reached.
                if bytes == 0 { Err(RuleError::InvalidNumber) } else { Ok(Self::Short(bytes)) }
            }
            Some(("delay", millis)) => Ok(Self::Delay(Duration::from_millis(parse_number(millis)?))),
            None if text == "kill" => Ok(Self::Kill),
            _ => {
                let error = ERRORS.iter().find(|(name, _)| *name == text);
                error.map(|(_, errno)| Self::Errno(*errno)).ok_or(RuleError::UnknownFault)
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Errno(errno) => {
                let error = ERRORS.iter().find(|(_, value)| value == errno);
                f.write_str(error.map_or("?", |(name, _)| name))
            }
            Self::Short(bytes) => write!(f, "short={bytes}"),
            Self::Delay(delay) => write!(f, "delay={}", delay.as_millis()),
            Self::Kill => f.write_str("kill"),
        }
    }
}

/// The object that a call operates on. Each property is looked up only if a rule filters on it.
pub trait Target {
    /// Whether the target is an IPv4 or IPv6 socket.
    fn is_inet(&self) -> bool;
    /// Whether the absolute path of the target starts with `prefix`. For a rename, either of the two paths may.
    fn has_path_prefix(&self, prefix: &str) -> bool;
    /// Whether `port` is the local or remote port of the socket, or the port of the address that the call binds or
    /// connects it to.
    fn has_port(&self, port: u16) -> bool;
}

/// One rule of a plan.
#[derive(Debug)]
struct Rule {
    call: Call,
    fault: Fault,
    /// The number of the first matching call that may get the fault, counted from 1.
    first: u64,
    /// The maximum number of calls that get the fault.
    count: u64,
    /// The fraction of matching calls that get the fault, from 0 to 1.
    share: f64,
    /// Seeds the sampling of calls if `share` is below 1.
    seed: u64,
    only_inet: bool,
    path_prefix: Option<String>,
    port: Option<u16>,
    /// The number of calls that matched so far.
    matched_calls: AtomicU64,
    /// The number of matching calls selected so far. It may exceed `count`, beyond which no fault is injected.
    selected_calls: AtomicU64,
}

impl Rule {
    fn matches(&self, call: Call, target: &dyn Target) -> bool {
        self.call == call
            && (!self.only_inet || target.is_inet())
            && self.path_prefix.as_deref().is_none_or(|prefix| target.has_path_prefix(prefix))
            && self.port.is_none_or(|port| target.has_port(port))
    }

    /// Counts a matching call and returns whether the fault is injected into it.
    fn should_inject(&self) -> bool {
        let match_number = self.matched_calls.fetch_add(1, Ordering::Relaxed) + 1;
        if match_number < self.first || !self.is_sampled(match_number) {
            return false;
        }
        self.selected_calls.fetch_add(1, Ordering::Relaxed) < self.count
    }

    /// Whether the matching call with this number is sampled. The result depends only on the share, the seed and the
    /// number, so that a run can be repeated.
    fn is_sampled(&self, match_number: u64) -> bool {
        let sample = split_mix64(self.seed ^ split_mix64(match_number));
        (sample as f64) < self.share * (u64::MAX as f64)
    }
}

impl FromStr for Rule {
    type Err = RuleError;

    fn from_str(text: &str) -> Result<Self, RuleError> {
        let mut parts = text.split(':');
        let call: Call = parts.next().unwrap_or_default().parse()?;
        let fault: Fault = parts.next().ok_or(RuleError::MissingFault)?.parse()?;
        if matches!(fault, Fault::Short(_)) && !call.supports_short_transfer() {
            return Err(RuleError::ShortNotSupported);
        }
        let mut rule = Self {
            call,
            fault,
            first: 1,
            count: u64::MAX,
            share: 1.0,
            seed: 0,
            only_inet: false,
            path_prefix: None,
            port: None,
            matched_calls: AtomicU64::new(0),
            selected_calls: AtomicU64::new(0),
        };
        for option in parts {
            match option.split_once('=').ok_or(RuleError::UnknownOption)? {
                ("from", first) => rule.first = parse_number(first)?,
                ("count", count) => rule.count = parse_number(count)?,
                ("share", share) => {
                    rule.share = parse_number(share)?;
                    if !(0.0..=1.0).contains(&rule.share) {
                        return Err(RuleError::InvalidNumber);
                    }
                }
                ("seed", seed) => rule.seed = parse_number(seed)?,
                ("on", "inet") => rule.only_inet = true,
                ("path", prefix) => rule.path_prefix = Some(prefix.to_owned()),
                ("port", port) => rule.port = Some(parse_number(port)?),
                _ => return Err(RuleError::UnknownOption),
            }
        }
        Ok(rule)
    }
}

fn parse_number<T: FromStr>(text: &str) -> Result<T, RuleError> {
    text.parse().map_err(|_| RuleError::InvalidNumber)
}

/// The output function of the SplitMix64 generator.
fn split_mix64(seed: u64) -> u64 {
    let mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// An ordered list of rules that decide which calls get a fault.
#[derive(Debug, Default)]
pub struct Plan {
    rules: Vec<Rule>,
}

impl Plan {
    /// Selects the fault for a call, or `None` if the call is made unchanged. The first rule that injects its fault
    /// into the call decides. Rules after it do not count the call as a match.
    pub fn select_fault(&self, call: Call, target: &dyn Target) -> Option<Fault> {
        let rule = self.rules.iter().find(|rule| rule.matches(call, target) && rule.should_inject())?;
        Some(rule.fault)
    }
}

impl FromStr for Plan {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, PlanError> {
        let rules = text.split(';').map(str::trim).filter(|rule| !rule.is_empty());
        let parsed =
            rules.map(|rule| rule.parse().map_err(|reason| PlanError { rule: rule.to_owned(), reason }));
        Ok(Self { rules: parsed.collect::<Result<_, _>>()? })
    }
}

/// Why a rule does not parse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleError {
    UnknownCall,
    MissingFault,
    UnknownFault,
    UnknownOption,
    InvalidNumber,
    ShortNotSupported,
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownCall => "unknown system call",
            Self::MissingFault => "no fault given",
            Self::UnknownFault => "unknown error name or fault",
            Self::UnknownOption => "unknown option",
            Self::InvalidNumber => "malformed number, or number out of range",
            Self::ShortNotSupported => "`short` applies only to reads and writes",
        })
    }
}

/// A plan that does not parse.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    /// The text of the rule in the plan.
    pub rule: String,
    /// Why the rule does not parse.
    pub reason: RuleError,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {:?}: {}", self.rule, self.reason)
    }
}

impl std::error::Error for PlanError {}
