//! What a connection waits for, by what has been read of it.

use comfreyspread::transport::{body, head_reading};
use comfreyspread_policy::connection_displacement as displacement;
use std::{sync, time};

fn new_reading(progress: &head_reading::RequestProgress) -> head_reading::HeadReading {
    let rules = head_reading::HeadRules {
        limit: 1024,
        timeout: time::Duration::from_secs(1),
        budget: sync::Arc::new(body::BodyBudget::new(1024)),
    };
    head_reading::HeadReading::new(rules, progress.clone())
}

/// A connection whose second request was still being read counted as kept since its first, and was
/// closed for a new one.
#[test]
fn body_in_progress() {
    let progress = head_reading::RequestProgress::default();
    let mut reading = new_reading(&progress);
    assert_eq!(reading.waits_for(), displacement::ConnectionPhase::New);
    progress.start_request();
    assert_eq!(
        reading.waits_for(),
        displacement::ConnectionPhase::New,
        "its first body makes room, too"
    );
    progress.end_request();
    assert_eq!(reading.waits_for(), displacement::ConnectionPhase::Kept);
    reading.count(2).expect("an empty line");
    assert_eq!(reading.waits_for(), displacement::ConnectionPhase::Head);
    progress.start_request();
    assert_eq!(reading.waits_for(), displacement::ConnectionPhase::Active);
    progress.end_request();
    assert_eq!(reading.waits_for(), displacement::ConnectionPhase::Kept);
}
