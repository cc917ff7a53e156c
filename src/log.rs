//! Structured logs through an asynchronous drain. Lines that don't fit are dropped and counted,
//! so that a slow reader of the log never slows a request down.

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::Async;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;

use crate::config::settings;
use crate::config::settings::LogFormat;

/// Lines that may wait to be written.
const LINES_MAX: usize = 16_384;

/// Opens the log on standard error. Lines are written until the guard is dropped.
pub fn open(cfg: &settings::Log, program: &'static str, name: &str) -> (Logger, AsyncGuard) {
    let values = o!("program" => program, "box" => name.to_owned());
    match cfg.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(std::io::stderr())
                .set_newlines(true)
                .add_default_keys()
                .build()
                .fuse();
            start(drain, cfg.level, values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            start(slog_term::FullFormat::new(decorator).build().fuse(), cfg.level, values)
        }
    }
}

fn start<D, T>(drain: D, level: slog::Level, values: slog::OwnedKV<T>) -> (Logger, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    T: slog::SendSyncRefUnwindSafeKV + 'static,
{
    // `DropAndReport` writes a line of its own that counts what was dropped.
    let (drain, guard) = Async::new(drain)
        .chan_size(LINES_MAX)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain.fuse(), level).fuse();
    (Logger::root(drain, values), guard)
}
