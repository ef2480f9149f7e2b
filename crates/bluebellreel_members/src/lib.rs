//! Knowledge about the other daemons: which are alive, when they last reported, and
//! which one is responsible for what.
//!
//! Each daemon has an entry in the store under a lease, its registration, and sends
//! reports to its peers several times a second. [`Members`] holds what is known from
//! both. From that it decides which daemons are alive, which ones watch the store for
//! the others, and which one takes over the jobs of a dead daemon. Daemons with the
//! same knowledge reach the same decisions.
//!
//! ```
//! use bluebellreel_members::{Members, Presence};
//! use bluebellreel_types::{EntryName, Incarnation, Moment};
//!
//! let members = Members::default();
//! let stranger = members.presence(&EntryName::from("entry-2"), Incarnation(1), Moment(0));
//! assert_eq!(stranger, Presence::Gone);
//! ```

mod audience;
mod divergence;
mod joining;
mod lag;
mod members;
mod peer;
mod report_order;
mod unclaimed;
mod upkeep;
mod watch_duty;

pub use audience::{Audience, MAX_DIRECT_PEERS, Recipient};
pub use divergence::{Divergence, SyncRequest};
pub use joining::reads_store_at;
pub use lag::Lag;
pub use members::Members;
pub use peer::{
    MemberEntry, PEER_RETENTION, PEER_TIMEOUT, Peer, Presence, Revisions, STORE_ANSWER_MAX_AGE,
    WorkerList,
};
pub use report_order::{Path, ReportOrder};
pub use upkeep::Upkeep;
pub use watch_duty::WatchDuty;
