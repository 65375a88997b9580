//! Dependency graph of the stages of one request: which stages can run, their inputs, and the
//! expected time of the remaining ones.

use crate::stage_order;
use comfreyspread_schema::{ids, types};
use std::time;

/// How long the results of a final stage may wait for those of the other stages.
const EARLY_MARGIN: time::Duration = time::Duration::from_millis(250);
/// Maximum number of pieces of all stages of a request. Each piece of a stage names all results
/// that the stage needs, so that memory grows with the square of this number.
pub const MAX_PIECES: u64 = 1024;

/// Whether the stages of a request have no more pieces than a node accepts. `pieces` holds the
/// number of pieces of each stage; those beyond the `rules` are ignored.
///
/// ```
/// use comfreyspread_policy::stage_graph;
///
/// assert!(stage_graph::accepts_pieces(&[], &[u32::MAX]));
/// ```
pub fn accepts_pieces(rules: &[types::StageRule], pieces: &[u32]) -> bool {
    let counts = pieces.iter().take(rules.len());
    counts.map(|count| u64::from(*count)).sum::<u64>() <= MAX_PIECES
}

/// Whether a route with these stages has all for which a request names a number of pieces. A route
/// without stages makes no pieces.
///
/// ```
/// use comfreyspread_policy::stage_graph;
///
/// assert!(stage_graph::has_all_stages(&[], &[1, 2]));
/// ```
pub fn has_all_stages(rules: &[types::StageRule], pieces: &[u32]) -> bool {
    rules.is_empty() || pieces.len() <= rules.len()
}

#[derive(Clone, Debug)]
struct GraphStage {
    depends_on: Vec<usize>,
    pieces: u32,
    expected: time::Duration,
    /// Expected time of the longest chain of stages that depend on this one.
    remaining_after: time::Duration,
    state: StageState,
}

#[derive(Clone, Debug, PartialEq)]
enum StageState {
    Waiting,
    Running,
    Completed(Vec<ids::ResultHandle>),
}

/// Stages of one request, with their dependencies and results.
#[derive(Clone, Debug)]
pub struct StageGraph {
    stages: Vec<GraphStage>,
}

impl StageGraph {
    /// Creates the graph of a request. `pieces` holds the number of pieces of each stage, and
    /// `expected` returns the expected time of a stage with so many pieces. A stage without pieces
    /// counts as completed.
    ///
    /// # Errors
    ///
    /// Fails if the stages cannot be ordered.
    pub fn new(
        rules: &[types::StageRule],
        pieces: &[u32],
        expected: impl Fn(&types::StageRule, u32) -> time::Duration,
    ) -> Result<Self, stage_order::OrderError> {
        let order = stage_order::StageOrder::new(rules)?;
        let stages = rules.iter().enumerate().map(|(index, rule)| {
            let pieces = pieces.get(index).copied().unwrap_or(0);
            let depends_on = order.dependencies(index).to_vec();
            let expected = if pieces == 0 { time::Duration::ZERO } else { expected(rule, pieces) };
            let state =
                if pieces == 0 { StageState::Completed(Vec::new()) } else { StageState::Waiting };
            let remaining_after = time::Duration::ZERO;
            GraphStage { depends_on, pieces, expected, remaining_after, state }
        });
        let mut graph = Self { stages: stages.collect() };
        graph.set_remaining_times(order.sorted());
        Ok(graph)
    }

    /// Sets the expected times after each stage. `sorted` holds each stage after its dependencies.
    fn set_remaining_times(&mut self, sorted: &[usize]) {
        for stage in sorted.iter().rev() {
            let time = self.chain_time(*stage);
            for dependency in self.stages[*stage].depends_on.clone() {
                let remaining_after = &mut self.stages[dependency].remaining_after;
                *remaining_after = time.max(*remaining_after);
            }
        }
    }

    /// Returns the stages that can run now, and marks them as running.
    ///
    /// The results of a final stage occupy storage until the request reads them, so a final stage
    /// is delayed while the other stages take longer than it.
    pub fn start_ready(&mut self) -> Vec<usize> {
        let ready: Vec<_> = (0..self.stages.len())
            .filter(|index| self.is_ready(*index) && !self.is_early(*index))
            .collect();
        for index in &ready {
            self.stages[*index].state = StageState::Running;
        }
        ready
    }

    /// Marks stages as waiting that were running when their run was cancelled.
    pub fn restart_cancelled(&mut self) {
        for stage in &mut self.stages {
            if stage.state == StageState::Running {
                stage.state = StageState::Waiting;
            }
        }
    }

    /// Stores the results of a stage; returns its dependencies whose results no other stage needs.
    pub fn finish(&mut self, stage: usize, handles: Vec<ids::ResultHandle>) -> Vec<usize> {
        self.stages[stage].state = StageState::Completed(handles);
        let dependencies = self.stages[stage].depends_on.clone();
        dependencies.into_iter().filter(|index| self.is_consumed(*index)).collect()
    }

