//! Routing decisions of an entry daemon for online requests.
//!
//! [`step`] takes the router's state, one event, the current time and a random
//! generator, and returns effects. It makes all decisions on a request: which
//! worker gets it, when it is retried, when "not run" may be reported, and how
//! an interrupted stream resumes after the text that the caller already has.
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
mod connections;
mod event;
mod health;
mod lifecycle;
mod limits;
mod request;
mod retry_budget;
mod router;
mod step;
mod worker;

pub use choice::{Choice, ChoiceQuery, choose, rendezvous_score};
pub use connections::{
    ConnectionLimits, ConnectionNeeds, ConnectionPlan, ConnectionPlanner, Listing,
};
pub use event::{ClaimIntent, Effect, Event, NewRequest, Outcome};
pub use health::{Health, HealthState};
pub use limits::RouterLimits;
pub use request::{Phase, Request};
pub use retry_budget::RetryBudget;
pub use router::Router;
pub use step::step;
pub use worker::Worker;
