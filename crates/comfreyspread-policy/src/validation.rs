//! Checks of declarations before they are applied.
//!
//! Every finding is reported at once, with the item, the field, its value and what is allowed. The
//! tables at the top state the ranges and the references; the functions below them state what
//! spans several items. A fault keeps declarations from being applied, a warning does not.

use crate::item;
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// Least number of stages of a pipeline.
pub const LEAST_STAGES: usize = 3;
/// Greatest number of stages of a pipeline.
pub const MOST_STAGES: usize = 6;
/// Greatest length of a name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;

const NAME_ALLOWED: &str = "1 to 64 letters, digits, dashes, underscores and dots";
const ADDRESS_ALLOWED: &str = "an IP address of one VM and a port above 0";

/// Range of a number in a field.
struct RangeRow<Item> {
    field: &'static str,
    value: fn(&Item) -> u64,
    least: u64,
    most: u64,
}

/// Reference of a field to an item of another kind.
struct ReferenceRow<Item> {
    field: &'static str,
    value: fn(&Item) -> &ids::Text,
    target: types::DeclarationKind,
}

const POOL_RANGES: [RangeRow<types::PoolDeclaration>; 4] = [
    RangeRow { field: "cold_limit", value: |pool| pool.cold_limit.into(), least: 1, most: 1024 },
    RangeRow { field: "warm_limit", value: |pool| pool.warm_limit.into(), least: 1, most: 4096 },
    RangeRow { field: "warm_after", value: |pool| pool.warm_after.into(), least: 1, most: 100_000 },
    RangeRow { field: "queue_ms", value: |pool| millis(pool.queue), least: 1, most: 600_000 },
];

const PROFILE_RANGES: [RangeRow<types::ProfileDeclaration>; 1] = [RangeRow {
    field: "deadline_ms",
    value: |profile| millis(profile.deadline),
    least: 1,
    most: 86_400_000,
}];

const WORKSPACE_RANGES: [RangeRow<types::WorkspaceDeclaration>; 1] = [RangeRow {
    field: "weight",
    value: |workspace| workspace.weight.into(),
    least: 1,
    most: 1000,
}];

const ENDPOINT_REFERENCES: [ReferenceRow<types::EndpointDeclaration>; 2] = [
    ReferenceRow {
        field: "pool",
        value: |endpoint| &endpoint.pool,
        target: types::DeclarationKind::Pool,
    },
    ReferenceRow {
        field: "zone",
        value: |endpoint| &endpoint.zone,
        target: types::DeclarationKind::Zone,
    },
];

const SERVICE_REFERENCES: [ReferenceRow<types::ServiceDeclaration>; 1] = [ReferenceRow {
    field: "pool",
    value: |service| &service.pool,
    target: types::DeclarationKind::Pool,
}];

/// Returns every finding in the declarations.
pub fn validate(declarations: &types::Declarations) -> Vec<types::DeclarationFault> {
    let mut pass = ValidationPass::new(declarations);
    pass.check_names();
    pass.check_ranges();
    pass.check_references();
    pass.check_pools();
    pass.check_endpoints();
    pass.check_pipelines();
    pass.faults
}

/// Whether any of the findings keeps declarations from being applied.
pub fn has_faults(faults: &[types::DeclarationFault]) -> bool {
    faults.iter().any(|fault| fault.severity == types::FaultSeverity::Fault)
}

struct ValidationPass<'input> {
    declarations: &'input types::Declarations,
    pools: IndexSet<&'input ids::PoolId>,
    zones: IndexSet<&'input ids::ZoneId>,
    faults: Vec<types::DeclarationFault>,
}

impl<'input> ValidationPass<'input> {
    fn new(declarations: &'input types::Declarations) -> Self {
        Self {
            declarations,
            pools: declarations.pools.iter().map(|pool| &pool.name).collect(),
            zones: declarations.zones.iter().map(|zone| &zone.name).collect(),
            faults: Vec::new(),
        }
    }

    fn check_names(&mut self) {
        let declarations = self.declarations;
        self.check_names_of(&declarations.zones);
        self.check_names_of(&declarations.pools);
        self.check_names_of(&declarations.endpoints);
        self.check_names_of(&declarations.pipelines);
        self.check_names_of(&declarations.services);
        self.check_names_of(&declarations.profiles);
        self.check_names_of(&declarations.workspaces);
        for zone in &declarations.zones {
            self.check_name(zone, "region", &zone.region);
        }
        for endpoint in &declarations.endpoints {
            self.check_name(endpoint, "vm", &endpoint.vm);
        }
    }

    fn check_names_of<Item>(&mut self, items: &[Item])
    where
        Item: item::DeclaredItem,
    {
        let mut seen = IndexSet::new();
        for entry in items {
            self.check_name(entry, "name", entry.name());
            if !seen.insert(entry.name()) {
                let allowed = format!("each {} once", Item::KIND);
                self.fault(entry, "name", entry.name(), &allowed);
            }
        }
    }

    fn check_name<Item>(&mut self, entry: &Item, field: &str, name: &str)
    where
        Item: item::DeclaredItem,
    {
        let plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let sized = !name.is_empty() && name.len() <= NAME_LIMIT_BYTES;
        if !sized || !name.chars().all(plain) {
            self.fault(entry, field, name, NAME_ALLOWED);
        }
    }

    fn check_ranges(&mut self) {
        let declarations = self.declarations;
        self.check_ranges_of(&declarations.pools, &POOL_RANGES);
        self.check_ranges_of(&declarations.profiles, &PROFILE_RANGES);
        self.check_ranges_of(&declarations.workspaces, &WORKSPACE_RANGES);
    }

