//! Logger that writes JSON lines to the standard error.

use std::collections::BTreeMap;
use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};

/// Installs the logger. `RUST_LOG` sets the level; the default is `info`.
pub fn start() {
    let filter = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(filter);
    builder.format(|out, record| {
        let mut fields = Fields(BTreeMap::new());
        let _ = record.key_values().visit(&mut fields);
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let line = serde_json::json!({
            "time_ms": u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
            "level": record.level().as_str(),
            "target": record.target(),
            "message": record.args().to_string(),
            "fields": fields.0,
        });
        writeln!(out, "{line}")
    });
    // Fails if a logger is already installed, as in tests; that logger stays.
    let _ = builder.try_init();
}

struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}
