//! Commands on declarations: `validate`, `diff` and `apply`.

use crate::{
    configuration::declaration_files,
    operations::{maintenance_commands, operator_client, operator_error},
};
use comfreyspread_policy::{comparison, validation};
use comfreyspread_schema::{ids, types};
use std::{process, time};

/// check files of declarations; exits with 0 if they can be applied and 1 if not
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "validate")]
pub struct ValidateArguments {
    /// files ending in .toml or .json, read as one
    #[argh(positional, from_str_fn(maintenance_commands::parse_text))]
    files: Vec<ids::Text>,
    /// print the findings as JSON
    #[argh(switch)]
    json: bool,
}

/// show what applying files of declarations would add, remove and change
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArguments {
    /// files ending in .toml or .json, read as one
    #[argh(positional, from_str_fn(maintenance_commands::parse_text))]
    files: Vec<ids::Text>,
    /// caller address of any node (default: COMFREYSPREAD_OPERATOR_NODE or 127.0.0.1:8080)
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    node: Option<ids::Text>,
    /// print the differences as JSON
    #[argh(switch)]
    json: bool,
}

/// replace the declarations in force by those of the files and wait until every node has them
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArguments {
    /// files ending in .toml or .json, read as one
    #[argh(positional, from_str_fn(maintenance_commands::parse_text))]
    files: Vec<ids::Text>,
    /// caller address of any node (default: COMFREYSPREAD_OPERATOR_NODE or 127.0.0.1:8080)
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    node: Option<ids::Text>,
    /// who makes the change (default: COMFREYSPREAD_OPERATOR_AUTHOR or USER)
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    author: Option<ids::Text>,
    /// identifier of the change, to send one again whose answer was lost
    #[argh(option, from_str_fn(maintenance_commands::parse_text))]
    change: Option<ids::Text>,
    /// revision the files were made against (default: the one in force)
    #[argh(option)]
    base: Option<ids::RevisionNumber>,
    /// longest wait for acceptance in milliseconds (default: 8000)
    #[argh(option, default = "maintenance_commands::DEFAULT_WAIT_MS")]
    wait_ms: u64,
    /// print what became of the change as JSON
    #[argh(switch)]
    json: bool,
}

impl ValidateArguments {
    /// Checks the files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or the declarations are not valid.
    pub fn run(&self) -> Result<process::ExitCode, operator_error::OperatorError> {
        let declared = declaration_files::read(&self.files)?;
        let findings = validation::validate(&declared);
        if self.json {
            maintenance_commands::print_json(&findings);
        }
        if validation::has_faults(&findings) {
            return Err(operator_error::OperatorError::Invalid(findings));
        }
        if !self.json {
            print_warnings(&findings);
            println!("the declarations are valid");
        }
        Ok(process::ExitCode::from(operator_error::SUCCESS))
    }
}

impl DiffArguments {
    /// Shows the differences.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or the node does not answer.
    pub async fn run(&self) -> Result<process::ExitCode, operator_error::OperatorError> {
        let declared = declaration_files::read(&self.files)?;
        let client = operator_client::OperatorClient::new(self.node.as_deref());
        let current = client.configuration().await?;
        let before = current.map(|document| document.declarations).unwrap_or_default();
        let changes = comparison::compare(&before, &declared);
        if self.json {
            maintenance_commands::print_json(&changes);
            return Ok(process::ExitCode::from(operator_error::SUCCESS));
        }
        for change in &changes {
            print_change(change, &before, &declared);
        }
        println!("{}", comparison::summarize(&changes));
        Ok(process::ExitCode::from(operator_error::SUCCESS))
    }
}

impl ApplyArguments {
    /// Applies the files.
    ///
    /// # Errors
    ///
    /// Fails if the declarations are not valid, the node does not answer, another change came
    /// first, or a node did not confirm in time.
    pub async fn run(self) -> Result<process::ExitCode, operator_error::OperatorError> {
        let declared = declaration_files::read(&self.files)?;
        let findings = validation::validate(&declared);
        if validation::has_faults(&findings) {
            return Err(operator_error::OperatorError::Invalid(findings));
        }
        if !self.json {
            print_warnings(&findings);
        }
        let submission = maintenance_commands::ChangeSubmission {
            author: self.author,
            base: self.base,
            change: self.change,
            json: self.json,
            node: self.node,
            wait: time::Duration::from_millis(self.wait_ms),
        };
        submission.submit(types::ChangeAction::Declare { declarations: declared }).await
    }
}

fn print_warnings(findings: &[types::ValidationFinding]) {
    if !findings.is_empty() {
        println!("{}", operator_error::format_findings(findings));
    }
}

fn print_change(
    change: &types::DeclarationChange,
    before: &types::Declarations,
    after: &types::Declarations,
) {
    let marker = match change.change_type {
        types::ChangeType::Added => "+",
        types::ChangeType::Removed => "-",
        types::ChangeType::Changed => "~",
    };
    println!("{marker} {} {}", change.kind, change.name);
    if change.change_type != types::ChangeType::Changed {
        return;
    }
    let old = declaration_fields(before, change);
    for (field, value) in declaration_fields(after, change) {
        if old.get(&field) != Some(&value) {
            let before = old.get(&field).cloned().unwrap_or_default();
            println!("    {field}: {before} -> {value}");
        }
    }
}

/// Returns the fields of one declaration as JSON.
fn declaration_fields(
    declarations: &types::Declarations,
    change: &types::DeclarationChange,
) -> serde_json::Map<String, serde_json::Value> {
    let all = serde_json::to_value(declarations).unwrap_or_default();
    let of_kind = all[format!("{}s", change.kind)].as_array().cloned().unwrap_or_default();
    let found = of_kind.into_iter().find(|entry| entry["name"].as_str() == Some(&change.name));
    found.and_then(|entry| entry.as_object().cloned()).unwrap_or_default()
}
