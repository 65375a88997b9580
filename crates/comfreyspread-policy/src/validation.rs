//! Validation of declarations before they are applied.
//!
//! All findings are reported together, each with the item, the field, its value and the allowed
//! values. Constant tables define ranges and references; functions check rules that span several
//! items. A fault prevents the declarations from being applied, a warning does not.

use crate::declared_item;
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// Minimum number of stages of a pipeline.
pub const MIN_STAGES: usize = 3;
/// Maximum number of stages of a pipeline.
pub const MAX_STAGES: usize = 6;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

const ALLOWED_NAME: &str = "1 to 64 letters, digits, dashes, underscores and dots";
const ALLOWED_ADDRESS: &str = "an IP address of one VM and a port above 0";

/// Inclusive range of a numeric field.
struct RangeRule<Item> {
    field: &'static str,
    value: fn(&Item) -> u64,
    min: u64,
    max: u64,
}

/// A field that names an item of another kind.
struct ReferenceRule<Item> {
    field: &'static str,
    value: fn(&Item) -> &ids::Text,
    target: types::DeclarationKind,
}

const POOL_RANGES: [RangeRule<types::PoolDeclaration>; 4] = [
    RangeRule { field: "cold_limit", value: |pool| pool.cold_limit.into(), min: 1, max: 1024 },
    RangeRule { field: "warm_limit", value: |pool| pool.warm_limit.into(), min: 1, max: 4096 },
    RangeRule {
        field: "warm_after",
        value: |pool| pool.calls_until_warm.into(),
        min: 1,
        max: 100_000,
    },
    RangeRule { field: "queue_ms", value: |pool| millis(pool.queue_timeout), min: 1, max: 600_000 },
];

const PROFILE_RANGES: [RangeRule<types::ProfileDeclaration>; 1] = [RangeRule {
    field: "deadline_ms",
    value: |profile| millis(profile.deadline),
    min: 1,
    max: 86_400_000,
}];

const WORKSPACE_RANGES: [RangeRule<types::WorkspaceDeclaration>; 1] =
    [RangeRule { field: "weight", value: |workspace| workspace.weight.into(), min: 1, max: 1000 }];

const ENDPOINT_REFERENCES: [ReferenceRule<types::EndpointDeclaration>; 2] = [
    ReferenceRule {
        field: "pool",
        value: |endpoint| &endpoint.pool,
        target: types::DeclarationKind::Pool,
    },
    ReferenceRule {
        field: "zone",
        value: |endpoint| &endpoint.zone,
        target: types::DeclarationKind::Zone,
    },
];

const SERVICE_REFERENCES: [ReferenceRule<types::ServiceDeclaration>; 1] = [ReferenceRule {
    field: "pool",
    value: |service| &service.pool,
    target: types::DeclarationKind::Pool,
}];

/// Returns every finding in the declarations.
pub fn validate(declarations: &types::Declarations) -> Vec<types::ValidationFinding> {
    let mut validator = DeclarationValidator::new(declarations);
    validator.check_names();
    validator.check_ranges();
    validator.check_references();
    validator.check_pools();
    validator.check_endpoints();
    validator.check_pipelines();
    validator.faults
}

/// Whether any of the findings is a fault, so that the declarations must not be applied.
pub fn has_faults(faults: &[types::ValidationFinding]) -> bool {
    faults.iter().any(|fault| fault.severity == types::FindingSeverity::Fault)
}

struct DeclarationValidator<'input> {
    declarations: &'input types::Declarations,
    pools: IndexSet<&'input ids::PoolId>,
    zones: IndexSet<&'input ids::ZoneId>,
    faults: Vec<types::ValidationFinding>,
}

