//! Choice of route, service and regions for a request.

use comfreyspread_policy::route_table;
use comfreyspread_schema::types;
use rand::{SeedableRng as _, rngs};

fn route(name: &str, host: &str, prefix: &str) -> types::RouteRule {
    types::RouteRule {
        max_attempts: 1,
        target_event_gap: std::time::Duration::ZERO,
        host: host.into(),
        kind: types::RouteKind::Repeatable,
        name: name.into(),
        prefix: prefix.into(),
        priority: 0,
        public: false,
        allowed_regions: Vec::new(),
        resumable: false,
        splits: vec![types::TrafficSplit { service: "s".into(), weight: 1 }],
        stages: Vec::new(),
        target_latency: std::time::Duration::from_secs(1),
        timeout: std::time::Duration::from_secs(2),
    }
}

fn workspace(keys: &[&str]) -> types::WorkspaceRule {
    types::WorkspaceRule {
        keys: keys.iter().map(|key| (*key).into()).collect(),
        name: "w".into(),
        priority: None,
        allowed_regions: vec!["r".into()],
    }
}

fn table(routes: Vec<types::RouteRule>) -> route_table::RouteTable {
    table_with(routes, Some(vec![workspace(&["k1", "k2"])]))
}

fn table_with(
    routes: Vec<types::RouteRule>,
    workspaces: Option<Vec<types::WorkspaceRule>>,
) -> route_table::RouteTable {
    route_table::RouteTable::new(types::RouteDocument {
        limits: types::CallerLimits { max_body_bytes: 0 },
        routes,
        services: Vec::new(),
        version: 3,
        workspaces,
    })
}

#[test]
fn longest_prefix() {
    let routes = vec![route("short", "h", "/a/"), route("long", "h", "/a/b/")];
    let table = table(routes);
    let name = |path| table.find("h", path).map(|route| &*route.name);
    assert_eq!(name("/a/b/c"), Some("long"));
    assert_eq!(name("/a/bc"), Some("short"));
    assert_eq!(name("/a"), None);
    assert!(table.find("other", "/a/b/c").is_none());
}

#[test]
fn workspace_keys() {
    let table = table(Vec::new());
    assert!(table.needs_key());
    assert_eq!(table.workspace("k2").map(|workspace| &*workspace.name), Some("w"));
    assert!(table.workspace("k3").is_none());
    assert!(!route_table::RouteTable::default().needs_key());
}

/// Guards against requests of anybody that run once the last key, or the last workspace, is taken
/// away: a list that became empty is not one that never was.
#[test]
fn last_key() {
    assert!(table_with(Vec::new(), Some(vec![workspace(&[])])).needs_key());
    assert!(table_with(Vec::new(), Some(Vec::new())).needs_key());
    assert!(!table_with(Vec::new(), None).needs_key());
}

#[test]
fn weighted_services() {
    let mut route = route("r", "h", "/");
    route.splits = vec![
        types::TrafficSplit { service: "most".into(), weight: 90 },
        types::TrafficSplit { service: "none".into(), weight: 0 },
        types::TrafficSplit { service: "few".into(), weight: 10 },
    ];
    let mut random = rngs::SmallRng::seed_from_u64(1);
    let drawn: Vec<_> =
        (0..1000).filter_map(|_| route_table::choose_service(&route, &mut random)).collect();
    assert!(!drawn.iter().any(|service| ***service == *"none"));
    let most = drawn.iter().filter(|service| ****service == *"most").count();
    assert!((850..950).contains(&most), "{most}");
}

/// Guards against requests that run at the first service of a route that gives it no share.
#[test]
fn zero_weights() {
    let mut route = route("r", "h", "/");
    route.splits[0].weight = 0;
    let mut random = rngs::SmallRng::seed_from_u64(1);
    assert_eq!(route_table::choose_service(&route, &mut random), None);
}

#[test]
fn regions_combined() {
    let mut route = route("r", "h", "/");
    let table = table(Vec::new());
    let workspace = table.workspace("k1").map(|workspace| &**workspace);
    assert_eq!(route_table::allowed_regions(&route, None), None);
    assert_eq!(route_table::allowed_regions(&route, workspace), Some(vec!["r".into()]));
    route.allowed_regions = vec!["q".into()];
    assert_eq!(route_table::allowed_regions(&route, workspace), Some(Vec::new()));
}

/// Guards against requests in flight that lose the limits of a rule that has been removed meanwhile:
/// a key is revoked, or a route goes and a shorter prefix with other regions is left.
#[test]
fn removed_rules() {
    let limited = |prefix, region: &str| types::RouteRule {
        allowed_regions: vec![region.into()],
        ..route("r", "h", prefix)
    };
    let (long, workspace) = (limited("/a/b/", "q"), table(Vec::new()));
    let workspace = workspace.workspace("k1").map(|workspace| &**workspace);
    let current = |routes, route, key| table(routes).current_regions(route, workspace, key);
    let any = route("r", "h", "/a/");
    assert_eq!(current(vec![any.clone()], &any, Some("revoked")), Some(vec!["r".into()]));
    assert_eq!(current(vec![any.clone()], &any, Some("k2")), Some(vec!["r".into()]));
    let left = || vec![limited("/a/", "s")];
    assert_eq!(table(left()).current_regions(&long, None, None), Some(vec!["q".into()]));
    let moved = vec![limited("/a/", "s"), limited("/a/b/", "t")];
    assert_eq!(table(moved).current_regions(&long, None, None), Some(vec!["t".into()]));
}

/// Guards against requests in flight that keep the homes of a workspace that has moved, because the
/// key they came with has been replaced in the same change.
#[test]
fn moved_workspace() {
    let any = route("r", "h", "/a/");
    let table = table(vec![any.clone()]);
    let before = types::WorkspaceRule {
        keys: vec!["replaced".into()],
        allowed_regions: vec!["old".into()],
        ..types::WorkspaceRule::clone(table.workspace("k1").expect("a workspace"))
    };
    let current = table.current_regions(&any, Some(&before), Some("replaced"));
    assert_eq!(current, Some(vec!["r".into()]));
}
