//! Watching keys change.

use crate::gateway::{self, Streamed, WatchAnswer};
use crate::{Key, KeyValue, KvClient, KvError};
use std::io::{BufRead, BufReader};
use std::time::Duration;

/// How long one watch is held. Guards against a connection that has silently
/// died: it would otherwise bring nothing for ever; the next watch goes on
/// from the last revision seen.
const HOLD: Duration = Duration::from_secs(30);

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A value was put.
    Put(KeyValue),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: Key,
        /// The revision.
        revision: i64,
    },
}

/// A watch over all keys of a prefix.
pub struct Watch {
    reader: BufReader<Box<dyn std::io::Read + Send>>,
    next: i64,
}

impl Watch {
    /// Opens a watch on keys that start with `prefix`, from `revision` on.
    ///
    /// # Errors
    ///
    /// Gives the reason when the service cannot be asked.
    pub fn open(client: &KvClient, prefix: &Key, revision: i64) -> Result<Self, KvError> {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(Duration::from_secs(2)))
            .timeout_recv_response(Some(Duration::from_secs(2)))
            .timeout_recv_body(Some(HOLD))
            .http_status_as_error(false)
            .build();
        let url = format!("{}/v3/watch", client.url());
        let answer = config
            .new_agent()
            .post(&url)
            .send_json(gateway::watch_body(prefix, revision))
            .map_err(|e| KvError::NotDone(e.to_string()))?;
        if answer.status().as_u16() != 200 {
            return Err(KvError::NotDone(format!("status {}", answer.status())));
        }
        let reader: Box<dyn std::io::Read + Send> = Box::new(answer.into_body().into_reader());
        Ok(Self {
            reader: BufReader::new(reader),
            next: revision,
        })
    }

    /// The revision to go on from after this watch.
    #[must_use]
    pub fn next_revision(&self) -> i64 {
        self.next
    }

    /// Waits for the next message; empty ones only show that all is well.
    ///
    /// # Errors
    ///
    /// Gives the reason when the watch has ended.
    pub fn wait(&mut self) -> Result<Vec<WatchEvent>, KvError> {
        let mut line = String::new();
        let ended = |reason: String| KvError::NotDone(reason);
        let read = self.reader.read_line(&mut line);
        if read.map_err(|e| ended(e.to_string()))? == 0 {
            return Err(ended("the watch was closed".into()));
        }
        let message: Streamed<WatchAnswer> =
            serde_json::from_str(&line).map_err(|e| ended(e.to_string()))?;
        let message = message.result;
        if message.canceled {
            return Err(KvError::Refused("the watch was cancelled".into()));
        }
        let mut events = Vec::new();
        for event in message.events {
            let kv = KeyValue::try_from(event.kv).map_err(ended)?;
            self.next = self.next.max(kv.revision + 1);
            events.push(if event.kind == "DELETE" {
                WatchEvent::Deleted {
                    key: kv.key,
                    revision: kv.revision,
                }
            } else {
                WatchEvent::Put(kv)
            });
        }
        // A progress notice promises that nothing before its revision is left.
        if events.is_empty() {
            self.next = self.next.max(message.header.revision + 1);
        }
        Ok(events)
    }
}
