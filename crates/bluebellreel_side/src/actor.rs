//! The actor that owns the side process's state.

use crate::core::SideCore;
use crate::message::Message;
use crate::stop::StopStatus;
use stakker::{CX, after};
use std::time::Duration;

/// Interval between two deadline checks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Passes messages and timer ticks to [`SideCore`].
pub(crate) struct SideActor {
    core: SideCore,
}

impl SideActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "stakker requires init to return an Option"
    )]
    pub(crate) fn init(cx: CX![], core: SideCore) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self { core })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        self.core.tick();
    }

    pub(crate) fn on_message(&mut self, _: CX![], message: Message) {
        self.core.on_message(message);
    }

    /// The progress of a graceful stop. `received_work` is false here; the loop
    /// that receives the messages sets it.
    pub(crate) fn stop_status(&mut self, _: CX![]) -> StopStatus {
        StopStatus {
            idle: self.core.is_idle(),
            settled: self.core.is_settled(),
            received_work: false,
        }
    }
}
