//! State of the service's guarantees to callers and operators.

use crate::data::VolumesSummary;
use crate::fleet::{FleetMessage, FleetSummary};
use crate::http::context::{HttpContext, query_actor};
use crate::jobs::{JobsMessage, JobsSummary};
use crate::message::Message;
use bluebellreel_http::ApiError;
use serde_json::{Value, json};

/// Reports the state of each guarantee and the figures behind it.
pub(crate) fn outcomes(cx: &HttpContext) -> Result<Value, ApiError> {
    let jobs: JobsSummary = query_actor(cx, |answer| {
        Message::Jobs(JobsMessage::QuerySummary(answer))
    })?;
    let fleet: FleetSummary = query_actor(cx, |answer| {
        Message::Fleet(FleetMessage::QuerySummary(answer))
    })?;
    let volumes = cx
        .handles
        .data
        .volume_map()
        .map(|volume_map| volume_map.summary());
    let volumes = volumes.unwrap_or_default();
    let metrics = &cx.handles.metrics;
    let (in_time, late) = (metrics.in_time.get(), metrics.late.get());
    Ok(json!({
        "entry": cx.handles.settings.name,
        "answers_in_time": {
            "state": answers_state(in_time, late),
            "in_time": in_time,
            "late": late,
        },
        "items_finish_once": {
            "state": items_state(&jobs, volumes),
            "volumes": volumes,
            "running_jobs": jobs.running,
            "orphaned_jobs": jobs.orphaned,
            "late_jobs": jobs.late,
            "unrecorded_bytes": jobs.unrecorded_bytes,
            "owned": jobs.owned,
        },
        "changes_hold": {
            "state": if fleet.behind.is_empty() && fleet.failed_loads.is_empty() {
                "holds"
            } else {
                "at risk"
            },
            "generation": fleet.generation,
            "workers": fleet.workers,
            "in_force": fleet.in_force,
            "behind": fleet.behind,
            "failed_loads": fleet.failed_loads,
            "draining": fleet.draining,
            "worker_names": fleet.names,
        },
    }))
}

/// The guarantee is broken if more than one answer in twenty is late, and at risk
/// if more than one in a hundred is.
fn answers_state(in_time: u64, late: u64) -> &'static str {
    let total = in_time + late;
    if late * 20 > total {
        "broken"
    } else if late * 100 > total {
        "at risk"
    } else {
        "holds"
    }
}

fn items_state(jobs: &JobsSummary, volumes: VolumesSummary) -> &'static str {
    if jobs.late > 0 || volumes.unreadable > 0 {
        "broken"
    } else if volumes.on_one_disk > 0 || jobs.orphaned > 0 || jobs.unrecorded_bytes > 16 << 20 {
        "at risk"
    } else {
        "holds"
    }
}
