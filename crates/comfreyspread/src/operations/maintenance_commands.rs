//! Commands that take zones and VMs out of service and back: `zone` and `vm`.

use crate::operations::{operator_client, operator_error};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{env, process, str, time};

/// Default wait for acceptance, in milliseconds.
pub const DEFAULT_WAIT_MS: u64 = 8000;

/// take an availability zone out of service, bring it back, or list all zones
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "zone",
    example = "comfreyspread zone out antioquia-a\ncomfreyspread zone in antioquia-a\ncomfreyspread zone list"
)]
pub struct ZoneArguments {
    /// out, in or list
    #[argh(positional)]
    order: MaintenanceAction,
    /// name of the zone, for out and in
    #[argh(positional, from_str_fn(parse_text))]
    name: Option<ids::Text>,
    /// caller address of any node (default: COMFREYSPREAD_OPERATOR_NODE or 127.0.0.1:8080)
    #[argh(option, from_str_fn(parse_text))]
    node: Option<ids::Text>,
    /// who makes the change (default: COMFREYSPREAD_OPERATOR_AUTHOR or USER)
    #[argh(option, from_str_fn(parse_text))]
    author: Option<ids::Text>,
    /// identifier of the change, to send one again whose answer was lost
    #[argh(option, from_str_fn(parse_text))]
    change: Option<ids::Text>,
    /// longest wait for acceptance in milliseconds (default: 8000)
    #[argh(option, default = "DEFAULT_WAIT_MS")]
    wait_ms: u64,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// take a VM out of service, bring it back, or list all VMs
#[derive(Debug, argh::FromArgs)]
#[argh(
    subcommand,
    name = "vm",
    example = "comfreyspread vm out appraise-vm-1\ncomfreyspread vm in appraise-vm-1\ncomfreyspread vm list"
)]
pub struct VmArguments {
    /// out, in or list
    #[argh(positional)]
    order: MaintenanceAction,
    /// name of the VM, for out and in
    #[argh(positional, from_str_fn(parse_text))]
    name: Option<ids::Text>,
    /// caller address of any node (default: COMFREYSPREAD_OPERATOR_NODE or 127.0.0.1:8080)
    #[argh(option, from_str_fn(parse_text))]
    node: Option<ids::Text>,
    /// who makes the change (default: COMFREYSPREAD_OPERATOR_AUTHOR or USER)
    #[argh(option, from_str_fn(parse_text))]
    author: Option<ids::Text>,
    /// identifier of the change, to send one again whose answer was lost
    #[argh(option, from_str_fn(parse_text))]
    change: Option<ids::Text>,
    /// longest wait for acceptance in milliseconds (default: 8000)
    #[argh(option, default = "DEFAULT_WAIT_MS")]
    wait_ms: u64,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// Action of a `zone` or `vm` command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MaintenanceAction {
    /// Bring back into service.
    In,
    /// List.
    List,
    /// Take out of service.
    Out,
}

impl str::FromStr for MaintenanceAction {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "in" => Ok(Self::In),
            "list" => Ok(Self::List),
            "out" => Ok(Self::Out),
            _ => Err(format!("{text:?} is not one of out, in, list").into()),
        }
    }
}

/// Reads a text argument.
///
/// # Errors
///
/// Never fails.
pub fn parse_text(value: &str) -> Result<ids::Text, String> {
    Ok(value.into())
}

/// Prints a message as JSON.
pub fn print_json<Message>(message: &Message)
where
    Message: serde::Serialize,
{
    match serde_json::to_string_pretty(message) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("the result cannot be encoded: {error}"),
    }
}

/// Parameters of a change to submit, except its action.
#[derive(Clone, Debug)]
pub struct ChangeSubmission {
    /// Who makes the change.
    pub author: Option<ids::Text>,
    /// Revision the change was made against; the one in force if absent.
    pub base: Option<ids::RevisionNumber>,
    /// Identifier of the change; generated if absent.
    pub change: Option<ids::Text>,
    /// Whether to print the outcome as JSON.
    pub json: bool,
    /// Caller address of the node to submit to.
    pub node: Option<ids::Text>,
    /// Maximum wait for acceptance.
    pub wait: time::Duration,
}

impl ChangeSubmission {
    /// Submits a change and prints its outcome.
    ///
    /// # Errors
    ///
    /// Fails unless the change was accepted.
    pub async fn submit(
        self,
        action: types::ChangeAction,
    ) -> Result<process::ExitCode, operator_error::OperatorError> {
        let client = operator_client::OperatorClient::new(self.node.as_deref());
        let base_revision = match self.base {
            Some(base_revision) => base_revision,
            None => client.configuration().await?.map_or(0, |document| document.revision),
        };
        let request = types::ChangeRequest {
            author: self.author.unwrap_or_else(default_author),
            base_revision,
            change_id: self.change.unwrap_or_else(new_change_id),
            action,
            wait: self.wait,
        };
        let outcome = client.submit(&request).await?;
        if self.json {
            print_json(&outcome);
        }
        report(outcome, &request, self.json)
    }
}

