//! Faults of a replay: what breaks while the trace runs, and what mends it.

use crate::{deployment, types};
use comfreyspread_schema::{ids, types as wire};
use rustix::process::Signal;
use std::{str, time};

/// One fault, brought about and mended while a trace runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplayFault {
    /// A node is killed and later started again.
    NodeKill,
    /// A node is stopped and later continued.
    NodeFreeze,
    /// The platform answers nothing.
    StoreDown,
    /// All endpoints of an availability zone go away without notice.
    ZoneOut,
    /// Three times as many requests come.
    Burst,
    /// A third of the engines lose their caches at once.
    EndpointCold,
    /// The link between the regions carries nothing.
    LinkCut,
}

const NAMES: [&str; 7] =
    ["node-kill", "node-freeze", "store-down", "zone-out", "burst", "endpoint-cold", "link-cut"];
const COLD_SHARE: usize = 3;

impl str::FromStr for ReplayFault {
    type Err = Box<str>;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "node-kill" => Ok(Self::NodeKill),
            "node-freeze" => Ok(Self::NodeFreeze),
            "store-down" => Ok(Self::StoreDown),
            "zone-out" => Ok(Self::ZoneOut),
            "burst" => Ok(Self::Burst),
            "endpoint-cold" => Ok(Self::EndpointCold),
            "link-cut" => Ok(Self::LinkCut),
            _ => Err(format!("faults are {}", NAMES.join(", ")).into()),
        }
    }
}

impl ReplayFault {
    /// Returns the name of the fault.
    pub fn name(self) -> &'static str {
        match self {
            Self::NodeKill => "node-kill",
            Self::NodeFreeze => "node-freeze",
            Self::StoreDown => "store-down",
            Self::ZoneOut => "zone-out",
            Self::Burst => "burst",
            Self::EndpointCold => "endpoint-cold",
            Self::LinkCut => "link-cut",
        }
    }

    /// Brings the fault about.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer.
    pub async fn start(
        self,
        deployment: &mut deployment::TestDeployment,
        zone: &ids::ZoneId,
    ) -> miette::Result<()> {
        match self {
            Self::NodeKill => deployment.nodes[0].process.kill(),
            Self::NodeFreeze => deployment.nodes[0].process.signal(Signal::STOP),
            Self::StoreDown => set_store(deployment, true).await?,
            Self::ZoneOut => set_zone(deployment, zone, true).await?,
            Self::EndpointCold => cool_engines(deployment).await?,
            Self::LinkCut => deployment.set_cuts(&region_cuts(deployment)).await?,
            Self::Burst => {}
        }
        Ok(())
    }

    /// Mends the fault.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in does not answer or a process cannot be started.
    pub async fn end(
        self,
        deployment: &mut deployment::TestDeployment,
        zone: &ids::ZoneId,
    ) -> miette::Result<()> {
        match self {
            Self::NodeKill => deployment.restart_node(0)?,
            Self::NodeFreeze => deployment.nodes[0].process.signal(Signal::CONT),
            Self::StoreDown => set_store(deployment, false).await?,
            Self::ZoneOut => set_zone(deployment, zone, false).await?,
            Self::LinkCut => deployment.set_cuts(&[]).await?,
            Self::Burst | Self::EndpointCold => {}
        }
        Ok(())
    }
}

async fn set_store(deployment: &deployment::TestDeployment, down: bool) -> miette::Result<()> {
    let faults = types::StoreFaults { down, ..types::StoreFaults::default() };
    deployment.set_store_faults(&faults).await
}

async fn set_zone(
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

async fn cool_engines(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    let pools = &deployment.declarations.pools;
    let engine = |pool: &ids::PoolId| {
        pools.iter().any(|entry| entry.name == *pool && entry.kind == wire::PoolKind::Engine)
    };
    let engines = deployment.declarations.endpoints.iter().filter(|entry| engine(&entry.pool));
    for endpoint in engines.step_by(COLD_SHARE) {
        let faults = types::EndpointFaults { turn_cold: true, ..no_faults(&endpoint.name) };
        deployment.set_endpoint_faults(&faults).await?;
    }
    Ok(())
}

/// Returns faults that change nothing at an endpoint.
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

fn region_cuts(deployment: &deployment::TestDeployment) -> Vec<types::LinkPartition> {
    let zones = &deployment.declarations.zones;
    let regions: indexmap::IndexSet<_> = zones.iter().map(|zone| &zone.region).collect();
    let mut cuts = Vec::new();
    for from in &regions {
        let others = regions.iter().filter(|to| *to != from);
        cuts.extend(
            others.map(|to| types::LinkPartition { from: (*from).clone(), to: (*to).clone() }),
        );
    }
    cuts
}
