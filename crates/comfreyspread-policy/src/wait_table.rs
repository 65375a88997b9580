//! Waits at stage services in each region, as the nodes that batch them told.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Time after which a wait is asked for again.
pub const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time after which a wait is not believed any more.
const ENTRY_TTL: time::Duration = time::Duration::from_millis(1500);
/// Wait in the own region up to which no other region is looked at.
pub const LOCAL_WAIT_THRESHOLD: time::Duration = time::Duration::from_millis(150);
/// Shorter wait that another region has to offer, for the way there and back.
const MIN_WAIT_GAIN: time::Duration = time::Duration::from_millis(150);

type WaitKey = (ids::EndpointService, ids::RegionId);

#[derive(Debug)]
struct WaitEntry {
    waits: Vec<types::RankWait>,
    heard: Option<time::Instant>,
    asked: time::Instant,
}

/// Waits by service and region.
#[derive(Debug, Default)]
pub struct WaitTable {
    entries: IndexMap<WaitKey, WaitEntry>,
}

impl WaitTable {
    /// Whether a wait is to be asked for now; it counts as asked for then.
    pub fn start_refresh(
        &mut self,
        service: &ids::EndpointService,
        region: &ids::RegionId,
        now: time::Instant,
    ) -> bool {
        let key = (service.clone(), region.clone());
        match self.entries.get_mut(&key) {
            Some(entry) if now.saturating_duration_since(entry.asked) < REFRESH_INTERVAL => false,
            Some(entry) => {
                entry.asked = now;
                true
            }
            None => {
                self.entries.insert(key, WaitEntry { waits: Vec::new(), heard: None, asked: now });
                true
            }
        }
    }

    /// Takes in what a batching node told.
    pub fn update(
        &mut self,
        service: &ids::EndpointService,
        region: &ids::RegionId,
        waits: Vec<types::RankWait>,
        now: time::Instant,
    ) {
        let key = (service.clone(), region.clone());
        self.entries.insert(key, WaitEntry { waits, heard: Some(now), asked: now });
    }

    /// Returns the wait of a request with this rank; none if it is not known.
    pub fn wait(
        &self,
        service: &ids::EndpointService,
        region: &ids::RegionId,
        priority: u32,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let entry = self.entries.get(&(service.clone(), region.clone()))?;
        let heard = entry.heard.filter(|heard| now.saturating_duration_since(*heard) < ENTRY_TTL);
        heard?;
        let rank = usize::try_from(priority).unwrap_or(usize::MAX);
        let wait = entry.waits.get(rank).or_else(|| entry.waits.last());
        Some(wait.map_or(time::Duration::ZERO, |wait| wait.wait))
    }
}

/// Whether a request goes to another region: drawn by chance, so that the nodes which know the
/// same waits do not all go there at once.
pub fn prefers_remote<Source>(
    home: time::Duration,
    elsewhere: time::Duration,
    random: &mut Source,
) -> bool
where
    Source: rand::Rng,
{
    let Some(gain) = home.checked_sub(elsewhere).filter(|gain| *gain > MIN_WAIT_GAIN) else {
        return false;
    };
    let share = gain.as_secs_f64() / (home + elsewhere).as_secs_f64();
    random.random_bool(share.clamp(0.0, 1.0))
}
