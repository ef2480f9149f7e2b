//! Applies the known list of workers to the board.

use crate::gateway::Gateway;
use crate::jobs::preempt_batch_runs;
use bluebellreel_dispatch::WorkerChange;
use bluebellreel_types::{WorkerName, WorkerVersion};
use log::info;

/// Maximum number of changes that are logged one by one. A daemon that starts finds all
/// workers of the fleet at once.
const MAX_LOGGED: usize = 8;

/// Applies changes of the workers' list to the board, and logs them with the source
/// that they came from.
pub(crate) fn apply_workers(gw: &Gateway, source: &str) {
    let cluster_state = gw.cluster_state.borrow();
    let revision = cluster_state.catalog.newest();
    let changes = gw.board.borrow_mut().apply_catalog(&cluster_state.catalog);
    let listed = cluster_state.catalog.workers();
    let versions = listed.map(|r| (&r.service, r.version.as_ref()));
    gw.versions.borrow_mut().update(versions, gw.elapsed());
    drop(cluster_state);
    if changes.len() > MAX_LOGGED {
        let gone = changes.iter().filter(|(_, c)| *c == WorkerChange::Left);
        info!(target: "facts", listed = changes.len() - gone.clone().count(), gone = gone.count(), revision, source; "many workers changed");
    } else {
        log_changes(gw, &changes, revision, source);
    }
    let complete_at = gw.list_complete_at.get().unwrap_or_default();
    for (worker, change) in &changes {
        match change {
            WorkerChange::Restarted(_) => {
                gw.restarts.borrow_mut().insert(worker.clone(), complete_at);
                drop_stale_connections(gw, worker);
            }
            WorkerChange::Left => {
                gw.restarts.borrow_mut().remove(worker);
            }
            WorkerChange::Listed(_) => {}
        }
    }
    gw.batch_due.notify_one();
    preempt_batch_runs(gw);
}

fn log_changes(gw: &Gateway, changes: &[(WorkerName, WorkerChange)], revision: i64, source: &str) {
    let board = gw.board.borrow();
    for (worker, change) in changes {
        let worker_version = version_text(board.version_of(worker));
        match change {
            WorkerChange::Listed(state) => {
                info!(target: "facts", worker:% = worker, worker_version, state:? = state, revision, source; "worker listed");
            }
            WorkerChange::Restarted(state) => {
                info!(target: "facts", worker:% = worker, worker_version, state:? = state, revision, source; "worker started again");
            }
            WorkerChange::Left => {
                info!(target: "facts", worker:% = worker, revision, source; "worker gone");
            }
        }
    }
}

/// The version of a worker's software as logged.
pub(crate) fn version_text(version: Option<&WorkerVersion>) -> &str {
    version.map_or("unknown", WorkerVersion::as_str)
}

/// Drops the idle connections to a worker's previous incarnation, which are dead, and
/// wakes the runs that wait for an answer from it.
fn drop_stale_connections(gw: &Gateway, worker: &WorkerName) {
    let address = gw
        .board
        .borrow()
        .worker_view(worker)
        .map(|s| s.record.address);
    if let Some(address) = address {
        gw.workers.drop_idle(address);
    }
    gw.worker_restarted.notify_waiters();
}
