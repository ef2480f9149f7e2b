//! All states hold with all guards; without one of them the checker finds why.

use bluebellreel_model::{Explored, call, ownership, restart, segments, snapshot, tenure};

fn holds(name: &str, explored: &Explored) {
    println!("{name}: {} states", explored.states);
    assert!(explored.violation.is_none(), "{:?}", explored.violation);
}

fn found(name: &str, explored: &Explored, reason: &str) {
    let violation = explored.violation.as_deref().unwrap_or("nothing");
    let first = violation.lines().next().unwrap_or_default();
    println!("{name}: found after {} states: {first}", explored.states);
    assert!(violation.contains(reason), "{name}: {violation}");
}

#[test]
fn all_states_hold_with_all_guards() {
    holds("ownership", &ownership::explore(ownership::Guards::all()));
    holds("call", &call::explore(call::Guards::all()));
    holds("segments", &segments::explore(segments::Guards::all()));
    holds("snapshot", &snapshot::explore(snapshot::Guards::all()));
    holds("restart", &restart::explore(restart::Guards::all()));
    for answered in [true, false] {
        let explored = tenure::explore(answered, tenure::Guards::all());
        holds("tenure", &explored);
    }
}

/// An owner is paused, another takes its job over and records. The first one's
/// late write replaces what readers have read, unless it compares the record's
/// revision or the segment's number. Either suffices for this; both are kept,
/// as the revision also ends a cancelled job and the number a lost answer.
#[test]
fn without_revision_and_number_a_paused_owner_replaces_results() {
    let guards = segments::Guards {
        revision: false,
        number: false,
        ..segments::Guards::all()
    };
    found("neither", &segments::explore(guards), "has changed");
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
        holds("one of two", &segments::explore(one));
    }
}

/// A write's answer is lost and more items end. Written with them under the
/// same number, the second write replaces the first one, or the first one, done
/// late, replaces the second.
#[test]
fn without_repeating_unchanged_results_are_lost_or_doubled() {
    let guards = segments::Guards {
        unchanged: false,
        number: false,
        ..segments::Guards::all()
    };
    found("not unchanged", &segments::explore(guards), "has changed");
}

/// A daemon takes a job over and starts from nothing: what was listed before
/// runs and is listed again.
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

/// An owner is paused while another takes the job over. Without the revision
/// in its write, its late result stands beside the new owner's.
#[test]
fn without_the_revision_an_item_has_two_results() {
    let guards = ownership::Guards {
        revision: false,
        ..ownership::Guards::all()
    };
    found("no revision", &ownership::explore(guards), "result");
}

/// The answer to a write is lost and the write is made again. Without keys
/// that are created once, the result stands twice.
#[test]
fn without_create_once_a_lost_answer_doubles_a_result() {
    let guards = ownership::Guards {
        create_once: false,
        ..ownership::Guards::all()
    };
    found("no create-once", &ownership::explore(guards), "two results");
}

/// A member sends a confirmation through two daemons. Without claims both run.
#[test]
fn without_claims_a_call_runs_twice() {
    let guards = call::Guards {
        claim: false,
        ..call::Guards::all()
    };
    found("no claim", &call::explore(guards), "ran twice");
}

/// A dispatch is delayed; its side process says "never seen" and the member is
/// told "not run". Without a tombstone the dispatch runs when it comes.
#[test]
fn without_the_tombstone_not_run_is_a_lie() {
    let guards = call::Guards {
        tombstone: false,
        ..call::Guards::all()
    };
    found("no tombstone", &call::explore(guards), "run");
}

/// A side process restarts and knows nothing of the call that its predecessor
/// ran. Without the incarnation a doubled dispatch is taken as a new one: the
/// nearest harm is a "not run" that the predecessor's run makes a lie.
#[test]
fn without_the_incarnation_a_doubled_message_makes_a_lie() {
    let guards = call::Guards {
        incarnation: false,
        ..call::Guards::all()
    };
    found(
        "no incarnation",
        &call::explore(guards),
        "of a call that ran",
    );
}

/// A gateway starts while the store is away and gets a snapshot in which a worker
/// is listed whose address another service has now. Unless work names its worker,
/// that service runs it.
#[test]
fn without_naming_the_worker_a_stranger_runs_its_work() {
    let guards = snapshot::Guards {
        instance: false,
        ..snapshot::Guards::all()
    };
    found(
        "no instance",
        &snapshot::explore(guards),
        "no route ever sent",
    );
}

