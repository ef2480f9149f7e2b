//! bluebellreel: a serving system for online and batch inference on one fleet.
//!
//! This package contains the two programs and re-exports the components from which they
//! are assembled: [`entry`], the daemon on entry VMs; [`side`], the process beside each
//! backend server; [`settings`] and [`fleet`], the files that operators write.
//!
//! ```
//! let manifest = bluebellreel::fleet::Manifest::try_from("").unwrap();
//! assert!(manifest.models.is_empty());
//! ```

pub mod cli;
mod program;

pub use bluebellreel_entry as entry;
pub use bluebellreel_fleet as fleet;
pub use bluebellreel_settings as settings;
pub use bluebellreel_side as side;
pub use program::{Running, run_program};
