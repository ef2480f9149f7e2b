//! The platform's list of VMs.

use crate::handles::DaemonHandles;
use crate::message::Message;
use crate::platform::records::ListedWorker;
use std::io;
use std::thread;
use std::time::Duration;

/// Interval between two reads of the list.
const POLL_PERIOD: Duration = Duration::from_secs(2);
/// HTTP status: the list has not changed since the last read.
const NOT_MODIFIED: u16 = 304;
/// Timeout for reading the list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the thread that polls the VM list. While the list cannot be read, the
/// last one stays in use.
pub(crate) fn watch_vms(handles: &DaemonHandles) -> io::Result<()> {
    let handles = handles.clone();
    thread::Builder::new()
        .name("vm-list".into())
        .spawn(move || {
            let config = ureq::Agent::config_builder()
                .timeout_global(Some(TIMEOUT))
                .build();
            let agent = config.new_agent();
            let url = format!("{}/vms", handles.settings.vm_list);
            let mut seen = String::new();
            loop {
                let delivered = match read(&agent, &url, &mut seen) {
                    Ok(Some(list)) => handles.send_message(Message::Listed(list)),
                    Ok(None) => true,
                    Err(e) => {
                        log::warn!(target: "fleet", error:% = e; "VM list cannot be read; keeping the last one.");
                        true
                    }
                };
                if !delivered {
                    return;
                }
                thread::sleep(POLL_PERIOD);
            }
        })?;
    Ok(())
}

/// Reads the list, `None` if its entity tag is still `seen`. A list of 1,900 VMs is
/// about 200 KB, too much to transfer every other second without need.
fn read(
    agent: &ureq::Agent,
    url: &str,
    seen: &mut String,
) -> Result<Option<Vec<ListedWorker>>, ureq::Error> {
    let mut answer = agent
        .get(url)
        .header("If-None-Match", seen.as_str())
        .call()?;
    if answer.status() == NOT_MODIFIED {
        return Ok(None);
    }
    let tag = answer
        .headers()
        .get("ETag")
        .and_then(|tag| tag.to_str().ok());
    let tag = tag.unwrap_or_default().to_owned();
    let list = answer.body_mut().read_json()?;
    *seen = tag;
    Ok(Some(list))
}
