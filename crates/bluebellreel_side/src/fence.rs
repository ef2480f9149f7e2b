//! Rejection of stale load orders by fencing number.

/// The highest fencing number received so far.
///
/// Guards against a matcher that was paused while another one replaced it: its
/// orders arrive late, with a lower number, and some engines accept them. After
/// a restart, no order is admitted until an entry daemon has announced the
/// current number, which each entry daemon does when it connects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fence {
    highest: Option<u64>,
}

impl Fence {
    /// Records a fencing number.
    pub(crate) fn observe(&mut self, fence: u64) {
        self.highest = Some(self.highest.unwrap_or(0).max(fence));
    }

    /// Whether an order with this fencing number may be executed. Records the
    /// number if so.
    pub(crate) fn admits(&mut self, fence: u64) -> bool {
        let admitted = self.highest.is_some_and(|highest| fence >= highest);
        if admitted {
            self.observe(fence);
        }
        admitted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A matcher resumes after a pause and orders an old version again from a side
    /// process that has just restarted. The order must be refused.
    #[test]
    fn stale_order_is_refused_after_restart() {
        let mut fence = Fence::default();
        assert!(!fence.admits(3), "no number announced yet");
        fence.observe(7);
        assert!(!fence.admits(3));
        assert!(fence.admits(7));
        assert!(fence.admits(9));
        assert!(!fence.admits(8));
    }
}
