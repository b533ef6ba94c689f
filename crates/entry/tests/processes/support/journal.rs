//! Evaluation of the workers' journals.

use rattanfall_standin::worker::{Entry, JournalPage};

use super::Sample;

/// Number of starts of the work with this token, over all workers.
pub(crate) fn starts_of(journals: &[JournalPage], token: &str) -> usize {
    journals.iter().flat_map(|page| &page.entries).filter(|entry| entry.start.token == token).count()
}

/// Highest number of concurrent runs of a team over all workers.
pub(crate) fn peak_running(journals: &[JournalPage], team: &str) -> i64 {
    running_over_time(journals, team).into_iter().map(|(_, level)| level).max().unwrap_or(0)
}

/// First time from `after_us` on at which a team has this many concurrent runs, in microseconds since 1970.
pub(crate) fn first_reached(journals: &[JournalPage], team: &str, wanted: i64, after_us: u64) -> Option<u64> {
    let running_over_time = running_over_time(journals, team).into_iter();
    running_over_time.filter(|(at, level)| *at >= after_us && *level >= wanted).map(|(at, _)| at).next()
}

/// Number of concurrent runs of a team after each change, in order of time.
fn running_over_time(journals: &[JournalPage], team: &str) -> Vec<(u64, i64)> {
    let own = |entry: &&Entry| entry.start.team == team;
    let mut steps: Vec<(u64, i64)> = Vec::new();
    for entry in journals.iter().flat_map(|page| &page.entries).filter(own) {
        steps.push((entry.started_us, 1));
        if entry.ended_us > 0 {
            steps.push((entry.ended_us, -1));
        }
    }
    // With equal times, an end sorts before a start.
    steps.sort_unstable();
    let mut level = 0;
    let sum = |(at, step): (u64, i64)| {
        level += step;
        (at, level)
    };
    steps.into_iter().map(sum).collect()
}

/// Asserts that every request that ran has its complete response and that no other request ran, over at least 21
/// successful requests.
pub(crate) fn assert_none_interrupted(samples: &[Sample], journals: &[JournalPage]) {
    for sample in samples {
        let starts = starts_of(journals, &sample.token);
        assert_eq!(starts, usize::from(sample.is_done()), "{sample:?}");
    }
    assert!(
        samples.iter().filter(|sample| sample.is_done()).count() > 20,
        "too few successful requests, {} samples",
        samples.len()
    );
}
