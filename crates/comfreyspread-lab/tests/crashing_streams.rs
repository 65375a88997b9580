//! Requests that crash every engine that runs them, told from the streams beside them, over processes.

mod common;

use common::{crash_test, crashing_engine};
use crash_test::CONTACT_TIME;
use futures_util::future;
use std::time;

const ENGINES: u64 = 4;
/// Events of a complete answer, which takes over half a second.
const EVENTS: u64 = 20;
const BODY: &str = "guilty body";
/// Crashes after which the guilty request has to be known.
const LEARNING_CRASHES: usize = 3;

/// Sends the guilty request again and again beside sound streams, and checks both.
fn check(events: u64, length: time::Duration) {
    let trigger = crashing_engine::CrashTrigger { text: BODY, events };
    crash_test::CrashTest::run((ENGINES, EVENTS), trigger, async |test| {
        let guilty = test.repeat_guilty(length);
        let (served, sound) = future::join(guilty, test.send_sound(length)).await;
        assert_eq!(served, 0);
        assert!(test.engines.crashes().len() >= LEARNING_CRASHES, "too few crashes");
        test.check_learned(LEARNING_CRASHES);
        test.check_sound(&sound);
    });
}

/// Guards against a request that crashes each engine before its first event.
#[test]
fn before_events() {
    check(0, CONTACT_TIME * 5);
}

/// Guards against a request that crashes each engine just after its first event, and was never known:
/// crashes counted only before that event.
#[test]
fn first_event() {
    check(1, CONTACT_TIME * 5);
}

/// Guards against a request that crashes each engine only after it has been running for a while.
#[test]
fn later_event() {
    check(18, CONTACT_TIME * 5);
}
