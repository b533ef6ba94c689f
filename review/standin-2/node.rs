//! Processes of the system, started with the command of the deploy file, and calls to them.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::call;
use crate::json::Json;

const PROGRAM: &str = "target/release/rattanfall-node";
pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";
pub const KEY: &str = "k-5c0e7a21";
/// Memory of a machine, in MB. The platform kills a process that exceeds it.
pub const MEMORY_MB: u64 = 260;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub struct Node {
    pub name: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Manifest with one queue and one service.
pub fn manifest(service: &str, max_attempts: u32) -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-4jcda9r","host":"{HOST}","path_prefix":"{PREFIX}","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"{service}","max_attempts":{max_attempts},"stretch":1.6,"auth_exempt":false}}],"services":[{{"name":"{service}","rejects_overload":false,"standby":false}}],"limits":{{}},"tenants":[{{"name":"t-1","api_keys":["{KEY}"],"weight":1,"upper_bound":{{"cpu":0,"mem_mb":0,"gpu":0}}}}]}}"#
    )
}

/// Time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// First of a range of free ports.
fn free_ports(count: u16) -> io::Result<u16> {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.subsec_nanos());
    for attempt in 0..200_u32 {
        let first = 21_000 + ((seed / 1_000 + attempt * 37) % 400) as u16 * 20;
        if (0..count).all(|port| TcpListener::bind(("127.0.0.1", first + port)).is_ok()) {
            return Ok(first);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Node {
    pub fn start(name: &str, folder: &Path, store: SocketAddr, machines: SocketAddr) -> io::Result<Self> {
        let first = free_ports(19)?;
        let (front, ready) = (first + 16, first + 17);
        let settings = folder.join(format!("{name}.toml"));
        let control = first + 18;
        fs::write(
            &settings,
            format!(
                r#"node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region"
port_range = [{first},{}]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
control_mode = "rpc"
advice = ""
[zones]
zone-a = "region"
[listen_addrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
hold_max_ms = 10000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 3
checkpoint_s = 1
restore_ms = 100
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fence = false
lease_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_ms = 1000
[cloud_api]
address = "{machines}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"#,
                first + 15
            ),
        )?;
        let log = folder.join(format!("{name}.log"));
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let mut node =
            Self { name: name.to_owned(), front: address(front), ready: address(ready), settings, log, child: None };
        node.run()?;
        Ok(node)
    }

    /// Starts the process, again after it was killed.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("RATTANFALL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Memory that the process uses, in MB; none if it has ended.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS"))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kb| kb / 1_024)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/rattanfall/ready", &[], "", CALL_TIMEOUT).is_ok_and(|(status, _)| status == 200)
    }

    /// Makes a client's call about a job.
    pub fn call(&self, method: &str, rest: &str, body: &str) -> io::Result<(u16, Vec<u8>)> {
        let key = format!("Token {KEY}");
        let headers = [("host", HOST), ("authorization", key.as_str()), ("x-rattanfall-deadline-ms", "3000")];
        call(self.front, method, &format!("{PREFIX}{rest}"), &headers, body, CALL_TIMEOUT)
    }

    /// State of a job as a client sees it.
    pub fn state(&self, job: &str) -> Option<String> {
        let (status, body) = self.call("GET", job, "").ok()?;
        if status != 200 {
            return Some(status.to_string());
        }
        Json::parse(&body)?.text("state").map(str::to_owned)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds. False if it does not in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    false
}
