//! Structured logs. Lines are formatted where they arise and written by a thread some times a
//! second; those that don't fit are dropped and counted, so that a slow reader of the log never
//! slows a request down.

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

/// Bytes that may wait to be written: some seconds of lines at a thousand requests a second.
const WAITING_MAX: usize = 2 << 20;

/// Time between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Opens the log on standard output. Lines are written until the guard is dropped.
pub fn open(cfg: &settings::Log, program: &'static str, name: &str) -> (Logger, Guard) {
    let values = o!("program" => program, "box" => name.to_owned());
    let lines = Arc::new(Lines::default());
    let guard = Guard::start(lines.clone());
    let out = Line { lines, buf: Vec::new() };
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

/// Writes the log until it is dropped; then writes the rest.
#[derive(Debug)]
pub struct Guard {
    lines: Arc<Lines>,
    thread: Option<JoinHandle<()>>,
}

impl Guard {
    fn start(lines: Arc<Lines>) -> Guard {
        let writing = lines.clone();
        let thread = std::thread::Builder::new().name("log".to_owned()).spawn(move || {
            while !writing.ended.load(Ordering::Relaxed) {
                std::thread::park_timeout(WRITE_INTERVAL);
                writing.write();
            }
        });
        // Without a thread the lines are written at the end, as far as they fit.
        Guard { lines, thread: thread.ok() }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.lines.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            // A panic there has been printed.
            let _ = thread.join();
        }
        self.lines.write();
    }
}

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Lines {
    waiting: Mutex<Waiting>,
    ended: AtomicBool,
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Lines {
    fn push(&self, line: &[u8]) {
        let mut waiting = self.waiting.lock().expect("no panic under lock");
        if WAITING_MAX < waiting.bytes.len() + line.len() {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(line);
        }
    }

    fn write(&self) {
        let Waiting { bytes, dropped } =
            std::mem::take(&mut *self.waiting.lock().expect("no panic under lock"));
        let mut out = io::stdout().lock();
        // There is nowhere to tell that the log itself can't be written.
        let _ = out.write_all(&bytes);
        if dropped != 0 {
            let _ = writeln!(out, "{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}");
        }
        let _ = out.flush();
    }
}

/// Collects a line, and hands it over when it is whole.
#[derive(Debug)]
struct Line {
    lines: Arc<Lines>,
    buf: Vec<u8>,
}

impl Write for Line {
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
