//! Leasing of items to workers.

use super::{ItemState, OwnedJob};
use crate::{ClaimedItem, ItemLease, LeaseState};
use bluebellreel_types::{AttemptId, Incarnation, Moment, RequestId, WorkerName};
use std::sync::Arc;

impl OwnedJob {
    /// Leases up to `room` items to a worker that already holds `held` items of
    /// this daemon.
    pub fn lease_items(
        &mut self,
        room: usize,
        worker: &WorkerName,
        incarnation: Incarnation,
        held: usize,
        now: Moment,
    ) -> Vec<ItemLease> {
        let mut taken = Vec::new();
        if self.closing || self.record.deadline.is_past(now) {
            return taken;
        }
        // An item that may crash its worker is leased alone, so that it cannot
        // fail other items along with it.
        if held == 0
            && let Some(index) = self.pop_loaded_isolated()
        {
            taken.extend(self.lease(index, worker, incarnation, now));
            return taken;
        }
        while taken.len() < room {
            let Some(index) = self.pop_loaded() else {
                break;
            };
            taken.extend(self.lease(index, worker, incarnation, now));
        }
        taken
    }

    fn is_loaded(&self, index: u32) -> bool {
        self.chunks.contains_key(&self.record.chunk_of(index))
    }

    fn pop_loaded_isolated(&mut self) -> Option<u32> {
        let index = *self.isolated.front()?;
        if self.is_loaded(index) {
            self.isolated.pop_front()
        } else {
            None
        }
    }

    fn pop_loaded(&mut self) -> Option<u32> {
        if let Some(index) = self.retry_queue.front().copied()
            && self.is_loaded(index)
        {
            return self.retry_queue.pop_front();
        }
        while self.next_new < self.record.items {
            let index = self.next_new;
            if self.items[index as usize].state != ItemState::Waiting {
                self.next_new += 1;
                continue;
            }
            if !self.is_loaded(index) {
                return None;
            }
            self.next_new += 1;
            return Some(index);
        }
        None
    }

    fn lease(
        &mut self,
        index: u32,
        worker: &WorkerName,
        incarnation: Incarnation,
        now: Moment,
    ) -> Option<ItemLease> {
        let chunk = self.record.chunk_of(index);
        let first = self.record.chunks[chunk as usize].first;
        let input = self.chunks.get(&chunk)?.get((index - first) as usize)?;
        let item = &mut self.items[index as usize];
        item.state = ItemState::Leased;
        item.attempts += 1;
        let number = u32::from(item.attempts);
        let key = format!("{}/{}", self.record.id, input.custom_id);
        let work = input.work(
            &self.record.target,
            &self.record.team,
            &key,
            self.repeatable,
        );
        let request = RequestId::random();
        let expires_at = now + self.limits.lease;
        let lease = LeaseState {
            index,
            number,
            worker: worker.clone(),
            incarnation,
            expires_at,
            in_doubt: false,
        };
        self.leases.insert(request, lease);
        Some(ItemLease {
            attempt: AttemptId { request, number },
            work: Arc::new(work),
            deadline: expires_at.min(self.record.deadline),
            resume: self.partials.remove(&index).unwrap_or_default(),
        })
    }

    /// The claims to write before leased items that may not be repeated are sent.
    #[must_use]
    pub fn claims_of(&self, attempts: impl Iterator<Item = AttemptId>) -> Vec<ClaimedItem> {
        let claim = |attempt: AttemptId| {
            let lease = self.leases.get(&attempt.request)?;
            Some(ClaimedItem {
                index: lease.index,
                attempt,
                worker: lease.worker.clone(),
                incarnation: lease.incarnation,
                deadline: lease.expires_at,
            })
        };
        attempts.filter_map(claim).collect()
    }
}
