//! Memory of response bodies that are read whole, shared by all calls of a pool.
//!
//! A call waits for the memory of its whole body before it reads it, and then needs no more: so
//! no two calls wait for each other.

use tokio::sync::{Semaphore, SemaphorePermit};

/// The unit in which memory is shared, in bytes. Smaller bodies do not count.
const UNIT_BYTES: usize = 64 * 1024;
/// Assumed size of a body without a length, in bytes: that of a large list.
const UNKNOWN_BYTES: usize = 1024 * 1024;

/// Memory for response bodies.
pub(crate) struct BodyMemory {
    units: Semaphore,
    all: u32,
}

impl BodyMemory {
    /// Memory of at most so many bytes, one unit at least.
    pub(crate) fn new(bytes: usize) -> Self {
        let all = u32::try_from(bytes / UNIT_BYTES).unwrap_or(u32::MAX);
        let all = all.clamp(1, u32::try_from(Semaphore::MAX_PERMITS).unwrap_or(u32::MAX));
        let units = Semaphore::new(usize::try_from(all).unwrap_or(1));
        Self { units, all }
    }

    /// Waits for the memory of a body with this announced length. A body that is larger than
    /// all of it gets all.
    pub(crate) async fn wait(&self, announced: Option<u64>) -> Option<SemaphorePermit<'_>> {
        let bytes = announced.map_or(UNKNOWN_BYTES, |n| usize::try_from(n).unwrap_or(usize::MAX));
        let units = u32::try_from(bytes / UNIT_BYTES).unwrap_or(u32::MAX);
        if units == 0 {
            return None;
        }
        // Cannot fail: it is never closed.
        self.units.acquire_many(units.min(self.all)).await.ok()
    }
}
