//! Tables shared by all tasks of a node, each behind a ranked lock.
//!
//! Locks are taken in the order of [`rank`]: the order of the fields here.

use crate::{
    claims::{claim_table, claim_write_queue},
    membership::{handover, heartbeat},
    ownership::pool_table,
    runtime::{rank, settings},
};
use comfreyspread_policy::{
    catalog, leaving_vms, link_budget, membership, ownership, retry, routing, suspect, timing,
};
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// The shared tables of one node.
#[derive(Debug)]
pub struct SharedTables {
    /// Phase of the node.
    pub phase: rank::RankedLock<rank::LifeRank, types::NodePhase>,
    /// Configuration in force.
    pub catalog:
        rank::RankedLock<rank::ConfigurationRank, sync::Arc<catalog::ConfigurationCatalog>>,
    /// VMs that are leaving.
    pub vms: rank::RankedLock<rank::VmRank, leaving_vms::LeavingVmTable>,
    /// Members of the deployment.
    pub members: rank::RankedLock<rank::MemberRank, membership::MemberTable>,
    /// Ownerships of endpoints.
    pub ownership: rank::RankedLock<rank::OwnershipRank, ownership::OwnershipTable>,
    /// Queues, limits and endpoints of the pools.
    pub pools: rank::RankedLock<rank::PoolRank, pool_table::PoolTable>,
    /// Load at owners, as this node knows it.
    pub hints: rank::RankedLock<rank::HintRank, routing::HintTable>,
    /// Claims in progress.
    pub claims: rank::RankedLock<rank::ClaimRank, claim_table::ClaimTable>,
    /// Writes of claims that wait for their turn.
    pub claim_writes: claim_write_queue::WriteQueue,
    /// Requests that may crash endpoints.
    pub suspects: rank::RankedLock<rank::SuspectRank, suspect::SuspectTable>,
    /// Measured times of stages.
    pub timings: rank::RankedLock<rank::TimingRank, timing::StageTimings>,
    /// Budgets of further attempts.
    pub budgets: rank::RankedLock<rank::BudgetRank, AttemptBudgets>,
    /// Notified when the configuration or the ownership of endpoints has changed.
    pub changed: event_listener::Event,
}

impl SharedTables {
    /// Creates the tables of a node that starts with the id `start`.
    pub fn new(
        settings: &settings::NodeSettings,
        start: ids::ProcessStartId,
        now: time::Instant,
    ) -> Self {
        Self {
            phase: rank::RankedLock::new(types::NodePhase::Starting),
            catalog: rank::RankedLock::new(sync::Arc::default()),
            vms: rank::RankedLock::new(leaving_vms::LeavingVmTable::new()),
            members: rank::RankedLock::new(heartbeat::new_member_table(settings, start)),
            ownership: rank::RankedLock::new(handover::new_ownership_table(settings, start, now)),
            pools: rank::RankedLock::new(pool_table::PoolTable::new()),
            hints: rank::RankedLock::new(routing::HintTable::new()),
            claims: rank::RankedLock::new(claim_table::ClaimTable::new()),
            claim_writes: rank::RankedLock::new(claim_write_queue::PendingWrites::new()),
            suspects: rank::RankedLock::new(suspect::SuspectTable::new()),
            timings: rank::RankedLock::new(timing::StageTimings::new()),
            budgets: rank::RankedLock::new(AttemptBudgets::new(settings.link_rate, now)),
            changed: event_listener::Event::new(),
        }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> sync::Arc<catalog::ConfigurationCatalog> {
        self.catalog.lock().clone()
    }

    /// Whether an endpoint may take new work: operators let it, and its VM is not leaving.
    pub fn in_service(
        &self,
        catalog: &catalog::ConfigurationCatalog,
        endpoint: &types::EndpointDeclaration,
    ) -> bool {
        catalog.in_service(endpoint) && !self.vms.lock().is_leaving(&endpoint.vm)
    }

    /// Returns the phase of the node.
    pub fn phase(&self) -> types::NodePhase {
        *self.phase.lock()
    }
}

/// Budgets that bound what one node adds to the load of others.
#[derive(Debug)]
pub struct AttemptBudgets {
    /// Retries of failed attempts.
    pub retries: retry::RetryBudget,
    /// Second attempts beside slow ones.
    pub hedges: retry::RetryBudget,
    /// Bytes to other regions.
    pub link: link_budget::LinkBudget,
}

impl AttemptBudgets {
    /// Creates full budgets.
    pub fn new(link_rate: u64, now: time::Instant) -> Self {
        Self {
            retries: retry::RetryBudget::new(),
            hedges: retry::RetryBudget::new(),
            link: link_budget::LinkBudget::new(link_rate, now),
        }
    }
}
