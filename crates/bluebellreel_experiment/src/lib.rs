//! The experiment tool: simulates one entry daemon and one site's side processes with
//! the real decision functions and the engine stand-in's model, under a simulated clock
//! and with a seed.
//!
//! The simulation has no network, VMs, data centres or store. A scenario gives the same
//! figures every time. Each run is compared with three baselines: no batch, batch
//! alone, and first come first served into the engine.
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
