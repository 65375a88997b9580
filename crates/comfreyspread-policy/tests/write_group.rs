//! Outcomes of a group of writes in one transaction.

use comfreyspread_policy::write_group;
use comfreyspread_schema::types;
use write_group::WriteOutcome::{Aborted, Committed, Rejected};

fn write(condition: types::RowPrecondition) -> types::RowWrite {
    types::RowWrite { condition, key: "key".into(), table: "claims".into(), value: None }
}

fn group() -> Vec<types::RowWrite> {
    vec![
        write(types::RowPrecondition::Absent),
        write(types::RowPrecondition::Version(4)),
        write(types::RowPrecondition::Absent),
    ]
}

#[test]
fn group_outcomes() {
    let cases = [
        (true, vec![7, 8, 9], vec![Committed(7), Committed(8), Committed(9)]),
        (false, vec![3, 4, 0], vec![Rejected, Aborted, Aborted]),
        (false, vec![0, 5, 0], vec![Aborted, Rejected, Aborted]),
        (false, vec![1, 0, 2], vec![Rejected, Rejected, Rejected]),
        (false, vec![0, 4, 0], vec![Aborted, Aborted, Aborted]),
        (false, vec![], vec![Aborted, Aborted, Aborted]),
    ];
    for (committed, versions, expected) in cases {
        let reply = types::TransactionReply { committed, versions };
        assert_eq!(write_group::outcomes(&group(), &reply), expected, "{reply:?}");
    }
}

#[test]
fn single_write() {
    let writes = [write(types::RowPrecondition::Absent)];
    for versions in [vec![], vec![0], vec![5]] {
        let reply = types::TransactionReply { committed: false, versions };
        assert_eq!(write_group::outcomes(&writes, &reply), [Rejected], "{reply:?}");
    }
}
