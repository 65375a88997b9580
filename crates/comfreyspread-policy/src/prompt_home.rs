//! Region whose engines should read a long prompt part, so that no other region reads it, too.
//!
//! Engines hold what they have read, and requests go on in the region of their stages. Without a
//! home, requests with the same part read it once in each region. A request goes to the home of its
//! part if the reading that is saved there exceeds the way and the longer wait.
//!
//! ```
//! use comfreyspread_policy::prompt_home;
//! use std::time::Duration;
//!
//! let regions = ["north".into(), "south".into()];
//! let home = prompt_home::home_region(7, &regions).unwrap();
//! assert_eq!(Some(home), prompt_home::home_region(7, &regions));
//! assert!(prompt_home::prefers_home(8000, Duration::ZERO, Duration::ZERO));
//! assert!(!prompt_home::prefers_home(400, Duration::ZERO, Duration::ZERO));
//! ```

use crate::rendezvous;
use comfreyspread_schema::ids;
use std::time;

/// Prompt tokens that an engine reads in a second, roughly.
const READ_RATE: f64 = 40_000.0;
/// Cost of the way to another region and back, for the request and its stages.
const REGION_COST: time::Duration = time::Duration::from_millis(60);

/// Returns the home of a prompt part among the regions that may run a request.
pub fn home_region(part: ids::PrefixHash, regions: &[ids::RegionId]) -> Option<&ids::RegionId> {
    regions.iter().max_by_key(|region| rendezvous::prefix_score(part, region))
}

/// Whether a request goes to another region, the home of a shared part of its prompt with so many
/// tokens, given the waits there and in its own region.
pub fn prefers_home(tokens: u32, local_wait: time::Duration, home_wait: time::Duration) -> bool {
    let saved = time::Duration::from_secs_f64(f64::from(tokens) / READ_RATE);
    local_wait + saved > home_wait + REGION_COST
}
