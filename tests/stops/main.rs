//! Stops of real daemons, seen by callers that go on until the process is gone.

mod daemon;
mod entry;
mod signals;
mod wire;

use bluebellreel_site::{Site, SitePlan};

/// A site whose first daemon runs within the test; others are processes.
fn site() -> Site {
    let plan = SitePlan {
        entries: 1,
        workers: 1,
        services: 1,
        ..SitePlan::default()
    };
    Site::start(&plan).expect("a site")
}
