//! A thread pool for the actors' calls to the key-value service.

use bluebellreel_kv::KvClient;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;

/// Number of threads, which bounds the calls in progress.
const THREAD_COUNT: usize = 8;
/// Maximum number of queued tasks.
const QUEUE_CAPACITY: usize = 4_096;

pub(crate) type Task = Box<dyn FnOnce(&KvClient) + Send>;

/// Runs tasks that block on the key-value service.
#[derive(Clone)]
pub(crate) enum KvPool {
    /// Tasks run on threads.
    Threads(Sender<Task>),
    /// Tasks are queued until a test harness takes and runs them.
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

    /// Creates a pool without threads, whose tasks are taken by [`Self::pop_manual`].
    pub(crate) fn manual() -> Self {
        Self::Manual(Arc::default())
    }

    /// Takes the next task of a pool without threads.
    pub(crate) fn pop_manual(&self) -> Option<Task> {
        match self {
            Self::Threads(_) => None,
            Self::Manual(tasks) => tasks.lock().ok()?.pop_front(),
        }
    }

    /// Queues a task. Returns false if the queue is full: the actors must never block
    /// on the service, so that online requests continue during its outages.
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
                log::warn!(target: "kv", "Queue of calls to the key-value service is full; call rejected.");
                false
            }
        }
    }
}
