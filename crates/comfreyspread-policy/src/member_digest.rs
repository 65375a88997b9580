//! Digest of a member table, by which two nodes find the records in which their tables differ.
//!
//! The records are spread over a fixed number of buckets by the name of their node. Each bucket has
//! one number that depends on all of its records but not on their order. Nodes with equal tables
//! have equal digests, so while nothing changes they send each other no records. The digest is one of
//! the members that are alive: of the others, each node decides by its own timers when they failed.
//!
//! ```
//! use comfreyspread_policy::member_digest;
//!
//! let empty = member_digest::MemberDigest::new([].into_iter());
//! assert!(empty.differing_buckets(empty.buckets()).is_empty());
//! ```

use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;
use xxhash_rust::xxh3;

/// Number of buckets. A change has all records of its bucket sent, so the number grows with the
/// largest fleet; a message carries one number for each.
const BUCKETS: u32 = 64;

/// Index of a bucket.
pub type BucketIndex = usize;

/// Digest of a member table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberDigest {
    buckets: Vec<u32>,
}

impl MemberDigest {
    /// Returns the digest of the given records.
    pub fn new<'records, Records>(records: Records) -> Self
    where
        Records: Iterator<Item = &'records types::MemberRecord>,
    {
        let mut buckets = vec![0_u32; BUCKETS as usize];
        for record in records {
            let bucket = &mut buckets[bucket_of(&record.node)];
            *bucket = bucket.wrapping_add(record_hash(record));
        }
        Self { buckets }
    }

    /// Returns the numbers of all buckets.
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Returns the numbers of all buckets, for a message.
    pub fn into_buckets(self) -> Vec<u32> {
        self.buckets
    }

    /// Returns the buckets that differ from those of another node; none if the other node uses
    /// another number of buckets.
    pub fn differing_buckets(&self, other: &[u32]) -> IndexSet<BucketIndex> {
        if other.len() != self.buckets.len() {
            return IndexSet::new();
        }
        let pairs = self.buckets.iter().zip(other).enumerate();
        pairs.filter(|(_, (own, other))| own != other).map(|(bucket, _)| bucket).collect()
    }
}

/// Returns the bucket of a node.
pub fn bucket_of(node: &ids::NodeId) -> BucketIndex {
    (xxh3::xxh3_64(node.as_bytes()) % u64::from(BUCKETS)) as BucketIndex
}

fn record_hash(record: &types::MemberRecord) -> u32 {
    let seed = record.start_id ^ record.incarnation.rotate_left(u64::BITS / 2);
    let hash = xxh3::xxh3_64_with_seed(record.node.as_bytes(), seed);
    let phase = hash.rotate_left(record.node_phase as u32);
    (phase >> u32::BITS) as u32
}
