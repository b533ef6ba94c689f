//! Deviation of the completed work from the fair shares, over windows of full load.

use serde::Serialize;

use super::{TeamDemand, fair_shares};

/// Length of a window, in seconds.
pub const WINDOW_S: usize = 10;
/// A window has full load if the demand is at least the completed work times this factor.
const FULL_LOAD_FACTOR: f64 = 1.1;

/// Work of one team in each second of a run, as the sum of durations in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkPerSecond {
    /// Work by the second of its intended send.
    pub sent: Vec<u64>,
    /// Work by the second of its completion, with any outcome.
    pub ended: Vec<u64>,
    /// Work that succeeded, by the second of its completion.
    pub done: Vec<u64>,
}

/// Largest deviation over all windows of full load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ShareDeviation {
    /// Count of windows of full load; the other fields are 0 if there are none.
    pub windows: usize,
    /// Largest difference between a team's fraction of the completed work and its fair share, 0 to 1.
    #[serde(rename = "worst")]
    pub max_deviation: f64,
    /// First second of the window with this deviation.
    pub second: usize,
    /// Index of the team with this deviation.
    pub team: usize,
}

impl WorkPerSecond {
    /// Adds work to a second of a series, which grows as needed.
    pub fn add(series: &mut Vec<u64>, second: u64, work_ms: u32) {
        let second = usize::try_from(second).unwrap_or(usize::MAX - 1);
        if series.len() <= second {
            series.resize(second + 1, 0);
        }
        series[second] += u64::from(work_ms);
    }

    // Work that is outstanding when the window starts, and work sent during it.
    fn demand(&self, from: usize, to: usize) -> f64 {
        let sent: u64 = self.sent.iter().take(to).sum();
        let ended: u64 = self.ended.iter().take(from).sum();
        sent.saturating_sub(ended) as f64
    }

    fn done(&self, from: usize, to: usize) -> f64 {
        self.done.iter().take(to).skip(from).sum::<u64>() as f64
    }
}

/// Compares the completed work with the fair shares over each window of full load within the first `seconds` of a run.
#[must_use]
pub fn share_deviation(teams: &[(u32, &WorkPerSecond)], seconds: usize) -> ShareDeviation {
    let mut all = ShareDeviation::default();
    for from in 0..(seconds + 1).saturating_sub(WINDOW_S) {
        let Some((max_deviation, team)) = max_deviation(teams, from, from + WINDOW_S) else { continue };
        if all.windows == 0 || max_deviation > all.max_deviation {
            all = ShareDeviation { max_deviation, second: from, team, ..all };
        }
        all.windows += 1;
    }
    all
}

fn max_deviation(teams: &[(u32, &WorkPerSecond)], from: usize, to: usize) -> Option<(f64, usize)> {
    let team = |(weight, work): &(u32, &WorkPerSecond)| TeamDemand {
        weight: f64::from(*weight),
        demand: work.demand(from, to),
    };
    let demands: Vec<TeamDemand> = teams.iter().map(team).collect();
    let done: Vec<f64> = teams.iter().map(|(_, work)| work.done(from, to)).collect();
    let total: f64 = done.iter().sum();
    let demand: f64 = demands.iter().map(|team| team.demand).sum();
    if total <= 0.0 || demand < total * FULL_LOAD_FACTOR {
        return None;
    }
    let parts = fair_shares(&demands, total)
        .into_iter()
        .zip(done)
        .map(|(fair_shares, done)| (fair_shares - done).abs() / total);
    parts.zip(0..).max_by(|one, other| one.0.total_cmp(&other.0))
}
