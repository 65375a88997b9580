//! Time from the start of an attempt to the first event of its stream, learnt for each route.
//!
//! The stages of a request have to end that much earlier for the request to meet its target. How
//! long it takes differs between routes by the length of their prompts, and over time by the load of
//! the endpoints.
//!
//! ```
//! use comfreyspread_policy::first_event;
//! use std::time;
//!
//! let mut times = first_event::FirstEventTimes::default();
//! assert_eq!(times.expected(&"chat".into()), first_event::DEFAULT_TIME);
//! times.record(&"chat".into(), time::Duration::from_millis(600));
//! assert!(times.expected(&"chat".into()) > first_event::DEFAULT_TIME);
//! ```

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::time;

/// Time assumed before any was measured.
pub const DEFAULT_TIME: time::Duration = time::Duration::from_millis(250);
/// Weight of the newest time in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Mean deviations added to the mean, so that most requests take no longer.
const DEVIATIONS: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct TimeAverage {
    mean_s: f64,
    deviation_s: f64,
}

/// Times to the first event, by route.
#[derive(Clone, Debug, Default)]
pub struct FirstEventTimes {
    routes: IndexMap<ids::Text, TimeAverage>,
}

impl FirstEventTimes {
    /// Records the time that the first event of one attempt took.
    pub fn record(&mut self, route: &ids::Text, took: time::Duration) {
        let default = TimeAverage { mean_s: DEFAULT_TIME.as_secs_f64(), deviation_s: 0.0 };
        let average = self.routes.entry(route.clone()).or_insert(default);
        let difference = took.as_secs_f64() - average.mean_s;
        average.mean_s += difference * SAMPLE_WEIGHT;
        average.deviation_s += (difference.abs() - average.deviation_s) * SAMPLE_WEIGHT;
    }

    /// Returns the time within which most first events of a route arrive.
    pub fn expected(&self, route: &ids::Text) -> time::Duration {
        let Some(average) = self.routes.get(route) else { return DEFAULT_TIME };
        time::Duration::from_secs_f64(average.mean_s + average.deviation_s * DEVIATIONS)
    }
}
