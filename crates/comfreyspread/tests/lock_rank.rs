//! Ranked locks enforce the lock order.

use comfreyspread::runtime::lock_rank;
use std::panic;

#[test]
fn ascending_order() {
    let low = lock_rank::RankedLock::<lock_rank::LifecycleRank, _>::new(1);
    let high = lock_rank::RankedLock::<lock_rank::PoolRank, _>::new(2);
    let first = low.lock();
    let second = high.lock();
    assert_eq!(*first + *second, 3);
}

#[test]
#[cfg(debug_assertions)]
fn descending_order() {
    let low = lock_rank::RankedLock::<lock_rank::LifecycleRank, _>::new(1);
    let high = lock_rank::RankedLock::<lock_rank::PoolRank, _>::new(2);
    let violation = panic::catch_unwind(panic::AssertUnwindSafe(|| {
        let _second = high.lock();
        let _first = low.lock();
    }));
    assert!(violation.is_err());
    assert_eq!(*low.lock(), 1);
    assert_eq!(*high.lock(), 2);
}
