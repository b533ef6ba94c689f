//! Pacing: sends each work item at its intended time.
//!
//! The open loop runs in its own thread, because the timer of the asynchronous runtime has a resolution of one
//! millisecond, which is longer than the latencies to be measured.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::flow::Arrivals;
use crate::send::{Context, send};

/// Starts the open loop, which sends at the rates of the flows regardless of outstanding responses.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn open_loop(
    context: Arc<Context>,
    duration: Duration,
    seed: u64,
    runtime: Handle,
) -> std::io::Result<JoinHandle<()>> {
    let run = move || pace(&context, duration, seed, &runtime);
    std::thread::Builder::new().name("pacer".into()).spawn(run)
}

fn pace(context: &Arc<Context>, duration: Duration, seed: u64, runtime: &Handle) {
    let mut random = StdRng::seed_from_u64(seed);
    let flows = context.flows.iter();
    let mut arrivals: Vec<Arrivals> = flows.map(|flow| Arrivals::new(flow.rate, flow.pattern)).collect();
    let mut next = BinaryHeap::new();
    for (flow, arrivals) in arrivals.iter_mut().enumerate() {
        next.extend(arrivals.next(&mut random).map(|at| Reverse((at, flow))));
    }
    let mut number = 0;
    while let Some(Reverse((at, flow))) = next.pop() {
        if at >= duration {
            continue;
        }
        let item = context.flows[flow].sample(number, flow, &mut random);
        number += 1;
        next.extend(arrivals[flow].next(&mut random).map(|at| Reverse((at, flow))));
        let intended = context.start + at;
        std::thread::sleep(intended.saturating_duration_since(Instant::now()));
        runtime.spawn(send(context.clone(), item, intended));
    }
}

/// Runs the closed loop: each connection sends its next item when the previous one has completed.
pub async fn closed_loop(context: Arc<Context>, duration: Duration, seed: u64, connections: u32) {
    let number = Arc::new(AtomicU64::new(0));
    let mut loops = tokio::task::JoinSet::new();
    for connection in 0..connections {
        let (context, number) = (context.clone(), number.clone());
        let mut random = StdRng::seed_from_u64(seed ^ u64::from(connection));
        let mut flow = connection as usize % context.flows.len();
        loops.spawn(async move {
            while context.start.elapsed() < duration {
                let item =
                    context.flows[flow].sample(number.fetch_add(1, Ordering::Relaxed), flow, &mut random);
                send(context.clone(), item, Instant::now()).await;
                flow = (flow + 1) % context.flows.len();
            }
        });
    }
    loops.join_all().await;
}
