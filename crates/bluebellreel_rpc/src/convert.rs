//! Conversions between domain types and wire messages.

use crate::side_capnp as wire;
use bluebellreel_types::{
    AttemptEnd, AttemptId, BrokenReason, Class, Dispatch, Incarnation, LoadReport, ModelName,
    ModelVersion, Moment, NotRunReason, RequestId, SideHello, TeamName, TraceContext, Work,
    WorkKind, WorkerName,
};
use capnp::Error;
use std::sync::Arc;

type Read<T> = Result<T, Error>;

/// Reasons why an attempt did not run, and their names on the wire.
const NOT_RUN_REASONS: [(NotRunReason, &str); 11] = [
    (NotRunReason::Overloaded, "overloaded"),
    (NotRunReason::TooLate, "too-late"),
    (NotRunReason::Expired, "expired"),
    (NotRunReason::Leaving, "leaving"),
    (NotRunReason::StaleIncarnation, "stale-incarnation"),
    (NotRunReason::Cancelled, "cancelled"),
    (NotRunReason::NoWorker, "no-worker"),
    (NotRunReason::ClaimUnavailable, "claim-unavailable"),
    (NotRunReason::WrongModel, "wrong-model"),
    (NotRunReason::Unreachable, "unreachable"),
    (NotRunReason::EngineBusy, "engine-busy"),
];

/// Reasons why an attempt broke off, and their names on the wire.
const BROKEN_REASONS: [(BrokenReason, &str); 6] = [
    (BrokenReason::EngineLost, "engine-lost"),
    (BrokenReason::SideLost, "side-lost"),
    (BrokenReason::Preempted, "preempted"),
    (BrokenReason::Cancelled, "cancelled"),
    (BrokenReason::Expired, "expired"),
    (BrokenReason::Forgotten, "forgotten"),
];

