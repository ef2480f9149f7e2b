//! Delivery of messages between entry daemons and side processes.

use super::{
    DUPLICATE_DELAY, EntryState, LATENCY, MESSAGE_DELAY, Pull, World, entry_index, entry_name,
    side_index, worker_name,
};
use crate::net::{Envelope, Link, Payload};
use crate::plan::Step;
use bluebellreel_rpc::{EntryCommand, EntryNotice, PullAnswer, SideCommand, SideNotice};
use bluebellreel_side::bench::SideHarness;
use tokio::sync::oneshot;

impl World {
    pub(super) fn send_to_side(&mut self, entry: usize, command: EntryCommand) {
        let side = match &command {
            EntryCommand::Submit { worker, .. }
            | EntryCommand::Cancel { worker, .. }
            | EntryCommand::Offer { worker, .. }
            | EntryCommand::Withdraw { worker, .. }
            | EntryCommand::Configure { worker, .. }
            | EntryCommand::Order { worker, .. }
            | EntryCommand::Fence { worker, .. }
            | EntryCommand::Drain(worker) => side_index(worker),
            EntryCommand::Connect { .. } | EntryCommand::Disconnect(_) => return,
        };
        let is_dispatch = matches!(command, EntryCommand::Submit { .. });
        if let EntryCommand::Submit { dispatch, .. } = &command {
            self.senders.insert(dispatch.attempt, entry);
        }
        let link = Link { entry, side };
        let step = is_dispatch.then_some(Step::Dispatch);
        self.send(link, Payload::ToSide(command), step);
    }

    /// Sends a message. Faults planned for `step` are injected first.
    pub(super) fn send(&mut self, link: Link, payload: Payload, step: Option<Step>) {
        let injections = step.map(|step| self.kv.with(|kv| kv.reach_step(step)));
        for injection in injections.unwrap_or_default() {
            self.inject(injection, link.entry, link.side);
        }
        if !self.connected.contains(&link) {
            return;
        }
        let now = self.now();
        let mut envelope = Envelope {
            link,
            at: now + LATENCY,
            payload,
            delayed: false,
        };
        // Message faults apply only to messages that belong to a step. The periodic
        // messages in between are sent again anyway.
        if step.is_some() {
            let faults = &mut self.message_faults;
            if faults.late > 0 {
                faults.late -= 1;
                envelope.at = now + MESSAGE_DELAY;
                envelope.delayed = true;
            } else if faults.duplicated > 0 {
                faults.duplicated -= 1;
                let mut second = envelope.clone();
                second.at = now + DUPLICATE_DELAY;
                second.delayed = true;
                self.net.send(second);
            } else if faults.reordered > 0 {
                faults.reordered -= 1;
                faults.held = Some(envelope);
                return;
            }
        }
        let held = self.message_faults.held.take();
        self.net.send(envelope);
        if let Some(mut held) = held {
            held.at = now + LATENCY * 2;
            self.net.send(held);
        }
    }

    pub(super) fn send_from_side(&mut self, index: usize) {
        while let Some(command) = self.sides[index]
            .harness
            .as_mut()
            .and_then(SideHarness::command)
        {
            let (entry, step) = match &command {
                SideCommand::Part { attempt, .. } => (self.senders.get(attempt).copied(), None),
                SideCommand::End { attempt, .. } => {
                    (self.senders.get(attempt).copied(), Some(Step::Result))
                }
                SideCommand::Pull { entry, .. } => (Some(entry_index(entry)), None),
                SideCommand::Report { entry, .. } => (Some(entry_index(entry)), Some(Step::Result)),
            };
            let Some(entry) = entry else { continue };
            let link = Link { entry, side: index };
            self.send(link, Payload::ToEntry(command), step);
            if self.sides[index].harness.is_none() {
                return;
            }
        }
    }

