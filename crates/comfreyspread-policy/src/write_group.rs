//! Outcomes of independent writes that share one transaction.
//!
//! A node writes its claims in groups to reduce load on the store. A transaction is atomic, so one
//! write whose condition does not hold aborts the others. The versions in the reply show which
//! write was rejected; the others can be retried.

use comfreyspread_schema::{ids, types};

/// Outcome of one write of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect; the row has this version.
    Committed(ids::RowVersion),
    /// The condition of the write did not hold.
    Rejected,
    /// The transaction was aborted because of another write of the group.
    Aborted,
}

/// Returns the outcome of each write of a group.
///
/// If the reply does not show which write was rejected, all are aborted. A single write that did
/// not take effect is rejected.
pub fn outcomes(writes: &[types::RowWrite], reply: &types::TransactionReply) -> Vec<WriteOutcome> {
    let versions = reply.versions.iter().copied().map(Some);
    let versions = versions.chain(std::iter::repeat(None));
    let pairs = writes.iter().zip(versions);
    pairs.map(|(write, version)| outcome(write, version, reply, writes.len() == 1)).collect()
}

fn outcome(
    write: &types::RowWrite,
    version: Option<ids::RowVersion>,
    reply: &types::TransactionReply,
    single: bool,
) -> WriteOutcome {
    if reply.committed {
        return version.map_or(WriteOutcome::Aborted, WriteOutcome::Committed);
    }
    let holds = match (&write.condition, version) {
        (types::RowPrecondition::Any, _) | (_, None) => true,
        (types::RowPrecondition::Absent, Some(version)) => version == 0,
        (types::RowPrecondition::Version(expected), Some(version)) => version == *expected,
    };
    if single || !holds { WriteOutcome::Rejected } else { WriteOutcome::Aborted }
}
