//! Repeats of calls to the store whose answers are late or lost.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use rattanfall_jobs::node::repeats::{AnswerTimes, Answered, Limits, call_repeated};
use rattanfall_jobs::ports::StoreError;
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Time limit of one attempt.
const LIMIT: Duration = Duration::from_millis(900);

/// Outcome of one attempt of a scripted call.
#[derive(Clone, Copy)]
enum Attempt {
    /// Answered after this many milliseconds.
    Answered(u64),
    /// Refused after this many milliseconds.
    Refused(u64),
    /// Never answered.
    Lost,
}

/// Estimate after a number of answers that took the same time, in milliseconds.
fn times(answers: usize, took_ms: u64) -> Cell<AnswerTimes> {
    let mut times = AnswerTimes::new(Limits { min_delay: Duration::from_millis(60), attempts: 3 });
    (0..answers).for_each(|_| times.add(Duration::from_millis(took_ms)));
    Cell::new(times)
}

/// Makes a call whose attempts have these outcomes. Returns its result and the time that it took, in milliseconds.
async fn play(times: &Cell<AnswerTimes>, script: &[Attempt]) -> (Answered<usize>, u128) {
    let made = RefCell::new(0);
    let begun = Instant::now();
    let answered = call_repeated(times, async || {
        let number = {
            let mut made = made.borrow_mut();
            *made += 1;
            *made - 1
        };
        match script.get(number).copied().unwrap_or(Attempt::Lost) {
            Attempt::Answered(ms) => {
                sleep(Duration::from_millis(ms)).await;
                Ok(number)
            }
            Attempt::Refused(ms) => {
                sleep(Duration::from_millis(ms)).await;
                Err(StoreError::Refused)
            }
            Attempt::Lost => {
                sleep(LIMIT).await;
                Err(StoreError::Unknown)
            }
        }
    })
    .await;
    (answered, begun.elapsed().as_millis())
}

#[tokio::test(start_paused = true)]
async fn an_answer_in_time_is_not_asked_for_again() {
    let times = times(20, 10);
    let (answered, took) = play(&times, &[Attempt::Answered(20)]).await;
    assert_eq!((answered, took), (Answered { result: Ok(0), repeats: 0 }, 20));
}

/// Guards against a lost answer that costs the time limit of a call.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_asked_for_again_before_the_time_limit() {
    let times = times(20, 10);
    let (answered, took) = play(&times, &[Attempt::Lost, Attempt::Lost, Attempt::Answered(10)]).await;
    assert_eq!(answered, Answered { result: Ok(2), repeats: 2 });
    assert!(took < LIMIT.as_millis() / 2, "{took} ms");
}

/// Guards against repeats that make a slow store slower.
#[rstest]
#[case::ten_times(100)]
#[case::fifty_times(400)]
#[tokio::test(start_paused = true)]
async fn a_store_that_is_slow_for_all_is_not_asked_again(#[case] took_ms: u64) {
    let times = times(20, took_ms);
    let (answered, _) = play(&times, &[Attempt::Answered(took_ms + took_ms / 4)]).await;
    assert_eq!(answered.repeats, 0);
}

/// Guards against repeats at the same pace while no attempt has an answer.
#[tokio::test(start_paused = true)]
async fn attempts_without_an_answer_make_repeats_rarer() {
    let times = times(20, 10);
    let mut made = Vec::new();
    for _ in 0..6 {
        made.push(play(&times, &[]).await.0.repeats);
    }
    assert!(made.is_sorted_by(|a, b| a >= b), "{made:?}");
    assert!(made.last() <= Some(&1), "{made:?}");
    let mut seen = times.get();
    seen.add(Duration::from_millis(10));
    assert!(seen.late_after() < LIMIT / 4, "{seen:?}");
}

/// A refused repeat says nothing about the attempt before it.
#[tokio::test(start_paused = true)]
async fn a_refused_attempt_does_not_end_the_others() {
    let times = times(20, 10);
    let (answered, _) = play(&times, &[Attempt::Answered(300), Attempt::Refused(5)]).await;
    assert_eq!(answered.result, Ok(0));
}

#[tokio::test(start_paused = true)]
async fn a_call_without_any_answer_fails_once_all_attempts_have() {
    let (answered, took) = play(&times(0, 0), &[]).await;
    assert_eq!(answered.result, Err(StoreError::Unknown));
    assert!(took <= 3 * LIMIT.as_millis(), "{took} ms");
}

/// Guards against a refusal for a call of which an earlier attempt may have taken effect.
#[rstest]
#[case::all_refused(Attempt::Refused(500), StoreError::Refused)]
#[case::one_unanswered(Attempt::Lost, StoreError::Unknown)]
#[tokio::test(start_paused = true)]
async fn a_call_counts_as_refused_only_if_each_attempt_was(
    #[case] first: Attempt,
    #[case] expected: StoreError,
) {
    let (answered, _) = play(&times(20, 10), &[first, Attempt::Refused(700), Attempt::Refused(700)]).await;
    assert_eq!(answered, Answered { result: Err(expected), repeats: 2 });
}

/// Guards against calls that wait for the time limit of their attempts while the store loses most answers.
#[tokio::test(start_paused = true)]
async fn repeats_follow_at_an_even_pace_while_answers_are_lost() {
    let times = times(20, 10);
    let (learned, _) = play(&times, &[Attempt::Lost, Attempt::Answered(10)]).await;
    assert_eq!(learned.result, Ok(1));
    let script =
        [Attempt::Lost, Attempt::Lost, Attempt::Lost, Attempt::Lost, Attempt::Lost, Attempt::Answered(10)];
    let (answered, took) = play(&times, &script).await;
    assert_eq!(answered, Answered { result: Ok(5), repeats: 5 });
    assert!(took < LIMIT.as_millis() / 2, "{took} ms");
    for _ in 0..20 {
        play(&times, &[Attempt::Answered(10)]).await;
    }
    let (answered, _) = play(&times, &[]).await;
    assert_eq!(answered.repeats, 2, "the store loses no answers any more");
}
