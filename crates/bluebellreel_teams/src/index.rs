//! The teams of a configuration, indexed by key and by tag.

use crate::{KeyDigest, Limit};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use twox_hash::XxHash64;

/// A short identifier of a team in reports to peers. Two of four thousand teams share a
/// tag with a probability of one in five hundred; they then share their rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TeamTag(u32);

impl TeamTag {
    /// The tag of the team with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = XxHash64::oneshot(0, name.as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or(0))
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: Arc<str>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, instead of the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Its rate limit; none if it has none.
    pub limit: Option<Limit>,
}

/// All teams of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    by_key: HashMap<KeyDigest, Arc<Team>>,
    names: HashMap<TeamTag, Arc<str>>,
    limits: HashMap<TeamTag, Limit>,
    count: usize,
}

impl Teams {
    /// The team that holds a key.
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }

    /// The rate limit of the team with this tag.
    #[must_use]
    pub fn limit(&self, tag: TeamTag) -> Option<Limit> {
        self.limits.get(&tag).copied()
    }

    /// The name of the team with this tag.
    #[must_use]
    pub fn name(&self, tag: TeamTag) -> Option<&Arc<str>> {
        self.names.get(&tag)
    }

    /// Number of teams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no team.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

impl From<Vec<Team>> for Teams {
    fn from(all: Vec<Team>) -> Self {
        let mut teams = Self {
            count: all.len(),
            ..Self::default()
        };
        for team in all.into_iter().map(Arc::new) {
            let tag = TeamTag::of(&team.name);
            teams.names.insert(tag, team.name.clone());
            if let Some(limit) = team.limit {
                teams.limits.insert(tag, limit);
            }
            for key in &team.keys {
                teams.by_key.insert(*key, team.clone());
            }
        }
        teams
    }
}
