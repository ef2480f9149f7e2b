//! The daemon's components and the routing of messages between them.

use crate::fleet::{FleetComponent, SharedManifest};
use crate::handles::DaemonHandles;
use crate::jobs::JobsComponent;
use crate::message::Message;
use crate::online::{ConnectionsComponent, OnlineComponent};
use bluebellreel_routing::ConnectionNeeds;
use bluebellreel_rpc::EntryNotice;

/// The daemon's components. All of them run on one thread and never block.
pub(crate) struct EntryCore {
    pub(crate) online: OnlineComponent,
    pub(crate) jobs: JobsComponent,
    fleet: FleetComponent,
    connections: ConnectionsComponent,
    handles: DaemonHandles,
}

impl EntryCore {
    pub(crate) fn new(handles: &DaemonHandles, shared: SharedManifest) -> Self {
        Self {
            online: OnlineComponent::new(handles.clone()),
            jobs: JobsComponent::new(handles.clone()),
            fleet: FleetComponent::new(handles.clone(), shared),
            connections: ConnectionsComponent::new(handles),
            handles: handles.clone(),
        }
    }

    /// Processes deadlines and periodic work of all components.
    pub(crate) fn tick(&mut self) {
        self.online.tick();
        self.jobs.tick();
        self.fleet.tick();
        self.update_connections();
    }

    /// Connects to the workers that are needed now and closes other connections.
    fn update_connections(&mut self) {
        let now = self.handles.clock.now();
        if !self.connections.is_due(now) {
            return;
        }
        let mut busy = self.online.busy_workers();
        busy.extend(self.jobs.busy_workers());
        let needs = ConnectionNeeds {
            models: self.fleet.served_names(),
            batch: self.jobs.waiting_models(),
            all_local: self.fleet.is_matcher(),
            busy,
        };
        let targets = self.connections.plan(&needs, now);
        for gone in self
            .online
            .set_connections(targets.workers, targets.is_short)
        {
            // This daemon closes these connections itself, so no `Lost` notice
            // arrives for them.
            self.jobs.on_notice(EntryNotice::Lost(gone.clone()));
            self.fleet.on_notice(EntryNotice::Lost(gone));
        }
    }

    /// Whether a graceful stop would interrupt no work now.
    fn is_idle(&self) -> bool {
        self.online.is_idle() && self.jobs.is_idle()
    }

    /// Delivers a message to the component that handles it.
    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::Online(message) => self.online.on_message(message),
            Message::Jobs(message) => self.jobs.on_message(message),
            Message::Fleet(message) => {
                self.fleet.on_message(message);
                self.online.apply_manifest(&self.fleet.manifest());
            }
            Message::ManifestRead => self.handles.readiness.note_manifest(),
            Message::Listed(list) => {
                self.connections.set_vm_list(list);
                self.update_connections();
            }
            Message::EntryJoined(record) => {
                self.online.note_entry(record.name.clone(), record.run);
                self.jobs.on_entry_joined(record);
            }
            Message::EntryLeft(name) => {
                self.online.forget_entry(&name);
                self.jobs.on_entry_left(&name);
            }
            Message::Rpc(notice) => self.deliver_notice(notice),
            Message::QueryIdle(answer) => {
                answer.send(self.is_idle()).ok();
            }
            // Handled by the loop that runs the actor.
            Message::Quit => {}
            Message::Drain(ends_at) => self.online.begin_drain(ends_at),
            Message::Stop => {
                log::info!(target: "entry", "Stopping: accepting no new work.");
                self.online.stop();
                self.jobs.stop();
            }
        }
    }

    /// Delivers a notice to every component that handles it: connections, loads and
    /// verdicts go to several, all others to one.
    fn deliver_notice(&mut self, notice: EntryNotice) {
        self.connections
            .on_notice(&notice, self.handles.clock.now());
        match notice {
            EntryNotice::Connected(hello) => {
                self.online.on_notice(EntryNotice::Connected(hello.clone()));
                self.jobs.on_notice(EntryNotice::Connected(hello.clone()));
                self.fleet.on_notice(EntryNotice::Connected(hello));
            }
            EntryNotice::Lost(worker) => {
                self.online.on_notice(EntryNotice::Lost(worker.clone()));
                self.jobs.on_notice(EntryNotice::Lost(worker.clone()));
                self.fleet.on_notice(EntryNotice::Lost(worker));
            }
            EntryNotice::Load { worker, load } => {
                let copy = EntryNotice::Load {
                    worker: worker.clone(),
                    load: load.clone(),
                };
                self.online.on_notice(copy);
                let copy = EntryNotice::Load {
                    worker: worker.clone(),
                    load: load.clone(),
                };
                self.fleet.on_notice(copy);
                self.jobs.on_notice(EntryNotice::Load { worker, load });
            }
            EntryNotice::Verdict { attempt, verdict } => {
                let copy = EntryNotice::Verdict {
                    attempt,
                    verdict: verdict.clone(),
                };
                self.online.on_notice(copy);
                self.jobs
                    .on_notice(EntryNotice::Verdict { attempt, verdict });
            }
            notice @ (EntryNotice::Part { .. } | EntryNotice::Ended { .. }) => {
                self.online.on_notice(notice);
            }
            notice @ (EntryNotice::Pull { .. } | EntryNotice::Reports { .. }) => {
                self.jobs.on_notice(notice);
            }
            notice @ (EntryNotice::Applied { .. } | EntryNotice::OrderEnded { .. }) => {
                self.fleet.on_notice(notice);
            }
        }
    }
}
