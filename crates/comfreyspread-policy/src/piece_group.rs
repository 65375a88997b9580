//! A group of pieces in the batching queue, and the state of each piece.

use comfreyspread_schema::{ids, types};
use std::time;

/// Number of a group of pieces within its queue.
pub type GroupNumber = u64;

/// Number of failures after which a piece is not retried.
const MAX_FAILURES: u32 = 4;

/// Number of failures after which a piece shares no call with other requests: it may be what crashes
/// the endpoints.
const ISOLATING_FAILURES: u32 = 2;

/// Pieces of one stage of one request.
#[derive(Clone, Debug)]
pub struct PieceGroup {
    /// The pieces.
    pub tasks: Vec<types::PieceTask>,
    /// Priority of the request; zero is the highest.
    pub priority: u32,
    /// Size of one result in bytes.
    pub result_bytes: u64,
    /// Latest time at which the pieces may be done for the request to meet its target.
    pub target: time::Instant,
    /// Time after which the pieces are of no use.
    pub deadline: time::Instant,
    /// Time at which the first of the input results expires.
    pub inputs_expire_at: Option<time::Instant>,
    /// Preferred availability zone, close to the inputs and to the consumer of the results.
    pub zone: Option<ids::ZoneId>,
}

/// A group and the state of its pieces.
#[derive(Debug)]
pub struct QueuedGroup {
    /// The group.
    pub group: PieceGroup,
    pieces: Vec<PieceState>,
}

#[derive(Clone, Debug, PartialEq)]
enum PieceState {
    Waiting { failures: u32 },
    Running { failures: u32 },
    Done(types::PieceOutcome),
}

/// A group whose pieces are all done.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedGroup {
    /// Number of the group.
    pub number: GroupNumber,
    /// Outcomes in the order of the pieces.
    pub outcomes: Vec<types::PieceOutcome>,
}

impl QueuedGroup {
    /// Creates a group whose pieces are all waiting.
    pub fn new(group: PieceGroup) -> Self {
        let pieces = vec![PieceState::Waiting { failures: 0 }; group.tasks.len()];
        Self { group, pieces }
    }

    /// Returns the indices of the waiting pieces.
    pub fn waiting_pieces(&self) -> impl Iterator<Item = usize> {
        let pieces = self.pieces.iter().enumerate();
        let waiting = pieces.filter(|(_, piece)| matches!(piece, PieceState::Waiting { .. }));
        waiting.map(|(index, _)| index)
    }

    /// Returns the number of waiting pieces.
    pub fn waiting(&self) -> usize {
        self.waiting_pieces().count()
    }

    /// Whether its waiting pieces share no call with other groups.
    pub fn is_isolated(&self) -> bool {
        self.pieces.iter().any(|piece| {
            matches!(piece, PieceState::Waiting { failures } if *failures >= ISOLATING_FAILURES)
        })
    }

    /// Whether any piece is waiting.
    pub fn is_waiting(&self) -> bool {
        self.waiting() > 0
    }

    /// Whether any piece is running or done.
    pub fn is_started(&self) -> bool {
        self.waiting() < self.pieces.len()
    }

    /// Marks a piece as running.
    pub fn start(&mut self, piece: usize) {
        if let PieceState::Waiting { failures } = self.pieces[piece] {
            self.pieces[piece] = PieceState::Running { failures };
        }
    }

    /// Records the outcome of a piece, or queues it again if it may be retried. The final failure
    /// of a piece fails all waiting pieces of its group.
    pub fn finish(&mut self, piece: usize, outcome: types::PieceOutcome) {
        let PieceState::Running { failures } = self.pieces[piece] else { return };
        let retry = match &outcome {
            types::PieceOutcome::Made(_) => false,
            types::PieceOutcome::Failed(error) => match error {
                types::PieceError::Late | types::PieceError::InputGone => false,
                types::PieceError::Refused | types::PieceError::NoRoom => true,
                types::PieceError::Failed | types::PieceError::Unreachable => {
                    failures + 1 < MAX_FAILURES
                }
            },
        };
        self.pieces[piece] = match outcome {
            types::PieceOutcome::Failed(
                types::PieceError::Failed | types::PieceError::Unreachable,
            ) if retry => PieceState::Waiting { failures: failures + 1 },
            _ if retry => PieceState::Waiting { failures },
            outcome => PieceState::Done(outcome),
        };
        if matches!(&self.pieces[piece], PieceState::Done(types::PieceOutcome::Failed(_))) {
            self.drop_waiting(types::PieceError::Late);
        }
    }

    /// Fails the waiting pieces.
    pub fn drop_waiting(&mut self, error: types::PieceError) {
        for piece in &mut self.pieces {
            if matches!(piece, PieceState::Waiting { .. }) {
                *piece = PieceState::Done(types::PieceOutcome::Failed(error));
            }
        }
    }

    /// Returns the outcomes if all pieces are done.
    pub fn completed(&self, number: GroupNumber) -> Option<CompletedGroup> {
        let outcomes: Option<Vec<_>> = self
            .pieces
            .iter()
            .map(|piece| match piece {
                PieceState::Done(outcome) => Some(outcome.clone()),
                PieceState::Running { .. } | PieceState::Waiting { .. } => None,
            })
            .collect();
        Some(CompletedGroup { number, outcomes: outcomes? })
    }
}
