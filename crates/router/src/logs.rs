//! Log lines, for people or as JSON: one line each, with the same fields under the same names.

use std::io::Write;

use env_logger::{Builder, Env, fmt::Formatter};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// From now on, lines of at least such a level go to standard error; `RUST_LOG` goes before the level.
pub fn start(format: Format, level: &str) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(level));
    if format == Format::Json {
        builder.format(as_json);
    }
    builder.init();
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

fn as_json(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut fields = Fields(Map::new());
    let _ = record.key_values().visit(&mut fields);
    let mut line = fields.0;
    line.insert("at".to_owned(), out.timestamp_micros().to_string().into());
    line.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    line.insert("from".to_owned(), record.target().into());
    line.insert("says".to_owned(), record.args().to_string().into());
    writeln!(out, "{}", Json::Object(line))
}
