//! Flags and environment variables of the stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use clap::{Arg, ArgMatches, value_parser};

use crate::worker::Spec;

/// What to run.
#[derive(Clone, Debug)]
pub enum Command {
    /// The platform.
    Platform(PlatformOptions),
    /// Workers.
    Worker(WorkerOptions),
}

/// Settings of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Log entries that are kept.
    pub retention: usize,
    /// Appends accepted in a second.
    pub append_rate: u32,
    /// Time until the list shows a change, in milliseconds.
    pub list_lag_ms: u64,
}

/// Settings of the workers of one process.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// IP address to listen on.
    pub ip: IpAddr,
    /// Port of the first worker; 0 for any free ports.
    pub port: u16,
    /// Workers, on consecutive ports.
    pub count: u16,
    /// Names are this text and a number.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Racks are this text and a number.
    pub rack: String,
    /// Workers in one rack.
    pub rack_size: u16,
    /// Pool.
    pub pool: String,
    /// Slots of each worker.
    pub slots: u32,
    /// Lease time, in milliseconds.
    pub lease_ms: u64,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// Starts that the journal of each worker keeps.
    pub journal: usize,
    /// Platform to register at, `ip:port`.
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
    /// Settings of one worker.
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
            journal: self.journal,
        }
    }
}

/// Reads the arguments; ends the process with the help text if they are wrong.
#[must_use]
pub fn parse() -> Command {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("platform", matches)) => Command::Platform(platform_options(matches)),
        Some((_, matches)) => Command::Worker(worker_options(matches)),
        None => unreachable!("a subcommand is required"),
    }
}

/// Command line of `rattanfall-standin`.
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
            "Log entries that are kept",
            defaults.retention,
        ))
        .arg(setting(
            "append-rate",
            "RATTANFALL_STANDIN_APPEND_RATE",
            "Appends accepted in a second",
            defaults.append_rate,
        ))
        .arg(setting(
            "list-lag-ms",
            "RATTANFALL_STANDIN_LIST_LAG_MS",
            "Lag of the list, in ms",
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
        .arg(setting("port", "RATTANFALL_STANDIN_WORKER_PORT", "Port of the first worker; 0: any", 7100))
        .arg(setting("count", "RATTANFALL_STANDIN_WORKER_COUNT", "Workers in this process", defaults.count))
        .arg(setting("name", "RATTANFALL_STANDIN_WORKER_NAME", "Names are this and a number", defaults.name))
        .arg(setting("zone", "RATTANFALL_STANDIN_ZONE", "Availability zone", defaults.zone))
        .arg(setting("rack", "RATTANFALL_STANDIN_RACK", "Racks are this and a number", defaults.rack))
        .arg(setting("rack-size", "RATTANFALL_STANDIN_RACK_SIZE", "Workers in one rack", defaults.rack_size))
        .arg(setting("pool", "RATTANFALL_STANDIN_POOL", "Pool", defaults.pool))
        .arg(setting("slots", "RATTANFALL_STANDIN_SLOTS", "Work that a worker runs at once", defaults.slots))
        .arg(setting("lease-ms", "RATTANFALL_STANDIN_LEASE_MS", "Lease time, in ms", defaults.lease_ms))
        .arg(setting(
            "reboot-ms",
            "RATTANFALL_STANDIN_REBOOT_MS",
            "Duration of a reboot, in ms",
            defaults.reboot_ms,
        ))
        .arg(setting("journal", "RATTANFALL_STANDIN_JOURNAL", "Starts kept per worker", defaults.journal))
        .arg(
            Arg::new("platform")
                .long("platform")
                .env("RATTANFALL_PLATFORM")
                .help("Platform to register at, ip:port"),
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
