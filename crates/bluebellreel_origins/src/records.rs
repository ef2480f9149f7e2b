//! Records of the versions that began streams.

use bluebellreel_types::{Moment, WorkerVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;
use twox_hash::XxHash64;

/// Identifies a stream: a hash of the id of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamTag(pub u64);

impl StreamTag {
    /// The tag of the stream whose first event an attempt brought.
    #[must_use]
    pub fn of(attempt: &str) -> Self {
        Self(XxHash64::oneshot(0, attempt.as_bytes()))
    }

    /// Rank of a daemon for this stream's record, by rendezvous hashing.
    #[must_use]
    pub fn rank(self, daemon: &str) -> u64 {
        XxHash64::oneshot(self.0, daemon.as_bytes())
    }

    /// Parses the form that `Display` writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for StreamTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A record as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The stream.
    pub stream: StreamTag,
    /// Version of the workers that began it.
    pub version: WorkerVersion,
    /// How long callers may resume it.
    pub keep_for: Duration,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    version: WorkerVersion,
    expires_at: Moment,
}

/// The versions that began streams. Each record has an expiry time, and their number is
/// limited: beyond it, those that expire first are evicted.
#[derive(Clone, Debug)]
pub struct OriginRecords {
    entries: HashMap<StreamTag, Entry>,
    by_expiry: BTreeSet<(Moment, StreamTag)>,
    /// The versions in use, each once, so that records share their text.
    versions: Vec<WorkerVersion>,
    limit: usize,
}

/// Maximum number of versions whose text is shared.
const MAX_SHARED_VERSIONS: usize = 64;

impl OriginRecords {
    /// Creates an empty collection of at most `limit` records.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            versions: Vec::new(),
            limit,
        }
    }

    /// Records the version that began a stream.
    pub fn keep(&mut self, stream: StreamTag, version: &WorkerVersion, expires_at: Moment) {
        let version = self.shared(version);
        let entry = Entry {
            version,
            expires_at,
        };
        if let Some(before) = self.entries.insert(stream, entry) {
            self.by_expiry.remove(&(before.expires_at, stream));
        }
        self.by_expiry.insert((expires_at, stream));
        if self.entries.len() > self.limit
            && let Some((_, first)) = self.by_expiry.pop_first()
        {
            self.entries.remove(&first);
        }
    }

    /// The version that began a stream, if it is recorded.
    #[must_use]
    pub fn get(&self, stream: StreamTag, now: Moment) -> Option<&WorkerVersion> {
        let entry = self.entries.get(&stream)?;
        (!entry.expires_at.is_past(now)).then_some(&entry.version)
    }

    /// Evicts expired records. Returns whether there were any.
    pub fn sweep(&mut self, now: Moment) -> bool {
        let before = self.entries.len();
        while let Some((expires_at, stream)) = self.by_expiry.first().copied()
            && expires_at.is_past(now)
        {
            self.by_expiry.pop_first();
            self.entries.remove(&stream);
        }
        self.entries.len() != before
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Encodes all records for the disk.
    ///
    /// # Panics
    ///
    /// Never: records always serialize to postcard.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.entries).expect("records serialize to postcard")
    }

    /// Adds the records that were written to the disk. Returns the bytes that follow them.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes are not encoded records.
    pub fn read<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], postcard::Error> {
        let (entries, rest): (HashMap<StreamTag, Entry>, _) = postcard::take_from_bytes(bytes)?;
        for (stream, entry) in entries {
            self.keep(stream, &entry.version, entry.expires_at);
        }
        Ok(rest)
    }

    /// The same version, with its text shared among all records.
    fn shared(&mut self, version: &WorkerVersion) -> WorkerVersion {
        if let Some(known) = self.versions.iter().find(|v| *v == version) {
            return known.clone();
        }
        if self.versions.len() >= MAX_SHARED_VERSIONS {
            self.versions.clear();
        }
        self.versions.push(version.clone());
        version.clone()
    }
}
