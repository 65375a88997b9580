//! Reading and validating settings from flags and environment variables.

use comfreyspread::runtime::settings;
use comfreyspread_schema::settings as schema_settings;
use indexmap::IndexMap;
use std::{sync, time};

type Variables = IndexMap<sync::Arc<str>, sync::Arc<str>>;

fn flags(texts: &[&str]) -> schema_settings::NodeFlags {
    <schema_settings::NodeFlags as argh::FromArgs>::from_args(&["node"], texts)
        .expect("valid flags")
}

fn required_variables() -> Variables {
    let pairs = [
        ("NODE", "entry-1"),
        ("VM", "vm-1"),
        ("ZONE", "z"),
        ("REGION", "r"),
        ("CALLER_ADDRESS", "127.0.0.1:1"),
        ("PEER_ADDRESS", "127.0.0.1:2"),
        ("PLATFORM_ADDRESS", "127.0.0.1:3"),
    ];
    let variable = |(name, value): (&str, &str)| {
        (format!("COMFREYSPREAD_{name}").into(), sync::Arc::from(value))
    };
    pairs.into_iter().map(variable).collect()
}

fn faults(texts: &[&str], variables: &Variables) -> Vec<String> {
    let error = settings::NodeSettings::new(&flags(texts), variables).expect_err("faults");
    error.faults().iter().map(ToString::to_string).collect()
}

#[test]
fn flag_precedence() {
    let mut variables = required_variables();
    variables.insert("COMFREYSPREAD_POLL_MS".into(), "500".into());
    let read = settings::NodeSettings::new(&flags(&[]), &variables).expect("valid settings");
    assert_eq!(read.poll_interval, time::Duration::from_millis(500));
    assert_eq!(read.workers, 2);
    let texts = ["--poll-ms", "700"];
    let read = settings::NodeSettings::new(&flags(&texts), &variables).expect("valid settings");
    assert_eq!(read.poll_interval, time::Duration::from_millis(700));
}

#[test]
fn all_faults() {
    let mut variables = required_variables();
    variables.shift_remove("COMFREYSPREAD_ZONE");
    variables.insert("COMFREYSPREAD_WORKERS".into(), "0".into());
    variables.insert("COMFREYSPREAD_SEEDS".into(), "127.0.0.1:9,nowhere".into());
    variables.insert("COMFREYSPREAD_WORKRES".into(), "2".into());
    let found = faults(&["--log-level", "loud"], &variables);
    assert_eq!(found.len(), 5, "{found:?}");
    for part in ["WORKRES", "--zone", "1 to 256", "nowhere", "error, warn"] {
        assert!(found.iter().any(|fault| fault.contains(part)), "{part} in {found:?}");
    }
}

#[test]
fn invalid_values() {
    let cases = [
        ("--caller-address", "localhost"),
        ("--body-limit", "1023"),
        ("--body-limit", "-1"),
        ("--heartbeat-ms", "soon"),
        ("--log-format", "xml"),
        ("--node", "a b"),
    ];
    for (flag, value) in cases {
        assert_eq!(faults(&[flag, value], &required_variables()).len(), 1, "{flag} {value}");
    }
}

#[test]
fn complete_rows() {
    for row in schema_settings::SETTING_ROWS {
        assert!(!row.help.is_empty(), "{}", row.name);
        let variable = format!("COMFREYSPREAD_{}", row.name.to_uppercase());
        assert_eq!(row.variable, variable);
    }
}

#[test]
fn single_report() {
    let mut variables = required_variables();
    variables.insert("COMFREYSPREAD_PEER_ADDRESS".into(), "here".into());
    let found = faults(&[], &variables);
    assert_eq!(found.len(), 1, "{found:?}");
}

#[test]
fn empty_names() {
    for name in ["NODE", "VM", "ZONE", "REGION"] {
        let mut variables = required_variables();
        variables.insert(format!("COMFREYSPREAD_{name}").into(), "".into());
        let found = faults(&[], &variables);
        assert_eq!(found.len(), 1, "{name}: {found:?}");
    }
}
