//! Command-line flags and environment variables of the stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use clap::{Arg, ArgMatches, value_parser};

use crate::worker::Spec;

/// Stand-in that the command line selects.
#[derive(Clone, Debug)]
pub enum Command {
    /// Runs the platform.
    Platform(PlatformOptions),
    /// Runs one or more workers.
    Worker(WorkerOptions),
}

/// Settings of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 picks any free port.
    pub listen: SocketAddr,
    /// Number of log entries that are kept.
    pub retention: usize,
    /// Number of appends accepted per second.
    pub append_rate: u32,
    /// Time until a change appears in the list of instances, in milliseconds.
    pub list_lag_ms: u64,
}

/// Settings of the workers of one process.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// IP address to listen on.
    pub ip: IpAddr,
    /// Port of the first worker; 0 picks any free port for each worker.
    pub port: u16,
    /// Number of workers, on consecutive ports.
    pub count: u16,
    /// Prefix of the workers' names, followed by `-` and a number from 0.
    pub name: String,
    /// Availability zone of all workers.
    pub zone: String,
    /// Prefix of the racks' names, followed by `-` and a number from 0.
    pub rack: String,
    /// Number of workers in a rack.
    pub rack_size: u16,
    /// Pool of all workers until a reboot changes it.
    pub pool: String,
    /// Number of requests and tasks that each worker runs concurrently.
    pub slots: u32,
    /// Time from grant or renewal to expiry of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// Number of entries that the journal of each worker keeps.
    pub journal: usize,
    /// `ip:port` of the platform to register with; `None` skips the registration.
    pub platform: Option<String>,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            retention: 100_000,
            append_rate: 300,
            list_lag_ms: 500,
        }
    }
}

impl Default for WorkerOptions {
    fn default() -> Self {
        Self {
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            port: 0,
            count: 1,
            name: "worker".into(),
            zone: "zone-a".into(),
            rack: "rack".into(),
            rack_size: 4,
            pool: "spare".into(),
            slots: 8,
            lease_ms: 5_000,
            reboot_ms: 1_000,
            journal: 1_000_000,
            platform: None,
        }
    }
}

impl WorkerOptions {
    /// Specification of the worker with this number, counted from 0.
    #[must_use]
    pub fn spec(&self, number: u16, address: SocketAddr) -> Spec {
        Spec {
            name: format!("{}-{number}", self.name),
            address: address.to_string(),
            zone: self.zone.clone(),
            rack: format!("{}-{}", self.rack, number / self.rack_size.max(1)),
            pool: self.pool.clone(),
            slots: self.slots,
            lease_ms: self.lease_ms,
            reboot_ms: self.reboot_ms,
            journal_entries: self.journal,
        }
    }
}

/// Parses the arguments of the process; exits with a usage message if they are invalid.
#[must_use]
pub fn parse() -> Command {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("platform", matches)) => Command::Platform(platform_options(matches)),
        Some((_, matches)) => Command::Worker(worker_options(matches)),
        None => unreachable!("a subcommand is required"),
    }
}

