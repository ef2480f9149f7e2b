//! Random clients at a gateway, by seed.

use crate::measure::{answers, on_site, withstand};
use bluebellreel_platform_standins::{Crowd, random_script};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Scripts of a crowd, and clients for each.
const SCRIPTS: usize = 30;
const CLIENTS: usize = 6;

fn withstands(seed: u64) {
    on_site(|site| async move {
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..2 {
            let scripts = (0..SCRIPTS).map(|_| random_script(&mut rng)).collect();
            let crowd = Crowd::start(site.requests, CLIENTS, scripts);
            withstand(&site.gateway, crowd).await;
            answers(&site).await;
        }
    });
}

/// Clients of random kinds, seeds 1 to 3, must not take a gateway's memory or descriptors.
#[test]
fn random_clients_from_seed_1() {
    withstands(1);
}

/// As above.
#[test]
fn random_clients_from_seed_2() {
    withstands(2);
}

/// As above.
#[test]
fn random_clients_from_seed_3() {
    withstands(3);
}
