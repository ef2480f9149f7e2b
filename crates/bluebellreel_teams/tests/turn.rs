//! Whose requests are refused when slots run short: a team that sends many times its usual
//! while a wave fills all slots.

use bluebellreel_teams::{ActiveClasses, Use, wait_share};
use bluebellreel_types::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

const TEAMS: usize = 40;
/// Slots of all workers together.
const SLOTS: usize = 100;
/// Length of a run in steps of 10 ms.
const RUN_STEPS: usize = 60;
/// Steps over which recent requests are counted.
const RECENT_STEPS: usize = 150;
/// Expected wait, in steps, from which a request is refused if its team uses no more than
/// its share.
const MAX_WAIT_STEPS: f64 = 18.0;

fn float(n: usize) -> f64 {
    f64::from(u32::try_from(n).expect("few"))
}

/// A way to decide which share of the longest wait a request may use.
type Way = fn(Use) -> f64;

/// Who asks most is served most.
const BY_ARRIVAL: Way = |_| 1.0;
/// A team with more than twice its fair share does not queue at all.
const CUT: Way = |recent| {
    let fair = f64::from(recent.all) / f64::from(recent.teams.max(1));
    f64::from(u8::from(f64::from(recent.own) <= fair * 2.0))
};
/// A team waits in proportion less, the more it has had.
const IN_PROPORTION: Way = |recent| wait_share(recent, 0);

/// Plays ten seconds in which the first team sends `hot` times as much as each other one.
/// Returns the shares of the requests that are served: of the first team, and of the worst
/// tenth of the others.
fn play(way: Way, hot: usize) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut ends: VecDeque<usize> = VecDeque::new();
    let mut admitted: VecDeque<(usize, usize)> = VecDeque::new();
    let (mut asked, mut served) = ([0.0; TEAMS], [0.0; TEAMS]);
    for step in 0..1000 {
        while ends.front().is_some_and(|end| *end <= step) {
            ends.pop_front();
        }
        while admitted
            .front()
            .is_some_and(|(at, _)| at + RECENT_STEPS <= step)
        {
            admitted.pop_front();
        }
        for _ in 0..2 {
            let draw = rng.random_range(0..TEAMS - 1 + hot);
            let team = (draw + 1).saturating_sub(hot);
            asked[team] += 1.0;
            let queued = (ends.len() + 1).saturating_sub(SLOTS);
            let wait = float(queued) * float(RUN_STEPS) / float(SLOTS);
            let of = |t: usize| admitted.iter().filter(|(_, other)| *other == t).count();
            let count = |n: usize| u32::try_from(n).expect("few");
            let recent = Use {
                own: count(of(team)),
                all: count(admitted.len()),
                teams: count((0..TEAMS).filter(|t| of(*t) > 0).count()),
            };
            if wait > 0.0 && wait > MAX_WAIT_STEPS * way(recent) {
                continue;
            }
            served[team] += 1.0;
            admitted.push_back((step, team));
            let start = step.max(ends.len().checked_sub(SLOTS).map_or(0, |n| ends[n]));
            ends.push_back(start + RUN_STEPS);
        }
    }
    let mut shares: Vec<f64> = (1..TEAMS)
        .map(|t| served[t] / f64::max(asked[t], 1.0))
        .collect();
    shares.sort_by(f64::total_cmp);
    let worst = &shares[..TEAMS / 10];
    (
        served[0] / asked[0],
        worst.iter().sum::<f64>() / float(worst.len()),
    )
}

/// One team sends thirty times its usual. The slots serve five of six requests, and all of
/// the other teams. Guards against refusals of these for it.
#[test]
fn a_hot_team_does_not_take_the_slots_of_the_others() {
    let (_, by_arrival) = play(BY_ARRIVAL, 30);
    let (hot, in_proportion) = play(IN_PROPORTION, 30);
    assert!(by_arrival < 0.9, "{by_arrival}");
    assert!(in_proportion > 0.95, "{in_proportion}");
    assert!(hot > 0.4, "{hot}");
}

/// Guards against a rule that starves the team: what the others leave is its own.
#[test]
fn a_hot_team_gets_what_the_others_leave() {
    let (cut, cut_others) = play(CUT, 30);
    let (in_proportion, others) = play(IN_PROPORTION, 30);
    println!("cut {cut} {cut_others}, in proportion {in_proportion} {others}");
    assert!(in_proportion >= cut, "{in_proportion} {cut}");
}

/// Guards against refusals of teams that all ask alike.
#[test]
fn equal_teams_are_served_alike() {
    let (first, worst) = play(IN_PROPORTION, 1);
    let (_, by_arrival) = play(BY_ARRIVAL, 1);
    assert!((first - worst).abs() < 0.25, "{first} {worst}");
    assert!(worst > by_arrival - 0.1, "{worst} {by_arrival}");
}

/// A less urgent class waits less while a more urgent one is active, and as long as before
/// once it is not.
#[test]
fn less_urgent_classes_wait_less() {
    let now = Moment(100_000_000);
    let mut classes = ActiveClasses::default();
    classes.note(0, now);
    classes.note(3, now);
    let share = |classes: &ActiveClasses, priority, now| {
        wait_share(Use::default(), classes.more_urgent(priority, now))
    };
    assert!((share(&classes, 0, now) - 1.0).abs() < f64::EPSILON);
    assert!((share(&classes, 3, now) - 0.5).abs() < f64::EPSILON);
    assert!((share(&classes, 5, now) - 0.25).abs() < f64::EPSILON);
    let later = now + Duration::from_secs(2);
    assert!((share(&classes, 5, later) - 1.0).abs() < f64::EPSILON);
}
