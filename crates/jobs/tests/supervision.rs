//! Tasks of a node whose failures are caught.

use std::hint::black_box;

use rattanfall_jobs::node::supervision::caught;

/// State of a task across its wait, in bytes.
const STATE_BYTES: usize = 4_096;

async fn large_task() {
    let state = black_box([0_u8; STATE_BYTES]);
    tokio::task::yield_now().await;
    black_box(&state);
}

/// Guards against tasks whose supervision holds their state more than once. An owner has hundreds of tasks that wait for
/// workers, on instances with little memory.
#[test]
fn a_task_whose_failure_is_caught_is_held_once() {
    let task = large_task();
    let plain = size_of_val(&task);
    let supervised = size_of_val(&caught(task));
    assert!(plain >= STATE_BYTES && supervised < 2 * plain, "{plain} bytes, {supervised} with supervision");
}

#[tokio::test]
async fn a_failure_is_caught() {
    assert!(caught(async {}).await.is_ok());
    assert!(caught(async { panic!("a defect") }).await.is_err());
}
