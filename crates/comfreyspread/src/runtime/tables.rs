//! Tables shared by all tasks of a node, each behind a ranked lock.
//!
//! Locks are acquired in the order of their ranks in [`lock_rank`]: the order of the fields here.

use crate::{
    claims::{claim_table, claim_write_queue},
    membership::{handover, heartbeat},
    ownership::pool_table,
    runtime::{lock_rank, settings},
};
use comfreyspread_policy::{
    catalog, leaving_vms, link_budget, membership, ownership, part_suspect, retry, routing,
    suspect, timing,
};
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// Number of moments over which nodes spread the end of a conviction.
const TRIAL_SLOTS: u64 = 300;
/// Time between two of these moments.
const TRIAL_SLOT: time::Duration = time::Duration::from_secs(1);

/// The shared tables of one node.
#[derive(Debug)]
pub struct SharedTables {
    /// Phase of the node.
    pub phase: lock_rank::RankedLock<lock_rank::LifecycleRank, types::NodePhase>,
    /// Configuration in force.
    pub catalog: lock_rank::RankedLock<
        lock_rank::ConfigurationRank,
        sync::Arc<catalog::ConfigurationCatalog>,
    >,
    /// VMs that are leaving.
    pub leaving_vms: lock_rank::RankedLock<lock_rank::LeavingVmRank, leaving_vms::LeavingVmTable>,
    /// Members of the deployment.
    pub members: lock_rank::RankedLock<lock_rank::MemberRank, membership::MemberTable>,
    /// Ownership of endpoints.
    pub ownership: lock_rank::RankedLock<lock_rank::OwnershipRank, ownership::OwnershipTable>,
    /// Queues, concurrency limits and endpoints of the pools.
    pub pools: lock_rank::RankedLock<lock_rank::PoolRank, pool_table::PoolTable>,
    /// Load reported by other owners.
    pub hints: lock_rank::RankedLock<lock_rank::HintRank, routing::HintTable>,
    /// Claims in progress.
    pub claims: lock_rank::RankedLock<lock_rank::ClaimRank, claim_table::ClaimTable>,
    /// Queue of claim writes.
    pub claim_writes: claim_write_queue::WriteQueue,
    /// Requests suspected of crashing endpoints.
    pub suspects: lock_rank::RankedLock<lock_rank::SuspectRank, suspect::SuspectTable>,
    /// Prompt parts suspected of crashing endpoints.
    pub part_suspects: lock_rank::RankedLock<lock_rank::PartSuspectRank, part_suspect::PartTable>,
    /// Measured times: of the calls of a pool or, on the users' platform, of the requests of a route.
    pub call_timings: lock_rank::RankedLock<lock_rank::TimingRank, timing::StageTimings>,
    /// Budgets of additional attempts and of bytes to other regions.
    pub attempt_budgets: lock_rank::RankedLock<lock_rank::AttemptBudgetRank, AttemptBudgets>,
    /// Notified when the configuration or the ownership of endpoints has changed.
    pub changed: event_listener::Event,
    /// Notified when a crash that speaks against a prompt part has become known.
    pub crash_known: event_listener::Event,
}

impl SharedTables {
    /// Creates the tables of a node process identified by `process_start`.
    pub fn new(
        settings: &settings::NodeSettings,
        process_start: ids::ProcessStartId,
        now: time::Instant,
    ) -> Self {
        Self {
            phase: lock_rank::RankedLock::new(types::NodePhase::Starting),
            catalog: lock_rank::RankedLock::new(sync::Arc::default()),
            leaving_vms: lock_rank::RankedLock::new(leaving_vms::LeavingVmTable::new()),
            members: lock_rank::RankedLock::new(heartbeat::new_member_table(
                settings,
                process_start,
            )),
            ownership: lock_rank::RankedLock::new(handover::new_ownership_table(
                settings,
                process_start,
                now,
            )),
            pools: lock_rank::RankedLock::new(pool_table::PoolTable::new()),
            hints: lock_rank::RankedLock::new(routing::HintTable::new()),
            claims: lock_rank::RankedLock::new(claim_table::ClaimTable::new()),
            claim_writes: lock_rank::RankedLock::new(claim_write_queue::PendingWrites::new()),
            suspects: lock_rank::RankedLock::new(suspect::SuspectTable::new()),
            part_suspects: lock_rank::RankedLock::new(
                part_suspect::PartTable::new().with_trial_delay(trial_delay(process_start)),
            ),
            call_timings: lock_rank::RankedLock::new(timing::StageTimings::new()),
            attempt_budgets: lock_rank::RankedLock::new(AttemptBudgets::new(
                settings.link_bytes_per_s,
                now,
            )),
            changed: event_listener::Event::new(),
            crash_known: event_listener::Event::new(),
        }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> sync::Arc<catalog::ConfigurationCatalog> {
        self.catalog.lock().clone()
    }

    /// Whether an endpoint may receive new calls: operators have it in service, and its VM is not
    /// leaving.
    pub fn in_service(
        &self,
        catalog: &catalog::ConfigurationCatalog,
        endpoint: &types::EndpointDeclaration,
    ) -> bool {
        catalog.in_service(endpoint) && !self.leaving_vms.lock().is_leaving(&endpoint.vm)
    }

    /// Returns the phase of the node.
    pub fn phase(&self) -> types::NodePhase {
        *self.phase.lock()
    }
}

/// Budgets that limit the additional load that one node puts on others.
#[derive(Debug)]
pub struct AttemptBudgets {
    /// Retries of failed attempts.
    pub retries: retry::RetryBudget,
    /// Hedged attempts, started while a slow one is still running.
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

/// Returns the time by which this process lets a convicted part be tried later than others may.
fn trial_delay(process_start: ids::ProcessStartId) -> time::Duration {
    let slot = u32::try_from(process_start % TRIAL_SLOTS).unwrap_or(0);
    TRIAL_SLOT * slot
}
