//! What an item has generated so far.

use std::fmt;

/// An event that does not follow the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventGap {
    /// The id that was due.
    pub expected: u64,
    /// The id that came.
    pub found: u64,
}

impl fmt::Display for EventGap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event {} where {} was due", self.found, self.expected)
    }
}

impl std::error::Error for EventGap {}

/// The events of one item, kept across workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    last_id: Option<u64>,
    events: u64,
    text: String,
}

impl Progress {
    /// Progress as another daemon has told it.
    #[must_use]
    pub fn restored(last_id: u64, events: u64, text: String) -> Self {
        Self {
            last_id: Some(last_id),
            events,
            text,
        }
    }

    /// Takes the next event over.
    ///
    /// # Errors
    ///
    /// `EventGap` if its id does not follow the last one: a piece is missing
    /// or came twice, and the run must not be continued from there.
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

    /// Id of the last event, to go on from.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The text so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }
}
