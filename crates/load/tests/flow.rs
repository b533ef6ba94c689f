//! Parsing of flows, rate patterns and arrival times.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rattanfall_load::flow::{Arrivals, FlowError, Pattern, Work, parse};
use rstest::rstest;

const SURGE: Duration = Duration::from_secs(4);

/// Guards against pairs that are ignored or parsed wrongly without an error.
#[rstest]
fn a_flow_is_read_from_pairs() {
    let text = "team=north,key=k,pool=orders+quotes,rate=10,share=3,class=urgent,work-ms=5..9,tasks=0.1";
    let flows = parse(&[text.into()], SURGE).unwrap();
    let read: Vec<_> = flows.iter().map(|flow| (&*flow.pool, flow.rate, flow.share, flow.tasks)).collect();
    assert_eq!(read, [("orders", 5.0, 3, 0.1), ("quotes", 5.0, 3, 0.1)]);
    assert_eq!((flows[0].work, flows[0].pattern), (Work::Uniform(5.0, 9.0), Pattern::Steady));
}

/// Guards against accepting a misspelt flow, which would send a different load.
#[rstest]
#[case("team=a,pool=p", FlowError::Missing("rate"))]
#[case("team=a,pool=p,rate=1,wrk-ms=5", FlowError::Key("wrk-ms".into()))]
#[case("team=a,team=b,pool=p,rate=1", FlowError::Key("team".into()))]
#[case("team=a,pool=p,rate=1,class=high", FlowError::Value { key: "class".into(), value: "high".into() })]
#[case("team", FlowError::Pair("team".into()))]
fn a_malformed_flow_is_refused(#[case] text: &str, #[case] expected: FlowError) {
    assert_eq!(parse(&[text.into()], SURGE), Err(expected));
}

/// Guards against a pattern whose mean differs from the flow's rate, and against pools that surge at the same time.
#[rstest]
fn pools_surge_in_turn_around_the_mean() {
    let text = "team=a,pool=p+q+r+s,rate=400,pattern=waves";
    let flows = parse(&[text.into()], SURGE).unwrap();
    let surging =
        |ms| flows.iter().filter(|flow| flow.pattern.factor(Duration::from_millis(ms)) > 1.0).count();
    assert!((0..100_000).step_by(100).all(|ms| surging(ms) <= 1));
    // Ten cycles of 20.84 s.
    let end = Duration::from_secs_f64(208.4);
    for flow in flows {
        let mut random = StdRng::seed_from_u64(7);
        let mut arrivals = Arrivals::new(flow.rate, flow.pattern);
        let times = std::iter::from_fn(|| arrivals.next(&mut random)).take_while(|at| *at < end);
        let mean = times.count() as f64 / end.as_secs_f64();
        assert!((mean - 100.0).abs() < 3.0, "the mean rate is {mean}");
    }
}
