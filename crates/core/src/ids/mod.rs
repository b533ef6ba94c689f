//! Small `Copy` keys of the replicated tables.
//!
//! Keys are handed out in log order by [`crate::fleet::Fleet::apply`], so every replica and every restored
//! snapshot assigns the same key to the same entity.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! key {
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

key!(
    /// Key of a team.
    TeamId, u32, "team-"
);
key!(
    /// Key of a pool.
    PoolId, u32, "pool-"
);
key!(
    /// Key of an availability zone.
    ZoneId, u32, "zone-"
);
key!(
    /// Key of an upstream worker.
    WorkerId, u32, "worker-"
);
key!(
    /// Key of an access key granted to a team.
    KeyId, u32, "key-"
);
key!(
    /// Key of one incarnation of an entry instance: the log offset of its join.
    MemberId, u64, "m"
);
key!(
    /// Position of a batch in the platform's log.
    Offset, u64, ""
);

impl Offset {
    /// Offset that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Key of an accepted task, chosen by the member that accepted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Member that accepted the task.
    pub member: MemberId,
    /// Count of tasks accepted by that member, from 1.
    pub number: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t-{}-{}", self.member.0, self.number)
    }
}

/// Reason why a text is not a task id.
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