impl<'input> DeclarationValidator<'input> {
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
        self.check_item_names(&declarations.zones);
        self.check_item_names(&declarations.pools);
        self.check_item_names(&declarations.endpoints);
        self.check_item_names(&declarations.pipelines);
        self.check_item_names(&declarations.services);
        self.check_item_names(&declarations.profiles);
        self.check_item_names(&declarations.workspaces);
        for zone in &declarations.zones {
            self.check_name(zone, "region", &zone.region);
        }
        for endpoint in &declarations.endpoints {
            self.check_name(endpoint, "vm", &endpoint.vm);
        }
    }

    fn check_item_names<Item>(&mut self, items: &[Item])
    where
        Item: declared_item::DeclaredItem,
    {
        let mut seen = IndexSet::new();
        for entry in items {
            self.check_name(entry, "name", entry.name());
            if !seen.insert(entry.name()) {
                let allowed = format!("each {} once", Item::KIND);
                self.push_fault(entry, "name", entry.name(), &allowed);
            }
        }
    }

    fn check_name<Item>(&mut self, entry: &Item, field: &str, name: &str)
    where
        Item: declared_item::DeclaredItem,
    {
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let has_valid_length = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        if !has_valid_length || !name.chars().all(is_allowed) {
            self.push_fault(entry, field, name, ALLOWED_NAME);
        }
    }

    fn check_ranges(&mut self) {
        let declarations = self.declarations;
        self.check_item_ranges(&declarations.pools, &POOL_RANGES);
        self.check_item_ranges(&declarations.profiles, &PROFILE_RANGES);
        self.check_item_ranges(&declarations.workspaces, &WORKSPACE_RANGES);
    }

    fn check_item_ranges<Item>(&mut self, items: &[Item], rules: &[RangeRule<Item>])
    where
        Item: declared_item::DeclaredItem,
    {
        for entry in items {
            for rule in rules {
                let value = (rule.value)(entry);
                if !(rule.min..=rule.max).contains(&value) {
                    let allowed = format!("{} to {}", rule.min, rule.max);
                    self.push_fault(entry, rule.field, &value.to_string(), &allowed);
                }
            }
        }
    }

    fn check_references(&mut self) {
        let declarations = self.declarations;
        self.check_item_references(&declarations.endpoints, &ENDPOINT_REFERENCES);
        self.check_item_references(&declarations.services, &SERVICE_REFERENCES);
        for pipeline in &declarations.pipelines {
            for (index, stage) in pipeline.stages.iter().enumerate() {
                if !self.pools.contains(&stage.pool) {
                    let field = format!("stages[{index}].pool");
                    let allowed = self.declared_names(types::DeclarationKind::Pool);
                    self.push_fault(pipeline, &field, &stage.pool, &allowed);
                }
            }
        }
    }

    fn check_item_references<Item>(&mut self, items: &[Item], rules: &[ReferenceRule<Item>])
    where
        Item: declared_item::DeclaredItem,
    {
        for entry in items {
            for rule in rules {
                let value = (rule.value)(entry);
                let declared = match rule.target {
                    types::DeclarationKind::Zone => self.zones.contains(value),
                    _ => self.pools.contains(value),
                };
                if !declared {
                    let allowed = self.declared_names(rule.target);
                    self.push_fault(entry, rule.field, value, &allowed);
                }
            }
        }
    }

    fn declared_names(&self, kind: types::DeclarationKind) -> Box<str> {
        let names = if kind == types::DeclarationKind::Zone { &self.zones } else { &self.pools };
        let names: Vec<_> = names.iter().map(|name| &***name).collect();
        format!("a declared {kind}: {}", names.join(", ")).into()
    }

    fn check_pools(&mut self) {
        let declarations = self.declarations;
        let with_endpoints: IndexSet<_> =
            declarations.endpoints.iter().map(|entry| &entry.pool).collect();
        let stages = declarations.pipelines.iter().flat_map(|pipeline| &pipeline.stages);
        let mut referenced: IndexSet<_> = stages.map(|stage| &stage.pool).collect();
        referenced.extend(declarations.services.iter().map(|service| &service.pool));
        for pool in &declarations.pools {
            if pool.cold_limit > pool.warm_limit {
                let allowed = format!("at most warm_limit, {}", pool.warm_limit);
                self.push_fault(pool, "cold_limit", &pool.cold_limit.to_string(), &allowed);
            }
            if !with_endpoints.contains(&pool.name) {
                self.push_warning(pool, "endpoints", "none", "at least one endpoint");
            }
            if !referenced.contains(&pool.name) {
                self.push_warning(pool, "name", &pool.name, "a pool that a stage or service names");
            }
        }
    }

    fn check_endpoints(&mut self) {
        let mut addresses = IndexMap::new();
        let mut zones = IndexMap::new();
        for endpoint in &self.declarations.endpoints {
            let address = endpoint.address.to_string();
            if endpoint.address.port() == 0 || endpoint.address.ip().is_unspecified() {
                self.push_fault(endpoint, "address", &address, ALLOWED_ADDRESS);
            }
            let first = *addresses.entry(endpoint.address).or_insert(&endpoint.name);
            if *first != endpoint.name {
                let allowed = format!("an address of its own; {first} has this one");
                self.push_fault(endpoint, "address", &address, &allowed);
            }
            let zone = *zones.entry(&endpoint.vm).or_insert(&endpoint.zone);
            if *zone != endpoint.zone {
                let allowed = format!("one zone for each VM; {} is in {zone}", endpoint.vm);
                self.push_fault(endpoint, "zone", &endpoint.zone, &allowed);
            }
        }
    }

    fn check_pipelines(&mut self) {
        for pipeline in &self.declarations.pipelines {
            let count = pipeline.stages.len();
            if !(MIN_STAGES..=MAX_STAGES).contains(&count) {
                let allowed = format!("{MIN_STAGES} to {MAX_STAGES} stages");
                self.push_fault(pipeline, "stages", &format!("{count} stages"), &allowed);
            }
            let mut seen = IndexSet::new();
            for (index, stage) in pipeline.stages.iter().enumerate() {
                let field = format!("stages[{index}].name");
                self.check_name(pipeline, &field, &stage.name);
                if !seen.insert(&stage.name) {
                    self.push_fault(pipeline, &field, &stage.name, "each stage once in a pipeline");
                }
            }
        }
    }

    fn push_fault<Item>(&mut self, entry: &Item, field: &str, value: &str, allowed: &str)
    where
        Item: declared_item::DeclaredItem,
    {
        self.push(types::FindingSeverity::Fault, entry, field, value, allowed);
    }

    fn push_warning<Item>(&mut self, entry: &Item, field: &str, value: &str, allowed: &str)
    where
        Item: declared_item::DeclaredItem,
    {
        self.push(types::FindingSeverity::Warning, entry, field, value, allowed);
    }

    fn push<Item>(
        &mut self,
        severity: types::FindingSeverity,
        entry: &Item,
        field: &str,
        value: &str,
        allowed: &str,
    ) where
        Item: declared_item::DeclaredItem,
    {
        self.faults.push(types::ValidationFinding {
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
