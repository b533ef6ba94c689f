//! Explains why a task is waiting, or how it ended.

use http::StatusCode;
use rattanfall_core::engine::Engine;
use rattanfall_core::fleet::{Fleet, Task, TaskState};
use rattanfall_core::ids::TaskId;
use rattanfall_core::record::TaskOutcome;
use rattanfall_wire::caller::TaskBody;
use rattanfall_wire::operator::Explanation;
use xitca_web::http::WebResponse;

use super::Operators;
use super::response::{OperatorError, json};

/// Responds with a task's state and the reasons for it, in words.
pub(super) fn explain(operators: &Operators, id: &str) -> Result<WebResponse, OperatorError> {
    let id: TaskId = id.parse().map_err(|_| OperatorError::Unknown("task"))?;
    let explanation = operators.shell.read(|engine| explanation(engine, id));
    explanation.map(|body| json(StatusCode::OK, &body)).ok_or(OperatorError::Unknown("task"))
}

fn explanation(engine: &Engine, id: TaskId) -> Option<Explanation> {
    let fleet = engine.fleet();
    let task = fleet.tasks.get(&id)?;
    let state = TaskBody::from((id, task)).state;
    Some(Explanation { id: id.to_string(), state, owner: task.owner.0, reasons: task_reasons(fleet, task) })
}

fn task_reasons(fleet: &Fleet, task: &Task) -> Vec<String> {
    let mut reasons = match &task.state {
        TaskState::Waiting => waiting(fleet, task),
        TaskState::Started { attempt, worker, .. } => {
            let name = fleet.workers.get(worker).map_or("a worker", |worker| &worker.name);
            vec![format!("attempt {attempt} was started on {name}")]
        }
        TaskState::Ended { outcome, at } => vec![format!("{} at offset {}", describe_outcome(outcome), at.0)],
    };
    if task.cancelled {
        reasons.push("its cancellation is in the log".into());
    }
    if !task.failed.is_empty() {
        reasons.push(format!("it failed on {} workers", task.failed.len()));
    }
    reasons
}

fn waiting(fleet: &Fleet, task: &Task) -> Vec<String> {
    let mut reasons = Vec::new();
    let pool = fleet.pools.get(&task.pool).map_or("?", |pool| &pool.name);
    if fleet.serving(task.pool) == 0 {
        reasons.push(format!("no worker of pool {pool} takes work"));
    } else {
        reasons.push(format!("it waits for a free slot in pool {pool}"));
    }
    if fleet.hold(task.team, task.owner) == 0 {
        reasons.push("its owner holds no part of the team's limit".into());
    }
    reasons
}

fn describe_outcome(outcome: &TaskOutcome) -> String {
    match outcome {
        TaskOutcome::Done(_) => "it is done".into(),
        TaskOutcome::Failed(reason) => format!("it failed: {reason}"),
        TaskOutcome::Cancelled => "it was cancelled".into(),
        TaskOutcome::Unknown(reason) => format!("its end is not known: {reason}"),
    }
}
