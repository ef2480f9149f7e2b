//! Names and ids.
//!
//! Names are shared immutable strings: cloning one increments a reference count and
//! does not allocate. Ids are random numbers wide enough that two processes do not
//! draw the same one.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )+};
}

name_type! {
    /// Name of a backend server (worker), unique in the fleet.
    WorkerName,
    /// Version of a worker's software. Versions are only equal or different.
    WorkerVersion,
    /// Name of a caller's team; a team may also be a member or a school.
    TeamName,
    /// Name of a model or of a plain service.
    ModelName,
    /// Name of a data centre.
    DataCentre,
    /// Name of an entry daemon, unique in the fleet.
    EntryName,
    /// Id of a batch job, derived from team and idempotency key.
    JobId,
}

macro_rules! wide_id {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Draws a random id.
            #[must_use]
            pub fn random() -> Self {
                Self(draw_id())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    )+};
}

thread_local! {
    static SEEDED_RNG: RefCell<Option<SmallRng>> = const { RefCell::new(None) };
}

/// Seeds the generator of the ids that this thread draws, so that a failure test is
/// reproducible.
pub fn seed_ids(seed: u64) {
    SEEDED_RNG.with_borrow_mut(|rng| *rng = Some(SmallRng::seed_from_u64(seed)));
}

fn draw_id() -> u64 {
    SEEDED_RNG.with_borrow_mut(|rng| match rng {
        Some(rng) => rng.random(),
        None => rand::random(),
    })
}

wide_id! {
    /// Id of a caller's request or of the lease of a batch item.
    RequestId,
    /// Id of one run of a process; a restarted process has a new one.
    Incarnation,
}

/// Id of one attempt at a request. Responses are matched by it, so that a late or
/// misrouted response is never delivered to another request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, starting at 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Length in characters of the ids returned by [`digest_id`].
const DIGEST_ID_LEN: usize = 24;

/// Derives a short id from a team and its idempotency key, so that a request resent
/// through any entry daemon is recognised.
#[must_use]
pub fn digest_id(team: &TeamName, key: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update((team.as_str().len() as u64).to_be_bytes());
    hasher.update(team.as_str());
    hasher.update(key);
    let mut text = hex::encode(hasher.finalize());
    text.truncate(DIGEST_ID_LEN);
    text
}

/// Returns the SHA-256 of `bytes` in hexadecimal.
#[must_use]
pub fn content_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

impl JobId {
    /// Derives the id of a job from a team and its idempotency key.
    #[must_use]
    pub fn derived(team: &TeamName, key: &str) -> Self {
        Self::from(format!("job-{}", digest_id(team, key)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn key_and_team_do_not_run_together() {
        let one = JobId::derived(&TeamName::from("ab"), "c");
        let other = JobId::derived(&TeamName::from("a"), "bc");
        assert_ne!(one, other);
    }
}
