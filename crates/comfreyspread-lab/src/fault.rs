//! Faults that a replay injects and clears while its trace runs.

use crate::{deployment, types};
use comfreyspread_schema::{ids, types as wire};
use rustix::process::Signal;
use std::{str, time};

/// A fault that is injected and cleared while a trace runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplayFault {
    /// A node process is killed and later restarted.
    NodeKill,
    /// A node process is suspended and later resumed.
    NodeStall,
    /// The platform answers no request.
    StoreOutage,
    /// All endpoints of an availability zone fail at once.
    ZoneOutage,
    /// The request rate triples.
    Burst,
    /// A third of the engines lose their caches at once.
    EngineCacheLoss,
    /// The link between the regions carries no traffic.
    LinkPartition,
}

const NAMES: [&str; 7] =
    ["node-kill", "node-freeze", "store-down", "zone-out", "burst", "endpoint-cold", "link-cut"];
const CACHE_LOSS_STRIDE: usize = 3;

impl str::FromStr for ReplayFault {
    type Err = Box<str>;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "node-kill" => Ok(Self::NodeKill),
            "node-freeze" => Ok(Self::NodeStall),
            "store-down" => Ok(Self::StoreOutage),
            "zone-out" => Ok(Self::ZoneOutage),
            "burst" => Ok(Self::Burst),
            "endpoint-cold" => Ok(Self::EngineCacheLoss),
            "link-cut" => Ok(Self::LinkPartition),
            _ => Err(format!("faults are {}", NAMES.join(", ")).into()),
        }
    }
}

impl ReplayFault {
    /// Returns the name of the fault.
    pub fn name(self) -> &'static str {
        match self {
            Self::NodeKill => "node-kill",
            Self::NodeStall => "node-freeze",
            Self::StoreOutage => "store-down",
            Self::ZoneOutage => "zone-out",
            Self::Burst => "burst",
            Self::EngineCacheLoss => "endpoint-cold",
            Self::LinkPartition => "link-cut",
        }
    }

    /// Injects the fault.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn inject(
        self,
        deployment: &mut deployment::TestDeployment,
        zone: &ids::ZoneId,
    ) -> miette::Result<()> {
        match self {
            Self::NodeKill => deployment.nodes[0].process.kill(),
            Self::NodeStall => deployment.nodes[0].process.signal(Signal::STOP),
            Self::StoreOutage => set_store_down(deployment, true).await?,
            Self::ZoneOutage => set_zone_down(deployment, zone, true).await?,
            Self::EngineCacheLoss => drop_engine_caches(deployment).await?,
            Self::LinkPartition => deployment.set_partitions(&link_partitions(deployment)).await?,
            Self::Burst => {}
        }
        Ok(())
    }

    /// Clears the fault.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer or a process cannot be started.
    pub async fn clear(
        self,
        deployment: &mut deployment::TestDeployment,
        zone: &ids::ZoneId,
    ) -> miette::Result<()> {
        match self {
            Self::NodeKill => deployment.restart_node(0)?,
            Self::NodeStall => deployment.nodes[0].process.signal(Signal::CONT),
            Self::StoreOutage => set_store_down(deployment, false).await?,
            Self::ZoneOutage => set_zone_down(deployment, zone, false).await?,
            Self::LinkPartition => deployment.set_partitions(&[]).await?,
            Self::Burst | Self::EngineCacheLoss => {}
        }
        Ok(())
    }
}

async fn set_store_down(deployment: &deployment::TestDeployment, down: bool) -> miette::Result<()> {
    let faults = types::StoreFaults { down, ..types::StoreFaults::default() };
    deployment.set_store_faults(&faults).await
}

async fn set_zone_down(
    deployment: &deployment::TestDeployment,
    zone: &ids::ZoneId,
    down: bool,
) -> miette::Result<()> {
    for endpoint in deployment.declarations.endpoints.iter().filter(|entry| entry.zone == *zone) {
        let faults = types::EndpointFaults { down, ..no_faults(&endpoint.name) };
        deployment.set_endpoint_faults(&faults).await?;
    }
    Ok(())
}

async fn drop_engine_caches(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    let pools = &deployment.declarations.pools;
    let is_engine = |pool: &ids::PoolId| {
        pools.iter().any(|entry| entry.name == *pool && entry.kind == wire::PoolKind::Engine)
    };
    let engines = deployment.declarations.endpoints.iter().filter(|entry| is_engine(&entry.pool));
    for endpoint in engines.step_by(CACHE_LOSS_STRIDE) {
        let faults = types::EndpointFaults { turn_cold: true, ..no_faults(&endpoint.name) };
        deployment.set_endpoint_faults(&faults).await?;
    }
    Ok(())
}

/// Returns the settings of an endpoint without faults.
pub fn no_faults(endpoint: &ids::EndpointId) -> types::EndpointFaults {
    types::EndpointFaults {
        cut_before_token: 0,
        delay: time::Duration::ZERO,
        down: false,
        endpoint: endpoint.clone(),
        crash_on_text: None,
        turn_cold: false,
    }
}

fn link_partitions(deployment: &deployment::TestDeployment) -> Vec<types::LinkPartition> {
    let zones = &deployment.declarations.zones;
    let regions: indexmap::IndexSet<_> = zones.iter().map(|zone| &zone.region).collect();
    let mut partitions = Vec::new();
    for from in &regions {
        let others = regions.iter().filter(|to| *to != from);
        partitions.extend(
            others.map(|to| types::LinkPartition { from: (*from).clone(), to: (*to).clone() }),
        );
    }
    partitions
}
