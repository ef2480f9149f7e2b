//! Client of the platform's key-value service, over etcd v3's JSON gateway.
//!
//! Every value starts with the id of the write that stored it. When the response to
//! a guarded transaction is lost, the client sends the same transaction again. If
//! its guard no longer holds, the stored write id shows whether the client's own
//! earlier attempt took effect. An outcome that cannot be determined before the
//! deadline is [`Commit::Unknown`].
//!
//! ```
//! use bluebellreel_kv::{Key, Txn};
//!
//! let txn = Txn::create(Key::from("order/cancel/job-1"), b"{}".to_vec());
//! assert_eq!(txn.compares.len(), 1);
//! ```

mod backoff;
mod budget;
mod client;
mod commit;
mod error;
mod gateway;
mod key;
mod outage;
mod txn;
mod watch;

pub use backoff::Backoff;
pub use budget::CallBudget;
pub use client::{KvClient, KvCounts, KvSettings, KvTransport};
pub use commit::Commit;
pub use error::KvError;
pub use key::{Key, KeyValue};
pub use txn::{Compare, Put, Txn};
pub use watch::{Watch, WatchEvent};
