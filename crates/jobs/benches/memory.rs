//! Memory of the job table at a holder: bytes for a task and for a job, by the resident memory of the process.
//!
//! Run with `cargo bench -p rattanfall-jobs --bench memory`. Linux only.

use std::hint::black_box;
use std::process::ExitCode;

use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::record::{self, Intake, read_change};
use rattanfall_jobs::spec::{Resources, Schedule, Step, Submission, Terms};
use rattanfall_jobs::table::{Placement, Progress, Table, TaskState};

/// Tasks of a job.
const JOB_TASKS: u32 = 500;
/// Sizes of the table, in tasks.
const SIZES: [u32; 3] = [1_000, 10_000, 100_000];

/// State of the tasks.
#[derive(Clone, Copy, Debug)]
enum Tasks {
    Waiting,
    Placed,
}

/// Resident memory of this process, in bytes; none if the system doesn't tell.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.parse::<u64>().ok().map(|kb| kb << 10)
}

fn submission(id: u64) -> Submission {
    let need = Resources { cpu: 100, memory: 8, accelerators: 0 };
    let terms = Terms { pool: "red".into(), priority: 0, attempts: 3, stretch_percent: 160, target_ms: 600 };
    Submission {
        id: JobId(id),
        queue: "quotes".into(),
        terms,
        team: Some("moss".into()),
        payload: "p".repeat(200),
        steps: vec![Step { count: JOB_TASKS, need, estimate_ms: 300, ..Step::default() }],
        schedule: Some(Schedule { start_ms: 0, interval_ms: 1_000, times: 1 }),
        arrived_ms: 0,
    }
}

/// Adds jobs to a table as a holder does, from the records of the owner.
fn fill(table: &mut Table, tasks: u32, state: Tasks) {
    for id in 0..u64::from(tasks / JOB_TASKS) {
        let submission = submission(id);
        let mut progress = Progress::new(&Submission { schedule: None, ..submission.clone() });
        for (index, task) in progress.occurrences.iter_mut().flat_map(|o| &mut o.tasks).enumerate() {
            if matches!(state, Tasks::Placed) {
                let worker = format!("i-{:08x}", index % 49);
                task.state = TaskState::Placed(Placement { worker, started_ms: 1_700_000_000_000 });
                task.run = 1;
            }
        }
        table.apply_intake(Intake::Submitted(submission));
        if let Ok(change) = read_change(&record::progress(JobId(id), &progress)) {
            table.apply_progress(change);
        }
    }
}

/// Bytes that a new table takes. It is kept, so that none uses the memory of another one.
fn table_bytes(kept: &mut Vec<Table>, tasks: u32, state: Tasks) -> Option<u64> {
    let before = resident_bytes()?;
    let mut table = Table::default();
    fill(&mut table, tasks, state);
    kept.push(black_box(table));
    Some(resident_bytes()?.saturating_sub(before))
}

fn main() -> ExitCode {
    let mut kept = Vec::new();
    println!("{:>9} {:>8} {:>12} {:>12}", "tasks", "state", "bytes/task", "bytes/job");
    for state in [Tasks::Waiting, Tasks::Placed] {
        for tasks in SIZES {
            let Some(bytes) = table_bytes(&mut kept, tasks, state) else {
                eprintln!("the system does not tell the memory of this process");
                return ExitCode::FAILURE;
            };
            let name = format!("{state:?}").to_lowercase();
            let (task, job) = (bytes / u64::from(tasks), bytes / u64::from(tasks / JOB_TASKS));
            println!("{tasks:>9} {name:>8} {task:>12} {job:>12}");
        }
    }
    ExitCode::SUCCESS
}
