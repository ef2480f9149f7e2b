//! Complete test sites on loopback, either within one process ([`Site`]) or of several
//! processes ([`ProcessSite`]): stand-ins, side processes and entry daemons. For the demo,
//! the examples and the tests; never shipped.
//!
//! ```no_run
//! use bluebellreel_site::{Site, SitePlan};
//!
//! let site = Site::start(&SitePlan::default()).unwrap();
//! let answer = site.caller(0).chat("fiddle size for a child of six", 8).unwrap();
//! assert!(!answer.is_empty());
//! ```

mod answer_counts;
mod caller;
mod plan;
mod process;
mod processes;
mod queries;
mod site;

pub use answer_counts::{AnswerCounts, wait_until};
pub use caller::{Caller, ItemLine, JobView, chat_body, chat_line, service_line};
pub use plan::{Deployment, DiskPlan, SitePlan};
pub use process::Process;
pub use processes::{MODEL, ProcessPlan, ProcessSite, retry, run_with_stand_ins};
pub use site::{OPERATOR_TOKEN, Site, TEAM_TOKEN, WorkerParts};
