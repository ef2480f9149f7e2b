//! Quarantine of requests during which workers crashed.

use bluebellreel_dispatch::{
    Cleared, CrashNotice, CrashedRun, Fingerprint, ItemStatus, ItemTrials, QuarantineStatus,
    Suspects, WorkerTag, may_try,
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

/// A notice that a request was sent to a worker, which crashed.
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

/// Records with three sequential crashes of a request, the last one at 1 s.
fn quarantined_after_three_crashes(bad: Fingerprint) -> Suspects {
    let mut suspects = Suspects::default();
    suspects.note_own_crash(crash(bad, 1, 0, 60), at(60));
    suspects.note_own_crash(crash(bad, 2, 65, 130), at(130));
    suspects.note_own_crash(crash(bad, 3, 900, 1000), at(1000));
    suspects
}

fn quarantine_status(suspects: &Suspects, request: Fingerprint, ms: u64) -> QuarantineStatus {
    suspects.quarantine_status(request, at(ms))
}

fn is_quarantined(suspects: &Suspects, request: Fingerprint, ms: u64) -> bool {
    matches!(
        quarantine_status(suspects, request, ms),
        QuarantineStatus::Quarantined(_)
    )
}

/// A request crashes each worker that runs it. The third crash must quarantine it, and
/// no other request.
#[test]
fn three_sequential_crashes_quarantine_a_request() {
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
    assert!(is_quarantined(&suspects, bad, 1001));
    assert_eq!(
        quarantine_status(&suspects, request(2), 1001),
        QuarantineStatus::Clear
    );
}

/// The same crash, observed by two daemons and reported twice, counts once.
#[test]
fn a_crash_reported_by_several_daemons_counts_once() {
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

/// Five workers are killed at one moment, and the same popular request ran on each. No
/// run began after another one's end, so the crashes count once.
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

/// Half of the workers are killed three times within seconds. A long item resumed at
/// another worker each time and was interrupted again; the requests that ran beside it
/// had no crash before.
#[test]
fn repeated_mass_kills_do_not_quarantine_a_long_item() {
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
    let quarantine_status = suspects.quarantine_status(item, at(4100));
    assert!(
        !matches!(quarantine_status, QuarantineStatus::Quarantined(_)),
        "{quarantine_status:?}"
    );
    assert_eq!(suspects.item_status(item, at(4100)), ItemStatus::Clear);
}

/// A request that by accident ran beside the cause of two or three crashes is not
/// quarantined.
#[test]
fn a_request_running_beside_the_cause_is_not_quarantined() {
    let (bad, beside) = (request(1), request(2));
    let mut suspects = Suspects::default();
    for worker in 1..=4 {
        let ms = u64::from(worker) * 200;
        suspects.note_own_crash(crash(bad, worker, ms - 60, ms), at(ms));
        if worker != 2 {
            suspects.note_own_crash(crash(beside, worker, ms - 90, ms), at(ms));
        }
    }
    assert!(is_quarantined(&suspects, bad, 1000));
    assert!(!is_quarantined(&suspects, beside, 1000));
}

/// Notices on requests that ran beside the cause may arrive before those on the cause
/// itself.
#[test]
fn late_notices_correct_an_earlier_quarantine() {
    let (bad, beside) = (request(1), request(2));
    let mut suspects = Suspects::default();
    for worker in 1..=3 {
        let ms = u64::from(worker) * 200;
        suspects.note_crash(crash(beside, worker, ms - 90, ms), at(1000));
    }
    assert!(is_quarantined(&suspects, beside, 1000));
    for worker in 1..=4 {
        let ms = u64::from(worker) * 200;
        suspects.note_crash(crash(bad, worker, ms - 60, ms), at(1001));
    }
    assert!(!is_quarantined(&suspects, beside, 1002));
    assert!(is_quarantined(&suspects, bad, 1002));
}

/// Workers have become able to run the request: the trial run completes, and all daemons
/// are notified.
#[test]
fn a_completed_run_clears_a_request_at_all_daemons() {
    let bad = request(1);
    let (mut here, mut there) = (
        quarantined_after_three_crashes(bad),
        quarantined_after_three_crashes(bad),
    );
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
    // Late notices of the same crashes from a peer do not restore them.
    for notice in quarantined_after_three_crashes(bad).notices(true, at(1001)) {
        here.note_crash(notice, at(70_003));
    }
    assert_eq!(
        quarantine_status(&here, bad, 70_004),
        QuarantineStatus::Clear
    );
}

/// Whether a request may run on trial.
fn is_trial_due(suspects: &Suspects, request: Fingerprint, ms: u64) -> bool {
    let quarantine_status = suspects.quarantine_status(request, at(ms));
    matches!(quarantine_status, QuarantineStatus::TrialOnly(_))
}

/// One trial run at a time is allowed from two seconds after the third crash. The fourth
/// crash quarantines the request for a minute; each further one doubles that, up to ten
/// minutes.
#[test]
fn a_quarantined_request_gets_one_trial_at_a_time() {
    let bad = request(1);
    let mut suspects = quarantined_after_three_crashes(bad);
    assert!(is_quarantined(&suspects, bad, 2999));
    assert!(is_trial_due(&suspects, bad, 3001));
    suspects.begin_trial(bad, at(3001));
    assert!(
        is_quarantined(&suspects, bad, 3002),
        "a second trial at the same time"
    );
    suspects.note_own_crash(crash(bad, 4, 3001, 3100), at(3100));
    suspects.end_trial(bad);
    assert!(is_quarantined(&suspects, bad, 63_099));
    assert!(is_trial_due(&suspects, bad, 63_101));
    let mut ms = 63_101;
    for worker in 5..9 {
        suspects.note_own_crash(crash(bad, worker, ms, ms + 100), at(ms + 100));
        let QuarantineStatus::Quarantined(until) = quarantine_status(&suspects, bad, ms + 101)
        else {
            panic!("not quarantined")
        };
        assert!(until >= at(ms + 100) + Duration::from_mins(2));
        assert!(until <= at(ms + 100) + Duration::from_mins(10));
        ms += 601_000;
    }
}

/// Items that waited longer with each crash were never run again; an item may run one second
/// after the last crash under it, however many there were. A caller's request may not.
#[test]
fn an_item_may_run_soon_after_the_last_of_many_crashes() {
    let item = request(1);
    let mut suspects = Suspects::default();
    for worker in 0..20_u32 {
        let ms = 1000 + u64::from(worker) * 400;
        suspects.note_own_crash(crash(item, worker, ms - 300, ms), at(ms));
        let waits = suspects.item_status(item, at(ms + 999));
        assert_eq!(matches!(waits, ItemStatus::Waiting(_)), worker >= 2);
        assert!(suspects.item_status(item, at(ms + 1000)) <= ItemStatus::OnTrial(at(ms + 1000)));
    }
    assert!(is_quarantined(&suspects, item, 60_000));
}

/// Items under which workers crash run one at a time, more with each that goes well, and one
/// at a time again after the next crash.
#[test]
fn items_on_trial_are_limited_until_they_go_well() {
    let mut trials = ItemTrials::default();
    let begun = |trials: &mut ItemTrials| {
        let mut count = 0;
        while trials.has_room() {
            trials.begin();
            count += 1;
        }
        count
    };
    assert_eq!(begun(&mut trials), 1);
    trials.progressed();
    assert_eq!(begun(&mut trials), 1);
    trials.end();
    trials.end();
    assert_eq!(begun(&mut trials), 2);
    trials.crashed();
    trials.end();
    assert_eq!(begun(&mut trials), 0);
    trials.end();
    assert_eq!(begun(&mut trials), 1);
}

/// One request ran beside the cause at all three crashes. They cannot be distinguished
/// until one of them runs again: the one that crashes a fourth worker is the cause.
#[test]
fn the_next_crash_separates_two_requests_at_the_same_crashes() {
    let (bad, beside) = (request(1), request(2));
    let mut suspects = quarantined_after_three_crashes(bad);
    suspects.note_own_crash(crash(beside, 1, 0, 60), at(60));
    suspects.note_own_crash(crash(beside, 2, 65, 130), at(130));
    suspects.note_own_crash(crash(beside, 3, 900, 1000), at(1000));
    assert!(is_quarantined(&suspects, bad, 1001) && is_quarantined(&suspects, beside, 1001));
    suspects.note_own_crash(crash(bad, 4, 3001, 3100), at(3100));
    assert!(is_quarantined(&suspects, bad, 3101));
    assert!(!is_quarantined(&suspects, beside, 3101));
}

/// Of hundreds of daemons only a few may run a trial at first, and all after some
/// seconds.
#[test]
fn few_daemons_run_a_trial_at_once() {
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

/// All daemons were killed. The crashes restored from the store quarantine a request
/// like the daemon's own records, until a trial.
#[test]
fn restored_crashes_quarantine_a_request_after_a_restart() {
    let bad = request(1);
    let kept = quarantined_after_three_crashes(bad).crashed_workers(bad);
    assert_eq!(kept.len(), 3);
    let mut suspects = Suspects::default();
    suspects.recall(bad, &kept, at(5000));
    assert!(is_quarantined(&suspects, bad, 5001));
    assert!(is_trial_due(&suspects, bad, 7001));
    let name = bad.to_string();
    assert_eq!(Fingerprint::try_from(name.as_str()), Ok(bad));
    for no in ["", "xyz", "+123456789abcdef", &name[1..]] {
        assert!(Fingerprint::try_from(no).is_err(), "{no}");
    }
}

/// A peer's trial blocks local ones and is not forwarded.
#[test]
fn a_trial_at_a_peer_is_awaited() {
    let bad = request(1);
    let mut suspects = quarantined_after_three_crashes(bad);
    suspects.note_trial(bad, at(62_000));
    assert!(is_quarantined(&suspects, bad, 62_001));
    assert_eq!(suspects.trials().count(), 0);
    assert!(is_trial_due(&suspects, bad, 72_001));
}

#[test]
fn old_crashes_are_evicted() {
    let bad = request(1);
    let mut suspects = quarantined_after_three_crashes(bad);
    suspects.sweep(at(31 * 60_000));
    assert!(suspects.is_empty());
    assert_eq!(
        quarantine_status(&suspects, bad, 31 * 60_000),
        QuarantineStatus::Clear
    );
}

/// Notices that no daemon can have observed are ignored.
#[test]
fn impossible_crashes_are_ignored() {
    let bad = request(1);
    let mut suspects = Suspects::default();
    let now = at(40 * 60_000);
    assert!(
        !suspects.note_crash(crash(bad, 1, 100, 50), now),
        "the crash precedes the start of the run"
    );
    assert!(
        !suspects.note_crash(crash(bad, 2, 0, 41 * 60_000), now),
        "the crash is in the future"
    );
    assert!(
        !suspects.note_crash(crash(bad, 3, 0, 60), now),
        "the crash is past its retention"
    );
    assert!(suspects.is_empty());
}

/// Thousands of runs end with their workers: the request that was quarantined before
/// stays so, and memory and reports stay bounded.
#[test]
fn records_and_notices_are_bounded() {
    let bad = request(1);
    let mut suspects = quarantined_after_three_crashes(bad);
    for n in 0..15_000 {
        let notice = crash(request(100 + n), 1000 + n / 8, 1500, 2000);
        suspects.note_own_crash(notice, at(2000));
        assert!(suspects.len() <= 512);
    }
    assert!(is_quarantined(&suspects, bad, 2001));
    let notices = suspects.notices(true, at(2001));
    assert!(notices.len() <= 24);
    assert!(
        notices.iter().any(|t| t.fingerprint == bad),
        "notices for daemons that have just started"
    );
    assert!(
        suspects.notices(true, at(60_000)).len() <= 3,
        "only notices of quarantined requests"
    );
}

proptest! {
    /// Daemons that have received the same notices reach the same conclusions in any
    /// order.
    #[test]
    fn the_order_of_notices_does_not_matter(
        crashes in prop::collection::vec((0..6_u32, 0..8_u32, 0..400_u64, 0..3000_u64), 0..40),
        turn in 0..40_usize,
    ) {
        // An incarnation of a worker ends once, and runs a request once.
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

    /// Fewer than three crashes quarantine no request.
    #[test]
    fn two_crashes_quarantine_no_request(began in 0..1000_u64, first in 0..1000_u64, second in 0..1000_u64) {
        let bad = request(1);
        let mut suspects = Suspects::default();
        suspects.note_own_crash(crash(bad, 1, began, began + first), at(5000));
        suspects.note_own_crash(crash(bad, 2, began + first, began + first + second), at(5000));
        prop_assert!(!is_quarantined(&suspects, bad, 5000));
    }
}
