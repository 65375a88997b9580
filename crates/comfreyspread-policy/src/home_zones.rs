//! Which pieces wait a moment for an endpoint of their own availability zone.
//!
//! Results that cross zones are expensive. An endpoint that becomes free could take all queued
//! pieces; instead it leaves those of another zone whose own endpoints are about to be free, as long
//! as the pieces have time to spare. Endpoints of large services become free so often that the wait
//! is short; where none is about to, the pieces go to any zone.
//!
//! ```
//! use comfreyspread_policy::home_zones;
//! use comfreyspread_schema::ids;
//!
//! let zone: ids::ZoneId = "a".into();
//! let mut zones = home_zones::HomeZones::new([&zone].into_iter(), 8);
//! assert!(zones.claim(&zone, 6));
//! assert!(!zones.claim(&zone, 6), "the next call has no room for them");
//! ```

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::time;

/// Longest wait for an endpoint of the own zone. A call in another zone that starts now ends no
/// later than one in the own zone after this wait, by less than the fixed time of a call.
pub const HOME_WAIT: time::Duration = time::Duration::from_millis(100);

/// Room for pieces in the next calls of the endpoints of each zone.
#[derive(Clone, Debug)]
pub struct HomeZones {
    room: IndexMap<ids::ZoneId, usize>,
}

impl HomeZones {
    /// Creates the room of the endpoints that are free or about to be, given by their zones; each
    /// takes up to `max_batch` pieces.
    pub fn new<'zones, Zones>(free_soon: Zones, max_batch: usize) -> Self
    where
        Zones: Iterator<Item = &'zones ids::ZoneId>,
    {
        let mut room = IndexMap::new();
        for zone in free_soon {
            *room.entry(zone.clone()).or_default() += max_batch;
        }
        Self { room }
    }

    /// Claims room for pieces in their own zone; returns whether there is enough.
    pub fn claim(&mut self, zone: &ids::ZoneId, pieces: usize) -> bool {
        let Some(room) = self.room.get_mut(zone).filter(|room| **room >= pieces) else {
            return false;
        };
        *room -= pieces;
        true
    }
}
