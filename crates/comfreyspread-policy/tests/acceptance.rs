//! Which nodes have to confirm a change.

use comfreyspread_policy::acceptance;
use comfreyspread_schema::types;
use types::MemberPhase;

#[test]
fn serving_nodes() {
    let cases = [
        (MemberPhase::Alive, false, Some(false), true),
        (MemberPhase::Suspect, true, Some(false), true),
        (MemberPhase::Failed, false, None, true),
        (MemberPhase::Failed, false, Some(true), true),
        (MemberPhase::Failed, false, Some(false), false),
        (MemberPhase::Failed, true, Some(true), false),
        (MemberPhase::Failed, true, None, false),
        (MemberPhase::Left, false, Some(true), false),
    ];
    for (phase, refused, listed, expected) in cases {
        let observation = acceptance::NodeObservation { phase, refused, listed };
        assert_eq!(observation.may_serve(), expected, "{observation:?}");
    }
}
