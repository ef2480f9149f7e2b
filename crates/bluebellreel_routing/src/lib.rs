//! Routing decisions of an entry daemon for online requests.
//!
//! [`step`] takes the router's state, one event, the present moment and a
//! random generator, and returns effects. Everything that a request can go
//! through is decided here: which worker gets it, when it is tried again, when
//! "not run" may be said, and how a broken stream goes on from the text that
//! the caller already has.
//!
//! ```
//! use bluebellreel_routing::*;
//! use bluebellreel_types::prelude::*;
//! use rand::SeedableRng;
//!
//! let mut router = Router::new(RouterLimits::default(), DataCentre::from("Sligo"));
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let effects = step(&mut router, Event::Ticked, Moment(0), &mut rng);
//! assert!(effects.is_empty());
//! ```

mod arrival;
mod attempt;
mod choice;
mod event;
mod health;
mod limits;
mod reach;
mod request;
mod retry_budget;
mod router;
mod step;
mod upkeep;
mod worker;

pub use choice::{Choice, Question, choose, rendezvous_score};
pub use event::{ClaimIntent, Effect, Event, NewRequest, Outcome};
pub use health::{Health, HealthState};
pub use limits::RouterLimits;
pub use reach::{ConnectionLimits, ConnectionNeeds, ConnectionPlan, ConnectionPlanner, Listing};
pub use request::{Phase, Request};
pub use retry_budget::RetryBudget;
pub use router::Router;
pub use step::step;
pub use worker::Worker;
