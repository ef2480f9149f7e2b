//! Admission decisions of the side process, the only sender to its backend
//! server.
//!
//! The engine knows no priorities and admits requests as they come, so the
//! side process keeps what it has admitted small. Online work always goes
//! before batch work; batch work is pulled only when there is room and is
//! cancelled at the engine at once when online work needs its place.
//!
//! [`step`] is the whole of it: it takes the state, one event and the present
//! moment, and returns effects for the caller to carry out. No I/O, no clock.
//!
//! Each file takes only from those before it: `limits`, `pace`, `start_pace`,
//! `batch_window`, `ledger`, `online_queue`; `state`, `event`; `settle`,
//! `admit`, `batch`; `step`.
//!
//! ```
//! use bluebellreel_admission::*;
//! use bluebellreel_types::prelude::*;
//!
//! let mut admission = Admission::new(Incarnation(1), AdmissionLimits::default());
//! let effects = step(&mut admission, Event::DrainAsked, Moment(0));
//! assert!(effects.is_empty());
//! assert!(admission.load(Moment(0)).leaving);
//! ```

mod admit;
mod batch;
mod batch_window;
mod event;
mod ledger;
mod limits;
mod online_queue;
mod pace;
mod settle;
mod start_pace;
mod state;
mod step;

pub use batch_window::BatchWindow;
pub use event::{Effect, EngineEnd, Event};
pub use ledger::{Ledger, LedgerEntry};
pub use limits::{AdmissionLimits, Priority};
pub use online_queue::{OnlineQueue, Queued};
pub use pace::Pace;
pub use start_pace::StartPace;
pub use state::{Admission, Running};
pub use step::step;
