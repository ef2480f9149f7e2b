//! The actor that runs the daemon's parts.

use crate::core::EntryCore;
use crate::message::Message;
use stakker::{CX, after};
use std::time::Duration;

/// Between two looks at deadlines.
const TICK: Duration = Duration::from_millis(20);

/// Runs the parts: messages come in, timers go off.
pub(crate) struct EntryActor {
    core: EntryCore,
}

impl EntryActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "stakker wants an option from init"
    )]
    pub(crate) fn init(cx: CX![], core: EntryCore) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self { core })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.core.tick();
    }

    pub(crate) fn on_message(&mut self, _: CX![], message: Message) {
        self.core.deliver(message);
    }
}
