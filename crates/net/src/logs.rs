//! Logs of the system's programs: one line of key=value pairs an event, on standard output.

use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

/// Starts the logs at a level: `error`, `warn`, `info`, `debug`, `trace` or `off`.
///
/// # Errors
/// What is wanted instead of `level`, or that logs were started before.
pub fn start(level: &str) -> Result<(), String> {
    let level = level
        .parse::<log::LevelFilter>()
        .map_err(|_| format!("--log-level: wants error, warn, info, debug, trace or off, got {level:?}"))?;
    // No time: the platform stamps the lines, and the time of day jumps on some machines.
    let encoder = Box::new(PatternEncoder::new("level={l} {m}{n}"));
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map(drop).map_err(|error| error.to_string())
}

/// A text as the value of a pair: bare where it has neither blanks nor quotes, else in quotes.
pub fn value(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'=';
    if !text.is_empty() && text.bytes().all(plain) {
        text.to_string()
    } else {
        format!("{text:?}")
    }
}
