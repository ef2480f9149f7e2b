//! Headers of the answer to the question for a stream's version.

use std::net::SocketAddr;

/// Names the keepers that whoever answers knows.
pub const KNOWN_KEEPERS: &str = "known-keepers";
/// Set by a keeper that may have lost records of streams that callers still resume.
pub const RECORDS_LOST: &str = "records-lost";
/// How long ago, in milliseconds, the list of workers of whoever answers was known to be
/// complete.
pub const LIST_AGE_MS: &str = "list-age-ms";
/// Set by a keeper or peer that has known a single version since the stream may have begun.
pub const SOLE_VERSION: &str = "sole-version";

/// Value of [`KNOWN_KEEPERS`].
#[must_use]
pub fn format_keepers(keepers: impl IntoIterator<Item = SocketAddr>) -> String {
    let texts: Vec<String> = keepers.into_iter().map(|at| at.to_string()).collect();
    texts.join(",")
}

/// Parses a value of [`KNOWN_KEEPERS`]. Skips what is no address.
#[must_use]
pub fn parse_keepers(value: &str) -> Vec<SocketAddr> {
    let texts = value.split(',');
    texts.filter_map(|at| at.trim().parse().ok()).collect()
}
