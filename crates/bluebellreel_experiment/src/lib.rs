//! The experiment tool: the real decision functions of one entry daemon and one
//! site's side processes against the engine stand-in's model, under a clock
//! that is set, with a seed.
//!
//! It models no network, VM, data centre or store. The same scenario gives the
//! same figures every time. Each run is set beside three baselines: no batch at
//! all, batch alone, and first come first served into the engine.
//!
//! ```
//! use bluebellreel_experiment::{Mode, Scenario, simulate};
//!
//! let scenario = Scenario::try_from("name = 'short'\nseconds = 1\n").unwrap();
//! let outcome = simulate(&scenario, Mode::Full);
//! assert_eq!(outcome.online.refused, 0);
//! ```

mod engine;
mod jobs;
mod load;
mod measure;
mod report;
mod scenario;
mod simulation;

pub use measure::{BatchFigures, LatencyFigures, OnlineFigures, Outcome, Sample};
pub use report::{Comparison, compare, draw, table};
pub use scenario::{BatchTeam, Burst, Mode, Scenario};
pub use simulation::simulate;