    fn check_ranges_of<Item>(&mut self, items: &[Item], rows: &[RangeRow<Item>])
    where
        Item: item::DeclaredItem,
    {
        for entry in items {
            for row in rows {
                let value = (row.value)(entry);
                if !(row.least..=row.most).contains(&value) {
                    let allowed = format!("{} to {}", row.least, row.most);
                    self.fault(entry, row.field, &value.to_string(), &allowed);
                }
            }
        }
    }

    fn check_references(&mut self) {
        let declarations = self.declarations;
        self.check_references_of(&declarations.endpoints, &ENDPOINT_REFERENCES);
        self.check_references_of(&declarations.services, &SERVICE_REFERENCES);
        for pipeline in &declarations.pipelines {
            for (index, stage) in pipeline.stages.iter().enumerate() {
                if !self.pools.contains(&stage.pool) {
                    let field = format!("stages[{index}].pool");
                    let allowed = self.names_of(types::DeclarationKind::Pool);
                    self.fault(pipeline, &field, &stage.pool, &allowed);
                }
            }
        }
    }

    fn check_references_of<Item>(&mut self, items: &[Item], rows: &[ReferenceRow<Item>])
    where
        Item: item::DeclaredItem,
    {
        for entry in items {
            for row in rows {
                let value = (row.value)(entry);
                let declared = match row.target {
                    types::DeclarationKind::Zone => self.zones.contains(value),
                    _ => self.pools.contains(value),
                };
                if !declared {
                    let allowed = self.names_of(row.target);
                    self.fault(entry, row.field, value, &allowed);
                }
            }
        }
    }

    fn names_of(&self, kind: types::DeclarationKind) -> Box<str> {
        let names = if kind == types::DeclarationKind::Zone { &self.zones } else { &self.pools };
        let names: Vec<_> = names.iter().map(|name| &***name).collect();
        format!("a declared {kind}: {}", names.join(", ")).into()
    }

    fn check_pools(&mut self) {
        let declarations = self.declarations;
        let staffed: IndexSet<_> = declarations.endpoints.iter().map(|entry| &entry.pool).collect();
        let stages = declarations.pipelines.iter().flat_map(|pipeline| &pipeline.stages);
        let mut used: IndexSet<_> = stages.map(|stage| &stage.pool).collect();
        used.extend(declarations.services.iter().map(|service| &service.pool));
        for pool in &declarations.pools {
            if pool.cold_limit > pool.warm_limit {
                let allowed = format!("at most warm_limit, {}", pool.warm_limit);
                self.fault(pool, "cold_limit", &pool.cold_limit.to_string(), &allowed);
            }
            if !staffed.contains(&pool.name) {
                self.warn(pool, "endpoints", "none", "at least one endpoint");
            }
            if !used.contains(&pool.name) {
                self.warn(pool, "name", &pool.name, "a pool that a stage or service names");
            }
        }
    }

    fn check_endpoints(&mut self) {
        let mut addresses = IndexMap::new();
        let mut zones = IndexMap::new();
        for endpoint in &self.declarations.endpoints {
            let address = endpoint.address.to_string();
            if endpoint.address.port() == 0 || endpoint.address.ip().is_unspecified() {
                self.fault(endpoint, "address", &address, ADDRESS_ALLOWED);
            }
            let first = *addresses.entry(endpoint.address).or_insert(&endpoint.name);
            if *first != endpoint.name {
                let allowed = format!("an address of its own; {first} has this one");
                self.fault(endpoint, "address", &address, &allowed);
            }
            let zone = *zones.entry(&endpoint.vm).or_insert(&endpoint.zone);
            if *zone != endpoint.zone {
                let allowed = format!("one zone for each VM; {} is in {zone}", endpoint.vm);
                self.fault(endpoint, "zone", &endpoint.zone, &allowed);
            }
        }
    }

    fn check_pipelines(&mut self) {
        for pipeline in &self.declarations.pipelines {
            let count = pipeline.stages.len();
            if !(LEAST_STAGES..=MOST_STAGES).contains(&count) {
                let allowed = format!("{LEAST_STAGES} to {MOST_STAGES} stages");
                self.fault(pipeline, "stages", &format!("{count} stages"), &allowed);
            }
            let mut seen = IndexSet::new();
            for (index, stage) in pipeline.stages.iter().enumerate() {
                let field = format!("stages[{index}].name");
                self.check_name(pipeline, &field, &stage.name);
                if !seen.insert(&stage.name) {
                    self.fault(pipeline, &field, &stage.name, "each stage once in a pipeline");
                }
            }
        }
    }

    fn fault<Item>(&mut self, entry: &Item, field: &str, value: &str, allowed: &str)
    where
        Item: item::DeclaredItem,
    {
        self.push(types::FaultSeverity::Fault, entry, field, value, allowed);
    }

    fn warn<Item>(&mut self, entry: &Item, field: &str, value: &str, allowed: &str)
    where
        Item: item::DeclaredItem,
    {
        self.push(types::FaultSeverity::Warning, entry, field, value, allowed);
    }

    fn push<Item>(
        &mut self,
        severity: types::FaultSeverity,
        entry: &Item,
        field: &str,
        value: &str,
        allowed: &str,
    ) where
        Item: item::DeclaredItem,
    {
        self.faults.push(types::DeclarationFault {
            allowed: allowed.into(),
            field: field.into(),
            kind: Item::KIND,
            name: entry.name().clone(),
            severity,
            value: value.into(),
        });
    }
}

fn millis(length: time::Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
}
