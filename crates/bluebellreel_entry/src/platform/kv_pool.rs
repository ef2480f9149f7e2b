//! Threads that make the daemon's calls to the key-value service.

use bluebellreel_kv::KvClient;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::io;
use std::sync::Arc;
use std::thread;

/// Threads: calls in progress at one time.
const THREADS: usize = 8;
/// Tasks that wait.
const QUEUE: usize = 4_096;

type Task = Box<dyn FnOnce(&KvClient) + Send>;

/// Runs tasks that block on the key-value service.
#[derive(Clone)]
pub(crate) struct KvPool {
    tx: Sender<Task>,
}

impl KvPool {
    pub(crate) fn start(kv: &Arc<KvClient>) -> io::Result<Self> {
        let (tx, rx) = bounded::<Task>(QUEUE);
        for _ in 0..THREADS {
            let rx: Receiver<Task> = rx.clone();
            let kv = kv.clone();
            thread::Builder::new()
                .name("kv-call".into())
                .spawn(move || {
                    for task in rx {
                        task(&kv);
                    }
                })?;
        }
        Ok(Self { tx })
    }

    /// Queues a task; false when too many wait. The actors must never block
    /// on the service: during its outage online requests go on.
    pub(crate) fn run(&self, task: impl FnOnce(&KvClient) + Send + 'static) -> bool {
        match self.tx.try_send(Box::new(task)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                log::warn!(target: "kv", "Too many calls wait for the key-value service.");
                false
            }
        }
    }
}
