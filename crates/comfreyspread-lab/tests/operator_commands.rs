//! Exit codes and output of the operators' commands.

mod common;
#[path = "common/operator.rs"]
mod operator;

use comfreyspread::operations::operator_error;
use comfreyspread_schema::types as wire;
use std::process;

/// Runs a command that needs no node.
fn run_offline(arguments: &[&str]) -> (i32, String) {
    let command = process::Command::new(env!("CARGO_BIN_EXE_comfreyspread-lab"))
        .arg("product")
        .args(arguments)
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn();
    operator::wait_for_exit(command.expect("the command starts"))
}

#[test]
fn usage_errors() {
    let usage_code = i32::from(operator_error::USAGE);
    for arguments in [&["nonsense"][..], &["apply", "--nonsense"], &["zone", "sideways"]] {
        let (code, text) = run_offline(arguments);
        assert_eq!(code, usage_code, "{arguments:?}: {text}");
    }
    let commands = ["apply", "claims", "diff", "dump", "node", "status", "validate", "vm", "zone"];
    for name in commands {
        let (code, text) = run_offline(&[name, "--help"]);
        assert_eq!(code, 0, "{name}");
        assert!(text.contains("Usage: comfreyspread"), "{text}");
    }
}

#[test]
fn invalid_files() {
    let mut declarations = common::sample_declarations();
    declarations.pools[0].cold_limit = 0;
    declarations.services[0].pool = "none".into();
    let file = operator::DeclarationFile::new("invalid", &declarations);
    let (code, text) = run_offline(&["validate", file.path()]);
    assert_eq!(code, i32::from(operator_error::REFUSED));
    for part in ["cold_limit is \"0\"; allowed: 1 to 1024", "pool is \"none\"; allowed: a declared"]
    {
        assert!(text.contains(part), "{part} in {text}");
    }
    let (code, text) = run_offline(&["validate", "absent.toml"]);
    assert_eq!(code, i32::from(operator_error::REFUSED));
    assert!(text.contains("absent.toml"), "{text}");
    let (code, text) = run_offline(&["apply", file.path(), "--node", "127.0.0.1:1"]);
    assert_eq!(
        code,
        i32::from(operator_error::REFUSED),
        "validated before any request to a node: {text}"
    );
}

#[test]
fn differences() {
    common::run(async {
        let deployment = common::sample_deployment(1).await;
        let mut declarations = deployment.declarations.clone();
        declarations.pools[0].warm_limit += 1;
        declarations.workspaces.remove(1);
        let zone = wire::ZoneDeclaration { name: "antioquia-c".into(), region: "antioquia".into() };
        declarations.zones.push(zone);
        let file = operator::DeclarationFile::new("differences", &declarations);
        let (code, text) = operator::run_command(&deployment, 0, &["diff", file.path()]);
        assert_eq!(code, 0, "{text}");
        let parts = [
            "+ zone antioquia-c",
            "~ pool encode",
            "warm_limit: 16 -> 17",
            "- workspace bogota",
            "1 added, 1 changed, 1 removed",
        ];
        for part in parts {
            assert!(text.contains(part), "{part} in {text}");
        }
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn vm_out_and_in() {
    common::run(async {
        let deployment = common::sample_deployment(2).await;
        let address = deployment.nodes[1].caller_address;
        let (code, text) = operator::run_command(&deployment, 0, &["vm", "out", "entry-2"]);
        assert_eq!(code, 0, "{text}");
        let response = deployment.caller.get(address, "/readyz").await.expect("a response");
        assert_eq!(response.status(), 503);
        let call = common::pipeline_call();
        let response = deployment.caller.call(address, &call).await.expect("a response");
        assert_eq!(response.status(), 200, "calls that still arrive are served");
        let (code, text) = operator::run_command(&deployment, 1, &["vm", "list"]);
        assert_eq!(code, 0, "{text}");
        let out_of_service = text.lines().filter(|line| line.contains(" out "));
        assert_eq!(out_of_service.count(), 1, "{text}");
        let (code, text) = operator::run_command(&deployment, 1, &["vm", "in", "entry-2"]);
        assert_eq!(code, 0, "{text}");
        deployment.wait_until_ready(address, "/readyz").await.expect("ready again");
        let (code, text) = operator::run_command(&deployment, 1, &["vm", "out", "entry-9"]);
        assert_eq!(code, i32::from(operator_error::REFUSED));
        assert!(text.contains("entry-2"), "the known names are listed: {text}");
        let (code, text) = operator::run_command(&deployment, 0, &["claims"]);
        assert_eq!(code, 0);
        assert!(text.contains("without a known outcome: 0"), "{text}");
        let (code, text) = operator::run_command(&deployment, 1, &["dump"]);
        assert_eq!(code, 0);
        let dump: wire::NodeDump = serde_json::from_str(&text).expect("JSON");
        assert_eq!((&*dump.node, dump.revision), ("entry-2", 3));
        deployment.stop().await.expect("a graceful stop");
    });
}
