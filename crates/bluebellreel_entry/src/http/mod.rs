//! The HTTP API for callers and operators.
//!
//! Modules depend only on earlier ones in this order: `context`; `requests`,
//! `online`, `sse`, `chat`, `services`; `batches`; `outcomes`, `changes`, `page`,
//! `operator`; `route`.

mod batches;
mod changes;
mod chat;
mod context;
mod online;
mod operator;
mod outcomes;
mod page;
mod requests;
mod route;
mod services;
mod sse;

pub(crate) use context::HttpContext;
pub(crate) use requests::record_query_result;
pub(crate) use route::handle;
