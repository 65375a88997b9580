//! Prompt parts that one engine should hold in its memory, by what was placed there.
//!
//! Parts and running requests share the memory, and the least recently used parts yield.
//!
//! ```
//! use comfreyspread_policy::part_cache;
//!
//! let mut cache = part_cache::PartCache::new(1000);
//! cache.insert(7, 600);
//! cache.insert(8, 600);
//! assert!(!cache.contains(7));
//! assert!(cache.contains(8));
//! ```

use comfreyspread_schema::ids;
use indexmap::IndexMap;

/// Parts of one engine, the least recently used first.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    parts: IndexMap<ids::PartHash, u32>,
    capacity: u64,
    used: u64,
}

impl PartCache {
    /// Creates an empty cache for this number of tokens.
    pub fn new(capacity: u64) -> Self {
        Self { parts: IndexMap::new(), capacity, used: 0 }
    }

    /// Whether a part is held.
    pub fn contains(&self, part: ids::PartHash) -> bool {
        self.parts.contains_key(&part)
    }

    /// Returns the tokens of the parts that are held.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Adds a part, or makes it the most recently used one.
    pub fn insert(&mut self, part: ids::PartHash, tokens: u32) {
        if let Some(known) = self.parts.shift_remove(&part) {
            self.used -= u64::from(known);
        }
        self.parts.insert(part, tokens);
        self.used += u64::from(tokens);
        self.shrink(self.capacity);
    }

    /// Removes the least recently used parts until they fit in so many tokens.
    pub fn shrink(&mut self, tokens: u64) {
        while self.used > tokens {
            let Some((_, removed)) = self.parts.shift_remove_index(0) else { return };
            self.used -= u64::from(removed);
        }
    }
}
