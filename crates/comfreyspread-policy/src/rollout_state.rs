//! Life cycle of a roll-out: observing, moving, then done or rolled back.
//!
//! The last two are final. Each change consumes the state before and raises the revision, so a
//! roll-out that has ended cannot go on, and of two records the later one is known.

use comfreyspread_schema::{ids, types};
use std::time;

/// Share of the requests at the first step of a move.
const FIRST_STEP: f64 = 0.4;
/// Share of the requests at the last step of a move.
const FULL_SHARE: f64 = 1.0;

/// A part of the requests goes to the version, which is watched.
#[derive(Debug)]
pub struct ObservingPhase;

/// The version has proved good, and the requests move to it.
#[derive(Debug)]
pub struct MovingPhase;

/// The version has taken the place of the others.
#[derive(Debug)]
pub struct DonePhase;

/// The version gets nothing more.
#[derive(Debug)]
pub struct RolledBackPhase;

/// A roll-out in the phase `Phase`.
#[derive(Debug)]
pub struct Rollout<Phase> {
    record: types::RolloutRecord,
    phase: Phase,
}

/// What a new roll-out starts from.
#[derive(Clone, Debug)]
pub struct RolloutStart<'start> {
    /// The order.
    pub order: &'start types::RolloutOrder,
    /// Position of the order in the store.
    pub position: types::StorePosition,
    /// Share of the requests while the version is observed.
    pub share: f64,
    /// Present time on the store's clock.
    pub started: time::Duration,
    /// Record of the service's roll-out before.
    pub before: Option<&'start types::RolloutRecord>,
}

impl Rollout<ObservingPhase> {
    /// Creates a roll-out that begins.
    pub fn new(start: &RolloutStart<'_>) -> Self {
        let before = start.before;
        let mut withdrawn = before.map(|record| record.withdrawn.clone()).unwrap_or_default();
        if let Some(record) = before.filter(|record| record.phase != types::RolloutPhase::Done) {
            withdrawn.push(record.to.clone());
        }
        withdrawn.retain(|version| *version != start.order.to);
        withdrawn.dedup();
        let record = types::RolloutRecord {
            duration: start.order.duration,
            order: start.position,
            phase: types::RolloutPhase::Observing,
            reason: "ordered".into(),
            revision: before.map_or(0, |record| record.revision) + 1,
            service: start.order.service.clone(),
            share: start.share,
            started: start.started,
            to: start.order.to.clone(),
            withdrawn,
        };
        Self { record, phase: ObservingPhase }
    }

    /// Begins to move requests to the version.
    pub fn start_move(self) -> Rollout<MovingPhase> {
        let record = next(self.record, types::RolloutPhase::Moving, FIRST_STEP, "proved good");
        Rollout { record, phase: MovingPhase }
    }
}

impl Rollout<MovingPhase> {
    /// Moves all requests to the version.
    pub fn move_all(self) -> Self {
        let record = next(self.record, types::RolloutPhase::Moving, FULL_SHARE, "moved by a step");
        Self { record, phase: self.phase }
    }

    /// Whether all requests go to the version.
    pub fn is_complete(&self) -> bool {
        self.record.share >= FULL_SHARE
    }

    /// Ends the roll-out with the version in place of the others.
    pub fn finish(self) -> Rollout<DonePhase> {
        let reason = "the endpoints of other versions are idle";
        let record = next(self.record, types::RolloutPhase::Done, FULL_SHARE, reason);
        Rollout { record, phase: DonePhase }
    }
}

impl<Phase> Rollout<Phase> {
    /// Returns the record of the state.
    pub fn record(&self) -> &types::RolloutRecord {
        let _ = &self.phase;
        &self.record
    }
}

/// A phase in which a roll-out is not decided.
pub trait OpenPhase {}

impl OpenPhase for ObservingPhase {}
impl OpenPhase for MovingPhase {}

impl<Phase> Rollout<Phase>
where
    Phase: OpenPhase,
{
    /// Ends the roll-out without the version.
    pub fn roll_back(self, reason: &str) -> Rollout<RolledBackPhase> {
        let record = next(self.record, types::RolloutPhase::RolledBack, 0.0, reason);
        Rollout { record, phase: RolledBackPhase }
    }
}

fn next(
    record: types::RolloutRecord,
    phase: types::RolloutPhase,
    share: f64,
    reason: &str,
) -> types::RolloutRecord {
    let revision = record.revision + 1;
    types::RolloutRecord { phase, reason: reason.into(), revision, share, ..record }
}

/// A roll-out in any phase, as it is stored.
#[derive(Debug)]
pub enum StoredRollout {
    /// Observing.
    Observing(Rollout<ObservingPhase>),
    /// Moving.
    Moving(Rollout<MovingPhase>),
    /// Done.
    Done(Rollout<DonePhase>),
    /// Rolled back.
    RolledBack(Rollout<RolledBackPhase>),
}

impl StoredRollout {
    /// Takes up the state of a record.
    pub fn from_record(record: types::RolloutRecord) -> Self {
        match record.phase {
            types::RolloutPhase::Observing => {
                Self::Observing(Rollout { record, phase: ObservingPhase })
            }
            types::RolloutPhase::Moving => Self::Moving(Rollout { record, phase: MovingPhase }),
            types::RolloutPhase::Done => Self::Done(Rollout { record, phase: DonePhase }),
            types::RolloutPhase::RolledBack => {
                Self::RolledBack(Rollout { record, phase: RolledBackPhase })
            }
        }
    }

    /// Returns the record of the state.
    pub fn into_record(self) -> types::RolloutRecord {
        match self {
            Self::Observing(rollout) => rollout.record,
            Self::Moving(rollout) => rollout.record,
            Self::Done(rollout) => rollout.record,
            Self::RolledBack(rollout) => rollout.record,
        }
    }
}

/// Whether a phase is final.
pub fn is_final(phase: types::RolloutPhase) -> bool {
    matches!(phase, types::RolloutPhase::Done | types::RolloutPhase::RolledBack)
}

/// Whether a record is of this order. The same order counts as one roll-out when it is written once
/// more before it is decided, and when a store that came back from a copy gives it another position.
pub fn is_of_order(
    record: &types::RolloutRecord,
    order: &types::RolloutOrder,
    position: types::StorePosition,
) -> bool {
    let is_same = record.to == order.to && record.service == order.service;
    let is_repeated = position.era > record.order.era || !is_final(record.phase);
    is_same && (record.order == position || is_repeated)
}

/// Returns the record that a node follows of two that it knows; the later one.
pub fn later(
    known: Option<types::RolloutRecord>,
    other: types::RolloutRecord,
) -> types::RolloutRecord {
    match known {
        Some(known) if known.revision >= other.revision => known,
        _ => other,
    }
}

/// Returns the text of a phase for logs and operators, with the service and version it is about.
pub fn describe(record: &types::RolloutRecord) -> ids::Text {
    let percent = record.share * 100.0;
    format!(
        "{} to {}: {}, {percent:.0} in 100 of the requests ({})",
        record.service, record.to, record.phase, record.reason
    )
    .into()
}
