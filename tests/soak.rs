//! A short soak of real gateway processes. Seeds that ever broke a promise stay
//! here, each with a line on the cause.

use bluebellreel_platform_standins::{Callers, SoakPlan, soak};
use std::time::Duration;

/// What a soak brings: faults that nobody planned, changes, planned stops.
struct Brings {
    faults: bool,
    changes: bool,
    stops: bool,
    callers: Callers,
}

const FAULTS: Brings = Brings {
    faults: true,
    changes: false,
    stops: false,
    callers: Callers::Usual,
};
const CHANGES: Brings = Brings {
    changes: true,
    ..FAULTS
};
const STOPS: Brings = Brings {
    faults: false,
    changes: false,
    stops: true,
    callers: Callers::Usual,
};
const ENDS: Brings = Brings {
    faults: false,
    changes: false,
    stops: false,
    callers: Callers::SomeEndJobs,
};
const CRASHES: Brings = Brings {
    faults: false,
    changes: true,
    stops: false,
    callers: Callers::SomeCrashWorkers,
};

fn play(seed: u64, seconds: u64, brings: &Brings) {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    let report = soak(SoakPlan {
        seed,
        span: Duration::from_secs(seconds),
        gateways: 3,
        workers: 4,
        faults: brings.faults,
        changes: brings.changes,
        stops: brings.stops,
        callers: brings.callers,
        program: env!("CARGO_BIN_EXE_bluebellreel").into(),
        folder: folder.clone(),
    })
    .expect("the soak can be set up");
    assert!(
        report.broken.is_empty(),
        "{:#?}\nfaults: {:#?}\nlogs: {}",
        report.broken,
        report.faults,
        folder.display()
    );
    assert!(report.served > 0 && report.jobs > 0, "nothing was served");
    assert!(
        report.judged > 0 || !brings.stops,
        "no request was without a fault near it"
    );
    assert!(
        report.ended > 0 || brings.callers != Callers::SomeEndJobs,
        "no end was acknowledged"
    );
    std::fs::remove_dir_all(folder).expect("the folder is ours");
}

/// Its end was asked for while the store was silent: the job's items stopped,
/// the end was not recorded, and the job lay open for ever.
#[test]
fn an_end_asked_for_during_an_outage_is_kept() {
    play(18, 12, &FAULTS);
}

/// The same, with the connection reset.
#[test]
fn an_end_asked_for_on_a_reset_connection_is_kept() {
    play(59, 12, &FAULTS);
}

#[test]
fn promises_hold_under_faults_from_outside() {
    play(1, 12, &FAULTS);
}

/// Operators, workers, settings and the store change while the faults come, and
/// callers keep connections open.
#[test]
fn promises_hold_under_faults_and_changes() {
    play(2, 12, &CHANGES);
}

/// A gateway that was asked to stop looked once more, saw nothing in progress,
/// and gave its lease back to the store. A note that came meanwhile was passed
/// on to a worker, and the process ended: its caller saw a closed connection and
/// does not know whether the note ran.
#[test]
fn planned_stops_cut_nothing() {
    play(1000, 12, &STOPS);
}

/// One caller's request, another one's note and an item of a job crash each worker that
/// begins to run them, and come again and again. Each gateway sent them to the next
/// worker, until none was left, and all others were cut or refused with them.
#[test]
fn requests_that_crash_workers_are_held_back() {
    play(3000, 12, &CRASHES);
}

/// The same while gateways are killed, paused and cut off.
#[test]
fn requests_that_crash_workers_are_held_back_under_faults() {
    let brings = Brings {
        faults: true,
        ..CRASHES
    };
    play(3001, 12, &brings);
}

/// A job was ended at another gateway than its owner's, which that one could not reach:
/// the owner learned of the end only from reports, and they were lost.
#[test]
fn items_of_an_ended_job_stop_though_peers_are_cut_off() {
    play(5018, 12, &ENDS);
}
