//! Messages to other boxes that are dropped because they exceed a datagram.

use std::time::Duration;

use slog::info;

use crate::proxy::hub::Hub;

/// The line is logged at most this often.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Logs the number of dropped messages while there are any.
#[derive(Debug, Default)]
pub struct OversizedLog {
    due_at: Duration,
    logged: u64,
}

impl OversizedLog {
    /// Logs the number if it has changed and it is time.
    pub fn log_if_due(&mut self, hub: &Hub) {
        let dropped = hub.peers().oversized_count();
        if hub.now() < self.due_at || dropped == self.logged {
            return;
        }
        (self.due_at, self.logged) = (hub.now() + LOG_INTERVAL, dropped);
        info!(hub.log(), "messages too large for a datagram"; "dropped" => dropped);
    }
}
