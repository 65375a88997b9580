//! Which responses give way for others.

use bolero::check;
use comfreyspread_policy::response_budget;

const LIMIT: usize = 1000;

/// The next sound response was refused for the bytes of others; the largest gives way now.
#[test]
fn largest_revoked() {
    let mut budget = response_budget::ResponseBudget::new(LIMIT);
    let [first, second, sound] = [(); 3].map(|()| budget.add());
    assert!(budget.resize(first, 400).is_empty());
    assert!(budget.resize(second, 500).is_empty());
    assert_eq!(budget.resize(sound, 200), [second]);
    assert_eq!(budget.used(), 600);
    assert!(budget.resize(second, 900).is_empty(), "it has given way");
    assert_eq!(budget.used(), 600);
}

/// A response that alone exceeds the memory gives way itself.
#[test]
fn own_growth() {
    let mut budget = response_budget::ResponseBudget::new(LIMIT);
    let [growing, sound] = [(); 2].map(|()| budget.add());
    budget.resize(sound, 300);
    assert_eq!(budget.resize(growing, 800), [growing]);
    assert_eq!(budget.used(), 300);
}

/// Bytes that are being written to a caller can't be given up; what is still read gives way.
#[test]
fn pinned_kept() {
    let mut budget = response_budget::ResponseBudget::new(LIMIT);
    let [pinned, read] = [(); 2].map(|()| budget.add());
    budget.resize(pinned, 900);
    budget.pin(pinned);
    assert_eq!(budget.resize(read, 200), [read]);
    budget.remove(pinned);
    assert_eq!(budget.used(), 0);
}

/// Equal responses give way from the oldest on, which has had the most time.
#[test]
fn oldest_of_equals() {
    let mut budget = response_budget::ResponseBudget::new(LIMIT);
    let holders = [(); 4].map(|()| budget.add());
    for holder in &holders[..3] {
        budget.resize(*holder, 300);
    }
    assert_eq!(budget.resize(holders[3], 300), [holders[0]]);
}

/// Whatever responses do, those that may give way never hold more than the limit with the pinned ones,
/// and nothing is left once all have ended.
#[test]
fn any_order() {
    check!().with_type::<Vec<(u8, u16, u8)>>().for_each(|steps| {
        let mut budget = response_budget::ResponseBudget::new(LIMIT);
        let holders: Vec<_> = (0..8).map(|_| budget.add()).collect();
        let mut pinned = 0;
        for (index, count, action) in steps {
            let holder = holders[usize::from(*index) % holders.len()];
            match action % 8 {
                0 if pinned == 0 => {
                    budget.pin(holder);
                    pinned = 1;
                }
                1 => budget.remove(holder),
                _ => {
                    budget.resize(holder, usize::from(*count) % 400);
                }
            }
            assert!(budget.used() <= LIMIT, "{} of {LIMIT}", budget.used());
        }
        holders.iter().for_each(|holder| budget.remove(*holder));
        assert_eq!(budget.used(), 0);
    });
}
