//! Teams: whose request it is, whether its key is still valid, and whether the team has
//! capacity left in its rate limit.
//!
//! [`Teams`] maps the digest of an API key to its team. [`Confirmation`] limits how long
//! keys are accepted without proof that the configuration is the newest one, so that a
//! revoked key opens nothing on a VM that is cut off. [`Allowances`] enforces one token
//! bucket per team over all gateways, and [`Reservations`] tells refused callers when to
//! return. Everything here is plain data and functions,
//! without clock or I/O.
//!
//! ```
//! use bluebellreel_teams::{KeyDigest, Team, Teams};
//!
//! let key = KeyDigest::of(b"s3cret");
//! let team = Team { name: "school".into(), keys: vec![key], priority: None, limit: None };
//! let teams = Teams::from(vec![team]);
//! assert_eq!(&*teams.holder(&key).unwrap().name, "school");
//! assert!(teams.holder(&KeyDigest::of(b"other")).is_none());
//! ```

mod allowance;
mod bucket;
mod caller;
mod claim;
mod confirmation;
mod index;
mod key;
mod reservation;
mod reservation_report;
mod share;
mod turn;

pub use allowance::{Allowances, MAX_RETRY, Spending};
pub use bucket::{Limit, Tolerance};
pub use caller::Caller;
pub use claim::{Claim, Decision};
pub use confirmation::{Confirmation, RevocationTerms};
pub use index::{Team, TeamTag, Teams};
pub use key::{InvalidDigest, KeyDigest};
pub use reservation::{MAX_OWN, MAX_WAITING, RATE_SHARE, Reservations};
pub use reservation_report::{
    InvalidReport, Kind, MAX_REPORTED, Print, ReservationId, ReservationNotice, ReservationReport,
};
pub use share::PEER_SILENCE;
pub use turn::{ActiveClasses, Use, wait_share};
