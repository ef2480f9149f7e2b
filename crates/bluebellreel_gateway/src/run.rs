//! Start, periodic clean-up and stop of a gateway.

use crate::gateway::Gateway;
use crate::reload::ProcessHooks;
use crate::server_handles::ServerHandles;
use crate::shutdown::shut_down;
use crate::workers::apply_workers;
use crate::{
    admission, confirmation, evidence, jobs, lease, list_check, peer_api, quarantine_store,
    registration, reload, reports, serve, store_proxy, teams, watching,
};
use bluebellreel_net::{CallerLimits, ConnectionTracker, Intake, Refused, Stop, every, listen};
use bluebellreel_settings::GatewaySettings;
use bluebellreel_types::Moment;
use bytes::Bytes;
use eyre::Context;
use http::{Response, StatusCode};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

/// Limits of callers' connections while no configuration is known that sets them.
const UNCONFIGURED_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 64 * 1024,
    head_time: Duration::from_secs(15),
    idle_time: Duration::from_secs(15),
};
/// Idle timeout of connections from peers, the balancer and readers of metrics.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between evictions of expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time without reports from most peers after which a daemon counts as isolated. A
/// daemon that has just started reads the list of members and receives reports from
/// all of them within half a second.
const ISOLATED_AFTER: Duration = Duration::from_secs(1);

/// Runs a gateway until a signal requests it to stop. Returns whether every request was
/// answered in full.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub fn run_gateway(settings: GatewaySettings, hooks: ProcessHooks) -> eyre::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let signal = stop_signal(hooks.settings_changed.clone())?;
        run_gateway_until(settings, signal, hooks).await
    })
}

/// Returns a future that completes when a signal requests the process to stop. Signals
/// that announce changed settings notify `settings_changed`. The signal handlers are
/// installed when this function returns.
fn stop_signal(settings_changed: Rc<Notify>) -> eyre::Result<impl Future<Output = ()>> {
    let on_hangup = move || settings_changed.notify_one();
    Ok(bluebellreel_signals::stop_requested(on_hangup)?)
}

/// Runs a gateway on the current local task set until `stop_requested` completes. Returns
/// whether every request was answered in full.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run_gateway_until(
    settings: GatewaySettings,
    stop_requested: impl Future<Output = ()>,
    hooks: ProcessHooks,
) -> eyre::Result<bool> {
    let gw = Gateway::new(settings);
    store_proxy::install(&gw);
    let handles = ServerHandles::default();
    start(&gw, &handles, Rc::new(hooks)).await?;
    info!(target: "gateway", entry:% = gw.me(), run:% = gw.run, data_centre:% = gw.settings.data_centre, requests:% = gw.settings.requests; "started");
    stop_requested.await;
    let clean = shut_down(&gw, &handles).await;
    Ok(clean)
}

async fn start(
    gw: &Rc<Gateway>,
    handles: &ServerHandles,
    hooks: Rc<ProcessHooks>,
) -> eyre::Result<()> {
    let callers = listen(gw.settings.requests).wrap_err("address for requests")?;
    let balancer = listen(gw.settings.readiness).wrap_err("address for readiness")?;
    let peers = listen(gw.settings.peers).wrap_err("address for peers")?;
    let metrics = listen(gw.settings.metrics).wrap_err("address for metrics")?;
    let socket = UdpSocket::bind(gw.settings.reports)
        .await
        .wrap_err("address for reports")?;
    let socket = Rc::new(socket);

    let g = gw.clone();
    spawn_local(bluebellreel_net::serve(
        callers,
        handles.callers.stop.clone(),
        handles.callers.connection_tracker.clone(),
        intake_of_callers(gw),
        move |req| serve::answer(g.clone(), req),
    ));
    let internal_stop = Stop::default();
    let internal = || {
        let limits = CallerLimits::internal(INTERNAL_IDLE_TIMEOUT);
        Intake::new(gw.internal.clone(), move || limits)
    };
    let g = gw.clone();
    spawn_local(bluebellreel_net::serve(
        balancer,
        internal_stop.clone(),
        ConnectionTracker::default(),
        internal(),
        move |_| {
            let answer = serve::readiness(&g);
            async move { answer }
        },
    ));
    let g = gw.clone();
    spawn_local(bluebellreel_net::serve(
        peers,
        handles.peers.stop.clone(),
        handles.peers.connection_tracker.clone(),
        internal(),
        move |req| peer_api::answer(g.clone(), req),
    ));
    let g = gw.clone();
    let metrics_hooks = hooks.clone();
    spawn_local(bluebellreel_net::serve(
        metrics,
        internal_stop,
        ConnectionTracker::default(),
        internal(),
        move |_| {
            let answer = crate::answers::bytes(metrics_text(&g, (metrics_hooks.lines_dropped)()));
            async move { answer }
        },
    ));

    spawn_local(admission::watch_loop(gw.clone()));
    spawn_local(reload::follow_settings(gw.clone(), hooks));
    spawn_local(reports::send_reports(gw.clone(), socket.clone()));
    spawn_local(reports::receive_reports(gw.clone(), socket));
    spawn_local(reports::compare_lists(gw.clone()));
    spawn_local(watching::watch_operator(gw.clone()));
    spawn_local(watching::watch_workers(gw.clone()));
    spawn_local(confirmation::keep_confirmed(gw.clone()));
    spawn_local(list_check::keep_checked(gw.clone()));
    spawn_local(lease::keep_registered(gw.clone()));
    spawn_local(registration::list_members(gw.clone()));
    spawn_local(quarantine_store::load(gw.clone()));
    spawn_local(jobs::start_items(gw.clone()));
    spawn_local(jobs::renew_start_leases(gw.clone()));
    spawn_local(jobs::adopt_orphans(gw.clone()));
    spawn_local(jobs::remove_abandoned(gw.clone()));
    spawn_local(jobs::copy_progress(gw.clone()));
    spawn_local(jobs::store_counts(gw.clone()));
    spawn_local(jobs::copy_counts(gw.clone()));
    let g = gw.clone();
    every(SWEEP_INTERVAL, move || sweep(&g));
    Ok(())
}

