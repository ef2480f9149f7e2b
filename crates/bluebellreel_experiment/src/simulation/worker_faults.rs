//! Faults of workers in a simulation.

use super::{SimEvent, Simulation};
use bluebellreel_admission::{self as admission, EngineEnd};

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.scenario.worker_faults[index];
        if fault.slow_percent > 0 {
            self.sides[fault.worker].engine.slow_percent = fault.slow_percent;
            return;
        }
        self.sides[fault.worker].engine.dead = true;
        self.break_streams(fault.worker);
    }

    /// Crashes an engine, which restarts after the scenario's crash duration.
    pub(super) fn crash(&mut self, index: usize) {
        self.outcome.engines_crashed += 1;
        self.sides[index].engine.dead = true;
        self.break_streams(index);
        self.schedule(
            self.now + self.scenario.crash_duration,
            SimEvent::EngineRestarted(index),
        );
    }

    pub(super) fn break_streams(&mut self, side: usize) {
        for attempt in self.sides[side].engine.drop_all() {
            let end = EngineEnd::Broken;
            self.admit(side, admission::Event::EngineEnded { attempt, end });
        }
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        let engine = &mut self.sides[self.scenario.worker_faults[index].worker].engine;
        engine.dead = false;
        engine.slow_percent = 100;
    }
}
