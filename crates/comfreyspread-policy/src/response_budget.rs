//! Which responses give way when what a node holds of all of them uses up the memory for it.
//!
//! An endpoint in trouble may send bytes without end. The next sound response must not be refused for
//! them, so the largest response that can still be given up is, until the rest fits. A holder is one
//! response, or bytes of one that wait for its caller.
//!
//! ```
//! use comfreyspread_policy::response_budget;
//!
//! let mut budget = response_budget::ResponseBudget::new(100);
//! let (large, small) = (budget.add(), budget.add());
//! assert!(budget.resize(large, 80).is_empty());
//! assert_eq!(budget.resize(small, 30), [large]);
//! assert_eq!(budget.used(), 30);
//! ```

use comfreyspread_schema::ids;
use indexmap::IndexMap;

/// Memory for responses, and what each of them holds of it.
#[derive(Debug)]
pub struct ResponseBudget {
    limit: usize,
    used: usize,
    next_holder: ids::HolderId,
    holders: IndexMap<ids::HolderId, HeldBytes>,
}

/// What one holder holds.
#[derive(Clone, Copy, Debug, Default)]
struct HeldBytes {
    count: usize,
    /// Whether it cannot be given up any more: the caller has been sent a part, or will be.
    is_pinned: bool,
}

impl ResponseBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: 0, next_holder: 0, holders: IndexMap::new() }
    }

    /// Returns the number of bytes held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a holder that holds nothing.
    pub fn add(&mut self) -> ids::HolderId {
        let holder = self.next_holder;
        self.next_holder += 1;
        self.holders.insert(holder, HeldBytes::default());
        holder
    }

    /// Sets how many bytes a holder holds. Returns those that have to give way for it, itself perhaps
    /// among them, the largest first and among equals the oldest; they hold nothing from then on.
    pub fn resize(&mut self, holder: ids::HolderId, count: usize) -> Vec<ids::HolderId> {
        let Some(held) = self.holders.get_mut(&holder) else { return Vec::new() };
        self.used = self.used - held.count + count;
        held.count = count;
        let mut revoked = Vec::new();
        while self.used > self.limit
            && let Some(largest) = self.largest()
        {
            self.remove(largest);
            revoked.push(largest);
        }
        revoked
    }

    /// Keeps a holder from giving way, now that its bytes are passed on.
    pub fn pin(&mut self, holder: ids::HolderId) {
        if let Some(held) = self.holders.get_mut(&holder) {
            held.is_pinned = true;
        }
    }

    /// Removes a holder and what it holds.
    pub fn remove(&mut self, holder: ids::HolderId) {
        if let Some(held) = self.holders.shift_remove(&holder) {
            self.used -= held.count;
        }
    }

    /// Returns the holder of the most bytes that may give way.
    fn largest(&self) -> Option<ids::HolderId> {
        let open = self.holders.iter().filter(|(_, held)| !held.is_pinned && held.count > 0);
        open.rev().max_by_key(|(_, held)| held.count).map(|(holder, _)| *holder)
    }
}
