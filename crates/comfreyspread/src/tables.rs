//! Tables shared by all tasks of a node, each behind a ranked lock.
//!
//! Locks are taken in the order of [`rank`]: the order of the fields here.

use crate::rank;
use comfreyspread_policy::{catalog, rotation};
use comfreyspread_schema::types;
use std::sync;

/// The shared tables of one node.
#[derive(Debug)]
pub struct SharedTables {
    /// Phase of the node.
    pub phase: rank::RankedLock<rank::LifeRank, types::NodePhase>,
    /// Configuration in force.
    pub catalog:
        rank::RankedLock<rank::ConfigurationRank, sync::Arc<catalog::ConfigurationCatalog>>,
    /// Turns of the endpoint choice.
    pub rotation: rank::RankedLock<rank::PoolRank, rotation::EndpointRotation>,
}

impl SharedTables {
    /// Creates the tables of a node that starts.
    pub fn new() -> Self {
        Self {
            phase: rank::RankedLock::new(types::NodePhase::Starting),
            catalog: rank::RankedLock::new(sync::Arc::default()),
            rotation: rank::RankedLock::new(rotation::EndpointRotation::new()),
        }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> sync::Arc<catalog::ConfigurationCatalog> {
        self.catalog.lock().clone()
    }

    /// Returns the phase of the node.
    pub fn phase(&self) -> types::NodePhase {
        *self.phase.lock()
    }
}

impl Default for SharedTables {
    fn default() -> Self {
        Self::new()
    }
}
