//! Callers' requests that are being answered.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// The requests in progress, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct InProgress {
    open: RefCell<BTreeMap<u64, Arc<str>>>,
    next_number: Cell<u64>,
}

impl InProgress {
    /// Registers a request until the returned guard is dropped.
    pub(crate) fn begin(self: &Rc<Self>, id: &str) -> InProgressGuard {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.open.borrow_mut().insert(number, Arc::from(id));
        InProgressGuard {
            number,
            all: self.clone(),
        }
    }

    /// Number of requests in progress.
    pub(crate) fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Ids of the requests in progress.
    pub(crate) fn ids(&self) -> Vec<Arc<str>> {
        self.open.borrow().values().cloned().collect()
    }
}

/// Keeps a request registered as in progress until it is dropped.
pub(crate) struct InProgressGuard {
    number: u64,
    all: Rc<InProgress>,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.all.open.borrow_mut().remove(&self.number);
    }
}
