//! Identifiers of rows in the replicated tables.
//!
//! [`crate::fleet::Fleet::apply`] assigns them in log order, so every replica and every restored snapshot gives
//! the same identifier to the same entity.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

id_type!(
    /// Identifier of a team, from 1; kept when the team leaves the declaration and returns.
    TeamId, u32, "team-"
);
id_type!(
    /// Identifier of a pool, from 1; kept when the pool leaves the declaration and returns.
    PoolId, u32, "pool-"
);
id_type!(
    /// Identifier of an availability zone, from 1, assigned when a member or worker first names the zone.
    ZoneId, u32, "zone-"
);
id_type!(
    /// Identifier of an upstream worker, from 1; kept across restarts of the worker.
    WorkerId, u32, "worker-"
);
id_type!(
    /// Identifier of an access key, from 1; not the key itself.
    KeyId, u32, "key-"
);
id_type!(
    /// Identifier of one incarnation of an entry instance: the log offset of its join record.
    MemberId, u64, "m"
);
id_type!(
    /// Position of a batch in the platform's log, from 0.
    Offset, u64, ""
);

impl Offset {
    /// Offset of the next batch.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifier of an accepted task, assigned by the member that accepts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Member that accepted the task.
    pub member: MemberId,
    /// Sequence number among the tasks of that member, from 1.
    pub number: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t-{}-{}", self.member.0, self.number)
    }
}

/// The text does not have the form `t-<member>-<number>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a task id has the form t-<member>-<number>")]
pub struct ParseTaskIdError;

impl std::str::FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text.strip_prefix("t-").ok_or(ParseTaskIdError)?;
        let (member, number) = rest.split_once('-').ok_or(ParseTaskIdError)?;
        let member = member.parse().map_err(|_| ParseTaskIdError)?;
        let number = number.parse().map_err(|_| ParseTaskIdError)?;
        Ok(Self { member: MemberId(member), number })
    }
}
