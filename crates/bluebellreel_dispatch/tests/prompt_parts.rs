//! Quarantine of parts of prompts on which workers crashed.

use bluebellreel_dispatch::{
    Cleared, CrashedRun, Depth, Fingerprint, PartCrash, PartNotice, PartSuspects, QuarantineStatus,
    VersionTag, WorkerTag,
};
use bluebellreel_types::Moment;
use proptest::prelude::*;
use std::time::Duration;

const V1: VersionTag = VersionTag(1);
const V2: VersionTag = VersionTag(2);

fn at(ms: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(ms)
}

fn part(n: u32) -> Fingerprint {
    Fingerprint::of(&[&n.to_le_bytes()])
}

/// The first part of all prompts, one that crashes workers, and another one.
fn parts() -> (Fingerprint, Fingerprint, Fingerprint) {
    (part(1), part(2), part(3))
}

fn run(began_ms: u64, crashed_ms: u64) -> CrashedRun {
    CrashedRun {
        began: at(began_ms),
        crashed: at(crashed_ms),
        cleared: false,
    }
}

fn notice(part: Fingerprint, worker: u32, began_ms: u64, crashed_ms: u64) -> PartNotice {
    PartNotice {
        part,
        worker: WorkerTag(worker),
        crash: PartCrash {
            run: run(began_ms, crashed_ms),
            version: V1,
            depth: Depth::default(),
            written: false,
            progressed: false,
            trial: false,
        },
    }
}

/// Records that a worker crashed under runs with these parts.
fn crash(
    suspects: &mut PartSuspects,
    parts: &[Fingerprint],
    worker: u32,
    began: u64,
    crashed: u64,
) {
    for part in parts {
        suspects.note_own_crash(notice(*part, worker, began, crashed), at(crashed));
    }
}

fn status(suspects: &PartSuspects, parts: &[Fingerprint], ms: u64) -> QuarantineStatus {
    suspects.verdict(parts, V1, at(ms)).status
}

fn is_held(suspects: &PartSuspects, parts: &[Fingerprint], ms: u64) -> bool {
    !matches!(
        status(suspects, parts, ms),
        QuarantineStatus::Clear | QuarantineStatus::Suspect
    )
}

fn is_trial_due(suspects: &PartSuspects, parts: &[Fingerprint], ms: u64) -> bool {
    matches!(status(suspects, parts, ms), QuarantineStatus::TrialOnly(_))
}

/// Five workers crash within 100 ms under runs of which none saw another's crash; their
/// prompts share the first part, which was answered before.
fn five_at_once(first: Fingerprint, bad: Fingerprint) -> PartSuspects {
    let mut suspects = PartSuspects::default();
    suspects.note_answer(&[first], V1, at(500));
    for worker in 0..5 {
        let ms = 1000 + u64::from(worker) * 20;
        crash(&mut suspects, &[first, bad], worker, 950, ms);
    }
    suspects
}

#[test]
fn five_crashes_at_once_quarantine_the_part_that_no_worker_answered() {
    let (first, bad, sound) = parts();
    let suspects = five_at_once(first, bad);
    assert!(is_held(&suspects, &[first, bad], 1100));
    assert!(!is_held(&suspects, &[first, sound], 1100));
    assert!(!is_held(&suspects, &[first], 1100));
}

/// Nothing was answered before the crashes: a request without the part that crashes workers
/// gets a trial at once, and its answer clears all that it shares with the others.
#[test]
fn a_trial_without_the_other_suspect_comes_first() {
    let (first, bad, sound) = parts();
    let mut suspects = PartSuspects::default();
    for worker in 0..5 {
        crash(&mut suspects, &[first, bad], worker, 950, 1000);
    }
    assert!(is_trial_due(&suspects, &[first, sound], 1001));
    assert!(!is_trial_due(&suspects, &[first, bad], 1001));
    suspects.begin_trial(first, at(1001));
    assert!(
        !is_trial_due(&suspects, &[first, sound], 1002),
        "two trials"
    );
    let cleared = suspects.note_answer(&[first, sound], V1, at(1900));
    assert_eq!(cleared, [(first, Cleared::Quarantine)]);
    assert!(!is_held(&suspects, &[first, sound], 1901));
    assert!(is_held(&suspects, &[first, bad], 1901));
}

/// Bystanders ran at many of the crashes: the fewer of them, the sooner the trial.
#[test]
fn the_trial_of_the_request_with_the_weaker_suspects_comes_first() {
    let (first, bad, sound) = parts();
    let mut suspects = PartSuspects::default();
    for worker in 0..6 {
        crash(&mut suspects, &[first, bad], worker, 950, 1000);
        if worker < 3 {
            crash(&mut suspects, &[sound], worker, 900, 1000);
        }
    }
    let due = |parts: &[Fingerprint]| {
        (1001..60_000)
            .step_by(100)
            .find(|ms| is_trial_due(&suspects, parts, *ms))
    };
    assert!(due(&[first, sound]) < due(&[first, bad]));
    assert!(due(&[first, sound]).is_some_and(|ms| ms < 4000));
}