/// Command line of `rattanfall-standin`, also used to check the documentation of its flags.
#[must_use]
pub fn command() -> clap::Command {
    clap::Command::new("rattanfall-standin")
        .about("Stand-ins for the platform and the workers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(platform_command())
        .subcommand(worker_command())
}

fn platform_command() -> clap::Command {
    let defaults = PlatformOptions::default();
    clap::Command::new("platform")
        .about("Log service and list of instances")
        .arg(setting("listen", "RATTANFALL_STANDIN_LISTEN", "Address to listen on", "127.0.0.1:7000"))
        .arg(setting(
            "retention",
            "RATTANFALL_STANDIN_RETENTION",
            "Number of log entries to keep",
            defaults.retention,
        ))
        .arg(setting(
            "append-rate",
            "RATTANFALL_STANDIN_APPEND_RATE",
            "Appends accepted per second",
            defaults.append_rate,
        ))
        .arg(setting(
            "list-lag-ms",
            "RATTANFALL_STANDIN_LIST_LAG_MS",
            "Time until a change appears in the list of instances, in ms",
            defaults.list_lag_ms,
        ))
        .mut_arg("listen", |arg| arg.value_parser(value_parser!(SocketAddr)))
        .mut_arg("retention", |arg| arg.value_parser(value_parser!(usize)))
        .mut_arg("append-rate", |arg| arg.value_parser(value_parser!(u32)))
        .mut_arg("list-lag-ms", |arg| arg.value_parser(value_parser!(u64)))
}

fn worker_command() -> clap::Command {
    let defaults = WorkerOptions::default();
    clap::Command::new("worker")
        .about("Workers on consecutive ports")
        .arg(setting("ip", "RATTANFALL_STANDIN_WORKER_IP", "IP address to listen on", defaults.ip))
        .arg(setting(
            "port",
            "RATTANFALL_STANDIN_WORKER_PORT",
            "Port of the first worker; 0 for any free ports",
            7100,
        ))
        .arg(setting("count", "RATTANFALL_STANDIN_WORKER_COUNT", "Number of workers", defaults.count))
        .arg(setting("name", "RATTANFALL_STANDIN_WORKER_NAME", "Prefix of the worker names", defaults.name))
        .arg(setting("zone", "RATTANFALL_STANDIN_ZONE", "Availability zone of the workers", defaults.zone))
        .arg(setting("rack", "RATTANFALL_STANDIN_RACK", "Prefix of the rack names", defaults.rack))
        .arg(setting("rack-size", "RATTANFALL_STANDIN_RACK_SIZE", "Workers per rack", defaults.rack_size))
        .arg(setting("pool", "RATTANFALL_STANDIN_POOL", "Pool of the workers", defaults.pool))
        .arg(setting(
            "slots",
            "RATTANFALL_STANDIN_SLOTS",
            "Requests and tasks that a worker runs concurrently",
            defaults.slots,
        ))
        .arg(setting(
            "lease-ms",
            "RATTANFALL_STANDIN_LEASE_MS",
            "Time to expiry of a lease, in ms",
            defaults.lease_ms,
        ))
        .arg(setting(
            "reboot-ms",
            "RATTANFALL_STANDIN_REBOOT_MS",
            "Duration of a reboot, in ms",
            defaults.reboot_ms,
        ))
        .arg(setting(
            "journal",
            "RATTANFALL_STANDIN_JOURNAL",
            "Journal entries to keep per worker",
            defaults.journal,
        ))
        .arg(
            Arg::new("platform")
                .long("platform")
                .env("RATTANFALL_PLATFORM")
                .help("Address of the platform to register with, ip:port"),
        )
        .mut_arg("ip", |arg| arg.value_parser(value_parser!(IpAddr)))
        .mut_args(|arg| match arg.get_id().as_str() {
            "port" | "count" | "rack-size" => arg.value_parser(value_parser!(u16)),
            "slots" => arg.value_parser(value_parser!(u32)),
            "lease-ms" | "reboot-ms" => arg.value_parser(value_parser!(u64)),
            "journal" => arg.value_parser(value_parser!(usize)),
            _ => arg,
        })
}

fn setting(name: &'static str, variable: &'static str, help: &'static str, default: impl ToString) -> Arg {
    Arg::new(name).long(name).env(variable).help(help).default_value(default.to_string())
}

fn platform_options(matches: &ArgMatches) -> PlatformOptions {
    PlatformOptions {
        listen: value(matches, "listen"),
        retention: value(matches, "retention"),
        append_rate: value(matches, "append-rate"),
        list_lag_ms: value(matches, "list-lag-ms"),
    }
}

fn worker_options(matches: &ArgMatches) -> WorkerOptions {
    WorkerOptions {
        ip: value(matches, "ip"),
        port: value(matches, "port"),
        count: value(matches, "count"),
        name: value(matches, "name"),
        zone: value(matches, "zone"),
        rack: value(matches, "rack"),
        rack_size: value(matches, "rack-size"),
        pool: value(matches, "pool"),
        slots: value(matches, "slots"),
        lease_ms: value(matches, "lease-ms"),
        reboot_ms: value(matches, "reboot-ms"),
        journal: value(matches, "journal"),
        platform: matches.get_one::<String>("platform").cloned(),
    }
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("each setting has a default value")
}
