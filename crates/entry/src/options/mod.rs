//! Command line: each setting has a flag and an environment variable.

use std::collections::BTreeMap;

use clap::{Arg, ArgMatches, Command};

/// Command line definition of one setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Flag without its dashes.
    pub flag: &'static str,
    /// Environment variable; the flag takes precedence.
    pub variable: &'static str,
    /// Value if neither is given; `None` for required settings.
    pub default: Option<&'static str>,
    /// Heading of the setting's group in the help.
    pub heading: &'static str,
    /// Description in the help.
    pub help: &'static str,
}

/// Unparsed values of the settings, by flag.
pub type RawSettings = BTreeMap<&'static str, String>;

const IDENTITY: &str = "Identity";
const LISTENERS: &str = "Listeners";
const PLATFORM: &str = "Platform";
const UPSTREAMS: &str = "Upstreams";
const LIMITS: &str = "Limits";
const ENGINE: &str = "Engine";
const LOGS: &str = "Logs";

/// All settings, in the order of the help.
pub const SETTINGS: &[Setting] = &[
    setting("name", "RATTANFALL_NAME", None, IDENTITY, "Name of this entry instance; a replacement keeps it"),
    setting("zone", "RATTANFALL_ZONE", None, IDENTITY, "Availability zone of this entry instance"),
    setting(
        "nonce",
        "RATTANFALL_NONCE",
        Some(""),
        IDENTITY,
        "Number of this process in the platform's list; random if empty",
    ),
    setting("callers", "RATTANFALL_CALLERS", Some("127.0.0.1:8080"), LISTENERS, "Address for callers"),
    setting("operators", "RATTANFALL_OPERATORS", Some("127.0.0.1:8081"), LISTENERS, "Address for operators"),
    setting("peers", "RATTANFALL_PEERS", Some("127.0.0.1:8082"), LISTENERS, "Address for peers"),
    setting(
        "advertise",
        "RATTANFALL_ADVERTISE",
        Some(""),
        LISTENERS,
        "Address that peers connect to; the bound one if empty",
    ),
    setting(
        "credential",
        "RATTANFALL_CREDENTIAL",
        None,
        LISTENERS,
        "Operators' bearer credential; prefer the variable, a flag is visible to other processes",
    ),
    setting("threads", "RATTANFALL_THREADS", Some("2"), LISTENERS, "Threads that serve callers"),
    setting("platform", "RATTANFALL_PLATFORM", None, PLATFORM, "Address of the platform, ip:port"),
    setting("append-ms", "RATTANFALL_APPEND_MS", Some("2000"), PLATFORM, "Time limit of one append"),
    setting("read-wait-ms", "RATTANFALL_READ_WAIT_MS", Some("1000"), PLATFORM, "Longest wait of a log read"),
    setting(
        "list-ms",
        "RATTANFALL_LIST_MS",
        Some("1000"),
        PLATFORM,
        "Interval of reads of the instance list",
    ),
    setting(
        "connections",
        "RATTANFALL_CONNECTIONS",
        Some("8"),
        UPSTREAMS,
        "Connections to one worker for requests",
    ),
    setting("connect-ms", "RATTANFALL_CONNECT_MS", Some("500"), UPSTREAMS, "Time limit of a connect"),
    setting(
        "idle-ms",
        "RATTANFALL_IDLE_MS",
        Some("3000"),
        UPSTREAMS,
        "Age at which an idle connection is closed; keep it below the workers' own limit",
    ),
    setting(
        "answer-bytes",
        "RATTANFALL_ANSWER_BYTES",
        Some("67108864"),
        LIMITS,
        "Largest answer of a worker that is passed on",
    ),
    setting(
        "accepted-bytes",
        "RATTANFALL_ACCEPTED_BYTES",
        Some("67108864"),
        LIMITS,
        "Memory of all accepted tasks until they end",
    ),
    setting(
        "request-budget-bytes",
        "RATTANFALL_REQUEST_BUDGET_BYTES",
        Some("33554432"),
        LIMITS,
        "Bytes of all unfinished requests of the process",
    ),
    setting(
        "request-body-bytes",
        "RATTANFALL_REQUEST_BODY_BYTES",
        Some("4194304"),
        LIMITS,
        "Largest chunked body and largest payload of a task",
    ),
    setting(
        "request-connections",
        "RATTANFALL_REQUEST_CONNECTIONS",
        Some("2048"),
        LIMITS,
        "Open connections of callers and operators",
    ),
    setting(
        "request-body-ms",
        "RATTANFALL_REQUEST_BODY_MS",
        Some("10000"),
        LIMITS,
        "Time for a body that is read whole",
    ),
    setting(
        "request-head-ms",
        "RATTANFALL_REQUEST_HEAD_MS",
        Some("5000"),
        LIMITS,
        "Time for the head of a request, from its first bytes",
    ),
    setting(
        "request-delivery-ms",
        "RATTANFALL_REQUEST_DELIVERY_MS",
        Some("20000"),
        LIMITS,
        "Time for which an answer may make no progress",
    ),
    setting(
        "request-idle-ms",
        "RATTANFALL_REQUEST_IDLE_MS",
        Some("75000"),
        LIMITS,
        "Time after which an idle connection is closed; keep it above the load balancer's",
    ),
    setting("stop-ms", "RATTANFALL_STOP_MS", Some("60000"), LIMITS, "Longest graceful shutdown"),
    setting("commit-ms", "RATTANFALL_COMMIT_MS", Some("50"), ENGINE, "Interval of group commits"),
    setting("gossip-ms", "RATTANFALL_GOSSIP_MS", Some("250"), ENGINE, "Interval of digests to peers"),
    setting(
        "digest-ttl-ms",
        "RATTANFALL_DIGEST_TTL_MS",
        Some("3000"),
        ENGINE,
        "Age at which a peer's sums expire",
    ),
    setting("lease-cap-ms", "RATTANFALL_LEASE_CAP_MS", Some("10000"), ENGINE, "Longest lease of a worker"),
    setting(
        "drift-ppm",
        "RATTANFALL_DRIFT_PPM",
        Some("1000"),
        ENGINE,
        "Bound on clock drift, parts per million",
    ),
    setting(
        "list-lag-ms",
        "RATTANFALL_LIST_LAG_MS",
        Some("60000"),
        ENGINE,
        "Longest time until the platform's list shows a running instance",
    ),
    setting(
        "stale-ms",
        "RATTANFALL_STALE_MS",
        Some("5000"),
        ENGINE,
        "Age above which a view counts as stale",
    ),
    setting("retry-percent", "RATTANFALL_RETRY_PERCENT", Some("10"), ENGINE, "Retries, percent of requests"),
    setting(
        "eject-percent",
        "RATTANFALL_EJECT_PERCENT",
        Some("30"),
        ENGINE,
        "Most of a pool that is ejected",
    ),
    setting(
        "snapshot-batches",
        "RATTANFALL_SNAPSHOT_BATCHES",
        Some("5000"),
        ENGINE,
        "Log batches between two snapshots",
    ),
    setting("log", "RATTANFALL_LOG", Some("info,tarpc=warn"), LOGS, "Log filter, as of env_logger"),
];

