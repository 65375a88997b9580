//! Validation of declarations: one case for each finding.

use comfreyspread_policy::validation;
use comfreyspread_schema::types;
use std::time;

/// Returns declarations without findings.
fn valid_declarations() -> types::Declarations {
    let stage = |name: &str| types::StageDeclaration { name: name.into(), pool: "models".into() };
    types::Declarations {
        endpoints: vec![types::EndpointDeclaration {
            address: "10.0.0.1:9000".parse().expect("an address"),
            enforces_fencing: false,
            name: "model-1".into(),
            pool: "models".into(),
            vm: "vm-1".into(),
            zone: "celje-a".into(),
        }],
        pipelines: vec![types::PipelineDeclaration {
            name: "answer".into(),
            stages: vec![stage("encode"), stage("retrieve"), stage("generate")],
        }],
        pools: vec![types::PoolDeclaration {
            call_cost: 1,
            cold_limit: 1,
            kind: types::PoolKind::Engine,
            name: "models".into(),
            queue_timeout: time::Duration::from_secs(1),
            calls_until_warm: 10,
            warm_limit: 8,
        }],
        profiles: vec![types::ProfileDeclaration {
            cost_limit: 1,
            deadline: time::Duration::from_secs(1),
            idempotent: true,
            name: "counter".into(),
            priority: types::PriorityLevel::High,
        }],
        services: vec![types::ServiceDeclaration {
            idempotent: true,
            name: "lookup".into(),
            pool: "models".into(),
        }],
        workspaces: vec![types::WorkspaceDeclaration { name: "line".into(), weight: 1 }],
        zones: vec![types::ZoneDeclaration { name: "celje-a".into(), region: "celje".into() }],
    }
}

/// A change that causes one finding, and the item, field and value that the finding names.
type FaultCase = (fn(&mut types::Declarations), &'static str, &'static str, &'static str);

const FAULTS: [FaultCase; 17] = [
    (|all| all.pools[0].cold_limit = 0, "models", "cold_limit", "0"),
    (|all| all.pools[0].warm_limit = 4097, "models", "warm_limit", "4097"),
    (|all| all.pools[0].calls_until_warm = 0, "models", "warm_after", "0"),
    (
        |all| all.pools[0].queue_timeout = time::Duration::from_secs(601),
        "models",
        "queue_ms",
        "601000",
    ),
    (|all| all.pools[0].cold_limit = 9, "models", "cold_limit", "9"),
    (|all| all.profiles[0].deadline = time::Duration::ZERO, "counter", "deadline_ms", "0"),
    (|all| all.workspaces[0].weight = 1001, "line", "weight", "1001"),
    (|all| all.endpoints[0].pool = "none".into(), "model-1", "pool", "none"),
    (|all| all.endpoints[0].zone = "none".into(), "model-1", "zone", "none"),
    (|all| all.services[0].pool = "none".into(), "lookup", "pool", "none"),
    (|all| all.pipelines[0].stages[1].pool = "none".into(), "answer", "stages[1].pool", "none"),
    (|all| drop(all.pipelines[0].stages.pop()), "answer", "stages", "2 stages"),
    (|all| all.pipelines[0].stages[2].name = "encode".into(), "answer", "stages[2].name", "encode"),
    (|all| all.workspaces.push(all.workspaces[0].clone()), "line", "name", "line"),
    (|all| all.workspaces[0].name = "a/b".into(), "a/b", "name", "a/b"),
    (|all| all.endpoints[0].address.set_port(0), "model-1", "address", "10.0.0.1:0"),
    (|all| all.endpoints[0].vm = "".into(), "model-1", "vm", ""),
];

#[test]
fn single_faults() {
    assert_eq!(validation::validate(&valid_declarations()), []);
    for (change, name, field, value) in FAULTS {
        let mut declarations = valid_declarations();
        change(&mut declarations);
        let mut faults = validation::validate(&declarations);
        faults.retain(|fault| fault.severity == types::FindingSeverity::Fault);
        assert_eq!(faults.len(), 1, "{name} {field}: {faults:?}");
        assert!(validation::has_faults(&faults));
        let found = (&*faults[0].name, &*faults[0].field, &*faults[0].value);
        assert_eq!(found, (name, field, value));
        assert!(!faults[0].allowed.is_empty());
    }
}

#[test]
fn address_and_zone() {
    let mut declarations = valid_declarations();
    let mut other = declarations.endpoints[0].clone();
    other.name = "model-2".into();
    other.zone = "celje-b".into();
    let zone = types::ZoneDeclaration { name: "celje-b".into(), region: "celje".into() };
    declarations.zones.push(zone);
    declarations.endpoints.push(other);
    let faults = validation::validate(&declarations);
    let fields: Vec<_> = faults.iter().map(|fault| &*fault.field).collect();
    assert_eq!(fields, ["address", "zone"]);
}

#[test]
fn all_at_once() {
    let mut declarations = valid_declarations();
    for (change, ..) in &FAULTS[..4] {
        change(&mut declarations);
    }
    declarations.endpoints.clear();
    let faults = validation::validate(&declarations);
    let warnings = faults.iter().filter(|fault| fault.severity == types::FindingSeverity::Warning);
    assert_eq!(warnings.count(), 1, "a pool without endpoints is a warning");
    assert!(faults.len() > 4);
}
