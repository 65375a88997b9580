//! What the reply to a transaction of several independent writes means for each of them.
//!
//! Claims of one node are written together to spare the store. A transaction takes effect as a
//! whole, so one write whose condition does not hold stops the others; the versions in the reply
//! tell which one it was, and the others can be tried again.

use comfreyspread_schema::{ids, types};

/// Outcome of one write of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect; the row has this version.
    Committed(ids::RowVersion),
    /// Its condition did not hold.
    Rejected,
    /// Nothing took effect, because of another write of the group.
    Aborted,
}

/// Returns the outcome of each write of a group.
///
/// Where the reply does not tell which write stopped the group, all are stopped; a single write
/// that did not take effect is rejected.
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
    alone: bool,
) -> WriteOutcome {
    if reply.committed {
        return version.map_or(WriteOutcome::Aborted, WriteOutcome::Committed);
    }
    let holds = match (&write.condition, version) {
        (types::RowCondition::Any, _) | (_, None) => true,
        (types::RowCondition::Absent, Some(version)) => version == 0,
        (types::RowCondition::Version(wanted), Some(version)) => version == *wanted,
    };
    if alone || !holds { WriteOutcome::Rejected } else { WriteOutcome::Aborted }
}
