//! Checks of answers and journals, and the share owed.

use http::{HeaderMap, HeaderValue};
use rattanfall_load::audit::{RunEnd, Start, breach};
use rattanfall_load::flow::Order;
use rattanfall_load::send::{Breach, Outcome, verify};
use rattanfall_load::share::{Claim, Seconds, WINDOW_S, closeness, owed};
use rattanfall_load::tally::Trace;
use rstest::rstest;

/// Guards against a check that passes an answer to other work or a part of an answer.
#[rstest]
#[case::whole("tok", "5", "tok\n......", Ok(()))]
#[case::other_header("tak", "5", "tok\n......", Err(Breach::CrossedAnswer))]
#[case::other_body("tok", "5", "tak\n......", Err(Breach::CrossedAnswer))]
#[case::short("tok", "5", "tok\n...", Err(Breach::TruncatedAnswer))]
#[case::shorter_than_the_token("tok", "5", "to", Err(Breach::TruncatedAnswer))]
#[case::empty("tok", "5", "", Err(Breach::TruncatedAnswer))]
#[case::mixed("tok", "5", "tok\n..x...", Err(Breach::TruncatedAnswer))]
#[case::request_body_cut("tok", "4", "tok\n......", Err(Breach::TruncatedAnswer))]
fn an_answer_is_whole_and_its_own(
    #[case] token: &'static str,
    #[case] received: &'static str,
    #[case] body: &str,
    #[case] expected: Result<(), Breach>,
) {
    let mut headers = HeaderMap::new();
    headers.insert("x-caller-token", HeaderValue::from_static(token));
    headers.insert("x-received-bytes", HeaderValue::from_static(received));
    assert_eq!(verify("tok", 10, 5, &headers, body.as_bytes()), expected);
}

fn start(started_us: u64, ended_us: u64, end: RunEnd) -> Start {
    Start { token: "p-0".into(), started_us, ended_us, end }
}

const DONE: Outcome = Outcome::Done { failed: false };

/// Guards against an audit that misses a false "not run", a second run, or an answer without a run.
#[rstest]
#[case::once(false, false, DONE, vec![start(1, 2, RunEnd::Done)], None)]
#[case::request_again(false, false, DONE, vec![start(1, 2, RunEnd::Failed), start(3, 4, RunEnd::Done)], Some(Breach::RanTwice))]
#[case::idempotent_again(false, true, DONE, vec![start(1, 2, RunEnd::Done), start(3, 4, RunEnd::Done)], None)]
#[case::task_resumed(true, false, DONE, vec![start(3, 4, RunEnd::Done), start(1, 3, RunEnd::Stopped)], None)]
#[case::task_overlaps(true, false, DONE, vec![start(1, 9, RunEnd::Stopped), start(3, 4, RunEnd::Done)], Some(Breach::RanTwice))]
#[case::task_after_done(true, false, DONE, vec![start(1, 2, RunEnd::Done), start(3, 4, RunEnd::Done)], Some(Breach::RanTwice))]
#[case::not_run(false, true, Outcome::NotRun("full".into()), vec![start(1, 2, RunEnd::Done)], Some(Breach::NotRunRan))]
#[case::not_started(false, true, DONE, vec![], Some(Breach::DoneNotStarted))]
#[case::unknown(false, false, Outcome::Unknown("broken".into()), vec![], None)]
fn journals_show_broken_promises(
    #[case] task: bool,
    #[case] idempotent: bool,
    #[case] outcome: Outcome,
    #[case] runs: Vec<Start>,
    #[case] expected: Option<Breach>,
) {
    let trace = Trace { order: Order { number: 0, flow: 0, work_ms: 1, idempotent, task }, outcome };
    let runs: Vec<&Start> = runs.iter().collect();
    assert_eq!(breach(&trace, &runs, true), expected);
}

/// Guards against a share owed that ignores a small demand, or gives away what it leaves.
#[rstest]
#[case::by_weight(&[(1.0, 100.0), (3.0, 100.0)], 40.0, &[10.0, 30.0])]
#[case::small_demand(&[(1.0, 100.0), (1.0, 100.0), (2.0, 4.0)], 40.0, &[18.0, 18.0, 4.0])]
#[case::not_full(&[(1.0, 5.0), (1.0, 6.0)], 40.0, &[5.0, 6.0])]
#[case::nobody(&[], 40.0, &[])]
fn the_share_owed_fills_demands_by_weight(
    #[case] claims: &[(f64, f64)],
    #[case] capacity: f64,
    #[case] expected: &[f64],
) {
    let claims: Vec<Claim> = claims.iter().map(|&(weight, demand)| Claim { weight, demand }).collect();
    assert_eq!(owed(&claims, capacity), expected);
}

/// Guards against a distance that ignores a backlog from before the window or counts windows with free capacity.
#[rstest]
#[case::by_weight([3, 1], [30, 30], [30, 10], 0.0, 1)]
#[case::off([3, 1], [30, 30], [20, 20], 0.25, 1)]
#[case::not_full([3, 1], [30, 10], [30, 10], 0.0, 0)]
fn the_distance_counts_windows_of_full_load(
    #[case] weights: [u32; 2],
    #[case] sent: [u64; 2],
    #[case] done: [u64; 2],
    #[case] worst: f64,
    #[case] windows: usize,
) {
    let team = |index: usize| Seconds {
        sent: vec![sent[index]; WINDOW_S],
        ended: vec![done[index]; WINDOW_S],
        done: vec![done[index]; WINDOW_S],
    };
    let teams = [team(0), team(1)];
    let found = closeness(&[(weights[0], &teams[0]), (weights[1], &teams[1])], WINDOW_S);
    assert_eq!((found.worst, found.windows), (worst, windows));
}

/// Guards against a window that takes work sent earlier as no demand.
#[rstest]
fn a_backlog_is_demand() {
    let work = Seconds { sent: vec![1_000], ended: vec![10; WINDOW_S + 1], done: vec![10; WINDOW_S + 1] };
    assert_eq!(closeness(&[(1, &work)], WINDOW_S + 1).windows, 2);
}
