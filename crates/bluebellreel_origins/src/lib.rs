//! Which version of a worker's software began a stream.
//!
//! Workers of several versions may serve side by side, and a stream may go on only at the
//! version that began it. A caller that resumes a stream names the attempt that brought its
//! first event, possibly at another daemon than the one that began it. While more than one
//! version of a service is listed, each daemon therefore records the version of each stream
//! that it begins, at other daemons, before it passes on the first event: see
//! [`OriginRecords`]. While a single version is listed nothing is recorded, and
//! [`VersionHistory`] tells which version that was, at any daemon whose list is known to have
//! been complete then. That nobody has a record says something only if all who may have one
//! have answered, or if the list is known to be complete now.
//!
//! ```
//! use bluebellreel_origins::{OriginRecords, StreamTag};
//! use bluebellreel_types::{Moment, WorkerVersion};
//!
//! let mut records = OriginRecords::new(8);
//! let stream = StreamTag::of("r1");
//! records.keep(stream, &WorkerVersion::from("v1"), Moment(20));
//! assert_eq!(records.get(stream, Moment(10)), Some(&WorkerVersion::from("v1")));
//! assert_eq!(records.get(stream, Moment(20)), None);
//! ```

mod headers;
mod history;
mod records;

pub use headers::{
    KNOWN_KEEPERS, LIST_AGE_MS, RECORDS_LOST, SOLE_VERSION, format_keepers, parse_keepers,
};
pub use history::{MAX_LAG, VersionHistory};
pub use records::{Origin, OriginRecords, StreamTag};
