//! Tells the response to a stage call from one to an earlier call.
//!
//! Responses to stage calls bear no id, but each result has its own handle. A second copy of an
//! earlier response names results of other pieces.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;

/// Results after which the oldest are forgotten; a late copy follows within a few calls.
const RESULTS_PER_GENERATION: usize = 2048;

/// Which call a response belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseOrigin {
    /// This one: it names a result that no earlier response named.
    ThisCall,
    /// An earlier one: it names a result of another piece.
    EarlierCall,
    /// It names no new result, so nothing tells.
    Unknown,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct PieceId {
    request: ids::RequestId,
    stage: u32,
    piece: u32,
}

/// The results named in recent responses, in two generations of bounded size.
#[derive(Debug, Default)]
pub struct RecentResults {
    current: IndexMap<ids::ResultHandle, PieceId>,
    previous: IndexMap<ids::ResultHandle, PieceId>,
}

impl RecentResults {
    /// Returns which call a response belongs to, and records its results.
    pub fn record(
        &mut self,
        tasks: &[types::PieceTask],
        outcomes: &[types::PieceOutcome],
    ) -> ResponseOrigin {
        let mut origin = ResponseOrigin::Unknown;
        for (task, outcome) in tasks.iter().zip(outcomes) {
            let types::PieceOutcome::Made(handle) = outcome else { continue };
            let piece =
                PieceId { request: task.request.clone(), stage: task.stage, piece: task.piece };
            match self.piece(handle) {
                Some(known) if *known == piece => {}
                Some(_) => return ResponseOrigin::EarlierCall,
                None => {
                    origin = ResponseOrigin::ThisCall;
                    self.insert(handle.clone(), piece);
                }
            }
        }
        origin
    }

    fn piece(&self, handle: &ids::ResultHandle) -> Option<&PieceId> {
        self.current.get(handle).or_else(|| self.previous.get(handle))
    }

    fn insert(&mut self, handle: ids::ResultHandle, piece: PieceId) {
        if self.current.len() >= RESULTS_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(handle, piece);
    }
}