/// What callers may send. A head that is too large is refused only if the limit is certainly
/// the newest one.
fn intake_of_callers(gw: &Rc<Gateway>) -> Intake {
    let (limits_gw, admitting_gw, refusing_gw) = (gw.clone(), gw.clone(), gw.clone());
    Intake::new(gw.callers.clone(), move || caller_limits(&limits_gw))
        .answering(refusal)
        .admitting(move || admission::admits_connection(&admitting_gw))
        .refusing(move || {
            let gw = refusing_gw.clone();
            let limit = caller_limits(&gw).head_bytes;
            async move {
                let is_confirmed = confirmation::confirm_for_rejection(&gw).await.is_ok();
                is_confirmed && caller_limits(&gw).head_bytes <= limit
            }
        })
}

/// The answer to what the server does not take. A request without room may submit a job that was
/// accepted before, so its answer promises nothing.
fn refusal(refused: Refused) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = match refused {
        Refused::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        Refused::NoRoom | Refused::Answer => StatusCode::BAD_GATEWAY,
    };
    answer
}

/// The limits of callers' connections: the configuration's, if one is known.
fn caller_limits(gw: &Gateway) -> CallerLimits {
    let configuration = gw.configuration();
    configuration.map_or(UNCONFIGURED_LIMITS, |c| CallerLimits {
        head_bytes: c.limits.head_bytes,
        head_time: c.limits.head_time,
        idle_time: c.limits.idle_time,
    })
}

fn sweep(gw: &Gateway) {
    let now = gw.now();
    gw.workers.sweep();
    gw.peers.sweep();
    gw.members.borrow_mut().sweep(now);
    let unlogged = gw.discoveries.borrow_mut().take_unlogged(now);
    if let Some(count) = unlogged {
        info!(target: "members", count; "more peers discovered");
    }
    update_isolation(gw, now);
    if gw.members.borrow_mut().has_lost_peer(now) {
        gw.jobs.borrow().orphans_due.notify_one();
    }
    admission::log_shortage(gw, now);
    gw.update_allowances();
    gw.allowances.borrow_mut().sweep(gw.elapsed());
    teams::sweep_reservations(gw);
    gw.jobs.borrow_mut().sweep(now);
    gw.keepers.borrow_mut().sweep(now);
    gw.origins.borrow_mut().sweep(now);
    gw.overloads.borrow_mut().sweep(now);
    for classes in gw.classes.borrow_mut().values_mut() {
        classes.sweep(now);
    }
    gw.suspects.borrow_mut().sweep(now);
    gw.part_suspects.borrow_mut().sweep(now);
    gw.board.borrow_mut().evict_expired_peers(now);
    gw.board.borrow_mut().speeds.sweep(now);
    evidence::sweep(gw);
    let expired = gw.cluster_state.borrow_mut().catalog.expire(now);
    if expired {
        apply_workers(gw, "re-registration timeout");
    }
    let snapshot_expired = gw.cluster_state.borrow_mut().expire(now);
    if snapshot_expired {
        warn!(target: "facts", entry:% = gw.me(); "snapshot expired");
        apply_workers(gw, "snapshot expired");
    }
}

/// Records since when the daemon has been isolated from most peers. When the isolation
/// ends and lasted longer than [`ISOLATED_AFTER`], ends the registration span and counts
/// a reconnection.
fn update_isolation(gw: &Gateway, now: Moment) {
    let isolated = !gw.members.borrow().has_quorum(now);
    let since = gw.isolated_since.get();
    gw.isolated_since
        .set(isolated.then_some(since.unwrap_or(now)));
    if !isolated && since.is_some_and(|since| (since + ISOLATED_AFTER).is_past(now)) {
        // During the isolation peers may have taken over jobs of this daemon, and
        // workers may have left.
        gw.interrupt_registration_span();
        gw.reconnections.set(gw.reconnections.get() + 1);
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
    let part_suspects = gw.part_suspects.borrow();
    metrics.suspect_parts.set(count(part_suspects.len()));
    let quarantined_parts = part_suspects.quarantined();
    metrics.quarantined_parts.set(count(quarantined_parts));
    metrics.in_progress.set(count(gw.in_progress.count()));
    metrics.callers_bytes.set(count(gw.callers.memory()));
    metrics.closed_for_room.set(total(gw.callers.evicted()));
    metrics.refused_for_room.set(total(gw.callers.refused()));
    if crate::jobs::deadlines_on(gw) {
        let waiting = crate::jobs::waiting_by_forecast(gw);
        metrics.items_waiting_in_time.set(count(waiting.in_time));
        metrics.items_waiting_late.set(count(waiting.late));
    }
    metrics.jobs_owned.set(count(jobs.own.len()));
    metrics.copies_bytes.set(count(jobs.copies.bytes()));
    metrics.store_calls.set(total(calls));
    metrics.store_failures.set(total(failures));
    teams::update_metrics(gw);
    let worker_views = gw.board.borrow().worker_views().count();
    metrics.workers.set(count(worker_views));
    evidence::update_metrics(gw);
    let alive_peers = gw.members.borrow().alive_peers(gw.now()).count();
    metrics.peers.set(count(alive_peers));
    metrics.configuration_version.set(total(version));
    metrics.lines_dropped.set(total(lines_dropped));
    metrics.text()
}
