//! Injection of faults into the processes of a simulation.

use super::{
    ENTRIES, ENTRY_DOWNTIME, EntryState, PAUSE_DURATION, SERVICE, SIDE_DOWNTIME, SIDES, World,
};
use crate::kv::FakeKv;
use crate::net::Link;
use crate::plan::{Fault, Injection, Step};
use bluebellreel_types::Moment;

impl World {
    /// Applies the faults that were injected during calls to the key-value service.
    pub fn apply_injected(&mut self) {
        for (injection, entry) in self.kv.with(FakeKv::take_injected) {
            let side = if injection.step == Step::Claim {
                SERVICE
            } else {
                0
            };
            self.inject(injection, entry, side);
        }
    }

    /// Applies a fault to the entry daemon and the side process that take part in its
    /// step.
    pub fn inject(&mut self, injection: Injection, entry: usize, side: usize) {
        let now = self.now();
        match injection.fault {
            Fault::SideCrashes => self.crash_side(side),
            Fault::WorkerCrashes => {
                let events = self.sides[side].backend.crash(now);
                self.deliver_backend_events(side, events);
            }
            Fault::EntryCrashes => self.crash_entry(entry, Some(now + ENTRY_DOWNTIME)),
            Fault::VmLost => self.crash_entry(entry, None),
            Fault::KvDown => self.kv.with(FakeKv::go_down),
            Fault::KvSlow => self.kv.with(FakeKv::go_slow),
            Fault::AnswerLost => self.kv.with(FakeKv::lose_answer),
            Fault::LeaseExpires => self.pause_entry(entry),
            Fault::MessageLate => self.message_faults.late += 1,
            Fault::MessageDuplicated => self.message_faults.duplicated += 1,
            Fault::MessagesReordered => self.message_faults.reordered += 1,
            Fault::CallerResends | Fault::OperatorsRace => self.user_faults.push(injection.fault),
        }
    }

    pub(super) fn crash_side(&mut self, side: usize) {
        self.sides[side].harness = None;
        self.sides[side].back_at = self.now() + SIDE_DOWNTIME;
        // The plain service still runs a call that was sent, but no process receives
        // its response.
        self.sides[side].backend.drop_streams();
        for entry in 0..ENTRIES {
            self.disconnect(Link { entry, side });
        }
    }

    /// Crashes an entry daemon, which restarts at `back`, or never.
    pub fn crash_entry(&mut self, entry: usize, back: Option<Moment>) {
        if matches!(self.entries[entry].state, EntryState::Dead(_)) {
            return;
        }
        self.kv.with(|kv| kv.set_cut_off(entry, true));
        self.entries[entry].state = EntryState::Dead(back);
        self.entries[entry].harness = None;
        for side in 0..SIDES {
            self.disconnect(Link { entry, side });
        }
    }

    pub(super) fn pause_entry(&mut self, entry: usize) {
        let now = self.now();
        if !matches!(self.entries[entry].state, EntryState::Up) {
            return;
        }
        self.kv.with(|kv| kv.set_cut_off(entry, true));
        self.entries[entry].state = EntryState::Paused(now + PAUSE_DURATION);
    }
}
