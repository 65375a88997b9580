//! Exchange of what nodes know of crashes.

use comfreyspread_policy::part_suspect;
use rand::{SeedableRng as _, rngs};
use std::time;

/// Records of each kind in one message.
pub const RECORDS_PER_MESSAGE: usize = 4;
const MESSAGES: usize = 20;

/// Passes on records of one table until the other hears nothing new.
pub fn pass_records(
    from: &part_suspect::PartTable,
    to: &mut part_suspect::PartTable,
    now: time::Instant,
) {
    let mut random = rngs::SmallRng::seed_from_u64(5);
    for _ in 0..MESSAGES {
        for record in from.records(RECORDS_PER_MESSAGE, now, &mut random) {
            to.merge(&record, now);
        }
    }
}
