//! Builds the [`View`] for metrics and status pages.

use std::collections::BTreeMap;

use super::super::event::Load;
use super::super::view::View;
use super::super::{Engine, Millis};
use crate::ids::{PoolId, TeamId};

impl Engine {
    pub(in crate::engine) fn make_view(&self, now: Millis) -> View {
        let running = self.upstreams.rows.iter().filter(|(_, row)| row.in_flight > 0);
        View {
            member: self.member(),
            ready: self.member().is_some() && !self.stopping && self.fleet.version > 0,
            stopping: self.stopping,
            view_age_ms: self.caught_up.map(|at| now.since(at)),
            own: self.own_loads(),
            fleet: self.fleet_loads(),
            ejected: self.ejected().collect(),
            running: running.map(|(id, row)| (*id, row.in_flight)).collect(),
        }
    }

    fn fleet_loads(&self) -> Vec<Load> {
        let mut sums: BTreeMap<(PoolId, TeamId), Load> = BTreeMap::new();
        let own = self.own_loads();
        let me = self.member().unwrap_or_default();
        let peers = self.peers.loads().filter(|(id, _)| *id != me).map(|(_, load)| load);
        for load in own.iter().chain(peers) {
            let sum = sums.entry((load.pool, load.team)).or_insert(Load {
                pool: load.pool,
                team: load.team,
                ..Load::default()
            });
            sum.running += load.running;
            sum.waiting += load.waiting;
            sum.offered += load.offered;
        }
        sums.into_values().collect()
    }
}
