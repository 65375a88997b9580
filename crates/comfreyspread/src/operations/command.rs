//! Parsing of the command line and dispatch to the commands.

use crate::{
    gateway,
    operations::{
        declaration_commands, explain_command, maintenance_commands, operator_error,
        rollout_command, state_commands,
    },
    runtime::{logging, node, settings},
};
use comfreyspread_schema::settings as schema_settings;
use indexmap::IndexMap;
use miette::IntoDiagnostic as _;
use std::{env, process, sync};

/// Serving system for pipelines of models and plain services.
#[derive(argh::FromArgs)]
#[argh(note = "Exit codes: 0 done, 1 refused or not valid, 2 usage, 3 staged and not accepted in \
time, 4 conflict with another change, 5 the node or its store did not answer.")]
pub struct CommandLine {
    #[argh(subcommand)]
    verb: Subcommand,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Apply(declaration_commands::ApplyArguments),
    Claims(state_commands::ClaimsArguments),
    Diff(declaration_commands::DiffArguments),
    Dump(state_commands::DumpArguments),
    Explain(explain_command::ExplainArguments),
    Gateway(gateway::process::GatewayArguments),
    Node(Box<schema_settings::NodeFlags>),
    Rollouts(rollout_command::RolloutsArguments),
    Status(state_commands::StatusArguments),
    Validate(declaration_commands::ValidateArguments),
    Vm(maintenance_commands::VmArguments),
    Zone(maintenance_commands::ZoneArguments),
}

/// Parses the arguments after the program name and runs the command.
pub fn run(arguments: &[&str]) -> process::ExitCode {
    let parsed = <CommandLine as argh::FromArgs>::from_args(&["comfreyspread"], arguments);
    match parsed {
        Ok(arguments) => arguments.run(),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            process::ExitCode::from(operator_error::SUCCESS)
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            process::ExitCode::from(operator_error::USAGE)
        }
    }
}

impl CommandLine {
    /// Runs the subcommand and prints errors for the operator.
    pub fn run(self) -> process::ExitCode {
        let result = match self.verb {
            Subcommand::Apply(arguments) => async_io::block_on(arguments.run()),
            Subcommand::Claims(arguments) => async_io::block_on(arguments.run()),
            Subcommand::Diff(arguments) => async_io::block_on(arguments.run()),
            Subcommand::Dump(arguments) => async_io::block_on(arguments.run()),
            Subcommand::Explain(arguments) => async_io::block_on(arguments.run()),
            Subcommand::Gateway(arguments) => {
                return report_result(arguments.run(&environment()));
            }
            Subcommand::Node(flags) => return report_result(run_node(&flags)),
            Subcommand::Rollouts(arguments) => async_io::block_on(arguments.run()),
            Subcommand::Status(arguments) => async_io::block_on(arguments.run()),
            Subcommand::Validate(arguments) => arguments.run(),
            Subcommand::Vm(arguments) => async_io::block_on(arguments.run()),
            Subcommand::Zone(arguments) => async_io::block_on(arguments.run()),
        };
        result.unwrap_or_else(operator_error::OperatorError::report)
    }
}

fn report_result(result: miette::Result<process::ExitCode>) -> process::ExitCode {
    result.unwrap_or_else(|report| {
        eprintln!("{report:?}");
        process::ExitCode::from(operator_error::REFUSED)
    })
}

fn run_node(flags: &schema_settings::NodeFlags) -> miette::Result<process::ExitCode> {
    let settings = settings::NodeSettings::new(flags, &environment())?;
    if flags.check {
        println!("the settings are valid");
        return Ok(process::ExitCode::SUCCESS);
    }
    logging::init(settings.log_level, settings.log_json).into_diagnostic()?;
    node::run(settings)
}

fn environment() -> IndexMap<sync::Arc<str>, sync::Arc<str>> {
    let variables = env::vars_os().filter_map(|(name, value)| {
        Some((name.into_string().ok()?.into(), value.into_string().ok()?.into()))
    });
    variables.collect()
}
