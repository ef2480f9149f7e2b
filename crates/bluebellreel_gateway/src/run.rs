//! The life of a gateway: start, signals, end.

use crate::doors::Doors;
use crate::gateway::Gateway;
use crate::leave::leave;
use crate::reload::Surroundings;
use crate::workers::apply_workers;
use crate::{
    detour, jobs, lease, peer_api, quarantine, registration, reload, reports, serve, watching,
};
use bluebellreel_net::{ConnectionTracker, Stop, every, listen};
use bluebellreel_settings::GatewaySettings;
use bluebellreel_types::Moment;
use eyre::Context;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

/// Longest that a caller's connection may stay without a request, until the
/// configuration says otherwise.
const CALLER_IDLE: Duration = Duration::from_secs(15);
/// The same for connections of peers and the balancer.
const INNER_IDLE: Duration = Duration::from_secs(30);
/// Time between clean-ups of what has outlived its time.
const SWEEP_EVERY: Duration = Duration::from_millis(250);
/// Time without most peers after which a daemon counts as cut off from them. One
/// that has just started reads who they are, and hears all within half a second.
const ISOLATED_AFTER: Duration = Duration::from_secs(1);

/// Runs a gateway until it is asked to stop by a signal; whether nothing was
/// cut.
///
/// # Errors
///
/// Gives the reason when an address cannot be listened on.
pub fn run_gateway(settings: GatewaySettings, around: Surroundings) -> eyre::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let asked = asked_to_stop(around.settings_changed.clone())?;
        live(settings, asked, around).await
    })
}

/// Ends when a signal asks for the end, and notifies of those that say that the
/// settings have changed. The handlers stand once this returns.
fn asked_to_stop(settings_changed: Rc<Notify>) -> eyre::Result<impl Future<Output = ()>> {
    let hung_up = move || settings_changed.notify_one();
    Ok(bluebellreel_signals::stop_requested(hung_up)?)
}

/// Runs a gateway on the present local task set until `stop` ends; whether
/// nothing was cut.
///
/// # Errors
///
/// Gives the reason when an address cannot be listened on.
pub async fn live(
    settings: GatewaySettings,
    stop_requested: impl Future<Output = ()>,
    around: Surroundings,
) -> eyre::Result<bool> {
    let gw = Gateway::new(settings);
    detour::install(&gw);
    let doors = Doors::default();
    start(&gw, &doors, Rc::new(around)).await?;
    info!(target: "gateway", entry:% = gw.me(), run:% = gw.run, data_centre:% = gw.settings.data_centre, requests:% = gw.settings.requests; "started");
    stop_requested.await;
    let clean = leave(&gw, &doors).await;
    Ok(clean)
}

async fn start(gw: &Rc<Gateway>, doors: &Doors, around: Rc<Surroundings>) -> eyre::Result<()> {
    let callers = listen(gw.settings.requests).wrap_err("address for requests")?;
    let balancer = listen(gw.settings.readiness).wrap_err("address for readiness")?;
    let peers = listen(gw.settings.peers).wrap_err("address for peers")?;
    let metrics = listen(gw.settings.metrics).wrap_err("address for metrics")?;
    let socket = UdpSocket::bind(gw.settings.reports)
        .await
        .wrap_err("address for reports")?;
    let socket = Rc::new(socket);

    let g = gw.clone();
    let of_limits = gw.clone();
    spawn_local(bluebellreel_net::serve(
        callers,
        doors.callers.stop.clone(),
        doors.callers.served.clone(),
        move || caller_idle(&of_limits),
        move |req| serve::answer(g.clone(), req),
    ));
    let inner = Stop::default();
    let g = gw.clone();
    spawn_local(bluebellreel_net::serve(
        balancer,
        inner.clone(),
        ConnectionTracker::default(),
        || INNER_IDLE,
        move |_| {
            let answer = serve::readiness(&g);
            async move { answer }
        },
    ));
    let g = gw.clone();
    spawn_local(bluebellreel_net::serve(
        peers,
        doors.peers.stop.clone(),
        doors.peers.served.clone(),
        || INNER_IDLE,
        move |req| peer_api::answer(g.clone(), req),
    ));
    let g = gw.clone();
    let drops = around.clone();
    spawn_local(bluebellreel_net::serve(
        metrics,
        inner,
        ConnectionTracker::default(),
        || INNER_IDLE,
        move |_| {
            let answer = crate::answers::bytes(metrics_text(&g, (drops.lines_dropped)()));
            async move { answer }
        },
    ));

    spawn_local(reload::follow_settings(gw.clone(), around));
    spawn_local(reports::send_reports(gw.clone(), socket.clone()));
    spawn_local(reports::take_reports(gw.clone(), socket));
    spawn_local(reports::compare_lists(gw.clone()));
    spawn_local(watching::watch_operator(gw.clone()));
    spawn_local(watching::watch_workers(gw.clone()));
    spawn_local(lease::keep_registered(gw.clone()));
    spawn_local(registration::list_members(gw.clone()));
    spawn_local(quarantine::load(gw.clone()));
    spawn_local(jobs::start_items(gw.clone()));
    spawn_local(jobs::keep_confirmed(gw.clone()));
    spawn_local(jobs::adopt_orphans(gw.clone()));
    spawn_local(jobs::copy_progress(gw.clone()));
    let g = gw.clone();
    every(SWEEP_EVERY, move || sweep(&g));
    Ok(())
}

