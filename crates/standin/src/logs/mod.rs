//! Log lines as JSON on the standard error.

use std::collections::BTreeMap;
use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};

/// Starts the log; `RUST_LOG` sets the level, `info` if it is absent.
pub fn start() {
    let filter = env_logger::Env::default().default_filter_or("info,xitca_server=warn");
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
    // A second start in one process, as in tests, keeps the first log.
    let _ = builder.try_init();
}

struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}