/// Nothing was answered before the crashes, but sound streams had begun: their first part
/// is not held back with the one that crashes workers.
#[test]
fn a_part_that_workers_have_written_on_is_not_quarantined_with_the_cause() {
    let (first, bad, sound) = parts();
    let mut suspects = PartSuspects::default();
    crash(&mut suspects, &[first, bad], 0, 950, 1000);
    suspects.note_progress(&[first, sound], V1, Depth::of(10), at(1005));
    for worker in 1..5 {
        crash(&mut suspects, &[first, bad], worker, 950, 1010);
    }
    assert!(is_held(&suspects, &[first, bad], 1011));
    assert!(!is_held(&suspects, &[first, sound], 1011));
}

/// All prompts share their first part, and workers crash one after the other for other
/// reasons. Workers go on writing on the part in between.
#[test]
fn a_part_on_which_workers_go_on_writing_is_not_quarantined() {
    let (first, ..) = parts();
    let mut suspects = PartSuspects::default();
    for n in 0..9_u32 {
        let ms = 1000 + u64::from(n) * 200;
        suspects.note_progress(&[first], V1, Depth::of(10), at(ms - 60));
        crash(&mut suspects, &[first, part(100 + n)], n, ms - 50, ms);
        assert!(!is_held(&suspects, &[first, part(99)], ms), "crash {n}");
    }
}

/// A part crashes workers long after they began to write on it, and no answer is complete.
#[test]
fn a_part_that_crashes_workers_late_is_quarantined_at_last() {
    let (_, bad, _) = parts();
    let mut suspects = PartSuspects::default();
    for n in 0..16_u32 {
        let ms = 1000 + u64::from(n) * 500;
        suspects.note_progress(&[bad], V1, Depth::of(10), at(ms - 60));
        crash(&mut suspects, &[bad], n, ms - 400, ms);
    }
    assert!(is_held(&suspects, &[bad], 9000));
}

/// A part crashes workers late in an answer; what they write before that must not clear it,
/// but an answer that goes further does.
#[test]
fn a_part_is_not_cleared_by_runs_that_get_less_far_than_those_that_crashed() {
    let (_, bad, _) = parts();
    let mut suspects = PartSuspects::default();
    for n in 0..3_u32 {
        let ms = 1000 + u64::from(n) * 500;
        suspects.note_progress(&[bad], V1, Depth::of(10), at(ms - 60));
        let mut crash = notice(bad, n, ms - 400, ms);
        crash.crash.depth = Depth::of(15);
        suspects.note_own_crash(crash, at(ms));
    }
    suspects.note_progress(&[bad], V1, Depth::of(19), at(2100));
    assert!(is_held(&suspects, &[bad], 2110));
    suspects.note_progress(&[bad], V1, Depth::of(20), at(2200));
    assert!(!is_held(&suspects, &[bad], 2210));
}

/// Two parts crash workers at the same time; the first part of all prompts is at all
/// crashes of both.
#[test]
fn two_parts_are_quarantined_at_once() {
    let (first, bad, worse) = parts();
    let mut suspects = PartSuspects::default();
    suspects.note_answer(&[first], V1, at(500));
    for worker in 0..8 {
        let culprit = if worker % 2 == 0 { bad } else { worse };
        let ms = 1000 + u64::from(worker) * 60;
        crash(&mut suspects, &[first, culprit], worker, ms - 40, ms);
    }
    assert!(is_held(&suspects, &[first, bad], 1500));
    assert!(is_held(&suspects, &[first, worse], 1500));
    assert!(!is_held(&suspects, &[first, part(4)], 1500));
}

/// The part that crashes workers was answered before, by workers that have been mended
/// wrongly since: crashes in turn count.
#[test]
fn a_part_that_was_answered_before_is_quarantined_after_crashes_in_turn() {
    let (_, bad, _) = parts();
    let mut suspects = PartSuspects::default();
    suspects.note_answer(&[bad], V1, at(500));
    for worker in 0..3 {
        let ms = 1000 + u64::from(worker) * 200;
        assert!(!is_held(&suspects, &[bad], ms));
        crash(&mut suspects, &[bad], worker, ms - 50, ms);
    }
    assert!(is_held(&suspects, &[bad], 1450));
}

