//! Callers' and operators' HTTP.

mod batches;
mod chat;
mod online;
mod operator;
mod page;
mod requests;
mod route;
mod services;
mod sse;

pub(crate) use requests::settle_as;
pub(crate) use route::{Rim, handle};
