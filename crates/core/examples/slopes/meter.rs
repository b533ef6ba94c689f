//! Measurement of processor time and resident memory.

use std::fs::read_to_string;
use std::time::Instant;

/// Size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Lowest wall time of several repetitions, in microseconds.
///
/// The measured code neither waits nor does I/O, so its wall time is its processor time unless it is preempted; the
/// lowest repetition is the least disturbed one. The kernel's accounting of processor time is too coarse for
/// repetitions shorter than a few milliseconds.
pub(crate) fn lowest(times: impl IntoIterator<Item = f64>) -> f64 {
    times.into_iter().fold(f64::INFINITY, f64::min)
}

/// Wall time of a computation, in microseconds.
pub(crate) fn time(work: impl FnOnce()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_secs_f64() * 1e6
}

/// Resident memory of this process, in bytes; 0 where it cannot be read.
pub(crate) fn resident() -> u64 {
    let text = read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
