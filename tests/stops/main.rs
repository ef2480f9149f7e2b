//! Stops of entry daemon processes while callers keep sending requests until the process
//! has exited.

mod connection;
mod daemon;
mod entry;
mod signals;

use bluebellreel_site::{Site, SitePlan};

/// Starts a site whose first daemon runs within the test. The tests start further ones as
/// processes.
fn site() -> Site {
    let plan = SitePlan {
        entries: 1,
        workers: 1,
        services: 1,
        ..SitePlan::default()
    };
    Site::start(&plan).expect("a site")
}
