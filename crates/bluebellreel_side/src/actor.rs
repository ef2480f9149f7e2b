//! The actor that runs the side process's state.

use crate::core::SideCore;
use crate::message::Message;
use crate::stop::Look;
use stakker::{CX, after};
use std::time::Duration;

/// Between two looks at deadlines.
const TICK: Duration = Duration::from_millis(20);

/// Runs the state: messages come in, timers go off.
pub(crate) struct SideActor {
    core: SideCore,
}

impl SideActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "stakker wants an option from init"
    )]
    pub(crate) fn init(cx: CX![], core: SideCore) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self { core })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.core.tick();
    }

    pub(crate) fn on_message(&mut self, _: CX![], message: Message) {
        self.core.on_message(message);
    }

    /// How things stand, `heard` apart.
    pub(crate) fn look(&mut self, _: CX![]) -> Look {
        Look {
            idle: self.core.is_idle(),
            settled: self.core.is_settled(),
            heard: false,
        }
    }
}
