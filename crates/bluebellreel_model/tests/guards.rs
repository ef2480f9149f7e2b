//! Checks that no invariant is violated with all guards, and that the checker finds a
//! violation if one of them is disabled.

use bluebellreel_model::{Explored, call, owner_reads, ownership, restart, segments, snapshot};

fn assert_holds(name: &str, explored: &Explored) {
    println!("{name}: {} states", explored.states);
    assert!(explored.violation.is_none(), "{:?}", explored.violation);
}

fn assert_found(name: &str, explored: &Explored, reason: &str) {
    let violation = explored.violation.as_deref().unwrap_or("nothing");
    let first = violation.lines().next().unwrap_or_default();
    println!("{name}: found after {} states: {first}", explored.states);
    assert!(violation.contains(reason), "{name}: {violation}");
}

#[test]
fn all_states_hold_with_all_guards() {
    assert_holds("ownership", &ownership::explore(ownership::Guards::all()));
    assert_holds("call", &call::explore(call::Guards::all()));
    assert_holds("segments", &segments::explore(segments::Guards::all()));
    assert_holds("snapshot", &snapshot::explore(snapshot::Guards::all()));
    assert_holds("restart", &restart::explore(restart::Guards::all()));
    for answered in [true, false] {
        let explored = owner_reads::explore(answered, owner_reads::Guards::all());
        assert_holds("tenure", &explored);
    }
}

/// An owner is paused; another daemon takes its job over and records results. The first
/// owner's late write replaces results that readers have read, unless the write
/// compares the record's revision or the segment's number. Either guard prevents this.
/// Both exist because the revision also stops writes to a cancelled job, and the number
/// also covers a lost response.
#[test]
fn without_revision_and_number_a_paused_owner_replaces_results() {
    let guards = segments::Guards {
        revision: false,
        number: false,
        ..segments::Guards::all()
    };
    assert_found("neither", &segments::explore(guards), "has changed");
    for one in [
        segments::Guards {
            revision: false,
            ..segments::Guards::all()
        },
        segments::Guards {
            number: false,
            ..segments::Guards::all()
        },
    ] {
        assert_holds("one of two", &segments::explore(one));
    }
}

/// The response to a write is lost and more items finish. If the owner adds them and
/// reuses the number, the second write replaces the first, or the first one, applied
/// late, replaces the second.
#[test]
fn without_repeating_unchanged_results_are_lost_or_doubled() {
    let guards = segments::Guards {
        unchanged: false,
        number: false,
        ..segments::Guards::all()
    };
    assert_found("not unchanged", &segments::explore(guards), "has changed");
}

/// A daemon takes a job over without reading its segments: items that are already
/// listed run again and are listed again.
#[test]
fn without_reading_back_a_new_owner_lists_items_again() {
    let guards = segments::Guards {
        read_back: false,
        number: false,
        ..segments::Guards::all()
    };
    let explored = segments::explore(guards);
    assert!(explored.violation.is_some());
}

/// An owner is paused while another daemon takes the job over. If its late write does
/// not compare the revision, the item has its result in addition to the new owner's.
#[test]
fn without_the_revision_an_item_has_two_results() {
    let guards = ownership::Guards {
        revision: false,
        ..ownership::Guards::all()
    };
    assert_found("no revision", &ownership::explore(guards), "result");
}

/// The response to a write is lost and the owner repeats the write. Unless a key can be
/// created only once, the result is recorded twice.
#[test]
fn without_create_once_a_lost_answer_doubles_a_result() {
    let guards = ownership::Guards {
        create_once: false,
        ..ownership::Guards::all()
    };
    assert_found("no create-once", &ownership::explore(guards), "two results");
}

/// A caller sends the same call through two daemons. Without claims both run it.
#[test]
fn without_claims_a_call_runs_twice() {
    let guards = call::Guards {
        claim: false,
        ..call::Guards::all()
    };
    assert_found("no claim", &call::explore(guards), "ran twice");
}

/// A dispatch is delayed. Its side process answers "never seen" to a query, and the
/// caller is told "not run". Without a tombstone the dispatch runs when it arrives.
#[test]
fn without_the_tombstone_a_call_reported_as_not_run_runs() {
    let guards = call::Guards {
        tombstone: false,
        ..call::Guards::all()
    };
    assert_found("no tombstone", &call::explore(guards), "run");
}

/// A side process restarts and does not know the call that its predecessor ran. Without
/// the incarnation check it accepts a duplicated dispatch as a new one. The first
/// violation that the checker reaches is a "not run" response for a call that the
/// predecessor ran.
#[test]
fn without_the_incarnation_a_duplicated_dispatch_runs_again() {
    let guards = call::Guards {
        incarnation: false,
        ..call::Guards::all()
    };
    assert_found(
        "no incarnation",
        &call::explore(guards),
        "of a call that ran",
    );
}