const fn setting(
    flag: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    heading: &'static str,
    help: &'static str,
) -> Setting {
    Setting { flag, variable, default, heading, help }
}

/// Command line of `rattanfall-entry`. Values are not validated here, so that `config` can report all
/// problems together.
#[must_use]
pub fn command() -> Command {
    let command = Command::new("rattanfall-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers and operators of one fleet as one of its entry instances");
    command.args(SETTINGS.iter().map(argument))
}

fn argument(setting: &Setting) -> Arg {
    let arg = Arg::new(setting.flag)
        .long(setting.flag)
        .env(setting.variable)
        .hide_env_values(true)
        .value_name("VALUE")
        .help(setting.help)
        .help_heading(setting.heading);
    match setting.default {
        Some(text) => arg.default_value(text),
        None => arg,
    }
}

/// Values from the command line, the environment or the defaults.
#[must_use]
pub fn raw_settings(matches: &ArgMatches) -> RawSettings {
    let given = |s: &Setting| matches.get_one::<String>(s.flag).map(|text| (s.flag, text.clone()));
    SETTINGS.iter().filter_map(given).collect()
}

/// Default values; required settings are absent.
#[must_use]
pub fn defaults() -> RawSettings {
    SETTINGS.iter().filter_map(|s| s.default.map(|text| (s.flag, text.to_owned()))).collect()
}
