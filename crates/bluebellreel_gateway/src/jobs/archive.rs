//! A bounded cache of the results of finished jobs, for readers.

use super::load::result_bytes;
use bluebellreel_batch::ItemResult;
use bluebellreel_types::JobId;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// Limit on the cached results, in bytes, on a machine of any size.
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
        self.listed.iter().map(result_bytes).sum()
    }
}

/// Results of finished jobs. The oldest entries are evicted first.
pub(crate) struct Archive {
    /// Limit on the results, in bytes.
    limit: usize,
    jobs: HashMap<JobId, Rc<Archived>>,
    order: VecDeque<JobId>,
    bytes: usize,
}

impl Archive {
    /// An empty cache that takes so many bytes at the most.
    pub(crate) fn new(memory: usize) -> Self {
        Self {
            limit: memory.min(MAX_BYTES),
            jobs: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Limit on the results, in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

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
        while self.bytes > self.limit && self.order.len() > 1 {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(evicted) = self.jobs.remove(&oldest) {
                self.bytes -= evicted.bytes();
            }
        }
    }
}
