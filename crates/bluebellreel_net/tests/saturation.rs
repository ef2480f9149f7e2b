//! Saturated event loops, and servers that close connections unread.

use bluebellreel_net::{
    Body, ConnectionTracker, Intake, LoopLag, Pool, PoolLimits, Reuse, Stop, listen, sample_lag,
    serve,
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

fn saturated_after(lags_ms: &[u64]) -> bool {
    let mut lag = LoopLag::default();
    let start = Instant::now();
    for ms in lags_ms {
        lag.note(start, start + Duration::from_millis(*ms));
    }
    lag.is_saturated()
}

/// Callers must not be turned away after a suspension or one long calculation.
#[test]
fn only_lag_that_lasts_is_saturation() {
    assert!(!saturated_after(&[]));
    assert!(!saturated_after(&[3000]));
    assert!(!saturated_after(&[3000, 2, 150, 2, 150, 2]));
    assert!(!saturated_after(&[90, 90, 90]));
    assert!(saturated_after(&[90, 90, 90, 90]));
    assert!(saturated_after(&[90, 90, 90, 90, 60]));
    assert!(!saturated_after(&[90, 90, 90, 90, 60, 30]));
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Each task that takes long delays all others, so that the samples are late.
#[test]
fn busy_tasks_delay_the_samples() {
    run_local(async {
        let lag = Rc::new(RefCell::new(LoopLag::default()));
        let sampled = lag.clone();
        tokio::task::spawn_local(sample_lag(move |due| {
            sampled.borrow_mut().note(due, Instant::now());
        }));
        while !lag.borrow().is_saturated() {
            // Stands for many tasks that are ready to run.
            std::thread::sleep(Duration::from_millis(250));
            tokio::task::yield_now().await;
        }
        while lag.borrow().is_saturated() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// A request on a connection that is closed unread must not have been handled, so that its
/// caller may send it elsewhere.
#[test]
fn connections_that_are_not_admitted_are_closed_unread() {
    run_local(async {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let to = listener.local_addr().expect("bound");
        let (admits, handled) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0)));
        let (admits_now, handled_by) = (admits.clone(), handled.clone());
        tokio::task::spawn_local(serve(
            listener,
            Stop::default(),
            ConnectionTracker::default(),
            Intake::unlimited(Duration::from_mins(1)).admitting(move || admits_now.get()),
            move |_| {
                handled_by.set(handled_by.get() + 1);
                async { Response::new(Body::full("ok")) }
            },
        ));
        let pool = Pool::new(PoolLimits {
            connect: Duration::from_secs(2),
            idle: Duration::from_secs(5),
            idle_per_address: 4,
            memory: usize::MAX,
        });
        let ask = || {
            let req = Request::new(Full::new(Bytes::from_static(b"x")));
            pool.send(to, req, Reuse::Never)
        };
        for _ in 0..5 {
            assert!(ask().await.is_err());
        }
        assert_eq!(handled.get(), 0);
        admits.set(true);
        assert!(ask().await.is_ok());
        assert_eq!(handled.get(), 1);
    });
}
