//! Threads that make the daemon's calls to the key-value service.

use bluebellreel_kv::KvClient;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;

/// Threads: calls in progress at one time.
const THREAD_COUNT: usize = 8;
/// Tasks that wait.
const QUEUE_CAPACITY: usize = 4_096;

pub(crate) type Task = Box<dyn FnOnce(&KvClient) + Send>;

/// Runs tasks that block on the key-value service.
#[derive(Clone)]
pub(crate) enum KvPool {
    /// On threads.
    Threads(Sender<Task>),
    /// By hand, one at a time.
    Manual(Arc<Mutex<VecDeque<Task>>>),
}

impl KvPool {
    pub(crate) fn start(kv: &Arc<KvClient>) -> io::Result<Self> {
        let (tx, rx) = bounded::<Task>(QUEUE_CAPACITY);
        for _ in 0..THREAD_COUNT {
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
        Ok(Self::Threads(tx))
    }

    /// A pool whose tasks wait until they are taken.
    pub(crate) fn manual() -> Self {
        Self::Manual(Arc::default())
    }

    /// The next task that waits to be run by hand.
    pub(crate) fn pop_manual(&self) -> Option<Task> {
        match self {
            Self::Threads(_) => None,
            Self::Manual(tasks) => tasks.lock().ok()?.pop_front(),
        }
    }

    /// Queues a task; false when too many wait. The actors must never block
    /// on the service: during its outage online requests go on.
    pub(crate) fn run(&self, task: impl FnOnce(&KvClient) + Send + 'static) -> bool {
        let tx = match self {
            Self::Threads(tx) => tx,
            Self::Manual(tasks) => {
                if let Ok(mut tasks) = tasks.lock() {
                    tasks.push_back(Box::new(task));
                }
                return true;
            }
        };
        match tx.try_send(Box::new(task)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                log::warn!(target: "kv", "Too many calls wait for the key-value service.");
                false
            }
        }
    }
}
