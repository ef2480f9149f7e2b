//! How many daemons read the store when a fleet starts.

use bluebellreel_members::reads_store_at;
use bluebellreel_types::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

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
