//! Set-up of structured logging.
//!
//! A line holds a time, a level, a short message that begins with a prefix for the component, and
//! key-value pairs. Request and response bodies are never logged.

use crate::runtime::log_writer;
use log::kv;
use miette::IntoDiagnostic as _;
use std::{fmt, panic};

/// Modules that log for each request, whose lines have a rate limit apart.
const REQUEST_MODULES: [&str; 8] = [
    "comfreyspread::gateway::attempt_send",
    "comfreyspread::gateway::batcher",
    "comfreyspread::gateway::call_plan",
    "comfreyspread::gateway::caller_handler",
    "comfreyspread::gateway::piece_dispatch",
    "comfreyspread::gateway::region_selector",
    "comfreyspread::gateway::stage_execution",
    "comfreyspread::gateway::stream_run",
];

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails if logging was started before.
pub fn init(level: log::LevelFilter, json: bool) -> Result<(), log::SetLoggerError> {
    init_with_output(std::io::stderr(), level, json)
}

/// Starts logging to standard output through a writer that drops lines instead of blocking.
/// Returns the writer, to be drained before the process exits.
///
/// # Errors
///
/// Fails if logging was started before or the writer thread cannot be started.
pub fn init_nonblocking(
    level: log::LevelFilter,
    json: bool,
) -> miette::Result<log_writer::LogWriter> {
    let writer = log_writer::LogWriter::new(std::io::stdout()).into_diagnostic()?;
    let request_output = boxed(writer.clone());
    let state_output = boxed(writer.with_own_limit());
    let output = fern::Dispatch::new()
        .chain(
            fern::Dispatch::new()
                .filter(|line| REQUEST_MODULES.contains(&line.target()))
                .chain(request_output),
        )
        .chain(
            fern::Dispatch::new()
                .filter(|line| !REQUEST_MODULES.contains(&line.target()))
                .chain(state_output),
        );
    init_with_output(output, level, json).into_diagnostic()?;
    Ok(writer)
}

fn boxed(writer: log_writer::LogWriter) -> Box<dyn std::io::Write + Send> {
    Box::new(writer)
}

fn init_with_output<Output>(
    output: Output,
    level: log::LevelFilter,
    json: bool,
) -> Result<(), log::SetLoggerError>
where
    Output: Into<fern::Output>,
{
    let format = if json { write_json } else { write_text };
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("comfreyspread", level)
        .level_for("comfreyspread_lab", level)
        .format(format)
        .chain(output)
        .apply()?;
    log_panics();
    Ok(())
}

/// Logs each panic as an error, besides what is printed for it. Only the task that panics ends.
pub fn log_panics() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        default_hook(info);
        let reason = info.payload_as_str().unwrap_or("not text");
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(place = place.as_str(); "process: a task panicked. error={reason}");
    }));
}

fn write_text(
    out: fern::FormatCallback<'_>,
    message: &fmt::Arguments<'_>,
    record: &log::Record<'_>,
) {
    let now = jiff::Timestamp::now();
    let mut pairs = TextPairs(String::new());
    record.key_values().visit(&mut pairs).ok();
    out.finish(format_args!("{now:.3} {} {message}{}", record.level(), pairs.0));
}

fn write_json(
    out: fern::FormatCallback<'_>,
    message: &fmt::Arguments<'_>,
    record: &log::Record<'_>,
) {
    let mut line = serde_json::Map::new();
    line.insert("time".into(), format!("{:.3}", jiff::Timestamp::now()).into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("message".into(), message.to_string().into());
    let mut pairs = JsonPairs(line);
    record.key_values().visit(&mut pairs).ok();
    out.finish(format_args!("{}", serde_json::Value::Object(pairs.0)));
}

struct TextPairs(String);

impl<'kvs> kv::VisitSource<'kvs> for TextPairs {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

struct JsonPairs(serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for JsonPairs {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}
