//! The command line.

use crate::{
    gateway,
    operations::{declaration_verbs, operator_error, service_verbs, state_verbs},
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
pub struct TopArguments {
    #[argh(subcommand)]
    verb: TopVerb,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum TopVerb {
    Apply(declaration_verbs::ApplyArguments),
    Claims(state_verbs::ClaimsArguments),
    Diff(declaration_verbs::DiffArguments),
    Dump(state_verbs::DumpArguments),
    Gateway(gateway::process::GatewayArguments),
    Node(Box<schema_settings::NodeFlags>),
    Status(state_verbs::StatusArguments),
    Validate(declaration_verbs::ValidateArguments),
    Vm(service_verbs::VmArguments),
    Zone(service_verbs::ZoneArguments),
}

/// Reads the arguments after the name of the program and carries out the command.
pub fn run(arguments: &[&str]) -> process::ExitCode {
    let parsed = <TopArguments as argh::FromArgs>::from_args(&["comfreyspread"], arguments);
    match parsed {
        Ok(arguments) => arguments.run(),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            process::ExitCode::from(operator_error::DONE)
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            process::ExitCode::from(operator_error::USAGE)
        }
    }
}

impl TopArguments {
    /// Carries out the verb given and reports failures to people.
    pub fn run(self) -> process::ExitCode {
        let done = match self.verb {
            TopVerb::Apply(arguments) => async_io::block_on(arguments.run()),
            TopVerb::Claims(arguments) => async_io::block_on(arguments.run()),
            TopVerb::Diff(arguments) => async_io::block_on(arguments.run()),
            TopVerb::Dump(arguments) => async_io::block_on(arguments.run()),
            TopVerb::Gateway(arguments) => {
                return report_node(arguments.run(&environment()));
            }
            TopVerb::Node(flags) => return report_node(run_node(&flags)),
            TopVerb::Status(arguments) => async_io::block_on(arguments.run()),
            TopVerb::Validate(arguments) => arguments.run(),
            TopVerb::Vm(arguments) => async_io::block_on(arguments.run()),
            TopVerb::Zone(arguments) => async_io::block_on(arguments.run()),
        };
        done.unwrap_or_else(operator_error::OperatorError::report)
    }
}

fn report_node(ended: miette::Result<process::ExitCode>) -> process::ExitCode {
    ended.unwrap_or_else(|report| {
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
    let texts = env::vars_os().filter_map(|(name, value)| {
        Some((name.into_string().ok()?.into(), value.into_string().ok()?.into()))
    });
    texts.collect()
}