fn report(
    outcome: types::ChangeOutcome,
    request: &types::ChangeRequest,
    json: bool,
) -> Result<process::ExitCode, operator_error::OperatorError> {
    use operator_error::OperatorError as Error;
    match outcome {
        types::ChangeOutcome::Accepted { confirmed, revision } => {
            if !json {
                println!("revision {revision} is accepted: in force at all {confirmed} nodes");
                println!("change: {}", request.change_id);
            }
            Ok(process::ExitCode::from(operator_error::SUCCESS))
        }
        types::ChangeOutcome::Staged { unconfirmed_nodes, revision } => {
            Err(Error::Staged { revision, unconfirmed_nodes })
        }
        types::ChangeOutcome::Conflict { base_revision, head } => {
            Err(Error::Conflict { head, base_revision })
        }
        types::ChangeOutcome::Refused { detail, findings } if findings.is_empty() => {
            Err(Error::Refused(detail))
        }
        types::ChangeOutcome::Refused { findings, .. } => Err(Error::Invalid(findings)),
        types::ChangeOutcome::InDoubt { change_id, detail } => {
            Err(Error::InDoubt { change_id, detail })
        }
    }
}

fn default_author() -> ids::Text {
    let author = env::var(operator_client::AUTHOR_VARIABLE).or_else(|_| env::var("USER"));
    author.unwrap_or_else(|_| "unknown".to_owned()).into()
}

fn new_change_id() -> ids::ChangeId {
    format!("{:016x}", rand::random::<u64>()).into()
}

impl ZoneArguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails unless the change was accepted, or if the node does not answer.
    pub async fn run(self) -> Result<process::ExitCode, operator_error::OperatorError> {
        if self.order == MaintenanceAction::List {
            return list(self.node.as_deref(), self.json, zone_rows).await;
        }
        let zone = self.name.ok_or_else(|| missing_name("zone"))?;
        let order = match self.order {
            MaintenanceAction::Out => types::ChangeAction::ZoneOut { zone },
            _ => types::ChangeAction::ZoneIn { zone },
        };
        let submission = ChangeSubmission {
            author: self.author,
            base: None,
            change: self.change,
            json: self.json,
            node: self.node,
            wait: time::Duration::from_millis(self.wait_ms),
        };
        submission.submit(order).await
    }
}

impl VmArguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails unless the change was accepted, or if the node does not answer.
    pub async fn run(self) -> Result<process::ExitCode, operator_error::OperatorError> {
        if self.order == MaintenanceAction::List {
            return list(self.node.as_deref(), self.json, vm_rows).await;
        }
        let vm = self.name.ok_or_else(|| missing_name("VM"))?;
        let order = match self.order {
            MaintenanceAction::Out => types::ChangeAction::VmOut { vm },
            _ => types::ChangeAction::VmIn { vm },
        };
        let submission = ChangeSubmission {
            author: self.author,
            base: None,
            change: self.change,
            json: self.json,
            node: self.node,
            wait: time::Duration::from_millis(self.wait_ms),
        };
        submission.submit(order).await
    }
}

fn missing_name(kind: &str) -> operator_error::OperatorError {
    operator_error::OperatorError::Refused(format!("the name of the {kind} is missing").into())
}

/// Row of the list of zones or VMs.
#[derive(Clone, Debug, serde::Serialize)]
struct LocationRow {
    name: ids::Text,
    place: ids::Text,
    endpoints: usize,
    out: bool,
}

async fn list(
    node: Option<&str>,
    json: bool,
    rows: fn(&types::ConfigurationDocument) -> Vec<LocationRow>,
) -> Result<process::ExitCode, operator_error::OperatorError> {
    let client = operator_client::OperatorClient::new(node);
    let document = client.configuration().await?;
    let rows = document.as_ref().map(rows).unwrap_or_default();
    if json {
        print_json(&rows);
    } else {
        for row in rows {
            let state = if row.out { "out" } else { "in" };
            println!("{:<24} {state:<4} {:<24} {} endpoints", row.name, row.place, row.endpoints);
        }
    }
    Ok(process::ExitCode::from(operator_error::SUCCESS))
}

fn zone_rows(document: &types::ConfigurationDocument) -> Vec<LocationRow> {
    let endpoints = &document.declarations.endpoints;
    let row = |zone: &types::ZoneDeclaration| LocationRow {
        name: zone.name.clone(),
        place: zone.region.clone(),
        endpoints: endpoints.iter().filter(|endpoint| endpoint.zone == zone.name).count(),
        out: document.zones_out.contains(&zone.name),
    };
    document.declarations.zones.iter().map(row).collect()
}

fn vm_rows(document: &types::ConfigurationDocument) -> Vec<LocationRow> {
    let mut rows: IndexMap<ids::VmId, LocationRow> = IndexMap::new();
    let row = |name: &ids::VmId, place: ids::Text| LocationRow {
        name: name.clone(),
        place,
        endpoints: 0,
        out: document.vms_out.contains(name),
    };
    for endpoint in &document.declarations.endpoints {
        let vm = &endpoint.vm;
        rows.entry(vm.clone()).or_insert_with(|| row(vm, endpoint.zone.clone())).endpoints += 1;
    }
    for vm in &document.vms_out {
        rows.entry(vm.clone()).or_insert_with(|| row(vm, "-".into()));
    }
    rows.into_values().collect()
}
