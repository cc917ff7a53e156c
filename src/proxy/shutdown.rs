//! The planned stop of the process: which requests are still taken and sent, and when it ends.

use std::sync::OnceLock;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet::members::GOSSIP_INTERVAL;
use crate::proxy::hub::Hub;

/// Interval of the checks whether the stop is over.
const CHECK_INTERVAL: Duration = GOSSIP_INTERVAL;

/// Shortest duration of a stop. The load balancer sends new callers until it has seen two failed
/// probes, a second each; the port stays open for them.
const STOP_MIN: Duration = Duration::from_millis(2600);

/// Requests run at the latest until this long before the end of the time to stop.
const STOP_RESERVE: Duration = Duration::from_millis(400);

/// Time in which the last responses are written.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// The phase of the process with regard to its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No stop was requested.
    Running,
    /// Connections are closed after use; new requests are still served.
    Closing,
    /// New requests are refused, since they might not end in time. Neither is a request sent any
    /// more that was taken before, unless its deadline passes in time.
    Refusing,
    /// The process is about to end: each request without a response gets one now.
    Ending,
}

/// The progress of the stop.
#[derive(Debug)]
pub struct Shutdown {
    phase: watch::Sender<ShutdownPhase>,
    /// Until when requests run at the latest, by the hub's clock, once a stop was requested.
    ends_at: OnceLock<Duration>,
}

impl Default for Shutdown {
    fn default() -> Shutdown {
        Shutdown { phase: watch::Sender::new(ShutdownPhase::Running), ends_at: OnceLock::new() }
    }
}

impl Shutdown {
    /// The current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until the stop is in this phase or a later one.
    pub fn wait_for(&self, phase: ShutdownPhase) -> impl Future<Output = ()> + use<> {
        let mut rx = self.phase.subscribe();
        async move {
            // An error means that the process exits.
            let _ = rx.wait_for(|current| phase <= *current).await;
        }
    }

    /// Whether a request with this deadline, by the hub's clock, may be sent to an upstream.
    pub fn may_send(&self, deadline: Duration) -> bool {
        self.phase() < ShutdownPhase::Refusing
            || self.ends_at.get().is_some_and(|ends_at| deadline <= *ends_at)
    }
}

/// Stops within the given time: waits until all requests have ended and no new ones are expected,
/// or until the time is up, when the remaining ones get a last response.
pub async fn run(hub: &Hub, within: Duration) {
    let Shutdown { phase, ends_at } = hub.shutdown();
    let began = Instant::now();
    let longest = within.saturating_sub(STOP_RESERVE);
    ends_at.get_or_init(|| hub.now() + longest);
    phase.send_replace(ShutdownPhase::Closing);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if STOP_MIN <= began.elapsed() {
            phase.send_replace(ShutdownPhase::Refusing);
        }
        if hub.in_flight() == 0 && STOP_MIN <= began.elapsed() {
            return;
        }
        if longest <= began.elapsed() {
            break;
        }
    }
    phase.send_replace(ShutdownPhase::Ending);
    let ending = Instant::now();
    while ending.elapsed() < LAST_RESPONSES_TIME {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if hub.in_flight() == 0 {
            return;
        }
    }
}
