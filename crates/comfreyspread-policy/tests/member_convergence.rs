//! All members learn of joins, failures and restarts.

mod event_queue;
mod model;

use comfreyspread_schema::types;
use std::time;

fn phases(model: &model::Model, of: usize) -> Vec<types::MemberPhase> {
    let name = model.nodes[of].members.local().node.clone();
    let others = (0..model.nodes.len()).filter(|index| *index != of);
    let entries = others.filter_map(|index| model.nodes[index].members.entry(&name));
    entries.map(|entry| entry.record().phase).collect()
}

#[test]
fn failure_seen() {
    for seed in 0..10 {
        let mut model = model::Model::new(8, 8, seed);
        model.run(time::Duration::from_secs(10), |_| {});
        assert_eq!(phases(&model, 2), [types::MemberPhase::Alive; 7]);
        model.crash(2);
        model.run(time::Duration::from_secs(10), |_| {});
        assert_eq!(phases(&model, 2), [types::MemberPhase::Failed; 7]);
        model.restart(2);
        model.run(time::Duration::from_secs(10), |_| {});
        assert_eq!(phases(&model, 2), [types::MemberPhase::Alive; 7]);
    }
}

#[test]
fn suspicion_refuted() {
    let mut model = model::Model::new(8, 8, 5);
    model.run(time::Duration::from_secs(10), |_| {});
    model.isolate(2, true, true);
    model.run(time::Duration::from_millis(2500), |_| {});
    model.isolate(2, false, false);
    model.run(time::Duration::from_secs(10), |_| {});
    assert_eq!(phases(&model, 2), [types::MemberPhase::Alive; 7]);
    assert!(model.nodes[2].members.local().incarnation > 0, "no node suspected it");
}

#[test]
fn one_link_cut() {
    let mut model = model::Model::new(8, 8, 6);
    model.run(time::Duration::from_secs(10), |_| {});
    model.cut[2][3] = true;
    model.cut[3][2] = true;
    model.run(time::Duration::from_secs(60), |model| assert!(model.max_owners() <= 1));
    assert!(phases(&model, 2).iter().all(|phase| *phase == types::MemberPhase::Alive));
}
