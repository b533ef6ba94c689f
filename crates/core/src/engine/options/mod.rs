//! Settings of one engine. The process fills them from its flags.

/// Settings of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the entry instance; a replacement keeps it.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Address of its peer listener, `ip:port`.
    pub address: String,
    /// Random number of this process.
    pub nonce: u64,
    /// Interval of group commits, in milliseconds.
    pub commit_ms: u64,
    /// Interval of digests to peers, in milliseconds.
    pub gossip_ms: u64,
    /// Age at which a peer's sums expire, in milliseconds.
    pub digest_ttl_ms: u64,
    /// Longest lease that a worker grants, in milliseconds.
    pub lease_cap_ms: u64,
    /// Bound on the drift between two clocks, in parts per million.
    pub drift_ppm: u64,
    /// Longest time until the platform's list shows a running instance, in milliseconds.
    pub list_lag_ms: u64,
    /// Age of the view above which starts are counted as stale, in milliseconds.
    pub stale_ms: u64,
    /// Connections to one worker.
    pub connections: u32,
    /// Retries in percent of a team's requests.
    pub retry_percent: u32,
    /// Part of a pool that may be ejected at once, in percent.
    pub eject_percent: u32,
    /// Log batches between two snapshots.
    pub snapshot_batches: u64,
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
        }
    }
}