    /// Marks a stage to run again because its results are lost, along with those of its
    /// dependencies whose results have been released.
    pub fn invalidate(&mut self, stage: usize) {
        self.stages[stage].state = StageState::Waiting;
        for dependency in self.stages[stage].depends_on.clone() {
            let released = matches!(&self.stages[dependency].state, StageState::Completed(handles)
                if handles.is_empty());
            if released && self.stages[dependency].pieces > 0 {
                self.invalidate(dependency);
            }
        }
    }

    /// Marks all stages that have pieces to run again, and drops their results.
    pub fn restart_all(&mut self) {
        for stage in self.stages.iter_mut().filter(|stage| stage.pieces > 0) {
            stage.state = StageState::Waiting;
        }
    }

    /// Returns the results of a stage.
    pub fn results(&self, stage: usize) -> &[ids::ResultHandle] {
        match &self.stages[stage].state {
            StageState::Completed(handles) => handles,
            StageState::Running | StageState::Waiting => &[],
        }
    }

    /// Removes and returns the results of a stage; the stage still counts as completed.
    pub fn take_results(&mut self, stage: usize) -> Vec<ids::ResultHandle> {
        match &mut self.stages[stage].state {
            StageState::Completed(handles) => std::mem::take(handles),
            StageState::Running | StageState::Waiting => Vec::new(),
        }
    }

    /// Returns the input results of a stage.
    pub fn inputs(&self, stage: usize) -> Vec<ids::ResultHandle> {
        let dependencies = self.stages[stage].depends_on.iter();
        dependencies.flat_map(|index| self.results(*index).iter().cloned()).collect()
    }

    /// Returns the stages whose results a stage needs.
    pub fn dependencies(&self, stage: usize) -> &[usize] {
        &self.stages[stage].depends_on
    }

    /// Returns the number of pieces of a stage.
    pub fn piece_count(&self, stage: usize) -> u32 {
        self.stages[stage].pieces
    }

    /// Whether all stages are completed.
    pub fn is_complete(&self) -> bool {
        self.stages.iter().all(|stage| matches!(stage.state, StageState::Completed(_)))
    }

    /// Returns the stages that no other stage depends on; the request itself needs their results.
    pub fn final_stages(&self) -> Vec<usize> {
        let needed = |index| self.stages.iter().any(|stage| stage.depends_on.contains(&index));
        (0..self.stages.len()).filter(|index| !needed(*index)).collect()
    }

    /// Returns the results of the final stages, which the request itself needs.
    pub fn outputs(&self) -> Vec<ids::ResultHandle> {
        self.final_stages().into_iter().flat_map(|index| self.results(index).to_vec()).collect()
    }

    /// Returns the expected time of the longest chain of stages that depend on `stage`.
    pub fn remaining_after(&self, stage: usize) -> time::Duration {
        self.stages[stage].remaining_after
    }

    /// Returns the expected time of the longest chain of stages in the graph.
    pub fn expected_time(&self) -> time::Duration {
        (0..self.stages.len()).map(|stage| self.chain_time(stage)).max().unwrap_or_default()
    }

    /// Returns the expected time of a stage and of the longest chain that depends on it.
    fn chain_time(&self, stage: usize) -> time::Duration {
        self.stages[stage].expected + self.stages[stage].remaining_after
    }

    fn is_ready(&self, index: usize) -> bool {
        let completed =
            |index: &usize| matches!(self.stages[*index].state, StageState::Completed(_));
        let stage = &self.stages[index];
        stage.state == StageState::Waiting && stage.depends_on.iter().all(completed)
    }

    /// Whether this is a final stage whose results would only wait for those of other stages.
    fn is_early(&self, index: usize) -> bool {
        if self.stages.iter().any(|stage| stage.depends_on.contains(&index)) {
            return false;
        }
        let own = self.stages[index].expected + EARLY_MARGIN;
        let others = (0..self.stages.len()).filter(|other| *other != index);
        let longest = others.map(|other| self.time_left(other)).max().unwrap_or_default();
        longest > own
    }

    /// Returns the expected time of a stage and of all that depend on it; zero if it is completed.
    fn time_left(&self, index: usize) -> time::Duration {
        match self.stages[index].state {
            StageState::Completed(_) => time::Duration::ZERO,
            StageState::Running | StageState::Waiting => self.chain_time(index),
        }
    }

    /// Whether all stages that depend on `index` are completed.
    fn is_consumed(&self, index: usize) -> bool {
        let mut dependents = self.stages.iter().filter(|stage| stage.depends_on.contains(&index));
        dependents.all(|stage| matches!(stage.state, StageState::Completed(_)))
    }
}
