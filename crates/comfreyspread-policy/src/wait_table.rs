//! Expected waits at stage services in each region, as reported by the nodes that batch them.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Time after which a wait is requested again.
pub const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time after which a reported wait is no longer used.
const ENTRY_TTL: time::Duration = time::Duration::from_millis(1500);
/// Wait in the local region up to which no other region is considered, whatever the target.
const MIN_LOCAL_WAIT: time::Duration = time::Duration::from_millis(150);
/// Share of the target, as a divisor, that waits in the local region may take up.
const LOCAL_WAIT_DIVISOR: u32 = 4;
/// Minimum reduction of the wait for which another region is chosen; covers the round trip.
const MIN_WAIT_GAIN: time::Duration = time::Duration::from_millis(150);

type WaitKey = (ids::ServiceName, ids::RegionId);

#[derive(Debug)]
struct WaitEntry {
    waits: Vec<types::PriorityWait>,
    reported: Option<time::Instant>,
    queried: time::Instant,
}

/// Expected waits by service and region.
#[derive(Debug, Default)]
pub struct WaitTable {
    entries: IndexMap<WaitKey, WaitEntry>,
}

impl WaitTable {
    /// Whether a wait is to be requested now; if so, the request is recorded.
    pub fn start_refresh(
        &mut self,
        service: &ids::ServiceName,
        region: &ids::RegionId,
        now: time::Instant,
    ) -> bool {
        let key = (service.clone(), region.clone());
        match self.entries.get_mut(&key) {
            Some(entry) if now.saturating_duration_since(entry.queried) < REFRESH_INTERVAL => false,
            Some(entry) => {
                entry.queried = now;
                true
            }
            None => {
                self.entries
                    .insert(key, WaitEntry { waits: Vec::new(), reported: None, queried: now });
                true
            }
        }
    }

    /// Stores the waits that a batching node reported.
    pub fn update(
        &mut self,
        service: &ids::ServiceName,
        region: &ids::RegionId,
        waits: Vec<types::PriorityWait>,
        now: time::Instant,
    ) {
        let key = (service.clone(), region.clone());
        self.entries.insert(key, WaitEntry { waits, reported: Some(now), queried: now });
    }

    /// Returns the wait of a request with this priority; `None` if it is unknown or too old.
    pub fn wait(
        &self,
        service: &ids::ServiceName,
        region: &ids::RegionId,
        priority: u32,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let entry = self.entries.get(&(service.clone(), region.clone()))?;
        let fresh = entry.reported.filter(|at| now.saturating_duration_since(*at) < ENTRY_TTL);
        fresh?;
        let index = usize::try_from(priority).unwrap_or(usize::MAX);
        let wait = entry.waits.get(index).or_else(|| entry.waits.last());
        Some(wait.map_or(time::Duration::ZERO, |wait| wait.wait))
    }
}

/// Returns the wait in the local region up to which no other region is considered. The links between
/// regions are slow and shared, so a request crosses them only if that saves its target.
pub fn local_wait_limit(target: time::Duration) -> time::Duration {
    (target / LOCAL_WAIT_DIVISOR).max(MIN_LOCAL_WAIT)
}

/// Whether to send a request to another region, given the waits in both. The choice is random, so
/// that nodes with the same waits do not all move their load there at once.
pub fn prefers_remote<Source>(
    local: time::Duration,
    remote: time::Duration,
    random: &mut Source,
) -> bool
where
    Source: rand::Rng,
{
    let Some(gain) = local.checked_sub(remote).filter(|gain| *gain > MIN_WAIT_GAIN) else {
        return false;
    };
    let probability = gain.as_secs_f64() / (local + remote).as_secs_f64();
    random.random_bool(probability.clamp(0.0, 1.0))
}
