//! Views of jobs, pools and machines for operators.

use std::collections::BTreeMap;

use rattanfall_wire::work::{Count, Job, Placement, Step, Wave, Work};

use super::Node;
use super::state::Role;
use crate::ids::JobId;
use crate::ports::Platform;
use crate::spec::Submission;
use crate::table::{JobState, Progress, TaskState, each_task};

/// Maximum number of rows of each kind in the view of a job. A repeated job may have tens of thousands.
const MAX_ROWS: usize = 1_000;

/// Query from an operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Query {
    /// Overview of all jobs, pools and machines.
    Work,
    /// Details of one job.
    Job(JobId),
}

/// Answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum View {
    /// Overview; pools, moves and the sizes of waves only at the owner.
    Work(Box<Work>),
    /// Details of one job; steps and placements only at holders.
    Job(Box<Job>),
    /// The job is not known here.
    Missing,
}

impl<P: Platform> Node<P> {
    pub(super) fn view(&self, query: Query) -> View {
        match query {
            Query::Work => View::Work(Box::new(self.view_work())),
            Query::Job(id) => self.view_job(id).map_or(View::Missing, |job| View::Job(Box::new(job))),
        }
    }

    fn view_work(&self) -> Work {
        let now = self.now();
        let state = self.state.borrow();
        let owned = match &state.role {
            Role::Owner(dispatcher) => Some(dispatcher),
            Role::Reader | Role::Standby(_) => None,
        };
        let waves = state.table().into_iter().flat_map(|table| &table.waves);
        let waves = waves.map(|(&number, wave)| Wave {
            number,
            machines: owned.map_or(0, |dispatcher| dispatcher.wave_size(number)),
            begun: wave.begun.len() as u64,
        });
        let owner = state.table().map_or(&state.summaries.owner, |table| &table.owner);
        let jobs = state.summaries.states().into_iter().map(|(job_state, count)| (name(job_state), count));
        Work {
            instance: self.options.name.clone(),
            version: state.catalog.as_ref().map_or(0, |catalog| catalog.version),
            owner: owner.name.clone(),
            epoch: owner.epoch,
            age_ms: state.summary.as_of.map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX)),
            jobs: counts(jobs.collect()),
            waiting: counts(state.summaries.pending()),
            pools: owned.map(|dispatcher| dispatcher.pools(now)).unwrap_or_default(),
            moves: owned.map(|dispatcher| dispatcher.moves()).unwrap_or_default(),
            waves: waves.collect(),
        }
    }

    fn view_job(&self, id: JobId) -> Option<Job> {
        let now = self.now();
        let state = self.state.borrow();
        let table = state.table();
        let Some((job, progress)) = table.and_then(|table| Some((table.get(id)?, table.whole_progress(id)?)))
        else {
            return state.summaries.summary(id).map(|summary| Job {
                id: id.to_string(),
                queue: summary.queue.clone(),
                state: name(state.job_state(id).unwrap_or(summary.state)).to_owned(),
                reasons: vec![format!("ask the owner, {}, for its tasks", state.summaries.owner.name)],
                ..Job::default()
            });
        };
        let reasons = match (&state.role, job.state()) {
            (_, JobState::Completed) => vec!["all its tasks are done".to_owned()],
            (_, JobState::Canceled) => vec!["it was cancelled".to_owned()],
            (_, JobState::Failed) => vec!["a task failed as often as its queue allows".to_owned()],
            (Role::Owner(dispatcher), _) => dispatcher.explain(now, id),
            (Role::Reader | Role::Standby(_), _) => {
                vec![format!("ask the owner, {}, why tasks wait", state.summaries.owner.name)]
            }
        };
        let (steps, places) = (steps(&job.submission, &progress), places(&job.submission, &progress));
        let mut reasons = reasons;
        if steps.len() == MAX_ROWS || places.len() == MAX_ROWS {
            reasons.push(format!("only the first {MAX_ROWS} steps and placements are shown"));
        }
        Some(Job {
            id: id.to_string(),
            queue: job.submission.queue.clone(),
            team: job.submission.team.clone(),
            state: name(job.state()).to_owned(),
            steps,
            places,
            reasons,
        })
    }
}

fn counts(counts: BTreeMap<&str, u64>) -> Vec<Count> {
    counts.into_iter().map(|(name, count)| Count { name: name.to_owned(), count }).collect()
}

fn steps(submission: &Submission, progress: &Progress) -> Vec<Step> {
    let mut rows = Vec::new();
    for occurrence in &progress.occurrences {
        for step in 0..submission.steps.len().min(MAX_ROWS - rows.len()) {
            let tasks = occurrence.step(submission, step);
            let count = |wanted: fn(&TaskState) -> bool| {
                tasks.iter().filter(|task| wanted(&task.state)).count() as u64
            };
            rows.push(Step {
                occurrence: occurrence.number,
                step: u16::try_from(step).unwrap_or(u16::MAX),
                waiting: count(|state| *state == TaskState::Waiting),
                placed: count(|state| matches!(state, TaskState::Placed(_))),
                done: count(|state| *state == TaskState::Done),
                failures: tasks.iter().map(|task| u64::from(task.failures())).sum(),
            });
        }
    }
    rows
}

fn places(submission: &Submission, progress: &Progress) -> Vec<Placement> {
    let tasks = progress.occurrences.iter().flat_map(|occurrence| each_task(submission, occurrence));
    tasks
        .filter_map(|(id, task)| match &task.state {
            TaskState::Placed(place) => {
                Some(Placement { task: id.to_string(), run: task.run, worker: place.worker.clone() })
            }
            TaskState::Waiting | TaskState::Done => None,
        })
        .take(MAX_ROWS)
        .collect()
}

const fn name(job_state: JobState) -> &'static str {
    match job_state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Canceled => "canceled",
    }
}
