//! Settings of an engine, taken from the command line of the process.

/// Settings of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the entry instance. A replacement process has the same name.
    pub name: String,
    /// Name of the instance's availability zone.
    pub zone: String,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Random number that distinguishes this process from earlier ones of the same name.
    pub nonce: u64,
    /// Minimum interval between new batches (group commit), in milliseconds.
    pub commit_ms: u64,
    /// Minimum interval between digests to peers, in milliseconds.
    pub gossip_ms: u64,
    /// Age at which a peer's digest is dropped, in milliseconds.
    pub digest_ttl_ms: u64,
    /// Maximum lease that a worker grants, in milliseconds.
    pub lease_cap_ms: u64,
    /// Upper bound on the drift between two clocks, in parts per million.
    pub drift_ppm: u64,
    /// Maximum delay until the platform's list shows a running instance, in milliseconds.
    pub list_lag_ms: u64,
    /// Age of the log replica above which starts count as stale, in milliseconds.
    pub stale_ms: u64,
    /// Maximum connections to one worker.
    pub connections: u32,
    /// Maximum retries, in percent of a team's requests.
    pub retry_percent: u32,
    /// Maximum workers of a pool that are ejected at a time, in percent.
    pub eject_percent: u32,
    /// Number of log batches between two snapshots.
    pub snapshot_batches: u64,
    /// Memory that accepted tasks may take until they end, by estimate, in bytes.
    pub accepted_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "entry".into(),
            zone: "zone".into(),
            address: "127.0.0.1:0".into(),
            nonce: 1,
            commit_ms: 50,
            gossip_ms: 250,
            digest_ttl_ms: 3_000,
            lease_cap_ms: 10_000,
            drift_ppm: 1_000,
            list_lag_ms: 60_000,
            stale_ms: 5_000,
            connections: 8,
            retry_percent: 10,
            eject_percent: 30,
            snapshot_batches: 5_000,
            accepted_bytes: 64 << 20,
        }
    }
}
