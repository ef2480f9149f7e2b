//! The fault matrix: every fault at every step, against the real code.
//!
//! A [`World`] holds three entry daemons and four side processes without
//! threads or sockets, a key-value service, engines and a plain service that
//! counts its runs, under one clock that is set by hand. A [`Plan`] names a
//! fault and the step at which it strikes. [`run_plan`] lets the main work run
//! through it and checks what must always hold.
//!
//! Each file takes only from those before it: `plan`, `net`, `backend`, `kv`,
//! `world`, `items`, `scenario`, `invariants`, `run`, `matrix`.
//!
//! ```
//! use bluebellreel_faults::{run_plan, Plan};
//!
//! let report = run_plan(&Plan::quiet(1));
//! assert_eq!(report.broken, Vec::<String>::new());
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
pub use plan::{Fault, Plan, Step, Strike};
pub use run::{Report, run_plan};
pub use world::World;