/// How long a caller's connection may stay without a request, as the operators
/// have it.
fn caller_idle(gw: &Gateway) -> Duration {
    let configuration = gw.configuration();
    configuration.map_or(CALLER_IDLE, |c| c.limits.idle_time)
}

fn sweep(gw: &Gateway) {
    let now = gw.now();
    gw.workers.sweep();
    gw.peers.sweep();
    gw.members.borrow_mut().sweep(now);
    note_isolation(gw, now);
    if gw.members.borrow_mut().has_lost_peer(now) {
        gw.jobs.borrow().orphans_due.notify_one();
    }
    gw.jobs.borrow_mut().sweep(now);
    gw.keepers.borrow_mut().sweep(now);
    gw.overloads.borrow_mut().sweep(now);
    gw.suspects.borrow_mut().sweep(now);
    gw.board.borrow_mut().evict_silent(now);
    gw.board.borrow_mut().paces.sweep(now);
    let expired = gw.facts.borrow_mut().catalog.expire(now);
    if expired {
        apply_workers(gw, "time to register again is over");
    }
    let outlived = gw.facts.borrow_mut().expire(now);
    if outlived {
        warn!(target: "facts", entry:% = gw.me(); "snapshot no longer believed");
        apply_workers(gw, "snapshot no longer believed");
    }
}

/// Notes whether few peers are heard, or most of them again.
fn note_isolation(gw: &Gateway, now: Moment) {
    let isolated = !gw.members.borrow().hears_most(now);
    let since = gw.isolated_since.get();
    gw.isolated_since
        .set(isolated.then_some(since.unwrap_or(now)));
    if !isolated && since.is_some_and(|since| (since + ISOLATED_AFTER).is_past(now)) {
        // Peers may have taken jobs over unheard, and workers have left.
        gw.interrupt_tenure();
        gw.rejoined.set(gw.rejoined.get() + 1);
    }
}

fn metrics_text(gw: &Gateway, lines_dropped: u64) -> String {
    let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
    let total = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
    let (calls, failures) = gw.store.counts();
    let version = gw.configuration().map_or(0, |c| c.version);
    let jobs = gw.jobs.borrow();
    let metrics = &gw.metrics;
    metrics.suspects.set(count(gw.suspects.borrow().len()));
    metrics.in_progress.set(count(gw.in_progress.count()));
    metrics.jobs_owned.set(count(jobs.own.len()));
    metrics.copies_bytes.set(count(jobs.copies.bytes()));
    metrics.store_calls.set(total(calls));
    metrics.store_failures.set(total(failures));
    let seats = gw.board.borrow().seats().count();
    metrics.workers.set(count(seats));
    let heard = gw.members.borrow().heard(gw.now()).count();
    metrics.peers.set(count(heard));
    metrics.configuration_version.set(total(version));
    metrics.lines_dropped.set(total(lines_dropped));
    metrics.text()
}