/// Five workers are killed at one moment, and all runs share a part that was answered
/// before.
#[test]
fn a_mass_kill_quarantines_no_part_that_was_answered() {
    let (first, ..) = parts();
    let mut suspects = PartSuspects::default();
    suspects.note_answer(&[first], V1, at(900));
    for worker in 0..5 {
        crash(
            &mut suspects,
            &[first, part(10 + worker)],
            worker,
            800,
            1000,
        );
    }
    assert!(!is_held(&suspects, &[first, part(99)], 1001));
    assert!(!is_held(&suspects, &[first, part(10)], 1001));
}

/// Half of the workers are killed three times. A long item with a part of its own was at
/// one of them each time.
#[test]
fn repeated_mass_kills_do_not_quarantine_a_part() {
    let (first, rare, _) = parts();
    let mut suspects = PartSuspects::default();
    for round in 0..3_u32 {
        let ms = 1000 + u64::from(round) * 1500;
        suspects.note_answer(&[first], V1, at(ms - 100));
        for worker in 0..5 {
            let tag = round * 10 + worker;
            crash(&mut suspects, &[first], tag, ms - 90, ms);
            if worker == 0 {
                crash(&mut suspects, &[rare], tag, ms - 900, ms);
            }
        }
    }
    assert!(!is_held(&suspects, &[first, rare], 4100));
}

/// One worker crashes again and again, under whatever runs there.
#[test]
fn a_worker_that_crashes_by_itself_quarantines_no_part_that_is_answered_elsewhere() {
    let (first, ..) = parts();
    let mut suspects = PartSuspects::default();
    for n in 0..20_u32 {
        let ms = 1000 + u64::from(n) * 500;
        suspects.note_answer(&[first], V1, at(ms - 100));
        crash(&mut suspects, &[first, part(100 + n)], n, ms - 50, ms);
        assert!(!is_held(&suspects, &[first, part(100 + n)], ms));
    }
}

/// Nothing was answered before the crashes, and other parts ran at each of them. Guards
/// against a trial of the cause right after each one that failed: the other parts together
/// explained all crashes, so that failed trials did not count.
#[test]
fn trials_that_fail_beside_other_suspects_are_limited() {
    let (first, bad, _) = parts();
    let beside = |worker: u32| part(4 + worker % 2);
    let mut suspects = PartSuspects::default();
    for worker in 0..8 {
        let ms = 1000 + u64::from(worker) * 40;
        crash(&mut suspects, &[first, bad], worker, ms - 30, ms);
        crash(&mut suspects, &[beside(worker)], worker, ms - 30, ms);
    }
    suspects.note_answer(&[first], V1, at(1390));
    let mut worker = 100;
    for ms in (1400..10_000).step_by(50) {
        if !is_trial_due(&suspects, &[first, bad], ms) {
            continue;
        }
        let mut failed = notice(bad, worker, ms, ms + 30);
        failed.crash.trial = true;
        suspects.note_own_crash(failed, at(ms + 30));
        crash(&mut suspects, &[first, beside(worker)], worker, ms, ms + 30);
        worker += 1;
    }
    assert!(worker - 100 <= 2, "{} trials", worker - 100);
}

/// A quarantined part gets a trial soon, then one in half a minute, in one, and so on. An
/// answer ends that.
#[test]
fn trials_that_fail_come_less_and_less_often() {
    let (first, bad, _) = parts();
    let mut suspects = five_at_once(first, bad);
    let asked = [first, bad];
    suspects.note_answer(&[first], V1, at(1200));
    let mut trials = Vec::new();
    let mut ms = 1100;
    while ms < 600_000 {
        if is_trial_due(&suspects, &asked, ms) {
            trials.push(ms);
            let worker = 100 + u32::try_from(trials.len()).expect("few");
            let mut failed = notice(bad, worker, ms, ms + 40);
            failed.crash.trial = true;
            suspects.note_own_crash(failed, at(ms + 40));
        }
        ms += 50;
    }
    assert!((1300..1500).contains(&trials[0]), "{trials:?}");
    assert!(trials.len() <= 6, "{trials:?}");
    let late = trials.iter().filter(|t| (4100..180_000).contains(*t));
    assert!(late.count() <= 3, "{trials:?}");
    suspects.note_answer(&asked, V1, at(600_000));
    assert_eq!(status(&suspects, &asked, 600_001), QuarantineStatus::Clear);
}

/// Only one version of the workers crashes on a part. Another version gets a trial at once;
/// once it has answered, it runs the requests, and the first version still does not.
#[test]
fn a_version_that_answers_runs_what_another_one_crashes_on() {
    let (first, bad, _) = parts();
    let mut suspects = five_at_once(first, bad);
    let asked = [first, bad];
    let other = |suspects: &PartSuspects, ms| suspects.verdict(&asked, V2, at(ms)).status;
    assert!(matches!(
        other(&suspects, 1100),
        QuarantineStatus::TrialOnly(_)
    ));
    suspects.note_progress(&asked, V2, Depth::of(10), at(1500));
    assert!(is_held(&suspects, &asked, 1501));
    suspects.note_answer(&asked, V2, at(2000));
    assert_eq!(other(&suspects, 2001), QuarantineStatus::Clear);
    assert!(is_held(&suspects, &asked, 2001));
}