/// A gateway starts while the store is unavailable and receives a snapshot that lists a
/// worker whose address another service uses now. Unless each request names its worker,
/// the other service runs it.
#[test]
fn without_naming_the_worker_another_service_runs_its_requests() {
    let guards = snapshot::Guards {
        instance: false,
        ..snapshot::Guards::all()
    };
    assert_found(
        "no instance",
        &snapshot::explore(guards),
        "no route ever sent",
    );
}

/// A gateway runs on a keeper's snapshot. Another keeper, which was disconnected for a
/// while, offers an older one.
#[test]
fn without_revisions_a_snapshot_reverts_a_version() {
    let guards = snapshot::Guards {
        revision: false,
        ..snapshot::Guards::all()
    };
    assert_found("no revision", &snapshot::explore(guards), "has reverted");
}

/// The store is available when a gateway starts, but a keeper responds before it.
#[test]
fn without_asking_the_store_first_an_older_version_is_in_force() {
    let guards = snapshot::Guards {
        store_first: false,
        ..snapshot::Guards::all()
    };
    assert_found(
        "snapshot first",
        &snapshot::explore(guards),
        "though the store answers",
    );
}

/// Gateways that run on a snapshot report its state to keepers, which count that as a
/// confirmation of the same snapshot.
#[test]
fn without_store_confirmation_a_snapshot_confirms_itself() {
    let guards = snapshot::Guards {
        store_confirmed: false,
        ..snapshot::Guards::all()
    };
    assert_found(
        "no store confirmation",
        &snapshot::explore(guards),
        "confirmed by itself",
    );
}

/// A worker restarts while a run of its former incarnation is unfinished. When that run
/// ends, the daemon would count an occupied slot of the new incarnation as free.
#[test]
fn without_tickets_runs_of_a_former_incarnation_are_counted() {
    let guards = restart::Guards {
        tickets: false,
        ..restart::Guards::all()
    };
    assert_found(
        "no tickets",
        &restart::explore(guards),
        "another incarnation",
    );
}

/// A booking ran in a worker's former incarnation, and its response was lost in the
/// restart. If the daemon treated it as not run, the booking would be made twice.
#[test]
fn without_in_doubt_a_booking_of_a_former_incarnation_runs_twice() {
    let guards = restart::Guards {
        in_doubt: false,
        ..restart::Guards::all()
    };
    assert_found(
        "no in-doubt",
        &restart::explore(guards),
        "of a request that ran",
    );
}

/// The violation that the checker reports if a reader misses a result that was read
/// before.
const RESULT_MISSING: &str = "a result that was read is reported as missing";

/// An owner is disconnected while its successor lists results. When it reaches the
/// store again, it answers readers from its stale memory.
#[test]
fn without_registration_span_a_reconnected_owner_omits_read_results() {
    let guards = owner_reads::Guards {
        registration_span: false,
        ..owner_reads::Guards::all()
    };
    assert_found(
        "no registration span",
        &owner_reads::explore(true, guards),
        RESULT_MISSING,
    );
}

/// An owner's VM is suspended until its entry has expired and its successor has listed
/// results. By the owner's steady clock no time has passed.
#[test]
fn without_suspended_time_an_owner_omits_read_results() {
    let guards = owner_reads::Guards {
        suspension: false,
        ..owner_reads::Guards::all()
    };
    assert_found(
        "no suspension",
        &owner_reads::explore(true, guards),
        RESULT_MISSING,
    );
}

/// An acceptance in doubt is resolved after the job has been taken over, its results
/// listed, and the job handed back. The owner starts with no results listed.
#[test]
fn without_reading_back_an_acceptance_in_doubt_omits_read_results() {
    let guards = owner_reads::Guards {
        read_back: false,
        ..owner_reads::Guards::all()
    };
    assert_found(
        "no read-back",
        &owner_reads::explore(false, guards),
        RESULT_MISSING,
    );
}

/// The response to a hand-over is lost, or the job is still being loaded for another
/// reason at the hand-over. The former owner answers from memory while the new one
/// lists results.
#[test]
fn a_stopping_owner_that_answers_from_memory_omits_read_results() {
    let guards = owner_reads::Guards {
        stopping: false,
        ..owner_reads::Guards::all()
    };
    assert_found(
        "no stopping",
        &owner_reads::explore(true, guards),
        RESULT_MISSING,
    );
}

/// An owner does not reach its peer, but its entry is alive. If the peer takes the job
/// over regardless, both answer readers.
#[test]
fn without_entry_expiry_two_owners_answer_readers() {
    let guards = owner_reads::Guards {
        entry_expiry: false,
        ..owner_reads::Guards::all()
    };
    assert_found(
        "no entry",
        &owner_reads::explore(true, guards),
        RESULT_MISSING,
    );
}

/// The response to an owner's write is lost. A reader finds the result in the store,
/// and the owner tells the next reader that it does not exist.
#[test]
fn without_tracking_writes_in_doubt_an_owner_omits_read_results() {
    let guards = owner_reads::Guards {
        writing: false,
        ..owner_reads::Guards::all()
    };
    assert_found(
        "no writing",
        &owner_reads::explore(true, guards),
        RESULT_MISSING,
    );
}
