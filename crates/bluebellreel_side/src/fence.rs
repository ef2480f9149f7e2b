//! Which orders are outdated.

/// The highest fencing number heard of.
///
/// Guards against a matcher that was paused while another took its place: its
/// orders come late, under a lower number, and some engines take them. After a
/// restart nothing is admitted until an entry daemon has told the number that
/// stands, which each does as it connects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fence {
    highest: Option<u64>,
}

impl Fence {
    /// Takes a number in that an entry daemon knows.
    pub(crate) fn learn(&mut self, fence: u64) {
        self.highest = Some(self.highest.unwrap_or(0).max(fence));
    }

    /// Whether an order may be carried out.
    pub(crate) fn admits(&mut self, fence: u64) -> bool {
        let admitted = self.highest.is_some_and(|highest| fence >= highest);
        if admitted {
            self.learn(fence);
        }
        admitted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A paused matcher wakes and orders the old version again, at a side
    /// process that has just restarted. It must not be carried out.
    #[test]
    fn outdated_order_is_refused_after_a_restart_too() {
        let mut fence = Fence::default();
        assert!(!fence.admits(3), "nothing is known yet");
        fence.learn(7);
        assert!(!fence.admits(3));
        assert!(fence.admits(7));
        assert!(fence.admits(9));
        assert!(!fence.admits(8));
    }
}
