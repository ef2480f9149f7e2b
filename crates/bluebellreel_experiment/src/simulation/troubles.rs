//! Troubles of engines in a run.

use super::{Simulation, What};
use bluebellreel_admission::{self as admission, EngineEnd};

impl Simulation<'_> {
    pub(super) fn begin_trouble(&mut self, index: usize) {
        let trouble = self.scenario.troubles[index];
        if trouble.slow_percent > 0 {
            self.sides[trouble.worker].engine.slow_percent = trouble.slow_percent;
            return;
        }
        self.sides[trouble.worker].engine.dead = true;
        self.break_streams(trouble.worker);
    }

    /// An engine crashes, and is back after a while.
    pub(super) fn crash(&mut self, index: usize) {
        self.outcome.engines_crashed += 1;
        self.sides[index].engine.dead = true;
        self.break_streams(index);
        self.at(self.now + self.scenario.crash_span, What::EngineBack(index));
    }

    pub(super) fn break_streams(&mut self, side: usize) {
        for attempt in self.sides[side].engine.drop_all() {
            let end = EngineEnd::Broken;
            self.admit(side, admission::Event::EngineEnded { attempt, end });
        }
    }

    pub(super) fn end_trouble(&mut self, index: usize) {
        let engine = &mut self.sides[self.scenario.troubles[index].worker].engine;
        engine.dead = false;
        engine.slow_percent = 100;
    }
}
