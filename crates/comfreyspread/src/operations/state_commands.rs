//! Commands that show state: `status` of all nodes, `dump` of one, and `claims`.

use crate::operations::{maintenance_commands, operator_client, operator_error};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::process;

/// show all nodes: revision in force, readiness, zone and endpoints by state
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {
    /// caller address of any node (default: COMFREYSPREAD_OPERATOR_NODE or 127.0.0.1:8080)
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    node: Option<ids::Text>,
    /// print the state as JSON
    #[argh(switch)]
    json: bool,
}

/// print the whole state of one node as JSON
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArguments {
    /// caller address of the node (default: COMFREYSPREAD_OPERATOR_NODE or 127.0.0.1:8080)
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    node: Option<ids::Text>,
    /// print JSON, which is also what is printed without it
    #[argh(switch)]
    #[allow(dead_code, reason = "accepted so that every command takes it")]
    json: bool,
}

/// list the claims of non-repeatable requests whose outcome is not known
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct ClaimsArguments {
    /// caller address of any node (default: COMFREYSPREAD_OPERATOR_NODE or 127.0.0.1:8080)
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    node: Option<ids::Text>,
    /// print the claims as JSON
    #[argh(switch)]
    json: bool,
}

impl ClaimsArguments {
    /// Lists the claims.
    ///
    /// # Errors
    ///
    /// Fails if the node or its store does not answer.
    pub async fn run(&self) -> Result<process::ExitCode, operator_error::OperatorError> {
        let client = operator_client::OperatorClient::new(self.node.as_deref());
        let list = client.claims().await?;
        if self.json {
            maintenance_commands::print_json(&list);
            return Ok(process::ExitCode::from(operator_error::SUCCESS));
        }
        for claim in &list.claims {
            println!(
                "{:<20} {:<32} {:<10} held by {} for request {}",
                claim.workspace, claim.key, claim.phase, claim.node, claim.request
            );
        }
        println!("claims without a known outcome: {}", list.claims.len());
        Ok(process::ExitCode::from(operator_error::SUCCESS))
    }
}

impl StatusArguments {
    /// Shows the state of all nodes.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn run(&self) -> Result<process::ExitCode, operator_error::OperatorError> {
        let client = operator_client::OperatorClient::new(self.node.as_deref());
        let status = client.status().await?;
        if self.json {
            maintenance_commands::print_json(&status);
        } else {
            print_status(&status);
        }
        Ok(process::ExitCode::from(operator_error::SUCCESS))
    }
}

impl DumpArguments {
    /// Prints the state of one node.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn run(&self) -> Result<process::ExitCode, operator_error::OperatorError> {
        let client = operator_client::OperatorClient::new(self.node.as_deref());
        maintenance_commands::print_json(&client.dump().await?);
        Ok(process::ExitCode::from(operator_error::SUCCESS))
    }
}

fn print_status(status: &types::DeploymentStatus) {
    println!("revision {} by change {}", status.revision, status.change_id);
    println!("zones out: {}", format_names(&status.zones_out));
    println!("VMs out: {}", format_names(&status.vms_out));
    for node in &status.nodes {
        if !node.detail.is_empty() {
            println!("{:<24} no answer: {}", node.node, node.detail);
            continue;
        }
        let ready = if node.ready { "ready" } else { "not ready" };
        println!(
            "{:<24} {:<20} {:<9} {ready:<10} revision {}",
            node.node, node.zone, node.phase, node.revision
        );
    }
    let mut phases: IndexMap<types::EndpointPhase, usize> = IndexMap::new();
    let endpoints = status.nodes.iter().flat_map(|node| &node.endpoints);
    for endpoint in endpoints.filter(|state| state.ownership == types::OwnershipPhase::Owned) {
        *phases.entry(endpoint.phase).or_default() += 1;
    }
    for (phase, count) in phases {
        println!("endpoints {phase}: {count}");
    }
}

fn format_names(names: &[ids::Text]) -> Box<str> {
    if names.is_empty() {
        return "none".into();
    }
    names.join(", ").into()
}
