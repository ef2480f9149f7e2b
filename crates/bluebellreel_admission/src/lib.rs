//! Admission control of the side process, the only client of its backend
//! server.
//!
//! The engine has no priorities and runs requests in order of arrival, so the
//! side process bounds the number of requests at the engine. Online work always
//! goes before batch work. Batch work is pulled only while there is room and is
//! cancelled at the engine as soon as online work needs its slot.
//!
//! [`step`] is the only entry point: it takes the state, one event and the
//! current time, and returns effects for the caller to carry out. The crate does
//! no I/O and reads no clock.
//!
//! Each module depends only on the modules before it: `limits`,
//! `engine_timings`, `start_limiter`, `batch_window`, `ledger`, `online_queue`;
//! `state`, `event`; `lifecycle`, `admit`, `batch`; `step`.
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
mod engine_timings;
mod event;
mod ledger;
mod lifecycle;
mod limits;
mod online_queue;
mod start_limiter;
mod state;
mod step;

pub use batch_window::BatchWindow;
pub use engine_timings::EngineTimings;
pub use event::{Effect, EngineEnd, Event};
pub use ledger::{Ledger, LedgerEntry};
pub use limits::{AdmissionLimits, Priority};
pub use online_queue::{OnlineQueue, Queued};
pub use start_limiter::BatchStartLimiter;
pub use state::{Admission, Running};
pub use step::step;
