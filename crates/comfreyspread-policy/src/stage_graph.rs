//! The stages of one request: which can be run, what each needs, and how long the rest takes.

use comfreyspread_schema::{ids, types};
use std::time;

/// Time by which the results of a stage may be early.
const EARLY_MARGIN: time::Duration = time::Duration::from_millis(250);

/// One stage of a request.
#[derive(Clone, Debug)]
struct GraphStage {
    after: Vec<usize>,
    pieces: u32,
    expected: time::Duration,
    state: StageState,
}

/// What has become of a stage.
#[derive(Clone, Debug, PartialEq)]
enum StageState {
    Waiting,
    Running,
    Made(Vec<ids::ResultHandle>),
}

/// Stages of one request and their results.
#[derive(Clone, Debug)]
pub struct StageGraph {
    stages: Vec<GraphStage>,
}

impl StageGraph {
    /// Creates the graph of a request with `pieces` pieces a stage, whose stages take `expected`.
    pub fn new(
        rules: &[types::StageRule],
        pieces: &[u32],
        expected: impl Fn(&types::StageRule, u32) -> time::Duration,
    ) -> Self {
        let stages = rules.iter().enumerate().map(|(index, rule)| {
            let pieces = pieces.get(index).copied().unwrap_or(0);
            let after = rule.after.iter().filter_map(|before| usize::try_from(*before).ok());
            let after = after.filter(|before| *before < index).collect();
            let expected = if pieces == 0 { time::Duration::ZERO } else { expected(rule, pieces) };
            let state =
                if pieces == 0 { StageState::Made(Vec::new()) } else { StageState::Waiting };
            GraphStage { after, pieces, expected, state }
        });
        Self { stages: stages.collect() }
    }

    /// Returns the stages that can be run now, and marks them as running.
    ///
    /// The results of a stage that no other follows take room until the request has them. Such a
    /// stage is held back while others have further to go than it.
    pub fn start_ready(&mut self) -> Vec<usize> {
        let ready: Vec<_> = (0..self.stages.len())
            .filter(|index| self.is_ready(*index) && !self.is_early(*index))
            .collect();
        for index in &ready {
            self.stages[*index].state = StageState::Running;
        }
        ready
    }

    /// Takes the results of a stage; returns the stages before it whose results nobody needs any
    /// more.
    pub fn finish(&mut self, stage: usize, handles: Vec<ids::ResultHandle>) -> Vec<usize> {
        self.stages[stage].state = StageState::Made(handles);
        let before = self.stages[stage].after.clone();
        before.into_iter().filter(|index| self.is_consumed(*index)).collect()
    }

    /// Marks a stage whose results are lost, so that it runs again, after those before it whose
    /// results are not there any more either.
    pub fn invalidate(&mut self, stage: usize) {
        self.stages[stage].state = StageState::Waiting;
        for before in self.stages[stage].after.clone() {
            let freed = matches!(&self.stages[before].state, StageState::Made(handles)
                if handles.is_empty());
            if freed && self.stages[before].pieces > 0 {
                self.invalidate(before);
            }
        }
    }

    /// Returns the results of a stage.
    pub fn results(&self, stage: usize) -> &[ids::ResultHandle] {
        match &self.stages[stage].state {
            StageState::Made(handles) => handles,
            StageState::Running | StageState::Waiting => &[],
        }
    }

    /// Takes out the results of a stage, which stays made.
    pub fn take_results(&mut self, stage: usize) -> Vec<ids::ResultHandle> {
        match &mut self.stages[stage].state {
            StageState::Made(handles) => std::mem::take(handles),
            StageState::Running | StageState::Waiting => Vec::new(),
        }
    }

    /// Returns the results that a stage is made of.
    pub fn inputs(&self, stage: usize) -> Vec<ids::ResultHandle> {
        let before = self.stages[stage].after.iter();
        before.flat_map(|index| self.results(*index).iter().cloned()).collect()
    }

    /// Returns the stages that a stage needs.
    pub fn dependencies(&self, stage: usize) -> &[usize] {
        &self.stages[stage].after
    }

    /// Returns the pieces of a stage.
    pub fn piece_count(&self, stage: usize) -> u32 {
        self.stages[stage].pieces
    }

    /// Whether all stages are made.
    pub fn is_complete(&self) -> bool {
        self.stages.iter().all(|stage| matches!(stage.state, StageState::Made(_)))
    }

    /// Returns the stages that no other stage follows: the request itself needs their results.
    pub fn final_stages(&self) -> Vec<usize> {
        let followed = |index| self.stages.iter().any(|stage| stage.after.contains(&index));
        (0..self.stages.len()).filter(|index| !followed(*index)).collect()
    }

    /// Returns the results that the request itself is made of.
    pub fn outputs(&self) -> Vec<ids::ResultHandle> {
        self.final_stages().into_iter().flat_map(|index| self.results(index).to_vec()).collect()
    }

    /// Returns the time that the stages after `stage` are expected to take.
    pub fn remaining_after(&self, stage: usize) -> time::Duration {
        let followers = (stage + 1..self.stages.len())
            .filter(|index| self.stages[*index].after.contains(&stage));
        let longest =
            followers.map(|index| self.stages[index].expected + self.remaining_after(index));
        longest.max().unwrap_or_default()
    }

    /// Returns the time that the whole graph is expected to take.
    pub fn expected_time(&self) -> time::Duration {
        let first = (0..self.stages.len()).filter(|index| self.stages[*index].after.is_empty());
        let longest = first.map(|index| self.stages[index].expected + self.remaining_after(index));
        longest.max().unwrap_or_default()
    }

    fn is_ready(&self, index: usize) -> bool {
        let made = |before: &usize| matches!(self.stages[*before].state, StageState::Made(_));
        let stage = &self.stages[index];
        stage.state == StageState::Waiting && stage.after.iter().all(made)
    }

    /// Whether the results of a stage would only wait for those of others.
    fn is_early(&self, index: usize) -> bool {
        if self.stages.iter().any(|stage| stage.after.contains(&index)) {
            return false;
        }
        let own = self.stages[index].expected + EARLY_MARGIN;
        let others = (0..self.stages.len()).filter(|other| *other != index);
        let longest = others.map(|other| self.time_left(other)).max().unwrap_or_default();
        longest > own
    }

    /// Returns the time from the start of a stage that is not made to the end of all.
    fn time_left(&self, index: usize) -> time::Duration {
        match self.stages[index].state {
            StageState::Made(_) => time::Duration::ZERO,
            StageState::Running | StageState::Waiting => {
                self.stages[index].expected + self.remaining_after(index)
            }
        }
    }

    /// Whether all stages that need the results of `index` are made.
    fn is_consumed(&self, index: usize) -> bool {
        let mut followers = self.stages.iter().filter(|stage| stage.after.contains(&index));
        followers.all(|stage| matches!(stage.state, StageState::Made(_)))
    }
}
