//! Checks of answers and journals, and the fair shares.

use http::{HeaderMap, HeaderValue};
use rattanfall_load::audit::{RunState, StartedRun, violation};
use rattanfall_load::flow::WorkItem;
use rattanfall_load::send::{Outcome, Violation, verify};
use rattanfall_load::share::{TeamDemand, WINDOW_S, WorkPerSecond, fair_shares, share_deviation};
use rattanfall_load::tally::ItemResult;
use rstest::rstest;

/// Guards against accepting an answer that belongs to another work item or is incomplete.
#[rstest]
#[case::whole("tok", "5", "tok\n......", Ok(()))]
#[case::other_header("tak", "5", "tok\n......", Err(Violation::CrossedAnswer))]
#[case::other_body("tok", "5", "tak\n......", Err(Violation::CrossedAnswer))]
#[case::short("tok", "5", "tok\n...", Err(Violation::TruncatedAnswer))]
#[case::shorter_than_the_token("tok", "5", "to", Err(Violation::TruncatedAnswer))]
#[case::empty("tok", "5", "", Err(Violation::TruncatedAnswer))]
#[case::mixed("tok", "5", "tok\n..x...", Err(Violation::TruncatedAnswer))]
#[case::request_body_cut("tok", "4", "tok\n......", Err(Violation::TruncatedAnswer))]
fn answers_are_complete_and_match_their_request(
    #[case] token: &'static str,
    #[case] received: &'static str,
    #[case] body: &str,
    #[case] expected: Result<(), Violation>,
) {
    let mut headers = HeaderMap::new();
    headers.insert("x-caller-token", HeaderValue::from_static(token));
    headers.insert("x-received-bytes", HeaderValue::from_static(received));
    assert_eq!(verify("tok", 10, 5, &headers, body.as_bytes()), expected);
}

fn start(started_us: u64, ended_us: u64, end: RunState) -> StartedRun {
    StartedRun { token: "p-0".into(), started_us, ended_us, end }
}

const DONE: Outcome = Outcome::Done { failed: false };

/// Guards against an audit that misses work that ran after a "not run", a second run, or a "done" without a run.
#[rstest]
#[case::once(false, false, DONE, vec![start(1, 2, RunState::Done)], None)]
#[case::request_again(false, false, DONE, vec![start(1, 2, RunState::Failed), start(3, 4, RunState::Done)], Some(Violation::RanTwice))]
#[case::idempotent_again(false, true, DONE, vec![start(1, 2, RunState::Done), start(3, 4, RunState::Done)], None)]
#[case::task_resumed(true, false, DONE, vec![start(3, 4, RunState::Done), start(1, 3, RunState::Stopped)], None)]
#[case::task_overlaps(true, false, DONE, vec![start(1, 9, RunState::Stopped), start(3, 4, RunState::Done)], Some(Violation::RanTwice))]
#[case::task_after_done(true, false, DONE, vec![start(1, 2, RunState::Done), start(3, 4, RunState::Done)], Some(Violation::RanTwice))]
#[case::not_run(false, true, Outcome::NotRun("full".into()), vec![start(1, 2, RunState::Done)], Some(Violation::NotRunRan))]
#[case::not_started(false, true, DONE, vec![], Some(Violation::DoneNotStarted))]
#[case::unknown(false, false, Outcome::Unknown("broken".into()), vec![], None)]
fn journals_show_violations(
    #[case] task: bool,
    #[case] idempotent: bool,
    #[case] outcome: Outcome,
    #[case] runs: Vec<StartedRun>,
    #[case] expected: Option<Violation>,
) {
    let result = ItemResult { item: WorkItem { number: 0, flow: 0, work_ms: 1, idempotent, task }, outcome };
    let runs: Vec<&StartedRun> = runs.iter().collect();
    assert_eq!(violation(&result, &runs, true), expected);
}

/// Guards against shares above a team's demand, and against unused capacity that is not split among the others.
#[rstest]
#[case::by_weight(&[(1.0, 100.0), (3.0, 100.0)], 40.0, &[10.0, 30.0])]
#[case::small_demand(&[(1.0, 100.0), (1.0, 100.0), (2.0, 4.0)], 40.0, &[18.0, 18.0, 4.0])]
#[case::not_full(&[(1.0, 5.0), (1.0, 6.0)], 40.0, &[5.0, 6.0])]
#[case::nobody(&[], 40.0, &[])]
fn fair_shares_fill_demands_by_weight(
    #[case] demands: &[(f64, f64)],
    #[case] capacity: f64,
    #[case] expected: &[f64],
) {
    let demands: Vec<TeamDemand> =
        demands.iter().map(|&(weight, demand)| TeamDemand { weight, demand }).collect();
    assert_eq!(fair_shares(&demands, capacity), expected);
}

/// Guards against a wrong deviation, and against counting windows without full load.
#[rstest]
#[case::by_weight([3, 1], [30, 30], [30, 10], 0.0, 1)]
#[case::off([3, 1], [30, 30], [20, 20], 0.25, 1)]
#[case::not_full([3, 1], [30, 10], [30, 10], 0.0, 0)]
fn the_deviation_counts_windows_of_full_load(
    #[case] weights: [u32; 2],
    #[case] sent: [u64; 2],
    #[case] done: [u64; 2],
    #[case] max_deviation: f64,
    #[case] windows: usize,
) {
    let team = |index: usize| WorkPerSecond {
        sent: vec![sent[index]; WINDOW_S],
        ended: vec![done[index]; WINDOW_S],
        done: vec![done[index]; WINDOW_S],
    };
    let teams = [team(0), team(1)];
    let found = share_deviation(&[(weights[0], &teams[0]), (weights[1], &teams[1])], WINDOW_S);
    assert_eq!((found.max_deviation, found.windows), (max_deviation, windows));
}

/// Guards against a window whose demand omits work that was sent before it and has not ended.
#[rstest]
fn demand_includes_the_backlog() {
    let work =
        WorkPerSecond { sent: vec![1_000], ended: vec![10; WINDOW_S + 1], done: vec![10; WINDOW_S + 1] };
    assert_eq!(share_deviation(&[(1, &work)], WINDOW_S + 1).windows, 2);
}
