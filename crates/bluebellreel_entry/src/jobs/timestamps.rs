//! Names and numbers that tell how old something is.

use bluebellreel_types::{Incarnation, Moment};

/// Microseconds of a day.
pub(super) const DAY_MICROS: u64 = 86_400_000_000;

/// A name for an upload that tells when it began.
pub(crate) fn upload_name(now: Moment) -> String {
    format!("{:016x}-{}", now.0, Incarnation::random())
}

/// When an upload began; none for a name that does not tell.
pub(crate) fn upload_started_at(upload: &str) -> Option<Moment> {
    let (time, _) = upload.split_once('-')?;
    u64::from_str_radix(time, 16).ok().map(Moment)
}

/// The day of a moment, counted from 1970.
pub(crate) fn day_of(moment: Moment) -> u64 {
    moment.0 / DAY_MICROS
}
