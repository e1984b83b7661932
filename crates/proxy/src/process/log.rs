//! The process's log: JSON lines on standard error, from the configured level up.

use std::io;

use skylark_settings::proxy::LogLevel;
use skylark_settings::proxy::ProxySettings;
use slog::Drain;

/// How many messages wait for a slow reader of the log. More are dropped and counted, so that a
/// stuck log never stops the traffic.
const MAX_QUEUED_MESSAGES: usize = 4096;

/// A log that names this process's VM and zone in each line.
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
