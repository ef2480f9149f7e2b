//! How many daemons read the store when a fleet starts.

use bluebellreel_members::reads_store_at;
use bluebellreel_types::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const NOW: Moment = Moment(100_000_000);

fn pioneers(daemons: usize, known: usize, is_first_start: bool) -> usize {
    let mut rng = SmallRng::seed_from_u64(daemons as u64);
    let at = |_| {
        let draw = |n| rng.random_range(0..n);
        reads_store_at(known, true, is_first_start, NOW, draw)
    };
    (0..daemons).map(at).filter(|at| *at == NOW).count()
}

/// All daemons of a fleet are killed, and each of them read the list of all workers from
/// the store at the same moment.
#[test]
fn the_number_of_pioneers_does_not_grow_with_the_fleet() {
    for daemons in [30, 300, 3000] {
        let pioneers = pioneers(daemons, daemons - 1, false);
        assert!((4..=32).contains(&pioneers), "{pioneers} of {daemons}");
    }
    assert_eq!(pioneers(8, 7, false), 8);
}

/// Callers may be waiting, and no entry is left: nobody knows how many daemons start.
#[test]
fn daemons_that_know_nobody_read_the_store_at_once() {
    assert_eq!(pioneers(300, 0, false), 300);
}

/// At the first start of an installation nobody is registered, and nobody calls yet.
#[test]
fn at_the_first_start_few_daemons_read_the_store_at_once() {
    let pioneers = pioneers(300, 0, true);
    assert!((6..=40).contains(&pioneers), "{pioneers}");
}

/// Plays a start of all daemons at once. Each asks a random peer every tenth of a second;
/// one call in `lost_every` gets no answer and takes 0.6 s. Returns how many read the store.
fn store_reads(daemons: usize, lost_every: usize) -> usize {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut reads_at = Vec::new();
    for _ in 0..daemons {
        let draw = |n| rng.random_range(0..n);
        reads_at.push(reads_store_at(daemons - 1, true, false, NOW, draw));
    }
    let mut knows = vec![false; daemons];
    let mut free_at = vec![NOW; daemons];
    let mut reads = 0;
    for step in 0..40_u32 {
        let now = NOW + Duration::from_millis(100) * step;
        for n in 0..daemons {
            if knows[n] || !free_at[n].is_past(now) {
                continue;
            }
            if reads_at[n].is_past(now) {
                reads += 1;
                knows[n] = true;
                continue;
            }
            let peer = rng.random_range(0..daemons);
            if rng.random_range(0..lost_every) == 0 {
                free_at[n] = now + Duration::from_millis(600);
            } else {
                knows[n] = knows[peer];
            }
        }
    }
    reads
}

/// Guards against a state that spreads too slowly, so that most daemons read the store in
/// the end.
#[test]
fn a_state_reaches_all_before_they_read_the_store() {
    for daemons in [30, 300, 2000] {
        let reads = store_reads(daemons, 10);
        assert!(reads <= 40, "{reads} of {daemons}");
    }
}
