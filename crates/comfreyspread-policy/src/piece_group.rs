//! A group of pieces in its queue: what waits, what is being made, what is settled.

use comfreyspread_schema::{ids, types};
use std::time;

/// Number of a group of pieces within its queue.
pub type GroupNumber = u64;

/// Failures of one piece after which it is given up.
const MOST_FAILURES: u32 = 4;

/// Pieces of one stage of one request.
#[derive(Clone, Debug)]
pub struct PieceGroup {
    /// The pieces.
    pub orders: Vec<types::PieceOrder>,
    /// Rank of the request; zero is the highest.
    pub priority: u32,
    /// Size of one result in bytes.
    pub bytes: u64,
    /// Moment until which the pieces are in time for the request's target.
    pub target: time::Instant,
    /// Moment after which nobody wants the pieces.
    pub deadline: time::Instant,
    /// Moment at which the first of the results is gone that the pieces are made of.
    pub inputs_until: Option<time::Instant>,
    /// Availability zone in which the results are near what they are made of and made for.
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

/// A group whose pieces are all settled.
#[derive(Clone, Debug, PartialEq)]
pub struct SettledGroup {
    /// Its number.
    pub number: GroupNumber,
    /// Outcomes of its pieces, in their order.
    pub outcomes: Vec<types::PieceOutcome>,
}

impl QueuedGroup {
    /// Creates a group all of whose pieces wait.
    pub fn new(group: PieceGroup) -> Self {
        let pieces = vec![PieceState::Waiting { failures: 0 }; group.orders.len()];
        Self { group, pieces }
    }

    /// Returns the places of the pieces that wait.
    pub fn waiting_places(&self) -> impl Iterator<Item = usize> {
        let places = self.pieces.iter().enumerate();
        let waiting = places.filter(|(_, piece)| matches!(piece, PieceState::Waiting { .. }));
        waiting.map(|(place, _)| place)
    }

    /// Returns the number of pieces that wait.
    pub fn waiting(&self) -> usize {
        self.waiting_places().count()
    }

    /// Whether a piece waits.
    pub fn is_waiting(&self) -> bool {
        self.waiting() > 0
    }

    /// Whether some of its pieces are made or being made.
    pub fn is_begun(&self) -> bool {
        self.waiting() < self.pieces.len()
    }

    /// Marks a piece as being made.
    pub fn start(&mut self, piece: usize) {
        if let PieceState::Waiting { failures } = self.pieces[piece] {
            self.pieces[piece] = PieceState::Running { failures };
        }
    }

    /// Settles a piece, or lets it wait again if another endpoint may make it.
    pub fn settle(&mut self, piece: usize, outcome: types::PieceOutcome) {
        let PieceState::Running { failures } = self.pieces[piece] else { return };
        let again = match &outcome {
            types::PieceOutcome::Made(_) => false,
            types::PieceOutcome::Failed(fault) => match fault {
                types::PieceFault::Late | types::PieceFault::InputGone => false,
                types::PieceFault::Refused | types::PieceFault::NoRoom => true,
                types::PieceFault::Failed | types::PieceFault::Unreachable => {
                    failures + 1 < MOST_FAILURES
                }
            },
        };
        self.pieces[piece] = match outcome {
            types::PieceOutcome::Failed(
                types::PieceFault::Failed | types::PieceFault::Unreachable,
            ) if again => PieceState::Waiting { failures: failures + 1 },
            _ if again => PieceState::Waiting { failures },
            settled => PieceState::Done(settled),
        };
        if matches!(&self.pieces[piece], PieceState::Done(types::PieceOutcome::Failed(_))) {
            self.drop_waiting(types::PieceFault::Late);
        }
    }

    /// Settles the pieces that wait as failed.
    pub fn drop_waiting(&mut self, fault: types::PieceFault) {
        for piece in &mut self.pieces {
            if matches!(piece, PieceState::Waiting { .. }) {
                *piece = PieceState::Done(types::PieceOutcome::Failed(fault));
            }
        }
    }

    /// Returns the outcomes if all pieces are settled.
    pub fn settled(&self, number: GroupNumber) -> Option<SettledGroup> {
        let outcomes: Option<Vec<_>> = self
            .pieces
            .iter()
            .map(|piece| match piece {
                PieceState::Done(outcome) => Some(outcome.clone()),
                PieceState::Running { .. } | PieceState::Waiting { .. } => None,
            })
            .collect();
        Some(SettledGroup { number, outcomes: outcomes? })
    }
}
