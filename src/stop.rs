//! The signals that request a shutdown: SIGTERM and SIGINT.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Receives shutdown signals. Once one of these is made, they no longer terminate the process by
/// themselves.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    /// Installs the signal handlers; must be called within a runtime.
    pub fn new() -> io::Result<Signals> {
        let term = signal(SignalKind::terminate())?;
        Ok(Signals { term, int: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
