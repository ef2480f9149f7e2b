//! Client of the platform's key-value service, by etcd v3's JSON gateway.
//!
//! Every value carries the id of the write that put it there. When an answer
//! is lost, the same guarded transaction is sent again; if its guard no longer
//! holds, the id that is found tells whether it was our own write that took
//! effect. What stays open at the deadline is [`Commit::Unknown`], and is never
//! guessed at.
//!
//! ```
//! use bluebellreel_kv::{Key, Txn};
//!
//! let txn = Txn::create(Key::from("order/cancel/job-1"), b"{}".to_vec());
//! assert_eq!(txn.compares.len(), 1);
//! ```

mod budget;
mod client;
mod commit;
mod error;
mod gateway;
mod key;
mod outage;
mod pace;
mod txn;
mod watch;

pub use budget::CallBudget;
pub use client::{KvClient, KvCounts, KvSettings, KvTransport};
pub use commit::Commit;
pub use error::KvError;
pub use key::{Key, KeyValue};
pub use pace::Backoff;
pub use txn::{Compare, Put, Txn};
pub use watch::{Watch, WatchEvent};
