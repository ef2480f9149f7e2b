//! The side processes of a simulation and their backend servers.

use super::{ENTRIES, EntryState, LOAD_REPORT_INTERVAL, World, worker_name};
use crate::backend::BackendEvent;
use crate::net::Link;
use crate::plan::Step;
use bluebellreel_rpc::{EntryNotice, SideNotice};
use bluebellreel_side::BackendOrder;
use bluebellreel_side::bench::SideHarness;
use bluebellreel_types::{Dispatch, LoadReport};
use tokio::sync::oneshot;

impl World {
    pub(super) fn run_side(&mut self, index: usize) {
        let now = self.now();
        let side = &mut self.sides[index];
        let events = side.backend.step(now);
        self.deliver_backend_events(index, events);
        let side = &mut self.sides[index];
        let Some(harness) = side.harness.as_mut() else {
            return;
        };
        harness.tick();
        if side.load_at.is_past(now) {
            side.load_at = now + LOAD_REPORT_INTERVAL;
            self.report_load(index);
        }
        self.execute_orders(index);
        self.send_from_side(index);
    }

    pub(super) fn deliver_backend_events(&mut self, index: usize, events: Vec<BackendEvent>) {
        let Some(harness) = self.sides[index].harness.as_mut() else {
            return;
        };
        for event in events {
            match event {
                BackendEvent::Text(attempt, text) => harness.text(attempt, &text, 1),
                BackendEvent::End(attempt, end) => harness.end(attempt, end),
            }
        }
    }

    fn report_load(&mut self, index: usize) {
        let Some(harness) = self.sides[index].harness.as_mut() else {
            return;
        };
        let (answer, mut rx) = oneshot::channel();
        harness.notice(SideNotice::LoadRequested(answer));
        let Ok(load): Result<LoadReport, _> = rx.try_recv() else {
            return;
        };
        for entry in 0..ENTRIES {
            let link = Link { entry, side: index };
            let up = matches!(self.entries[entry].state, EntryState::Up);
            if up
                && self.connected.contains(&link)
                && let Some(harness) = self.entries[entry].harness.as_mut()
            {
                let worker = worker_name(index);
                let load = load.clone();
                harness.notice(EntryNotice::Load { worker, load });
            }
        }
    }

    fn execute_orders(&mut self, index: usize) {
        let now = self.now();
        while let Some(order) = self.sides[index]
            .harness
            .as_mut()
            .and_then(SideHarness::order)
        {
            match order {
                BackendOrder::Start(dispatch) => {
                    for injection in self.kv.with(|kv| kv.reach_step(Step::Run)) {
                        let entry = self.entry_of(&dispatch);
                        self.inject(injection, entry, index);
                    }
                    if self.sides[index].harness.is_none() {
                        return;
                    }
                    self.started.push((now, (*dispatch).clone()));
                    let attempt = dispatch.attempt;
                    if let Some(end) = self.sides[index].backend.start(&dispatch, now) {
                        self.deliver_backend_events(index, vec![BackendEvent::End(attempt, end)]);
                    }
                }
                BackendOrder::Load(..) => {}
                BackendOrder::Cancel(attempt) => {
                    let event = self.sides[index].backend.cancel(attempt);
                    self.deliver_backend_events(index, event.into_iter().collect());
                }
            }
        }
    }

    fn entry_of(&self, dispatch: &Dispatch) -> usize {
        let sender = self.senders.get(&dispatch.attempt);
        sender.copied().unwrap_or(0)
    }
}