    pub(super) fn answer_pulls(&mut self) {
        for mut pull in std::mem::take(&mut self.pulls) {
            match pull.rx.try_recv() {
                Ok(items) => {
                    for item in &items {
                        self.senders.insert(item.attempt, pull.link.entry);
                    }
                    let step = (!items.is_empty()).then_some(Step::Dispatch);
                    let name = entry_name(pull.link.entry);
                    self.send(pull.link, Payload::Items(name, items), step);
                }
                Err(oneshot::error::TryRecvError::Empty) => self.pulls.push(pull),
                Err(oneshot::error::TryRecvError::Closed) => {
                    let name = entry_name(pull.link.entry);
                    self.send(pull.link, Payload::Items(name, Vec::new()), None);
                }
            }
        }
    }

    pub(super) fn deliver_arrived(&mut self) {
        let mut waiting = Vec::new();
        while let Some(envelope) = self.net.take_arrived(self.now()) {
            let entry_paused = matches!(
                self.entries[envelope.link.entry].state,
                EntryState::Paused(_)
            );
            match envelope.payload {
                Payload::ToSide(command) => self.deliver_to_side(envelope.link, command),
                Payload::Items(entry, items) => {
                    if let Some(side) = self.sides[envelope.link.side].harness.as_mut() {
                        side.notice(SideNotice::Pulled { entry, items });
                    }
                }
                // A paused process reads its sockets after it resumes.
                Payload::ToEntry(command) if entry_paused => waiting.push(Envelope {
                    payload: Payload::ToEntry(command),
                    ..envelope
                }),
                Payload::ToEntry(command) => self.deliver_to_entry(envelope.link, command),
            }
        }
        self.net.put_back(waiting);
    }

    pub(super) fn deliver_to_side(&mut self, link: Link, command: EntryCommand) {
        let entry = entry_name(link.entry);
        let Some(side) = self.sides[link.side].harness.as_mut() else {
            return;
        };
        match command {
            EntryCommand::Submit { dispatch, .. } => {
                side.notice(SideNotice::Submitted { entry, dispatch });
            }
            EntryCommand::Cancel { attempt, .. } => {
                let (answer, mut rx) = oneshot::channel();
                side.notice(SideNotice::CancelRequested { attempt, answer });
                let verdict = rx.try_recv().expect("a verdict is given at once");
                if let Some(harness) = self.entries[link.entry].harness.as_mut() {
                    harness.notice(EntryNotice::Verdict { attempt, verdict });
                }
            }
            EntryCommand::Offer { waiting, .. } => {
                side.notice(SideNotice::Offered { entry, waiting });
            }
            EntryCommand::Withdraw { attempts, .. } => {
                side.notice(SideNotice::Withdrawn(attempts));
            }
            EntryCommand::Configure {
                generation,
                manifest,
                ..
            } => {
                let (answer, mut rx) = oneshot::channel();
                side.notice(SideNotice::Configured {
                    generation,
                    manifest,
                    answer,
                });
                if let (Ok(generation), Some(harness)) =
                    (rx.try_recv(), self.entries[link.entry].harness.as_mut())
                {
                    let worker = worker_name(link.side);
                    harness.notice(EntryNotice::Applied { worker, generation });
                }
            }
            EntryCommand::Drain(_) => side.notice(SideNotice::DrainRequested),
            EntryCommand::Fence { fence, .. } => side.notice(SideNotice::FenceAnnounced(fence)),
            EntryCommand::Order { .. }
            | EntryCommand::Connect { .. }
            | EntryCommand::Disconnect(_) => {}
        }
    }

    pub(super) fn deliver_to_entry(&mut self, link: Link, command: SideCommand) {
        let worker = worker_name(link.side);
        let Some(harness) = self.entries[link.entry].harness.as_mut() else {
            return;
        };
        match command {
            SideCommand::Part { attempt, text } => {
                harness.notice(EntryNotice::Part { attempt, text });
            }
            SideCommand::End { attempt, end, load } => {
                let load = Some(load);
                harness.notice(EntryNotice::Ended {
                    worker,
                    attempt,
                    end,
                    load,
                });
            }
            SideCommand::Pull { room, .. } => {
                let (tx, rx) = oneshot::channel();
                let answer = PullAnswer(tx);
                harness.notice(EntryNotice::Pull {
                    worker,
                    room,
                    answer,
                });
                self.pulls.push(Pull { link, rx });
            }
            SideCommand::Report { reports, .. } => {
                harness.notice(EntryNotice::Reports { worker, reports });
            }
        }
    }
}
