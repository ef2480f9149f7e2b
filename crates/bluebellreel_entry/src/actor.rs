//! The actor that runs the daemon's components.

use crate::core::EntryCore;
use crate::message::Message;
use stakker::{CX, after};
use std::time::Duration;

/// Interval between two ticks of the components.
const TICK: Duration = Duration::from_millis(20);

/// Delivers messages and timer ticks to the components.
pub(crate) struct EntryActor {
    core: EntryCore,
}

impl EntryActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "stakker requires init to return an Option"
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
