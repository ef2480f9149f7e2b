//! Callers' and operators' HTTP.
//!
//! Each file takes only from those before it: `rim`; `requests`, `online`,
//! `sse`, `chat`, `services`; `batches`; `outcomes`, `changes`, `page`,
//! `operator`; `route`.

mod batches;
mod changes;
mod chat;
mod online;
mod operator;
mod outcomes;
mod page;
mod requests;
mod rim;
mod route;
mod services;
mod sse;

pub(crate) use requests::settle_as;
pub(crate) use rim::Rim;
pub(crate) use route::handle;
