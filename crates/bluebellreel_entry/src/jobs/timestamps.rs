//! Timestamps in names of uploads, and day numbers of ended jobs.

use bluebellreel_types::{Incarnation, Moment};

/// Microseconds in a day.
pub(super) const DAY_MICROS: u64 = 86_400_000_000;

/// A unique name for an upload that contains its start time.
pub(crate) fn upload_name(now: Moment) -> String {
    format!("{:016x}-{}", now.0, Incarnation::random())
}

/// The start time in an upload's name, `None` if the name contains none.
pub(crate) fn upload_started_at(upload: &str) -> Option<Moment> {
    let (time, _) = upload.split_once('-')?;
    u64::from_str_radix(time, 16).ok().map(Moment)
}

/// The number of days from 1970-01-01 to the moment's day.
pub(crate) fn day_of(moment: Moment) -> u64 {
    moment.0 / DAY_MICROS
}
