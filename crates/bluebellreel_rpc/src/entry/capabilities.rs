//! Capabilities that the entry daemon exports to side processes.

use super::Notify;
use super::liveness::Liveness;
use super::message::{EntryNotice, PullAnswer};
use crate::convert;
use crate::side_capnp as wire;
use bluebellreel_types::{AttemptId, BatchReport, WorkerName};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Receives the response of one online attempt.
pub(super) struct Sink {
    pub(super) worker: WorkerName,
    pub(super) attempt: AttemptId,
    pub(super) notify: Notify,
    pub(super) liveness: Rc<Liveness>,
}

impl wire::sink::Server for Sink {
    async fn write(self: Rc<Self>, params: wire::sink::WriteParams) -> Result<(), capnp::Error> {
        self.liveness.record_activity();
        let text = Arc::from(params.get()?.get_text()?.to_str()?);
        let attempt = self.attempt;
        (self.notify)(EntryNotice::Part { attempt, text });
        Ok(())
    }

    async fn end(
        self: Rc<Self>,
        params: wire::sink::EndParams,
        _: wire::sink::EndResults,
    ) -> Result<(), capnp::Error> {
        self.liveness.record_activity();
        let params = params.get()?;
        (self.notify)(EntryNotice::Ended {
            worker: self.worker.clone(),
            attempt: self.attempt,
            end: convert::read_end(params.get_end()?)?,
            load: Some(convert::read_load(params.get_load()?)?),
        });
        Ok(())
    }
}

/// Hands out batch items to a side process and receives their results.
pub(super) struct Feed {
    pub(super) worker: WorkerName,
    pub(super) notify: Notify,
    pub(super) liveness: Rc<Liveness>,
}

impl wire::batch_feed::Server for Feed {
    async fn pull(
        self: Rc<Self>,
        params: wire::batch_feed::PullParams,
        mut results: wire::batch_feed::PullResults,
    ) -> Result<(), capnp::Error> {
        self.liveness.record_activity();
        let (tx, rx) = oneshot::channel();
        (self.notify)(EntryNotice::Pull {
            worker: self.worker.clone(),
            room: params.get()?.get_room(),
            answer: PullAnswer(tx),
        });
        let items = rx.await.unwrap_or_default();
        let count = u32::try_from(items.len()).unwrap_or(u32::MAX);
        let mut list = results.get().init_items(count);
        for (index, item) in (0..count).zip(&items) {
            convert::write_dispatch(list.reborrow().get(index), item);
        }
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: wire::batch_feed::ReportParams,
        _: wire::batch_feed::ReportResults,
    ) -> Result<(), capnp::Error> {
        self.liveness.record_activity();
        let mut reports = Vec::new();
        for report in params.get()?.get_reports()? {
            reports.push(BatchReport {
                attempt: convert::read_attempt(report.get_attempt()?),
                end: convert::read_end(report.get_end()?)?,
            });
        }
        let worker = self.worker.clone();
        (self.notify)(EntryNotice::Reports { worker, reports });
        Ok(())
    }
}
