//! Log lines as text or as JSON: one line each, with the same fields under the same names.

use std::cell::Cell;
use std::env;
use std::fs::File;
use std::io::{self, IsTerminal, Write};
use std::os::fd::AsFd;
use std::panic;
use std::sync::{Arc, Mutex, PoisonError};

use env_logger::{Builder, Env, Logger, Target, WriteStyle, fmt::Formatter};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value as Json};
use woadhook_router::log_queue::{DropNotice, LogQueue};

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// Starts logging to standard error, panics included: lines of at least the given level are written by the
/// thread of the returned queue. `RUST_LOG` takes precedence over `level`.
pub fn start(format: Format, level: &str) -> LogQueue {
    let out = io::stderr().as_fd().try_clone_to_owned().map(File::from);
    let queue = out.and_then(|out| LogQueue::start(out, drop_notice(format))).unwrap_or_default();
    let mut builder = Builder::from_env(Env::default().default_filter_or(level));
    let logger = configured(&mut builder, format, Target::Pipe(Box::new(QueueWriter(queue.clone())))).build();
    log::set_max_level(logger.filter());
    // Fails only if a logger was set before.
    let _ = log::set_boxed_logger(Box::new(LevelLogger(logger)));
    // Threat: without this hook, the panic of a task would write to standard error on the thread that handles
    // requests, which a stalled reader of the log would block.
    panic::set_hook(Box::new(|panic| {
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let message = panic.payload_as_str().unwrap_or("no message");
        log::error!(event = "panic", place = place.as_str(); "panicked at {place}: {message}");
    }));
    queue
}

fn configured(builder: &mut Builder, format: Format, target: Target) -> &mut Builder {
    if format == Format::Json {
        builder.format(write_json);
    }
    if io::stderr().is_terminal() && env::var_os(env_logger::DEFAULT_WRITE_STYLE_ENV).is_none() {
        builder.write_style(WriteStyle::Always);
    }
    builder.target(target)
}

/// Renders the notice of dropped lines in the same format as other lines, at any log level.
fn drop_notice(format: Format) -> DropNotice {
    let line = LineBuffer::default();
    let mut builder = Builder::new();
    builder.filter_level(LevelFilter::Trace);
    let logger = configured(&mut builder, format, Target::Pipe(Box::new(line.clone()))).build();
    Box::new(move |count| {
        let fields = [("event", Value::from("log_lines_dropped")), ("count", Value::from(count))];
        let mut record = Record::builder();
        record.level(Level::Warn).target(module_path!()).key_values(&fields);
        logger.log(
            &record
                .args(format_args!("{count} log lines were dropped, as they were not read in time"))
                .build(),
        );
        line.take()
    })
}

/// Collects one rendered line.
#[derive(Clone, Default)]
struct LineBuffer(Arc<Mutex<Vec<u8>>>);

impl LineBuffer {
    fn take(&self) -> Vec<u8> {
        std::mem::take(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

thread_local! {
    /// The level of the line that this thread is writing.
    static LEVEL: Cell<Level> = const { Cell::new(Level::Error) };
}

/// Records each line's level for the queue, which reserves space for warnings and errors.
struct LevelLogger(Logger);

impl Log for LevelLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        LEVEL.set(record.level());
        self.0.log(record);
    }

    fn flush(&self) {}
}

/// Writer that puts rendered lines into the queue.
struct QueueWriter(LogQueue);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.push(line, LEVEL.get());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn write_json(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut fields = Fields(Map::new());
    let _ = record.key_values().visit(&mut fields);
    let mut line = fields.0;
    line.insert("at".to_owned(), out.timestamp_micros().to_string().into());
    line.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    line.insert("from".to_owned(), record.target().into());
    line.insert("says".to_owned(), record.args().to_string().into());
    writeln!(out, "{}", Json::Object(line))
}
