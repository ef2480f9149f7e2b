//! A bounded cache of the results of finished jobs, for readers.

use bluebellreel_batch::ItemResult;
use bluebellreel_types::JobId;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// Limit on the cached results, in bytes. A small VM has about 100 MB of memory.
const MAX_BYTES: usize = 12 * 1024 * 1024;

/// The final results of one job.
pub(crate) struct Archived {
    pub(crate) total: usize,
    /// Name of its team.
    pub(crate) team: Option<Arc<str>>,
    pub(crate) listed: Vec<ItemResult>,
}

impl Archived {
    fn bytes(&self) -> usize {
        self.listed.iter().map(|r| r.text.len() + r.id.len()).sum()
    }
}

/// Results of finished jobs. The oldest entries are evicted first.
#[derive(Default)]
pub(crate) struct Archive {
    jobs: HashMap<JobId, Rc<Archived>>,
    order: VecDeque<JobId>,
    bytes: usize,
}

impl Archive {
    pub(crate) fn get(&self, id: &JobId) -> Option<Rc<Archived>> {
        self.jobs.get(id).cloned()
    }

    pub(crate) fn add(&mut self, id: JobId, archived: Archived) {
        if self.jobs.contains_key(&id) {
            return;
        }
        self.bytes += archived.bytes();
        self.order.push_back(id.clone());
        self.jobs.insert(id, Rc::new(archived));
        while self.bytes > MAX_BYTES && self.order.len() > 1 {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(evicted) = self.jobs.remove(&oldest) {
                self.bytes -= evicted.bytes();
            }
        }
    }
}
