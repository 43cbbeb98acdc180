//! The plan: which calls fail, and how.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A system call that can be made to fail. Several wrappers of the C library may make the same one.
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

/// The names of the calls, the one that is written to the log first.
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

/// The errors that can be injected.
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
    /// The name in the log.
    pub fn name(self) -> &'static str {
        let names = CALL_NAMES.iter().find(|(call, _)| *call == self);
        names.map_or("", |(_, names)| names[0])
    }

    /// Whether it moves bytes that can be cut short.
    fn moves_bytes(self) -> bool {
        matches!(self, Self::Read | Self::Write)
    }
}

impl FromStr for Call {
    type Err = Reason;

    fn from_str(name: &str) -> Result<Self, Reason> {
        let call = CALL_NAMES.iter().find(|(_, names)| names.contains(&name));
        call.map(|(call, _)| *call).ok_or(Reason::UnknownCall)
    }
}

/// What happens to a call that is struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this error.
    Errno(i32),
    /// It moves at most so many bytes.
    Short(usize),
    /// It is made so much later.
    Delay(Duration),
    /// The process is killed in its place.
    Kill,
}

impl FromStr for Fault {
    type Err = Reason;

    fn from_str(text: &str) -> Result<Self, Reason> {
        match text.split_once('=') {
            Some(("short", bytes)) => {
                let bytes = number(bytes)?;
                // A write of nothing would tell an end that there is not.
                if bytes == 0 { Err(Reason::BadNumber) } else { Ok(Self::Short(bytes)) }
            }
            Some(("delay", millis)) => Ok(Self::Delay(Duration::from_millis(number(millis)?))),
            None if text == "kill" => Ok(Self::Kill),
            _ => {
                let error = ERRORS.iter().find(|(name, _)| *name == text);
                error.map(|(_, errno)| Self::Errno(*errno)).ok_or(Reason::UnknownFault)
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Errno(errno) => {
                let error = ERRORS.iter().find(|(_, known)| known == errno);
                f.write_str(error.map_or("?", |(name, _)| name))
            }
            Self::Short(bytes) => write!(f, "short={bytes}"),
            Self::Delay(delay) => write!(f, "delay={}", delay.as_millis()),
            Self::Kill => f.write_str("kill"),
        }
    }
}

/// What a call is about, looked up only where a rule asks for it.
pub trait Subject {
    /// Whether it is a TCP socket.
    fn is_inet(&self) -> bool;
    /// Whether its absolute path, or one of both for a rename, begins so.
    fn has_path(&self, prefix: &str) -> bool;
    /// Whether either end has this port, or is to have it.
    fn has_port(&self, port: u16) -> bool;
}

/// One rule of a plan.
#[derive(Debug)]
struct Rule {
    call: Call,
    fault: Fault,
    first: u64,
    count: u64,
    share: f64,
    seed: u64,
    only_inet: bool,
    path: Option<String>,
    port: Option<u16>,
    /// Calls that matched so far.
    matched: AtomicU64,
    /// Calls that were struck so far.
    struck: AtomicU64,
}

impl Rule {
    fn matches(&self, call: Call, subject: &dyn Subject) -> bool {
        self.call == call
            && (!self.only_inet || subject.is_inet())
            && self.path.as_deref().is_none_or(|prefix| subject.has_path(prefix))
            && self.port.is_none_or(|port| subject.has_port(port))
    }

    /// Counts a call that matches, and tells whether it is struck.
    fn strikes(&self) -> bool {
        let number = self.matched.fetch_add(1, Ordering::Relaxed) + 1;
        if number < self.first || !self.is_drawn(number) {
            return false;
        }
        self.struck.fetch_add(1, Ordering::Relaxed) < self.count
    }

    /// Whether the seed picks this call. It depends on nothing but the seed and the number.
    fn is_drawn(&self, number: u64) -> bool {
        let drawn = split_mix(self.seed ^ split_mix(number));
        (drawn as f64) < self.share * (u64::MAX as f64)
    }
}

impl FromStr for Rule {
    type Err = Reason;

    fn from_str(text: &str) -> Result<Self, Reason> {
        let mut parts = text.split(':');
        let call: Call = parts.next().unwrap_or_default().parse()?;
        let fault: Fault = parts.next().ok_or(Reason::NoFault)?.parse()?;
        if matches!(fault, Fault::Short(_)) && !call.moves_bytes() {
            return Err(Reason::NotShort);
        }
        let mut rule = Self {
            call,
            fault,
            first: 1,
            count: u64::MAX,
            share: 1.0,
            seed: 0,
            only_inet: false,
            path: None,
            port: None,
            matched: AtomicU64::new(0),
            struck: AtomicU64::new(0),
        };
        for option in parts {
            match option.split_once('=').ok_or(Reason::UnknownOption)? {
                ("from", first) => rule.first = number(first)?,
                ("count", count) => rule.count = number(count)?,
                ("share", share) => {
                    rule.share = number(share)?;
                    if !(0.0..=1.0).contains(&rule.share) {
                        return Err(Reason::BadNumber);
                    }
                }
                ("seed", seed) => rule.seed = number(seed)?,
                ("on", "inet") => rule.only_inet = true,
                ("path", prefix) => rule.path = Some(prefix.to_owned()),
                ("port", port) => rule.port = Some(number(port)?),
                _ => return Err(Reason::UnknownOption),
            }
        }
        Ok(rule)
    }
}

fn number<T: FromStr>(text: &str) -> Result<T, Reason> {
    text.parse().map_err(|_| Reason::BadNumber)
}

/// The SplitMix64 generator's output function.
fn split_mix(seed: u64) -> u64 {
    let mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Which calls fail.
#[derive(Debug, Default)]
pub struct Plan {
    rules: Vec<Rule>,
}

impl Plan {
    /// What happens to a call; `None` where it is made as it came. The first rule that strikes it decides; the rules
    /// behind that one do not count it.
    pub fn strike(&self, call: Call, subject: &dyn Subject) -> Option<Fault> {
        let rule = self.rules.iter().find(|rule| rule.matches(call, subject) && rule.strikes())?;
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

/// Why a rule is no rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    UnknownCall,
    NoFault,
    UnknownFault,
    UnknownOption,
    BadNumber,
    NotShort,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownCall => "no such call",
            Self::NoFault => "the fault is missing",
            Self::UnknownFault => "no such fault",
            Self::UnknownOption => "no such option",
            Self::BadNumber => "a number is malformed or out of range",
            Self::NotShort => "only reads and writes can be short",
        })
    }
}

/// A plan that does not parse.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    /// The rule as it stands in the plan.
    pub rule: String,
    /// What is wrong with it.
    pub reason: Reason,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {:?}: {}", self.rule, self.reason)
    }
}

impl std::error::Error for PlanError {}
