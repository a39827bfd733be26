//! The setup of logging.

use std::sync::Arc;

use displaydoc::Display;
use flexi_logger::{
    FlexiLoggerError, LevelFilter, LogSpecification, Logger, LoggerHandle, json_format,
};
use magnoliaspar_settings::LogSettings;

use crate::line_queue::{DroppedLines, LineQueue, QueueWriter};

/// The libraries that log headers, and thereby keys, at their most detailed levels.
const HEADER_LOGGING_LIBRARIES: [&str; 8] =
    ["actix_http", "actix_server", "awc", "h2", "hyper", "hyper_util", "tonic", "tower"];

/// The error of starting the logger.
#[derive(Debug)]
#[derive(Display)]
pub(crate) enum LogError {
    /// {0:?} is not a log level, which is off, error, warn, info, debug or trace
    Level(Box<str>),
    /// the log filter is malformed: {0}
    Filter(FlexiLoggerError),
    /// logs cannot be started: {0}
    Start(FlexiLoggerError),
    /// the thread that writes logs cannot be started: {0}
    Thread(std::io::Error),
}

impl std::error::Error for LogError {}

/// Starts logging to the standard output, one JSON object per line.
pub(crate) fn start(settings: &LogSettings) -> Result<LoggerHandle, LogError> {
    let spec = read_filter(&settings.filter)?;
    let logger = Logger::with(spec).use_utc().format(json_format).log_to_stdout();
    logger.start().map_err(LogError::Start)
}

/// Starts logging for `instance` through a bounded queue that never blocks.
///
/// Returns the counters of dropped lines.
pub(crate) fn start_bounded(
    filter: &str,
    instance: &str,
) -> Result<(LoggerHandle, Arc<DroppedLines>), LogError> {
    let spec = read_filter(filter)?;
    let queue = LineQueue::start(instance).map_err(LogError::Thread)?;
    let dropped = queue.dropped();
    let logger = Logger::with(spec).use_utc().log_to_writer(Box::new(QueueWriter(queue)));
    Ok((logger.start().map_err(LogError::Start)?, dropped))
}

/// Parses a log filter and limits the libraries that could log keys to the level `info`.
pub(crate) fn read_filter(filter: &str) -> Result<LogSpecification, LogError> {
    check_levels(filter)?;
    let requested = LogSpecification::parse(filter).map_err(LogError::Filter)?;
    let mut default = LevelFilter::Off;
    let mut builder = LogSpecification::builder();
    for module in requested.module_filters() {
        match &module.module_name {
            None => default = module.level_filter,
            Some(name) if belongs_to_library(name) => {}
            Some(name) => {
                builder.module(name, module.level_filter);
            }
        }
    }
    builder.default(default);
    for library in HEADER_LOGGING_LIBRARIES {
        builder.module(library, default.min(LevelFilter::Info));
    }
    Ok(builder.finalize())
}

/// Checks that each part without `=` is a level, since it would be parsed as a module otherwise.
fn check_levels(filter: &str) -> Result<(), LogError> {
    for part in filter.split(',') {
        let part = part.trim();
        if !part.contains('=') && part.parse::<LevelFilter>().is_err() {
            return Err(LogError::Level(part.into()));
        }
    }
    Ok(())
}

fn belongs_to_library(module: &str) -> bool {
    HEADER_LOGGING_LIBRARIES.contains(&module.split("::").next().unwrap_or_default())
}

#[cfg(test)]
mod tests {
    use flexi_logger::LevelFilter;

    use super::read_filter;

    #[test]
    fn libraries_that_could_log_keys_are_capped() {
        let spec = read_filter("trace, awc::client=trace, h2=debug, magnoliaspar_serve=debug");
        let spec = spec.unwrap();
        let level = |module: &str| {
            let mut filters = spec.module_filters().iter();
            let filter = filters.find(|filter| filter.module_name.as_deref() == Some(module));
            filter.map(|filter| filter.level_filter)
        };
        assert_eq!(level("awc"), Some(LevelFilter::Info));
        assert_eq!(level("awc::client"), None);
        assert_eq!(level("h2"), Some(LevelFilter::Info));
        assert_eq!(level("magnoliaspar_serve"), Some(LevelFilter::Debug));
        let spec = read_filter("off").unwrap();
        assert!(spec.module_filters().iter().all(|filter| filter.level_filter == LevelFilter::Off));
    }

    #[test]
    fn a_malformed_filter_is_refused() {
        for filter in ["loud", "info, loud", "info,", "info, a=loud", "info, a=b=c"] {
            assert!(read_filter(filter).is_err(), "{filter}");
        }
    }
}
