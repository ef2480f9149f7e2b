//! Test harness that runs the side process's code under a simulated clock.

use crate::core::SideCore;
use crate::handles::{BackendOrder, Handles};
use crate::message::Message;
use bluebellreel_admission::{Admission, AdmissionLimits, EngineEnd};
use bluebellreel_rpc::{SideCommand, SideNotice};
use bluebellreel_telemetry::{SideMetrics, Tracer};
use bluebellreel_types::{AttemptId, Clock, Incarnation, ModelName, ModelVersion};
use std::sync::{Arc, mpsc as std_mpsc};
use tokio::sync::mpsc;

/// A side process without threads, sockets or a backend server.
pub struct SideHarness {
    core: SideCore,
    commands: mpsc::UnboundedReceiver<SideCommand>,
    orders: std_mpsc::Receiver<BackendOrder>,
}

impl SideHarness {
    /// Creates a side process that has just started.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: AdmissionLimits, clock: Clock) -> Self {
        let (rpc, commands) = mpsc::unbounded_channel();
        let (tx, orders) = std_mpsc::channel();
        let handles = Handles {
            clock,
            rpc,
            backend: Box::new(move |order| {
                tx.send(order).ok();
            }),
            tracer: Tracer::disabled(),
            metrics: Arc::new(SideMetrics::default()),
        };
        Self {
            core: SideCore::new(Admission::new(incarnation, limits), handles),
            commands,
            orders,
        }
    }

    /// Delivers a message from an entry daemon.
    pub fn notice(&mut self, notice: SideNotice) {
        self.core.on_message(Message::Rpc(notice));
    }

    /// Sets the models that the backend server serves.
    pub fn serve(&mut self, models: Vec<ModelName>) {
        let version = Arc::from("1");
        let loaded = models.into_iter().map(|name| ModelVersion {
            name,
            version: Arc::clone(&version),
        });
        self.core.on_message(Message::Models(loaded.collect()));
    }

    /// Delivers text that the backend server generated for an attempt.
    pub fn text(&mut self, attempt: AttemptId, text: &str, tokens: u32) {
        let text = Arc::from(text);
        self.core.on_message(Message::Text {
            attempt,
            text,
            tokens,
        });
    }

    /// Delivers the backend server's end of an attempt.
    pub fn end(&mut self, attempt: AttemptId, end: EngineEnd) {
        self.core.on_message(Message::Ended { attempt, end });
    }

    /// Checks the process's deadlines.
    pub fn tick(&mut self) {
        self.core.tick();
    }

    /// Takes the next message to an entry daemon.
    pub fn command(&mut self) -> Option<SideCommand> {
        self.commands.try_recv().ok()
    }

    /// Takes the next order to the backend server.
    pub fn order(&mut self) -> Option<BackendOrder> {
        self.orders.try_recv().ok()
    }
}
