//! Settings and log lines.

mod support;

use log::Level;
use rattanfall_entry::config::Config;
use rattanfall_entry::logs::line;
use rattanfall_entry::options::{command, defaults, raw_settings};
use support::harness;

/// Guards against reports that stop at the first problem, or that do not name the setting.
#[test]
fn reports_all_problems_at_once() {
    let mut wrong = defaults();
    wrong.insert("platform", "nowhere".into());
    wrong.insert("credential", "short".into());
    wrong.insert("threads", "0".into());
    let problems = Config::parse(&wrong).expect_err("settings were taken").problems;
    let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
    for part in [
        "--name (RATTANFALL_NAME): is required",
        "--zone (RATTANFALL_ZONE): is required",
        "--platform (RATTANFALL_PLATFORM): \"nowhere\" is not an address",
        "--credential (RATTANFALL_CREDENTIAL): must have at least 16 bytes",
        "--threads (RATTANFALL_THREADS): \"0\" is not a number from 1 to 64",
    ] {
        assert!(texts.iter().any(|text| text.starts_with(part)), "{part}: {texts:?}");
    }
    assert_eq!(texts.len(), 5, "{texts:?}");
}

/// Guards against flags without effect, and against a credential in `Debug` output.
#[test]
fn takes_flags() {
    let mut args = vec!["rattanfall-entry".to_owned()];
    for (flag, text) in harness::settings("entry-1", "127.0.0.1:7000".parse().unwrap()) {
        args.push(format!("--{flag}={text}"));
    }
    let matches = command().try_get_matches_from(args).unwrap();
    let config = Config::parse(&raw_settings(&matches)).unwrap();
    assert_eq!((config.engine.name.as_str(), config.engine.zone.as_str()), ("entry-1", "zone-a"));
    assert_eq!(config.platform.address, "127.0.0.1:7000");
    assert!(!format!("{config:?}").contains("operators-credential"), "the credential is in the debug form");
}

/// Guards against log lines that are not a single JSON object.
#[test]
fn writes_json_lines() {
    let fields = [("offset", log::kv::Value::from(7_u64))];
    let record = log::Record::builder()
        .level(Level::Warn)
        .target("rattanfall")
        .args(format_args!("two\nlines"))
        .key_values(&fields)
        .build();
    let text = line(&record).to_string();
    assert!(!text.contains('\n'));
    let json: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!((json["level"].as_str(), json["offset"].as_u64()), (Some("warn"), Some(7)));
}
