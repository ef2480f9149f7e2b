//! The other daemons: who they are, when they were heard, who does what.
//!
//! Each daemon has an entry in the store, under a lease, and reports to its
//! peers some times a second. [`Members`] holds what is known of both, and
//! answers from that, alike on all daemons that know the same: who lives, who
//! watches the store for the others, who takes a dead daemon's job over.
//!
//! ```
//! use bluebellreel_members::{Members, Presence};
//! use bluebellreel_types::{EntryName, Incarnation, Moment};
//!
//! let members = Members::default();
//! let stranger = members.presence(&EntryName::from("entry-2"), Incarnation(1), Moment(0));
//! assert_eq!(stranger, Presence::Gone);
//! ```

mod divergence;
mod members;
mod peer;
mod unclaimed;

pub use divergence::{Divergence, SyncRequest};
pub use members::Members;
pub use peer::{
    MemberEntry, PEER_RETENTION, PEER_TIMEOUT, Peer, Presence, Revisions, STORE_ANSWER_MAX_AGE,
    WorkerList,
};
