//! Dependencies of the stages of a route, which may be listed in any order.
//!
//! ```
//! use comfreyspread_policy::stage_order;
//!
//! assert!(stage_order::StageOrder::new(&[]).is_ok());
//! ```

use comfreyspread_schema::types;

/// Reason why the stages of a route cannot run.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum OrderError {
    /// Stages depend on each other in a circle.
    #[error("stage {stage} depends on itself, or on stages that do")]
    Cyclic {
        /// The first stage that can never start.
        stage: usize,
    },
    /// A stage depends on one that the route does not have.
    #[error("stage {stage} depends on stage {dependency}, which does not exist")]
    Unknown {
        /// The stage.
        stage: usize,
        /// Number of the missing stage.
        dependency: u32,
    },
}

/// The dependencies of each stage, and an order in which the stages can run.
#[derive(Clone, Debug)]
pub struct StageOrder {
    dependencies: Vec<Vec<usize>>,
    sorted: Vec<usize>,
}

impl StageOrder {
    /// Orders the stages of a route.
    ///
    /// # Errors
    ///
    /// Fails if a stage depends on one that does not exist or, at last, on itself.
    pub fn new(rules: &[types::StageRule]) -> Result<Self, OrderError> {
        let dependencies = (0..rules.len()).map(|stage| dependencies(rules, stage));
        let dependencies = dependencies.collect::<Result<Vec<_>, _>>()?;
        let sorted = sort(&dependencies);
        match (0..rules.len()).find(|stage| !sorted.contains(stage)) {
            Some(stage) => Err(OrderError::Cyclic { stage }),
            None => Ok(Self { dependencies, sorted }),
        }
    }

    /// Returns the stages that a stage depends on, each once.
    pub fn dependencies(&self, stage: usize) -> &[usize] {
        &self.dependencies[stage]
    }

    /// Returns all stages, each after those that it depends on.
    pub fn sorted(&self) -> &[usize] {
        &self.sorted
    }
}

fn dependencies(rules: &[types::StageRule], stage: usize) -> Result<Vec<usize>, OrderError> {
    let mut known = Vec::new();
    for dependency in &rules[stage].depends_on {
        let unknown = OrderError::Unknown { stage, dependency: *dependency };
        let index = usize::try_from(*dependency).map_err(|_| unknown)?;
        if index >= rules.len() {
            return Err(unknown);
        }
        known.push(index);
    }
    known.sort_unstable();
    known.dedup();
    Ok(known)
}

/// Returns the stages in an order in which they can run; those that never can are left out.
fn sort(dependencies: &[Vec<usize>]) -> Vec<usize> {
    let mut dependents = vec![Vec::new(); dependencies.len()];
    for (stage, before) in dependencies.iter().enumerate() {
        before.iter().for_each(|dependency| dependents[*dependency].push(stage));
    }
    let mut pending: Vec<usize> = dependencies.iter().map(Vec::len).collect();
    let mut sorted: Vec<usize> = (0..pending.len()).filter(|stage| pending[*stage] == 0).collect();
    let mut position = 0;
    while let Some(finished) = sorted.get(position).copied() {
        for dependent in &dependents[finished] {
            pending[*dependent] -= 1;
            if pending[*dependent] == 0 {
                sorted.push(*dependent);
            }
        }
        position += 1;
    }
    sorted
}
