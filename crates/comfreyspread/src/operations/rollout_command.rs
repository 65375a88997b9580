//! The command `rollouts`: the roll-outs of endpoint software that a node knows.

use crate::operations::{maintenance_commands, operator_client, operator_error};
use comfreyspread_schema::{ids, types};
use std::process;

/// show the roll-outs of endpoint software: state, evidence and the node that decides
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "rollouts")]
pub struct RolloutsArguments {
    /// address of a node's metrics or readiness checks (default: COMFREYSPREAD_OPERATOR_NODE or
    /// 127.0.0.1:8080); the node that decides shows the counts of all nodes
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    node: Option<ids::Text>,
    /// print the roll-outs as JSON
    #[argh(switch)]
    json: bool,
}

impl RolloutsArguments {
    /// Shows the roll-outs.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn run(&self) -> Result<process::ExitCode, operator_error::OperatorError> {
        let client = operator_client::OperatorClient::new(self.node.as_deref());
        let list = client.rollouts().await?;
        if self.json {
            maintenance_commands::print_json(&list);
            return Ok(process::ExitCode::from(operator_error::SUCCESS));
        }
        list.rollouts.iter().for_each(print_rollout);
        println!("roll-outs known to {}: {}", list.node, list.rollouts.len());
        Ok(process::ExitCode::from(operator_error::SUCCESS))
    }
}

fn print_rollout(view: &types::RolloutView) {
    let order = &view.order;
    let phase = view.record.as_ref().map_or_else(|| "not begun".into(), describe);
    println!("{:<20} to {:<12} {phase}; decided by {}", order.service, order.to, view.decider);
    for counts in &view.counts {
        let version = if counts.new { "new" } else { "old" };
        println!(
            "  {:<24} {version}: {} answers, {} failures, {} broken",
            counts.route, counts.answers, counts.failures, counts.broken
        );
    }
}

fn describe(record: &types::RolloutRecord) -> Box<str> {
    let percent = record.share * 100.0;
    format!("{} at {percent:.0} in 100 ({})", record.phase, record.reason).into()
}
