//! The declaration and the state of the fleet as this instance knows them.

use http::StatusCode;
use rattanfall_core::engine::event::Load;
use rattanfall_core::engine::{Engine, View};
use rattanfall_core::fleet::{Fleet, MemberState, WorkerState, ZoneState};
use rattanfall_core::ids::{PoolId, ZoneId};
use rattanfall_wire::operator::{Config, KeyRow, MemberRow, PoolRow, Status, TeamRow, WorkerRow, ZoneRow};
use xitca_web::http::WebResponse;

use super::Operators;
use super::response::json;

/// Responds with the current declaration and its version.
pub(super) fn config(operators: &Operators) -> WebResponse {
    let config = operators.shell.read(|engine| {
        let fleet = engine.fleet();
        Config { version: fleet.version, declaration: fleet.declaration.clone() }
    });
    json(StatusCode::OK, &config)
}

/// Responds with all members, pools, teams, zones, workers and keys.
pub(super) fn status(operators: &Operators) -> WebResponse {
    let now = operators.shell.now();
    let status = operators.shell.read(|engine| collect(engine, &engine.view(now)));
    json(StatusCode::OK, &status)
}

fn collect(engine: &Engine, view: &View) -> Status {
    let fleet = engine.fleet();
    Status {
        instance: engine.options().name.clone(),
        member: view.member.map(|member| member.0),
        applied: fleet.applied.map(|offset| offset.0),
        view_age_ms: view.view_age_ms,
        version: fleet.version,
        members: members(fleet),
        pools: pools(fleet, view),
        teams: teams(fleet, view),
        zones: zones(fleet),
        workers: workers(fleet, view),
        keys: keys(fleet),
    }
}

fn zone_name(fleet: &Fleet, zone: ZoneId) -> String {
    fleet.zones.get(&zone).map_or_else(String::new, |zone| zone.name.clone())
}

fn pool_name(fleet: &Fleet, pool: PoolId) -> String {
    fleet.pools.get(&pool).map_or_else(String::new, |pool| pool.name.clone())
}

fn members(fleet: &Fleet) -> Vec<MemberRow> {
    let row = |(id, member): (&rattanfall_core::ids::MemberId, &rattanfall_core::fleet::Member)| {
        let state = match member.state {
            MemberState::Live => "live",
            MemberState::Gone(_) => "gone",
            MemberState::Left => "left",
        };
        let zone = zone_name(fleet, member.zone);
        MemberRow { id: id.0, name: member.name.clone(), zone, state: state.into() }
    };
    fleet.members.iter().map(row).collect()
}

/// Sums of running and waiting work over the loads that `keep` selects.
fn sums(loads: &[Load], keep: impl Fn(&Load) -> bool) -> (u32, u32) {
    let kept = loads.iter().filter(|load| keep(load));
    kept.fold((0, 0), |(running, waiting), load| {
        (load.running.saturating_add(running), load.waiting.saturating_add(waiting))
    })
}

fn pools(fleet: &Fleet, view: &View) -> Vec<PoolRow> {
    let row = |(id, pool): (&PoolId, &rattanfall_core::fleet::Pool)| {
        let serving = fleet.workers.values().filter(|w| w.pool == *id && fleet.takes_work(w));
        let (running, waiting) = sums(&view.fleet, |load| load.pool == *id);
        PoolRow {
            name: pool.name.clone(),
            serving: fleet.serving(*id),
            min_serving: pool.min_serving,
            slots: serving.map(|worker| worker.slots).sum(),
            running,
            waiting,
        }
    };
    fleet.pools.iter().map(row).collect()
}

fn teams(fleet: &Fleet, view: &View) -> Vec<TeamRow> {
    let row = |(id, team): (&rattanfall_core::ids::TeamId, &rattanfall_core::fleet::Team)| {
        let (running, waiting) = sums(&view.fleet, |load| load.team == *id);
        let held = fleet.held(*id);
        TeamRow { name: team.name.clone(), share: team.share, limit: team.limit, held, running, waiting }
    };
    fleet.teams.iter().map(row).collect()
}

fn zones(fleet: &Fleet) -> Vec<ZoneRow> {
    let row = |zone: &rattanfall_core::fleet::Zone| {
        let state = if zone.state == ZoneState::InService { "in-service" } else { "removed" };
        ZoneRow { name: zone.name.clone(), state: state.into(), version: zone.version }
    };
    fleet.zones.values().map(row).collect()
}

fn workers(fleet: &Fleet, view: &View) -> Vec<WorkerRow> {
    let row = |(id, worker): (&rattanfall_core::ids::WorkerId, &rattanfall_core::fleet::Worker)| WorkerRow {
        name: worker.name.clone(),
        pool: pool_name(fleet, worker.pool),
        zone: zone_name(fleet, worker.zone),
        rack: worker.rack.clone(),
        state: worker_state(worker.state).into(),
        slots: worker.slots,
        running: view.running.get(id).copied().unwrap_or(0),
        ejected: view.ejected.contains(id),
    };
    fleet.workers.iter().map(row).collect()
}

const fn worker_state(state: WorkerState) -> &'static str {
    match state {
        WorkerState::Serving => "serving",
        WorkerState::Draining(_) => "draining",
        WorkerState::Maintenance => "maintenance",
        WorkerState::Moving { .. } => "moving",
        WorkerState::Leaving => "leaving",
        WorkerState::Lost => "lost",
    }
}

fn keys(fleet: &Fleet) -> Vec<KeyRow> {
    let row = |(id, key): (&rattanfall_core::ids::KeyId, &rattanfall_core::fleet::AccessKey)| KeyRow {
        id: id.0,
        team: fleet.teams.get(&key.team).map_or_else(String::new, |team| team.name.clone()),
        withdrawn: key.withdrawn,
    };
    fleet.keys.iter().map(row).collect()
}
