//! The signals that ask a process to stop: SIGTERM and SIGINT.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits for signals. From its making on, they no longer end the process by themselves.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    /// Begins to listen; needs a runtime.
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