fn name_of<T: PartialEq>(table: &[(T, &'static str)], value: &T) -> &'static str {
    table
        .iter()
        .find(|(known, _)| known == value)
        .map_or("", |(_, name)| name)
}

fn value_of<T: Copy>(table: &[(T, &str)], name: &str) -> Read<T> {
    table
        .iter()
        .find(|(_, known)| *known == name)
        .map(|(value, _)| *value)
        .ok_or_else(|| Error::failed(format!("unknown not-run or broken reason: {name}")))
}

fn to_arc_str(text: capnp::text::Reader<'_>) -> Read<Arc<str>> {
    Ok(Arc::from(text.to_str()?))
}

pub(crate) fn write_attempt(mut to: wire::attempt::Builder<'_>, from: AttemptId) {
    to.set_request(from.request.0);
    to.set_number(from.number);
}

pub(crate) fn read_attempt(from: wire::attempt::Reader<'_>) -> AttemptId {
    AttemptId {
        request: RequestId(from.get_request()),
        number: from.get_number(),
    }
}

fn write_work(mut to: wire::work::Builder<'_>, from: &Work) {
    match &from.kind {
        WorkKind::Chat => to.set_chat(()),
        WorkKind::Call { method, path } => {
            let mut call = to.reborrow().init_call();
            call.set_method(&**method);
            call.set_path(&**path);
        }
    }
    to.set_model(from.model.as_str());
    to.set_body(&from.body);
    to.set_tokens(from.tokens);
    to.set_prefix(from.prefix);
    to.set_repeatable(from.repeatable);
    to.set_key(&*from.key);
    to.set_team(from.team.as_str());
}

fn read_work(from: wire::work::Reader<'_>) -> Read<Work> {
    let kind = match from.which()? {
        wire::work::Which::Chat(()) => WorkKind::Chat,
        wire::work::Which::Call(call) => WorkKind::Call {
            method: to_arc_str(call.get_method()?)?,
            path: to_arc_str(call.get_path()?)?,
        },
    };
    Ok(Work {
        kind,
        model: ModelName(to_arc_str(from.get_model()?)?),
        body: Arc::from(from.get_body()?),
        tokens: from.get_tokens(),
        prefix: from.get_prefix(),
        repeatable: from.get_repeatable(),
        key: to_arc_str(from.get_key()?)?,
        team: TeamName(to_arc_str(from.get_team()?)?),
    })
}

pub(crate) fn write_dispatch(mut to: wire::dispatch::Builder<'_>, from: &Dispatch) {
    write_attempt(to.reborrow().init_attempt(), from.attempt);
    to.set_side(from.side.0);
    to.set_batch(from.class == Class::Batch);
    write_work(to.reborrow().init_work(), &from.work);
    to.set_deadline(from.deadline.0);
    to.set_resume(&*from.resume);
    to.set_traceparent(from.trace.to_string());
}

pub(crate) fn read_dispatch(from: wire::dispatch::Reader<'_>) -> Read<Dispatch> {
    let trace = from.get_traceparent()?.to_str()?;
    Ok(Dispatch {
        attempt: read_attempt(from.get_attempt()?),
        side: Incarnation(from.get_side()),
        class: if from.get_batch() {
            Class::Batch
        } else {
            Class::Online
        },
        work: Arc::new(read_work(from.get_work()?)?),
        deadline: Moment(from.get_deadline()),
        resume: to_arc_str(from.get_resume()?)?,
        trace: TraceContext::try_from(trace).unwrap_or_else(|_| TraceContext::fresh()),
    })
}

pub(crate) fn write_load(mut to: wire::load::Builder<'_>, from: &LoadReport) {
    to.set_online(from.online);
    to.set_batch(from.batch);
    to.set_online_tokens(from.online_tokens);
    to.set_first_token_micros(from.first_token_micros);
    to.set_leaving(from.leaving);
    let count = u32::try_from(from.models.len()).unwrap_or(u32::MAX);
    write_models(to.reborrow().init_models(count), &from.models);
    let count = u32::try_from(from.loaded.len()).unwrap_or(u32::MAX);
    let mut loaded = to.init_loaded(count);
    for (index, model) in (0..count).zip(&from.loaded) {
        let mut slot = loaded.reborrow().get(index);
        slot.set_name(model.name.as_str());
        slot.set_version(&*model.version);
    }
}

fn read_loaded(from: wire::loaded::Reader<'_>) -> Read<ModelVersion> {
    Ok(ModelVersion {
        name: ModelName(to_arc_str(from.get_name()?)?),
        version: to_arc_str(from.get_version()?)?,
    })
}

fn write_models(mut to: capnp::text_list::Builder<'_>, from: &[ModelName]) {
    for (index, model) in (0..to.len()).zip(from) {
        to.set(index, model.as_str());
    }
}

fn read_models(from: capnp::text_list::Reader<'_>) -> Read<Vec<ModelName>> {
    from.iter()
        .map(|m| Ok(ModelName(to_arc_str(m?)?)))
        .collect()
}

pub(crate) fn read_load(from: wire::load::Reader<'_>) -> Read<LoadReport> {
    Ok(LoadReport {
        online: from.get_online(),
        batch: from.get_batch(),
        online_tokens: from.get_online_tokens(),
        first_token_micros: from.get_first_token_micros(),
        leaving: from.get_leaving(),
        models: read_models(from.get_models()?)?,
        loaded: from
            .get_loaded()?
            .iter()
            .map(read_loaded)
            .collect::<Read<_>>()?,
    })
}

pub(crate) fn write_end(mut to: wire::end::Builder<'_>, from: &AttemptEnd) {
    match from {
        AttemptEnd::Completed {
            status,
            body,
            tokens,
        } => {
            let mut end = to.init_completed();
            end.set_status(*status);
            end.set_body(body);
            end.set_tokens(*tokens);
        }
        AttemptEnd::NotRun(reason) => to.set_not_run(name_of(&NOT_RUN_REASONS, reason)),
        AttemptEnd::Broken { reason, partial } => {
            let mut end = to.init_broken();
            end.set_reason(name_of(&BROKEN_REASONS, reason));
            end.set_partial(&**partial);
        }
        AttemptEnd::Rejected { status, message } => {
            let mut end = to.init_rejected();
            end.set_status(*status);
            end.set_message(&**message);
        }
    }
}

pub(crate) fn read_end(from: wire::end::Reader<'_>) -> Read<AttemptEnd> {
    Ok(match from.which()? {
        wire::end::Which::Completed(end) => AttemptEnd::Completed {
            status: end.get_status(),
            body: Arc::from(end.get_body()?),
            tokens: end.get_tokens(),
        },
        wire::end::Which::NotRun(reason) => {
            AttemptEnd::NotRun(value_of(&NOT_RUN_REASONS, reason?.to_str()?)?)
        }
        wire::end::Which::Broken(end) => AttemptEnd::Broken {
            reason: value_of(&BROKEN_REASONS, end.get_reason()?.to_str()?)?,
            partial: to_arc_str(end.get_partial()?)?,
        },
        wire::end::Which::Rejected(end) => AttemptEnd::Rejected {
            status: end.get_status(),
            message: to_arc_str(end.get_message()?)?,
        },
    })
}

pub(crate) fn write_hello(mut to: wire::hello::Builder<'_>, from: &SideHello) {
    to.set_worker(from.worker.as_str());
    to.set_incarnation(from.incarnation.0);
    to.set_data_centre(from.data_centre.as_str());
    let count = u32::try_from(from.models.len()).unwrap_or(u32::MAX);
    write_models(to.init_models(count), &from.models);
}

pub(crate) fn read_hello(from: wire::hello::Reader<'_>) -> Read<SideHello> {
    Ok(SideHello {
        worker: WorkerName(to_arc_str(from.get_worker()?)?),
        incarnation: Incarnation(from.get_incarnation()),
        data_centre: to_arc_str(from.get_data_centre()?)?.as_ref().into(),
        models: read_models(from.get_models()?)?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn round_trip(end: &AttemptEnd) -> AttemptEnd {
        let mut message = capnp::message::Builder::new_default();
        write_end(message.init_root(), end);
        let reader = message.get_root_as_reader().expect("root");
        read_end(reader).expect("readable")
    }

    #[test]
    fn attempt_ends_survive_round_trip() {
        for (reason, _) in NOT_RUN_REASONS {
            let end = AttemptEnd::NotRun(reason);
            assert_eq!(round_trip(&end), end);
        }
        for (reason, _) in BROKEN_REASONS {
            let partial = Arc::from("half");
            let end = AttemptEnd::Broken { reason, partial };
            assert_eq!(round_trip(&end), end);
        }
        let rejected = AttemptEnd::Rejected {
            status: 422,
            message: Arc::from("no"),
        };
        assert_eq!(round_trip(&rejected), rejected);
    }
}
