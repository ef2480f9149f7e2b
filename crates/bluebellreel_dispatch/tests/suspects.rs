//! Which requests are held back for the workers that crashed under them.

use bluebellreel_dispatch::{
    Cleared, CrashNotice, CrashedRun, Fingerprint, QuarantineStatus, Sender, Suspects, WorkerTag,
    may_try,
};
use bluebellreel_types::{EntryName, Moment};
use proptest::prelude::*;
use std::time::Duration;

const START: Moment = Moment(1_000_000_000);

fn at(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

fn request(n: u32) -> Fingerprint {
    Fingerprint::of(&[&n.to_le_bytes()])
}

/// A request was sent to a worker, which crashed.
fn crash(request: Fingerprint, worker: u32, began_ms: u64, crashed_ms: u64) -> CrashNotice {
    CrashNotice {
        fingerprint: request,
        worker: WorkerTag(worker),
        crashed_run: CrashedRun {
            began: at(began_ms),
            crashed: at(crashed_ms),
            cleared: false,
        },
    }
}

/// Three crashes of a request, one after the other, the last one at 1 s.
fn convicted(bad: Fingerprint) -> Suspects {
    let mut suspects = Suspects::default();
    suspects.note_own_crash(crash(bad, 1, 0, 60), at(60));
    suspects.note_own_crash(crash(bad, 2, 65, 130), at(130));
    suspects.note_own_crash(crash(bad, 3, 900, 1000), at(1000));
    suspects
}

fn quarantine_status(suspects: &Suspects, request: Fingerprint, ms: u64) -> QuarantineStatus {
    suspects.quarantine_status(request, Sender::Caller, at(ms))
}

fn is_held(suspects: &Suspects, request: Fingerprint, ms: u64) -> bool {
    matches!(
        quarantine_status(suspects, request, ms),
        QuarantineStatus::Quarantined(_)
    )
}

/// One request ends each worker that runs it: with the third it is held back, and no
/// other request is.
#[test]
fn three_crashes_in_turn_hold_a_request_back() {
    let bad = request(1);
    let mut suspects = Suspects::default();
    assert_eq!(
        quarantine_status(&suspects, bad, 0),
        QuarantineStatus::Clear
    );
    suspects.note_own_crash(crash(bad, 1, 0, 60), at(60));
    suspects.note_own_crash(crash(bad, 2, 65, 130), at(130));
    assert_eq!(
        quarantine_status(&suspects, bad, 131),
        QuarantineStatus::Suspect
    );
    assert_eq!(
        suspects.note_own_crash(crash(bad, 3, 900, 1000), at(1000)),
        3
    );
    assert!(is_held(&suspects, bad, 1001));
    assert_eq!(
        quarantine_status(&suspects, request(2), 1001),
        QuarantineStatus::Clear
    );
}

/// The same crash, seen by two daemons and reported twice, is one.
#[test]
fn a_crash_that_many_tell_of_counts_once() {
    let bad = request(1);
    let mut suspects = Suspects::default();
    suspects.note_own_crash(crash(bad, 1, 0, 60), at(60));
    for late in 0..5 {
        assert!(!suspects.note_crash(crash(bad, 1, 200 + late, 400 + late), at(500)));
    }
    assert_eq!(
        quarantine_status(&suspects, bad, 501),
        QuarantineStatus::Suspect
    );
}

/// Five workers are killed at one moment, and the same popular request ran at each: none
/// of its runs began after another's end.
#[test]
fn a_mass_kill_counts_once_for_a_request_that_ran_everywhere() {
    let popular = request(1);
    let mut suspects = Suspects::default();
    for worker in 0..5 {
        suspects.note_own_crash(crash(popular, worker, u64::from(worker) * 10, 400), at(400));
    }
    assert_eq!(
        quarantine_status(&suspects, popular, 401),
        QuarantineStatus::Suspect
    );
}

/// Half of the workers are killed, three times within seconds. A long item went on at
/// another worker each time, and was there again; the others there were at no crash before.
#[test]
fn mass_kills_in_turn_hold_no_long_item_back() {
    let item = request(1);
    let mut suspects = Suspects::default();
    for round in 0..3_u32 {
        let ms = 1000 + u64::from(round) * 1500;
        suspects.note_own_crash(crash(item, round * 10, ms - 900, ms), at(ms));
        for other in 1..4 {
            let beside = request(100 + round * 10 + other);
            suspects.note_own_crash(
                crash(beside, round * 10 + other, ms - 90, ms + 3),
                at(ms + 3),
            );
        }
    }
    let quarantine_status = suspects.quarantine_status(item, Sender::Job, at(4100));
    assert!(
        !matches!(quarantine_status, QuarantineStatus::Quarantined(_)),
        "{quarantine_status:?}"
    );
}

/// A request that was beside the one that causes the crashes, twice or thrice by bad luck,
/// is not the one.
#[test]
fn a_request_beside_the_cause_is_not_held_back() {
    let (bad, beside) = (request(1), request(2));
    let mut suspects = Suspects::default();
    for worker in 1..=4 {
        let ms = u64::from(worker) * 200;
        suspects.note_own_crash(crash(bad, worker, ms - 60, ms), at(ms));
        if worker != 2 {
            suspects.note_own_crash(crash(beside, worker, ms - 90, ms), at(ms));
        }
    }
    assert!(is_held(&suspects, bad, 1000));
    assert!(!is_held(&suspects, beside, 1000));
}

/// The daemons that ran the innocent ones may tell before the one that ran the cause.
#[test]
fn what_is_heard_late_corrects_what_was_concluded() {
    let (bad, beside) = (request(1), request(2));
    let mut suspects = Suspects::default();
    for worker in 1..=3 {
        let ms = u64::from(worker) * 200;
        suspects.note_crash(crash(beside, worker, ms - 90, ms), at(1000));
    }
    assert!(is_held(&suspects, beside, 1000));
    for worker in 1..=4 {
        let ms = u64::from(worker) * 200;
        suspects.note_crash(crash(bad, worker, ms - 60, ms), at(1001));
    }
    assert!(!is_held(&suspects, beside, 1002));
    assert!(is_held(&suspects, bad, 1002));
}

/// Workers can run it by now: the trial ends well, and all hear of it.
#[test]
fn a_run_that_ends_well_clears_a_request_everywhere() {
    let bad = request(1);
    let (mut here, mut there) = (convicted(bad), convicted(bad));
    assert_eq!(here.completed(bad, at(70_000)), Cleared::Quarantine);
    assert_eq!(here.completed(bad, at(70_000)), Cleared::Nothing);
    assert_eq!(
        quarantine_status(&here, bad, 70_001),
        QuarantineStatus::Clear
    );
    for notice in here.notices(true, at(70_001)) {
        there.note_crash(notice, at(70_001));
    }
    assert_eq!(
        quarantine_status(&there, bad, 70_002),
        QuarantineStatus::Clear
    );
    // What another one still tells of the same crashes does not bring them back.
    for notice in convicted(bad).notices(true, at(1001)) {
        here.note_crash(notice, at(70_003));
    }
    assert_eq!(
        quarantine_status(&here, bad, 70_004),
        QuarantineStatus::Clear
    );
}

/// Whether a request may be tried out.
fn on_trial(suspects: &Suspects, request: Fingerprint, sender: Sender, ms: u64) -> bool {
    let quarantine_status = suspects.quarantine_status(request, sender, at(ms));
    matches!(quarantine_status, QuarantineStatus::TrialOnly(_))
}

/// It is tried out by one run at a time, two seconds after the third crash; with a fourth
/// it is held back for a minute, then twice as long after each, ten minutes at the most.
#[test]
fn a_request_that_is_held_back_is_tried_out_in_turn() {
    let bad = request(1);
    let mut suspects = convicted(bad);
    assert!(is_held(&suspects, bad, 2999));
    assert!(on_trial(&suspects, bad, Sender::Caller, 3001));
    suspects.begin_trial(bad, at(3001));
    assert!(
        is_held(&suspects, bad, 3002),
        "another one beside the trial"
    );
    suspects.note_own_crash(crash(bad, 4, 3001, 3100), at(3100));
    suspects.end_trial(bad);
    assert!(is_held(&suspects, bad, 63_099));
    assert!(on_trial(&suspects, bad, Sender::Caller, 63_101));
    let mut ms = 63_101;
    for worker in 5..9 {
        suspects.note_own_crash(crash(bad, worker, ms, ms + 100), at(ms + 100));
        let QuarantineStatus::Quarantined(until) = quarantine_status(&suspects, bad, ms + 101)
        else {
            panic!("not held back")
        };
        assert!(until >= at(ms + 100) + Duration::from_mins(2));
        assert!(until <= at(ms + 100) + Duration::from_mins(10));
        ms += 601_000;
    }
}

/// A job's owner alone sends its item, which holds the job up: it is tried sooner.
#[test]
fn an_item_is_tried_out_sooner() {
    let bad = request(1);
    let mut suspects = convicted(bad);
    suspects.note_own_crash(crash(bad, 4, 3001, 3100), at(3100));
    assert!(!on_trial(&suspects, bad, Sender::Job, 18_000));
    assert!(on_trial(&suspects, bad, Sender::Job, 18_200));
}

/// One request was beside the cause at all three crashes. Nothing tells them apart until
/// one of them runs again: the one that crashes a fourth worker is the one.
#[test]
fn of_two_at_the_same_crashes_the_next_run_tells() {
    let (bad, beside) = (request(1), request(2));
    let mut suspects = convicted(bad);
    suspects.note_own_crash(crash(beside, 1, 0, 60), at(60));
    suspects.note_own_crash(crash(beside, 2, 65, 130), at(130));
    suspects.note_own_crash(crash(beside, 3, 900, 1000), at(1000));
    assert!(is_held(&suspects, bad, 1001) && is_held(&suspects, beside, 1001));
    suspects.note_own_crash(crash(bad, 4, 3001, 3100), at(3100));
    assert!(is_held(&suspects, bad, 3101));
    assert!(!is_held(&suspects, beside, 3101));
}

/// Of hundreds of daemons few may try a request out at first, and all after some seconds.
#[test]
fn few_daemons_try_a_request_out_at_once() {
    let may = |daemons: usize, ms: u64| {
        let names = (0..daemons).map(|n| EntryName::from(format!("entry-{n}")));
        let may = |me: &EntryName| may_try(request(1), me, daemons, at(0), at(ms));
        names.filter(may).count()
    };
    assert!(may(410, 10) <= 5, "{}", may(410, 10));
    assert!(may(410, 4000) < 80, "{}", may(410, 4000));
    assert_eq!(may(410, 10_000), 410);
    assert_eq!(may(1, 0), 1);
}

/// All daemons were killed. What the store has kept holds a request back as its own
/// crashes do, until a trial.
#[test]
fn what_was_kept_holds_a_request_back_after_a_start() {
    let bad = request(1);
    let kept = convicted(bad).crashed_workers(bad);
    assert_eq!(kept.len(), 3);
    let mut suspects = Suspects::default();
    suspects.recall(bad, &kept, at(5000));
    assert!(is_held(&suspects, bad, 5001));
    assert!(on_trial(&suspects, bad, Sender::Caller, 7001));
    let name = bad.to_string();
    assert_eq!(Fingerprint::try_from(name.as_str()), Ok(bad));
    for no in ["", "xyz", "+123456789abcdef", &name[1..]] {
        assert!(Fingerprint::try_from(no).is_err(), "{no}");
    }
}

/// A peer's trial is waited for, and not passed on.
#[test]
fn a_trial_elsewhere_is_waited_for() {
    let bad = request(1);
    let mut suspects = convicted(bad);
    suspects.note_trial(bad, at(62_000));
    assert!(is_held(&suspects, bad, 62_001));
    assert_eq!(suspects.trials().count(), 0);
    assert!(on_trial(&suspects, bad, Sender::Caller, 72_001));
}

#[test]
fn crashes_are_forgotten() {
    let bad = request(1);
    let mut suspects = convicted(bad);
    suspects.sweep(at(31 * 60_000));
    assert!(suspects.is_empty());
    assert_eq!(
        quarantine_status(&suspects, bad, 31 * 60_000),
        QuarantineStatus::Clear
    );
}

/// What no daemon can have seen counts for nothing.
#[test]
fn impossible_crashes_are_left_aside() {
    let bad = request(1);
    let mut suspects = Suspects::default();
    let now = at(40 * 60_000);
    assert!(
        !suspects.note_crash(crash(bad, 1, 100, 50), now),
        "it ended before it began"
    );
    assert!(
        !suspects.note_crash(crash(bad, 2, 0, 41 * 60_000), now),
        "it is still to come"
    );
    assert!(
        !suspects.note_crash(crash(bad, 3, 0, 60), now),
        "it is forgotten"
    );
    assert!(suspects.is_empty());
}

/// Thousands of runs end with their workers: the one that was held back before stays, and
/// nothing grows.
#[test]
fn what_is_kept_and_told_is_bounded() {
    let bad = request(1);
    let mut suspects = convicted(bad);
    for n in 0..15_000 {
        let notice = crash(request(100 + n), 1000 + n / 8, 1500, 2000);
        suspects.note_own_crash(notice, at(2000));
        assert!(suspects.len() <= 512);
    }
    assert!(is_held(&suspects, bad, 2001));
    let notices = suspects.notices(true, at(2001));
    assert!(notices.len() <= 24);
    assert!(
        notices.iter().any(|t| t.fingerprint == bad),
        "for those that have just started"
    );
    assert!(
        suspects.notices(true, at(60_000)).len() <= 3,
        "only what is held back"
    );
}

proptest! {
    /// Daemons that have heard the same crashes conclude the same, whatever the order.
    #[test]
    fn the_order_of_what_is_heard_does_not_matter(
        crashes in prop::collection::vec((0..6_u32, 0..8_u32, 0..400_u64, 0..3000_u64), 0..40),
        turn in 0..40_usize,
    ) {
        // A worker's life has one end, and a request one run there.
        let notices: std::collections::BTreeMap<_, _> = crashes
            .into_iter()
            .map(|(r, w, lasted, end)| ((r, w), crash(request(r), w, end, end + lasted)))
            .collect();
        let mut notices: Vec<CrashNotice> = notices.into_values().collect();
        let mut one = Suspects::default();
        for notice in &notices {
            one.note_crash(*notice, at(4000));
        }
        let middle = turn.min(notices.len());
        notices.rotate_left(middle);
        let mut other = Suspects::default();
        for notice in &notices {
            other.note_crash(*notice, at(4000));
        }
        for r in 0..6 {
            prop_assert_eq!(quarantine_status(&one, request(r), 4000), quarantine_status(&other, request(r), 4000));
        }
    }

    /// Fewer than three crashes hold nobody back.
    #[test]
    fn two_crashes_hold_nobody_back(began in 0..1000_u64, first in 0..1000_u64, second in 0..1000_u64) {
        let bad = request(1);
        let mut suspects = Suspects::default();
        suspects.note_own_crash(crash(bad, 1, began, began + first), at(5000));
        suspects.note_own_crash(crash(bad, 2, began + first, began + first + second), at(5000));
        prop_assert!(!is_held(&suspects, bad, 5000));
    }
}
