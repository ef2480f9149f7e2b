//! On whose behalf a call about a batch job is made.

use std::sync::Arc;

/// The identity of a caller of the job API.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caller {
    /// The configuration has no teams, so that every caller may access every job.
    Unrestricted,
    /// A caller without a key, on a route that needs none.
    Anonymous,
    /// A caller with a valid key of this team.
    Team(Arc<str>),
}

impl Caller {
    /// The caller's team.
    #[must_use]
    pub fn team(&self) -> Option<&Arc<str>> {
        match self {
            Self::Team(name) => Some(name),
            Self::Unrestricted | Self::Anonymous => None,
        }
    }

    /// Whether the caller may access a job of this team. A job without a team was
    /// accepted on an open route, or before there were teams.
    #[must_use]
    pub fn may_access(&self, team: Option<&str>) -> bool {
        match (self, team) {
            (Self::Unrestricted, _) | (_, None) => true,
            (Self::Anonymous, Some(_)) => false,
            (Self::Team(name), Some(team)) => **name == *team,
        }
    }
}
