//! Structured logs. Lines are formatted by the calling thread and written by a background thread
//! several times a second. Lines that don't fit the buffer are dropped and counted, so that a slow
//! reader of the log never delays a request.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use slog::Drain;
use slog::Logger;
use slog::o;

use crate::config::settings;
use crate::config::settings::LogFormat;

/// Size of the buffer of unwritten lines: a few seconds of lines at 1000 requests a second.
const PENDING_MAX_BYTES: usize = 2 << 20;

/// Time between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Opens the log on standard output. Lines are written until the guard is dropped, which writes the
/// rest.
pub fn open(cfg: &settings::Log, program: &'static str, name: &str) -> (Logger, LogGuard) {
    let values = o!("program" => program, "box" => name.to_owned());
    let lines = Arc::new(LineBuffer::default());
    let guard = LogGuard::start(lines.clone());
    let out = LineWriter { lines, buf: Vec::new() };
    let logger = match cfg.format {
        LogFormat::Json => {
            let json =
                slog_json::Json::new(out).set_newlines(true).add_default_keys().build().fuse();
            logger(json, cfg.level, values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(out);
            logger(slog_term::FullFormat::new(decorator).build().fuse(), cfg.level, values)
        }
    };
    (logger, guard)
}

fn logger<D, T>(drain: D, level: slog::Level, values: slog::OwnedKV<T>) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    T: slog::SendSyncRefUnwindSafeKV + 'static,
{
    let drain = slog::LevelFilter::new(Mutex::new(drain).fuse(), level).fuse();
    Logger::root(drain, values)
}

/// Runs the thread that writes the log. When dropped, stops it and writes the remaining lines.
#[derive(Debug)]
pub struct LogGuard {
    lines: Arc<LineBuffer>,
    thread: Option<JoinHandle<()>>,
}

impl LogGuard {
    fn start(lines: Arc<LineBuffer>) -> LogGuard {
        let buffer = lines.clone();
        let thread = std::thread::Builder::new().name("log".to_owned()).spawn(move || {
            while !buffer.stopped.load(Ordering::Relaxed) {
                std::thread::park_timeout(WRITE_INTERVAL);
                buffer.write();
            }
        });
        // If the thread fails to start, lines that fit the buffer are written on drop.
        LogGuard { lines, thread: thread.ok() }
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.lines.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
        self.lines.write();
    }
}

/// Lines that are not written yet.
#[derive(Debug, Default)]
struct LineBuffer {
    pending: Mutex<Pending>,
    stopped: AtomicBool,
}

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

impl LineBuffer {
    fn push(&self, line: &[u8]) {
        let mut pending = self.pending.lock().expect("no panic under lock");
        if PENDING_MAX_BYTES < pending.bytes.len() + line.len() {
            pending.dropped += 1;
        } else {
            pending.bytes.extend_from_slice(line);
        }
    }

    fn write(&self) {
        let Pending { bytes, dropped } =
            std::mem::take(&mut *self.pending.lock().expect("no panic under lock"));
        let mut out = io::stdout().lock();
        // A failure to write the log can't be reported anywhere.
        let _ = out.write_all(&bytes);
        if dropped != 0 {
            let _ = writeln!(out, "{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}");
        }
        let _ = out.flush();
    }
}

/// Collects the parts of a line and adds it to the buffer once it is complete.
#[derive(Debug)]
struct LineWriter {
    lines: Arc<LineBuffer>,
    buf: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.buf.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.lines.push(&self.buf);
            self.buf.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
