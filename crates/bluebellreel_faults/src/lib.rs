//! The fault matrix: injects every fault at every step and checks the real code's
//! invariants.
//!
//! A [`World`] runs three entry daemons and four side processes without threads or
//! sockets, with a key-value service, model engines, and a plain service that counts
//! its runs, all under one manually advanced clock. A [`Plan`] names faults and the
//! steps at which they are injected. [`run_plan`] runs the main workload through a plan
//! and checks the invariants.
//!
//! Each module depends only on those before it in this list: `plan`, `net`, `backend`,
//! `kv`, `world`, `items`, `scenario`, `invariants`, `run`, `matrix`.
//!
//! ```
//! use bluebellreel_faults::{run_plan, Plan};
//!
//! let report = run_plan(&Plan::without_faults(1));
//! assert_eq!(report.violations, Vec::<String>::new());
//! ```

mod backend;
mod invariants;
mod items;
mod kv;
mod matrix;
mod net;
mod plan;
mod run;
mod scenario;
mod world;

pub use backend::{Backend, BackendKind};
pub use kv::{FakeKv, KvHandle};
pub use matrix::{Cell, CellResult, run_matrix, table};
pub use net::{Envelope, Link, Payload};
pub use plan::{Fault, Injection, Plan, Step};
pub use run::{Report, run_plan};
pub use world::World;
