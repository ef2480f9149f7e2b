//! Watches on ranges of keys.

use crate::gateway::{self, StreamMessage, WatchAnswer};
use crate::{Key, KeyValue, KvClient, KvError};
use bluebellreel_http::read_line;
use std::io::{self, BufReader};
use std::time::Duration;

/// Maximum duration of one watch. Guards against a connection that has broken
/// unnoticed and would never deliver an event again: the next watch continues from
/// the last revision seen.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(30);

/// Maximum size of one message, in bytes. The service sends the changes of one moment in
/// one message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A value was written.
    Put(KeyValue),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: Key,
        /// Revision of the deletion.
        revision: i64,
    },
}

/// A watch on all keys with a common prefix.
pub struct Watch {
    reader: BufReader<Box<dyn std::io::Read + Send>>,
    next: i64,
}

impl Watch {
    /// Opens a watch on keys that start with `prefix`, beginning at `revision`.
    ///
    /// # Errors
    ///
    /// Fails if the service does not accept the watch.
    pub fn open(client: &KvClient, prefix: &Key, revision: i64) -> Result<Self, KvError> {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(Duration::from_secs(2)))
            .timeout_recv_response(Some(Duration::from_secs(2)))
            .timeout_recv_body(Some(MAX_WATCH_DURATION))
            .http_status_as_error(false)
            .build();
        let url = format!("{}/v3/watch", client.url());
        let answer = config
            .new_agent()
            .post(&url)
            .send_json(gateway::watch_body(prefix, revision))
            .map_err(|e| KvError::NotDone(e.to_string()))?;
        if answer.status().as_u16() != 200 {
            return Err(KvError::NotDone(format!(
                "expected status 200, got {}",
                answer.status()
            )));
        }
        let reader: Box<dyn std::io::Read + Send> = Box::new(answer.into_body().into_reader());
        Ok(Self {
            reader: BufReader::new(reader),
            next: revision,
        })
    }

    /// The revision at which the next watch must begin so that no change is missed.
    #[must_use]
    pub fn next_revision(&self) -> i64 {
        self.next
    }

    /// Waits for the next message. A message without events shows that the
    /// connection is alive.
    ///
    /// # Errors
    ///
    /// Fails if the watch has ended. [`KvError::Refused`] means that another watch from the
    /// same revision would fail as well: the keys must be listed.
    pub fn wait(&mut self) -> Result<Vec<WatchEvent>, KvError> {
        let ended = |reason: String| KvError::NotDone(reason);
        let read = read_line(&mut self.reader, MAX_MESSAGE_BYTES);
        let read = read.map_err(|e| match e.kind() {
            io::ErrorKind::InvalidData => KvError::Refused(e.to_string()),
            _ => ended(e.to_string()),
        });
        let Some(line) = read? else {
            return Err(ended("the service closed the watch".into()));
        };
        let message: StreamMessage<WatchAnswer> =
            serde_json::from_str(&line).map_err(|e| KvError::Refused(e.to_string()))?;
        let message = message.result;
        if message.canceled {
            return Err(KvError::Refused("the service cancelled the watch".into()));
        }
        let is_progress = message.events.is_empty() && !message.created;
        let mut events = Vec::new();
        for event in message.events {
            self.next = self.next.max(event.kv.mod_revision.saturating_add(1));
            // Another writer's key may be no text.
            let Ok(kv) = KeyValue::try_from(event.kv) else {
                continue;
            };
            events.push(if event.kind == "DELETE" {
                WatchEvent::Deleted {
                    key: kv.key,
                    revision: kv.revision,
                }
            } else {
                WatchEvent::Put(kv)
            });
        }
        // A message without events is a progress notification: all changes up to
        // its revision have been delivered.
        if is_progress {
            self.next = self.next.max(message.header.revision.saturating_add(1));
        }
        Ok(events)
    }
}
