//! Calls from the entry daemon to side processes.

use super::Notify;
use super::capabilities::Sink;
use super::link::{Link, client_of};
use super::liveness::Liveness;
use super::message::{EntryCommand, EntryNotice};
use crate::convert;
use crate::side_capnp as wire;
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, Dispatch, ModelVersion, NotRunReason,
    WorkerName,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// Makes the calls whose response is not needed or is passed on as a notice.
pub(super) fn send_one_way(
    links: &HashMap<WorkerName, Link>,
    command: EntryCommand,
    notify: &Notify,
) {
    match command {
        EntryCommand::Offer { worker, waiting } => {
            if let Some(client) = client_of(links, &worker) {
                let mut call = client.offer_request();
                call.get().set_waiting(waiting);
                tokio::task::spawn_local(call.send().promise);
            }
        }
        EntryCommand::Withdraw { worker, attempts } => {
            if let Some(client) = client_of(links, &worker) {
                let mut call = client.withdraw_request();
                let count = u32::try_from(attempts.len()).unwrap_or(u32::MAX);
                let mut list = call.get().init_attempts(count);
                for (index, attempt) in (0..count).zip(attempts) {
                    convert::write_attempt(list.reborrow().get(index), attempt);
                }
                tokio::task::spawn_local(call.send().promise);
            }
        }
        EntryCommand::Configure {
            worker,
            generation,
            manifest,
        } => {
            if let Some(client) = client_of(links, &worker) {
                let mut call = client.configure_request();
                call.get().set_generation(generation);
                call.get().set_manifest(&*manifest);
                let notify = notify.clone();
                tokio::task::spawn_local(async move {
                    let Ok(answer) = call.send().promise.await else {
                        return;
                    };
                    if let Ok(answer) = answer.get() {
                        let generation = answer.get_applied();
                        notify(EntryNotice::Applied { worker, generation });
                    }
                });
            }
        }
        EntryCommand::Drain(worker) => {
            if let Some(client) = client_of(links, &worker) {
                tokio::task::spawn_local(client.drain_request().send().promise);
            }
        }
        EntryCommand::Fence { worker, fence } => {
            if let Some(client) = client_of(links, &worker) {
                let mut call = client.fence_request();
                call.get().set_fence(fence);
                tokio::task::spawn_local(call.send().promise);
            }
        }
        EntryCommand::Order {
            worker,
            fence,
            model,
        } => {
            let client = client_of(links, &worker);
            let notify = notify.clone();
            tokio::task::spawn_local(async move {
                let loaded = match client {
                    Some(client) => order(&client, fence, &model).await.unwrap_or(false),
                    None => false,
                };
                notify(EntryNotice::OrderEnded {
                    worker,
                    model,
                    loaded,
                });
            });
        }
        _ => unreachable!("Connect, Disconnect, Submit and Cancel are handled by the caller"),
    }
}

/// Submits an online attempt to a side process.
pub(super) async fn submit(
    worker: WorkerName,
    target: Option<(wire::side::Client, Rc<Liveness>)>,
    dispatch: Box<Dispatch>,
    notify: Notify,
) {
    let attempt = dispatch.attempt;
    let ended = |end| EntryNotice::Ended {
        worker: worker.clone(),
        attempt,
        end,
        load: None,
    };
    // No connection: nothing was sent, so "not run" is correct.
    let Some((client, liveness)) = target else {
        notify(ended(AttemptEnd::NotRun(NotRunReason::Unreachable)));
        return;
    };
    let sink: wire::sink::Client = capnp_rpc::new_client(Sink {
        worker: worker.clone(),
        attempt,
        notify: notify.clone(),
        liveness: liveness.clone(),
    });
    let _in_flight = liveness.begin_attempt();
    let mut call = client.submit_request();
    convert::write_dispatch(call.get().init_dispatch(), &dispatch);
    call.get().set_sink(sink);
    // The call returns after the side process has delivered the attempt's end to
    // the sink. If the call fails, the attempt may have run, so it is reported as
    // broken and not as "not run".
    if call.send().promise.await.is_err() {
        notify(ended(AttemptEnd::Broken {
            reason: BrokenReason::SideLost,
            partial: Arc::from(""),
        }));
    }
}

async fn order(
    client: &wire::side::Client,
    fence: u64,
    model: &ModelVersion,
) -> Result<bool, capnp::Error> {
    let mut call = client.order_request();
    call.get().set_fence(fence);
    call.get().set_name(model.name.as_str());
    call.get().set_version(&*model.version);
    let answer = call.send().promise.await?;
    Ok(answer.get()?.get_loaded())
}

/// Cancels an attempt and reports its state at the side process.
pub(super) async fn cancel(client: wire::side::Client, attempt: AttemptId, notify: Notify) {
    let mut call = client.cancel_request();
    convert::write_attempt(call.get().init_attempt(), attempt);
    let Ok(answer) = call.send().promise.await else {
        return;
    };
    let Ok(answer) = answer.get() else { return };
    let verdict = if answer.get_never_seen() {
        AttemptVerdict::NeverSeen
    } else if answer.get_running() {
        AttemptVerdict::Running
    } else {
        match answer.get_ended().and_then(convert::read_end) {
            Ok(end) => AttemptVerdict::Ended(end),
            Err(_) => return,
        }
    };
    notify(EntryNotice::Verdict { attempt, verdict });
}
