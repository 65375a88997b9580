//! Choice of an endpoint's owner by weighted rendezvous hashing.

use comfreyspread_policy::rendezvous;
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;

const ENDPOINTS: usize = 4000;

fn member(index: usize, zone: &str, region: &str) -> types::MemberRecord {
    types::MemberRecord {
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 0,
        node: format!("node-{index}").into(),
        node_phase: types::NodePhase::Serving,
        phase: types::MemberPhase::Alive,
        region: region.into(),
        revision: 1,
        start_id: 1,
        vm: "vm".into(),
        zone: zone.into(),
    }
}

fn members(count: usize) -> Vec<types::MemberRecord> {
    (0..count).map(|index| member(index, "zone", "region")).collect()
}

fn owners(members: &[types::MemberRecord]) -> Vec<ids::NodeId> {
    let set = rendezvous::CandidateSet::new(members.iter());
    let owner = |index: usize| {
        let endpoint = format!("endpoint-{index}").into();
        set.ranked(&endpoint, &"zone".into(), Some(&"region".into()), 1).remove(0)
    };
    (0..ENDPOINTS).map(owner).collect()
}

#[test]
fn even_shares() {
    let mut counts = IndexMap::<ids::NodeId, usize>::new();
    for owner in owners(&members(8)) {
        *counts.entry(owner).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    let fair = ENDPOINTS / 8;
    for (node, count) in counts {
        assert!(count.abs_diff(fair) < fair / 5, "{node} owns {count}, an even share is {fair}");
    }
}

#[test]
fn minimal_movement() {
    let before = owners(&members(8));
    let after = owners(&members(7));
    for (old, new) in before.iter().zip(&after) {
        assert!(old == new || &**old == "node-7", "an endpoint moved from {old} to {new}");
    }
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new).count();
    assert!(moved.abs_diff(ENDPOINTS / 8) < ENDPOINTS / 40, "{moved} endpoints moved");
}

#[test]
fn weighted_shares() {
    let heavy = rendezvous::OwnerCandidate::new("heavy".into()).with_weight(3);
    let light = rendezvous::OwnerCandidate::new("light".into());
    let wins = |index: &usize| {
        let endpoint = format!("endpoint-{index}").into();
        heavy.score(&endpoint) > light.score(&endpoint)
    };
    let won = (0..ENDPOINTS).filter(wins).count();
    assert!(won.abs_diff(ENDPOINTS * 3 / 4) < ENDPOINTS / 20, "the heavy node won {won}");
}

#[test]
fn nearest_first() {
    let members =
        [member(0, "far", "far"), member(1, "near", "region"), member(2, "zone", "region")];
    let ranked = |members: &[types::MemberRecord]| {
        let set = rendezvous::CandidateSet::new(members.iter());
        set.ranked(&"endpoint".into(), &"zone".into(), Some(&"region".into()), 3)
    };
    let expected: Vec<ids::NodeId> = vec!["node-2".into(), "node-1".into(), "node-0".into()];
    assert_eq!(ranked(&members), expected);
    assert_eq!(ranked(&members[..2]), expected[1..]);
}