/// A gateway lives by a keeper's snapshot when another keeper, which was cut off
/// for a while, brings an older one.
#[test]
fn without_revisions_a_snapshot_reverts_a_version() {
    let guards = snapshot::Guards {
        revision: false,
        ..snapshot::Guards::all()
    };
    found("no revision", &snapshot::explore(guards), "has reverted");
}

/// The store is there when a gateway starts, and a keeper is quicker than it.
#[test]
fn without_asking_the_store_first_an_older_version_is_in_force() {
    let guards = snapshot::Guards {
        store_first: false,
        ..snapshot::Guards::all()
    };
    found(
        "snapshot first",
        &snapshot::explore(guards),
        "though the store answers",
    );
}

/// Gateways that live by a snapshot tell keepers that they know just that.
#[test]
fn without_the_store_s_word_a_snapshot_never_grows_old() {
    let guards = snapshot::Guards {
        store_s_word: false,
        ..snapshot::Guards::all()
    };
    found(
        "any word",
        &snapshot::explore(guards),
        "confirmed by itself",
    );
}

/// A worker starts again while a run of its former life has not ended. When that
/// one ends at last, a slot of the new life would look free that is not.
#[test]
fn without_tickets_runs_of_a_former_life_are_counted() {
    let guards = restart::Guards {
        tickets: false,
        ..restart::Guards::all()
    };
    found("no tickets", &restart::explore(guards), "another life");
}

/// A booking ran in a worker's former life, and its answer died with it. Taken
/// for not run, it would be made twice.
#[test]
fn without_doubt_a_booking_of_a_former_life_runs_twice() {
    let guards = restart::Guards {
        in_doubt: false,
        ..restart::Guards::all()
    };
    found(
        "no doubt",
        &restart::explore(guards),
        "of a request that ran",
    );
}

/// What a reader is told that must not be.
const TAKEN_BACK: &str = "a result that was read is not there";

/// An owner is cut off while its successor lists results. When it reaches the store
/// again it tells readers what it remembers.
#[test]
fn without_tenure_an_owner_that_was_cut_off_takes_results_back() {
    let guards = tenure::Guards {
        tenure: false,
        ..tenure::Guards::all()
    };
    found("no tenure", &tenure::explore(true, guards), TAKEN_BACK);
}

/// An owner's VM is suspended until its entry has ended and its successor has listed
/// results. By its steady clock no time has passed.
#[test]
fn without_time_suspended_an_owner_takes_results_back() {
    let guards = tenure::Guards {
        suspension: false,
        ..tenure::Guards::all()
    };
    found("no suspension", &tenure::explore(true, guards), TAKEN_BACK);
}

/// An acceptance is decided after the job has been taken over, listed and handed
/// back. It begins with nothing listed.
#[test]
fn without_reading_back_an_acceptance_in_doubt_takes_results_back() {
    let guards = tenure::Guards {
        read_back: false,
        ..tenure::Guards::all()
    };
    found("no read-back", &tenure::explore(false, guards), TAKEN_BACK);
}

/// The answer to a hand-over is lost, or the job is still being read for another
/// reason when it goes. The former owner goes by its memory while the new one lists
/// results.
#[test]
fn a_stopping_owner_that_is_sure_takes_results_back() {
    let guards = tenure::Guards {
        stopping: false,
        ..tenure::Guards::all()
    };
    found("no stopping", &tenure::explore(true, guards), TAKEN_BACK);
}

/// An owner is silent to its peer, and its entry stands. Taken over all the same,
/// its job is told of by two.
#[test]
fn without_the_entrys_end_two_owners_answer_readers() {
    let guards = tenure::Guards {
        entry: false,
        ..tenure::Guards::all()
    };
    found("no entry", &tenure::explore(true, guards), TAKEN_BACK);
}

/// The answer to an owner's write is lost. A reader finds the result in the store,
/// and the next one is told by the owner that there is none.
#[test]
fn without_heeding_a_write_in_doubt_an_owner_takes_results_back() {
    let guards = tenure::Guards {
        writing: false,
        ..tenure::Guards::all()
    };
    found("no writing", &tenure::explore(true, guards), TAKEN_BACK);
}
