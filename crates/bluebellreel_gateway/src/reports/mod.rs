//! Reports to peers by datagram: the runs at workers, the jobs, and the revisions of the
//! known cluster state.
//!
//! A report is sent when something has changed, with a minimum interval of a few
//! milliseconds, and at least four times per second. Each report is complete, so a lost
//! one is compensated by the next. A daemon with many peers reports directly only to those
//! of its data centre, see [`Audience`](bluebellreel_members::Audience).
//!
//! `send` encodes reports by `wire` and `parts`, and takes along those that `forwarding`
//! holds for other daemons; `receive` applies them, and `catch_up` fetches what they show
//! to be missing.

mod catch_up;
mod demand;
mod discoveries;
mod evidence;
mod forwarding;
mod interval;
mod parts;
mod receive;
mod reservations;
mod scheduling;
mod send;
mod wire;

use std::time::Duration;

pub(crate) use catch_up::{compare_lists, merge_cluster_state};
pub(crate) use discoveries::Discoveries;
pub(crate) use forwarding::ForwardQueue;
pub(crate) use interval::report_time;
pub(crate) use receive::receive_reports;
pub(crate) use send::send_reports;

/// Interval between reports when nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(250);
