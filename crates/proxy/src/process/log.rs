//! The process's log: JSON lines on standard error, filtered by the configured level.

use std::io;

use skylark_settings::proxy::LogLevel;
use skylark_settings::proxy::ProxySettings;
use slog::Drain;

/// The capacity of the queue to the thread that writes the log. Further messages are dropped and counted,
/// so that a blocked log reader never blocks request processing.
const MAX_QUEUED_MESSAGES: usize = 4096;

/// Opens a log that includes this process's VM and availability zone in each line.
pub fn open(settings: &ProxySettings) -> slog::Logger {
    let lines = slog_json::Json::default(io::stderr()).fuse();
    let level = level(settings.log_level);
    let filtered = slog::LevelFilter::new(lines, level).fuse();
    let waiting = slog_async::Async::new(filtered).chan_size(MAX_QUEUED_MESSAGES).build().fuse();
    let (vm, zone) = (settings.vm.clone(), settings.zone.clone());
    slog::Logger::root(waiting, slog::o!("vm" => vm, "zone" => zone))
}

fn level(level: LogLevel) -> slog::Level {
    match level {
        LogLevel::Critical => slog::Level::Critical,
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warning => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
        LogLevel::Trace => slog::Level::Trace,
    }
}
