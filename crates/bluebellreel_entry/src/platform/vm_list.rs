//! The platform's list of VMs.

use crate::message::Message;
use crate::parts::Parts;
use bluebellreel_types::{DataCentre, WorkerName};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Between two looks at the list.
const PERIOD: Duration = Duration::from_secs(2);
/// Longest wait for the list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A VM with a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct ListedWorker {
    /// The worker's name.
    pub(crate) name: WorkerName,
    /// Where its side process listens.
    pub(crate) side: SocketAddr,
    /// Where it stands.
    pub(crate) data_centre: DataCentre,
    /// Whether it stays.
    pub(crate) state: ListedState,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ListedState {
    /// It stays.
    Live,
    /// It will be taken away.
    Leaving,
}

/// Looks at the list from time to time. While it cannot be read, the last one
/// counts.
pub(crate) fn watch_vms(parts: &Parts) -> io::Result<()> {
    let parts = parts.clone();
    thread::Builder::new()
        .name("vm-list".into())
        .spawn(move || {
            let config = ureq::Agent::config_builder()
                .timeout_global(Some(TIMEOUT))
                .build();
            let agent = config.new_agent();
            let url = format!("{}/vms", parts.settings.vm_list);
            loop {
                let told = match read(&agent, &url) {
                    Ok(list) => parts.tell(Message::Listed(list)),
                    Err(e) => {
                        log::warn!(target: "fleet", error:% = e; "The VM list cannot be read.");
                        true
                    }
                };
                if !told {
                    return;
                }
                thread::sleep(PERIOD);
            }
        })?;
    Ok(())
}

fn read(agent: &ureq::Agent, url: &str) -> Result<Vec<ListedWorker>, ureq::Error> {
    agent.get(url).call()?.body_mut().read_json()
}
