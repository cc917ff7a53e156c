//! Decides which idle connections to an upstream a request may use, and counts why connections are
//! opened and closed.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;

use crate::proxy::hub::Hub;
use crate::proxy::link_activity::LINK_FRESH;

/// Interval at which the counts of connections are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Fraction of the keep-alive timeout announced by an upstream for which idle connections are
/// reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Time for which an idle connection is reused if the upstream announces no keep-alive timeout.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);

/// Maximum idle time of a connection that is reused for a request that must not run twice. After a
/// longer time, the upstream may be closing it, and a request lost in that may have run.
const ONCE_ONLY_IDLE_MAX: Duration = Duration::from_millis(1000);

/// A request arrives at least this long before the announced timeout of its connection. Upstreams
/// announce whole seconds, which may be rounded up by nearly one; the rest is for the transit and
/// for pauses of both processes.
const ANNOUNCED_MARGIN: Duration = Duration::from_millis(1500);

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReuseRule {
    /// Whether the request must not run twice.
    pub is_once_only: bool,
    /// Whether an announced timeout is relied on, except for [`ANNOUNCED_MARGIN`]. Connections are
    /// idle for longer then, and may have been cut meanwhile.
    pub trusts_announced: bool,
}

impl ReuseRule {
    /// Whether a connection may be used that was idle for `idle_time` and whose upstream has
    /// `announced` a timeout.
    pub fn permits(self, idle_time: Duration, announced: Option<Duration>) -> bool {
        idle_time < self.idle_max(announced) && idle_time < self.once_only_max(announced)
    }

    /// Whether the link must be known to be up for a connection that was idle for `idle_time`. If it
    /// has been cut, a request on a new connection fails unsent, and one on an idle connection may
    /// have run.
    pub fn needs_fresh_link(self, idle_time: Duration) -> bool {
        self.trusts_announced && LINK_FRESH < idle_time
    }

    /// How long a connection is kept idle, by the timeout that its upstream has announced.
    pub fn idle_max(self, announced: Option<Duration>) -> Duration {
        let Some(timeout) = announced else { return KEEP_ALIVE_DEFAULT };
        timeout.mul_f64(KEEP_ALIVE_FRACTION).max(self.trusted(announced))
    }

    fn once_only_max(self, announced: Option<Duration>) -> Duration {
        if self.is_once_only {
            ONCE_ONLY_IDLE_MAX.max(self.trusted(announced).min(KEEP_ALIVE_DEFAULT))
        } else {
            Duration::MAX
        }
    }

    /// The part of an announced timeout that is relied on.
    fn trusted(self, announced: Option<Duration>) -> Duration {
        let timeout = announced.filter(|_| self.trusts_announced).unwrap_or_default();
        timeout.saturating_sub(ANNOUNCED_MARGIN)
    }
}

/// Why a connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenCause {
    /// None is open.
    NoneOpen,
    /// All are in use.
    InUse,
    /// The idle ones have served a request just now.
    JustUsed,
    /// The idle ones have been idle too long for this request.
    IdleTooLong,
    /// No bytes were received over the link lately.
    StaleLink,
    /// The upstream has closed the idle ones.
    Closed,
    /// The previous one has ended with its response.
    Replaced,
    /// It is a probe, not for a request.
    Probe,
}

impl OpenCause {
    /// All causes.
    pub const ALL: [OpenCause; 8] = [
        OpenCause::NoneOpen,
        OpenCause::InUse,
        OpenCause::JustUsed,
        OpenCause::IdleTooLong,
        OpenCause::StaleLink,
        OpenCause::Closed,
        OpenCause::Replaced,
        OpenCause::Probe,
    ];

    /// The cause as a word for metrics.
    pub fn code(self) -> &'static str {
        match self {
            OpenCause::NoneOpen => "none-open",
            OpenCause::InUse => "in-use",
            OpenCause::JustUsed => "just-used",
            OpenCause::IdleTooLong => "idle-too-long",
            OpenCause::StaleLink => "stale-link",
            OpenCause::Closed => "closed",
            OpenCause::Replaced => "replaced",
            OpenCause::Probe => "probe",
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// It could not be established.
    Unconnected,
    /// Its request was given up, or broke off, before the end of the response.
    Unfinished,
    /// The upstream has closed it after a complete response.
    ByUpstream,
    /// It has been idle for too long.
    Expired,
    /// There are as many as may be kept.
    Surplus,
    /// Its upstream has left or restarted.
    Gone,
}

impl CloseCause {
    /// All causes.
    pub const ALL: [CloseCause; 6] = [
        CloseCause::Unconnected,
        CloseCause::Unfinished,
        CloseCause::ByUpstream,
        CloseCause::Expired,
        CloseCause::Surplus,
        CloseCause::Gone,
    ];

    /// The cause as a word for metrics.
    pub fn code(self) -> &'static str {
        match self {
            CloseCause::Unconnected => "unconnected",
            CloseCause::Unfinished => "unfinished",
            CloseCause::ByUpstream => "by-upstream",
            CloseCause::Expired => "expired",
            CloseCause::Surplus => "surplus",
            CloseCause::Gone => "gone",
        }
    }
}

/// Connections opened, reused and closed since the start.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    opened: [AtomicU64; OpenCause::ALL.len()],
    closed: [AtomicU64; CloseCause::ALL.len()],
    /// The last announced timeout of idle connections, in seconds.
    announced_s: AtomicU64,
    reused: AtomicU64,
}

impl ConnectionCounts {
    pub(super) fn opened(&self, cause: OpenCause) {
        self.opened[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn closed(&self, cause: CloseCause) {
        self.closed[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn reused(&self) {
        self.reused.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn announced(&self, timeout: Duration) {
        self.announced_s.store(timeout.as_secs(), Ordering::Relaxed);
    }

    /// The last announced timeout of idle connections, in seconds; zero if none was announced.
    pub fn announced_s(&self) -> u64 {
        self.announced_s.load(Ordering::Relaxed)
    }

    /// Connections opened for a cause.
    pub fn opened_for(&self, cause: OpenCause) -> u64 {
        self.opened[cause as usize].load(Ordering::Relaxed)
    }

    /// Connections closed for a cause.
    pub fn closed_for(&self, cause: CloseCause) -> u64 {
        self.closed[cause as usize].load(Ordering::Relaxed)
    }

    /// Requests sent on a connection that had served another.
    pub fn reused_count(&self) -> u64 {
        self.reused.load(Ordering::Relaxed)
    }

    /// Connections opened.
    pub fn opened_count(&self) -> u64 {
        OpenCause::ALL.iter().map(|cause| self.opened_for(*cause)).sum()
    }
}

/// Logs the counts of connections while any are opened.
#[derive(Debug, Default)]
pub struct ConnectionLog {
    due_at: Duration,
    opened: u64,
}

impl ConnectionLog {
    /// Logs the counts if they have changed and it is time.
    pub fn log_if_due(&mut self, hub: &Hub) {
        let counts = hub.upstream_connections().counts();
        let opened = counts.opened_count();
        if hub.now() < self.due_at || opened == self.opened {
            return;
        }
        (self.due_at, self.opened) = (hub.now() + LOG_INTERVAL, opened);
        let by_cause = OpenCause::ALL.map(|c| format!("{}:{}", c.code(), counts.opened_for(c)));
        let closed = CloseCause::ALL.map(|c| format!("{}:{}", c.code(), counts.closed_for(c)));
        info!(hub.log(), "connections to upstreams"; "reused" => counts.reused_count(),
            "announced_s" => counts.announced_s(), "opened" => by_cause.join(","), "closed" => closed.join(","));
    }
}