/// A daemon that has just started has no answers of its own; those that know of an answer
/// tell it, and late notices of crashes before the answer change nothing.
#[test]
fn peers_tell_of_answers_that_the_observer_of_a_crash_did_not_know() {
    let (first, bad, _) = parts();
    let mut observer = PartSuspects::default();
    for worker in 0..5 {
        crash(&mut observer, &[first, bad], worker, 950, 1000);
    }
    let mut peer = PartSuspects::default();
    peer.note_answer(&[first], V1, at(900));
    for notice in observer.notices(false, at(1010)) {
        peer.note_crash(notice, at(1010));
    }
    assert!(!is_held(&peer, &[first], 1011));
    for notice in peer.notices(false, at(1020)) {
        observer.note_crash(notice, at(1020));
    }
    assert!(!is_held(&observer, &[first], 1021));
    assert!(is_held(&observer, &[first, bad], 1021));
    peer.note_answer(&[first], V1, at(2000));
    for notice in observer.notices(true, at(2010)) {
        peer.note_crash(notice, at(2010));
    }
    assert!(!is_held(&peer, &[first], 2011));
}

/// All daemons were killed, and the crashes come from the store.
#[test]
fn restored_crashes_quarantine_a_part() {
    let (first, bad, _) = parts();
    let kept = five_at_once(first, bad).open_crashes(bad);
    assert_eq!(kept.len(), 5);
    let mut suspects = PartSuspects::default();
    suspects.recall(bad, &kept, at(5000));
    assert!(is_held(&suspects, &[first, bad], 5001));
    assert!(!is_held(&suspects, &[first], 5001));
    assert!(is_trial_due(&suspects, &[first, bad], 5301));
}

/// Callers choose the ids of parts. Memory and reports stay bounded, and the part in
/// quarantine stays there.
#[test]
fn records_notices_and_answers_are_bounded() {
    let (first, bad, _) = parts();
    let mut suspects = five_at_once(first, bad);
    for n in 0..15_000_u32 {
        suspects.note_answer(&[part(100_000 + n)], V1, at(1500));
        crash(&mut suspects, &[part(100 + n)], 1000 + n / 8, 1500, 2000);
        assert!(suspects.len() <= 512);
    }
    assert!(is_held(&suspects, &[first, bad], 2001));
    let notices = suspects.notices(true, at(2001));
    assert!(notices.len() <= 24);
    assert!(notices.iter().any(|n| n.part == bad));
    suspects.sweep(at(31 * 60_000));
    assert!(suspects.is_empty());
}

proptest! {
    /// Daemons that have received the same notices reach the same conclusions in any order.
    #[test]
    fn the_order_of_notices_does_not_matter(
        crashes in prop::collection::vec((0..6_u32, 0..8_u32, 0..400_u64, 0..3000_u64, any::<bool>()), 0..40),
        turn in 0..40_usize,
    ) {
        let notices: std::collections::BTreeMap<_, _> = crashes
            .into_iter()
            .map(|(p, w, lasted, end, written)| {
                let mut notice = notice(part(p), w, end, end + lasted);
                notice.crash.written = written;
                ((p, w), notice)
            })
            .collect();
        let mut notices: Vec<PartNotice> = notices.into_values().collect();
        let (mut one, mut other) = (PartSuspects::default(), PartSuspects::default());
        for notice in &notices {
            one.note_crash(*notice, at(4000));
        }
        let middle = turn.min(notices.len());
        notices.rotate_left(middle);
        for notice in &notices {
            other.note_crash(*notice, at(4000));
        }
        for p in 0..6 {
            let asked = [part(p), part(p + 1)];
            prop_assert_eq!(one.verdict(&asked, V1, at(4000)), other.verdict(&asked, V1, at(4000)));
        }
    }

    /// Whatever crashed before, an answer clears its parts at the version that gave it.
    #[test]
    fn an_answer_clears_its_parts(
        crashes in prop::collection::vec((0..4_u32, 0..8_u32, 0..3000_u64), 0..40),
    ) {
        let mut suspects = PartSuspects::default();
        for (p, worker, ms) in crashes {
            crash(&mut suspects, &[part(p)], worker, ms, ms + 40);
        }
        let asked = [part(0), part(1)];
        suspects.note_answer(&asked, V1, at(4000));
        prop_assert_eq!(status(&suspects, &asked, 4001), QuarantineStatus::Clear);
    }
}
