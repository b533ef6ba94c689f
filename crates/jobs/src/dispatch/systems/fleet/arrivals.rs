//! Rate at which work arrives in a pool.
//!
//! Demand may rise many times within a second, and a machine takes seconds to move. The rate is therefore the highest one that
//! several short windows show, each less the deviation that chance explains. Jobs are counted, and their work is averaged over
//! more of them, because a single large job says little about those that follow.

/// Width of a bucket in milliseconds.
const BUCKET_MS: u64 = 50;
/// Number of buckets. All together are longer than the pauses between the jobs of a surge.
const BUCKETS: usize = 16;
/// Buckets in each window.
const WINDOWS: [usize; 3] = [4, 8, BUCKETS];
/// Jobs over which the work of a job is averaged.
const MEAN_JOBS: u64 = 32;

/// Recent arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Arrivals {
    /// Jobs in each bucket, by the number of the bucket modulo the number of buckets.
    counts: [u32; BUCKETS],
    /// Number of the newest bucket.
    newest: u64,
    /// Mean work of a job, in thousandths of a core times milliseconds.
    mean: u64,
    /// Jobs in that mean, up to [`MEAN_JOBS`].
    jobs: u64,
}

impl Arrivals {
    /// Adds a job that arrived at a time.
    pub(super) fn add(&mut self, at: u64, work: u64) {
        self.jobs = (self.jobs + 1).min(MEAN_JOBS);
        self.mean = self.mean - self.mean / self.jobs + work / self.jobs;
        let bucket = at / BUCKET_MS;
        self.advance(bucket);
        if self.newest < bucket + BUCKETS as u64 {
            let count = &mut self.counts[(bucket % BUCKETS as u64) as usize];
            *count = count.saturating_add(1);
        }
    }

    /// Empties the buckets up to a newer one.
    fn advance(&mut self, bucket: u64) {
        if bucket >= self.newest + BUCKETS as u64 {
            self.counts = [0; BUCKETS];
            self.newest = bucket;
        }
        while self.newest < bucket {
            self.newest += 1;
            self.counts[(self.newest % BUCKETS as u64) as usize] = 0;
        }
    }

    /// Rate of arriving work, in thousandths of a core.
    pub(super) fn rate(&self, now: u64) -> u64 {
        let last = now / BUCKET_MS;
        let mut count = 0_u64;
        let mut rate = 0_u64;
        let mut first = 0;
        for window in WINDOWS {
            for age in first..window as u64 {
                let Some(bucket) = last.checked_sub(age) else { break };
                if bucket <= self.newest && bucket + BUCKETS as u64 > self.newest {
                    count += u64::from(self.counts[(bucket % BUCKETS as u64) as usize]);
                }
            }
            first = window as u64;
            let sure = count - count.isqrt() / 2;
            rate = rate.max(self.mean.saturating_mul(sure) / (window as u64 * BUCKET_MS));
        }
        rate
    }
}
