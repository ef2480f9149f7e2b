//! Output that an item has generated so far.

use bluebellreel_types::WorkerVersion;
use std::fmt;

/// An event whose id does not follow that of the previous event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventGap {
    /// The id that was expected.
    pub expected: u64,
    /// The id that arrived.
    pub found: u64,
}

impl fmt::Display for EventGap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event id out of sequence: got {}, expected {}",
            self.found, self.expected
        )
    }
}

impl std::error::Error for EventGap {}

/// A worker of another version than the one that generated the events so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherVersion;

impl fmt::Display for OtherVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("worker of another version")
    }
}

impl std::error::Error for OtherVersion {}

/// The generated events of one item, kept across the workers that ran it. All of them are
/// from workers of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    last_id: Option<u64>,
    events: u64,
    text: String,
    version: Option<WorkerVersion>,
}

impl Progress {
    /// Restores progress from the values that another daemon sent.
    #[must_use]
    pub fn restored(
        last_id: u64,
        events: u64,
        text: String,
        version: Option<WorkerVersion>,
    ) -> Self {
        Self {
            last_id: Some(last_id),
            events,
            text,
            version,
        }
    }

    /// Version of the workers that generated the events; none if there are no events, or if
    /// it is not known.
    #[must_use]
    pub fn version(&self) -> Option<&WorkerVersion> {
        self.version.as_ref()
    }

    /// Notes the version of the worker that generates the next events.
    ///
    /// # Errors
    ///
    /// Returns `OtherVersion` if another version generated the events so far.
    pub fn continue_at(&mut self, version: Option<&WorkerVersion>) -> Result<(), OtherVersion> {
        if self.events == 0 || self.version.is_none() {
            self.version = version.cloned();
        }
        if self.version.as_ref() == version {
            Ok(())
        } else {
            Err(OtherVersion)
        }
    }

    /// Appends the next event.
    ///
    /// # Errors
    ///
    /// Returns `EventGap` if the id does not follow the last one: an event is missing
    /// or duplicated, and the run must not continue.
    pub fn push(&mut self, id: u64, data: &str) -> Result<(), EventGap> {
        if let Some(last) = self.last_id
            && id != last + 1
        {
            return Err(EventGap {
                expected: last + 1,
                found: id,
            });
        }
        if self.events > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_id = Some(id);
        self.events += 1;
        Ok(())
    }

    /// Id of the last event; the next run resumes after it.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Text generated so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }
}
