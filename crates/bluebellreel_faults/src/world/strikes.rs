//! Faults that strike a world.

use super::{ENTRIES, ENTRY_AWAY, EntryState, PAUSE, SERVICE, SIDE_AWAY, SIDES, World};
use crate::kv::FakeKv;
use crate::net::Link;
use crate::plan::{Fault, Step, Strike};
use bluebellreel_types::Moment;

impl World {
    /// Carries out faults that struck within calls to the key-value service.
    pub fn carry_out_struck(&mut self) {
        for (strike, entry) in self.kv.with(FakeKv::take_struck) {
            let side = if strike.step == Step::Claim {
                SERVICE
            } else {
                0
            };
            self.strike(strike, entry, side);
        }
    }

    /// A fault strikes at the step of an entry daemon and a side process.
    pub fn strike(&mut self, strike: Strike, entry: usize, side: usize) {
        let now = self.now();
        match strike.fault {
            Fault::SideDies => self.kill_side(side),
            Fault::WorkerDies => {
                let events = self.sides[side].backend.die(now);
                self.hand_in(side, events);
            }
            Fault::EntryDies => self.kill_entry(entry, Some(now + ENTRY_AWAY)),
            Fault::VmLost => self.kill_entry(entry, None),
            Fault::KvDown => self.kv.with(FakeKv::go_down),
            Fault::KvSlow => self.kv.with(FakeKv::go_slow),
            Fault::AnswerLost => self.kv.with(FakeKv::lose_answer),
            Fault::LeaseLapses => self.pause_entry(entry),
            Fault::MessageLate => self.message_faults.late += 1,
            Fault::MessageDoubled => self.message_faults.doubled += 1,
            Fault::AnswersCrossed => self.message_faults.crossed += 1,
            Fault::CallerResends | Fault::OperatorsRace => self.asked.push(strike.fault),
        }
    }

    pub(super) fn kill_side(&mut self, side: usize) {
        self.sides[side].bench = None;
        self.sides[side].back_at = self.now() + SIDE_AWAY;
        // A plain call that was sent runs on without anybody to hear of it.
        self.sides[side].backend.drop_streams();
        for entry in 0..ENTRIES {
            self.disconnect(Link { entry, side });
        }
    }

    /// Kills an entry daemon; it comes back then, or never.
    pub fn kill_entry(&mut self, entry: usize, back: Option<Moment>) {
        if matches!(self.entries[entry].state, EntryState::Dead(_)) {
            return;
        }
        self.kv.with(|kv| kv.set_silent(entry, true));
        self.entries[entry].state = EntryState::Dead(back);
        self.entries[entry].bench = None;
        for side in 0..SIDES {
            self.disconnect(Link { entry, side });
        }
    }

    pub(super) fn pause_entry(&mut self, entry: usize) {
        let now = self.now();
        if !matches!(self.entries[entry].state, EntryState::Up) {
            return;
        }
        self.kv.with(|kv| kv.set_silent(entry, true));
        self.entries[entry].state = EntryState::Paused(now + PAUSE);
    }
}
