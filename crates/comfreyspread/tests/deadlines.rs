//! Deadline timers.

use comfreyspread::transport::deadline;
use futures_lite::future;
use std::time;

const STEP: time::Duration = time::Duration::from_millis(20);
/// Far enough away not to be reached while the test is held up.
const FAR: time::Duration = time::Duration::from_secs(30);

/// A timer that was added later fires first if its deadline is earlier, and none fires too early.
#[test]
fn fires_in_order() {
    let start = time::Instant::now();
    future::block_on(async {
        let mut far = deadline::DeadlineTimer::new(start + FAR);
        assert!(future::poll_once(&mut far).await.is_none());
        let late = deadline::DeadlineTimer::new(start + STEP * 4);
        let early = deadline::DeadlineTimer::new(start + STEP);
        let (one, other) = future::zip(timed(late), timed(early)).await;
        assert!(other >= start + STEP && one >= start + STEP * 4);
        assert!(future::poll_once(&mut far).await.is_none(), "fired with the earlier ones");
    });
}

async fn timed(timer: deadline::DeadlineTimer) -> time::Instant {
    timer.await;
    time::Instant::now()
}

#[test]
fn work_completes() {
    future::block_on(async {
        let mut timer = deadline::DeadlineTimer::after(STEP);
        assert_eq!(deadline::with_timer(&mut timer, async { 7 }).await, Some(7));
        assert_eq!(deadline::with_timer(&mut timer, future::pending::<()>()).await, None);
    });
}

#[test]
fn dropped_timers() {
    future::block_on(async {
        for _ in 0..5_000 {
            let mut timer = deadline::DeadlineTimer::after(STEP * 1000);
            future::poll_once(&mut timer).await;
        }
        deadline::DeadlineTimer::after(STEP).await;
    });
}
