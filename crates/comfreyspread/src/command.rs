//! The command line.

use crate::{logs, node, settings};
use comfreyspread_schema::settings as schema_settings;
use indexmap::IndexMap;
use miette::IntoDiagnostic as _;
use std::{env, process, sync};

/// Serving system for pipelines of models and plain services.
#[derive(argh::FromArgs)]
pub struct TopArguments {
    #[argh(subcommand)]
    verb: TopVerb,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum TopVerb {
    Node(Box<schema_settings::NodeFlags>),
}

impl TopArguments {
    /// Carries out the verb given.
    ///
    /// # Errors
    ///
    /// Fails with a report for people.
    pub fn run(self) -> miette::Result<process::ExitCode> {
        match self.verb {
            TopVerb::Node(flags) => run_node(&flags),
        }
    }
}

fn run_node(flags: &schema_settings::NodeFlags) -> miette::Result<process::ExitCode> {
    let settings = settings::NodeSettings::new(flags, &environment())?;
    if flags.check {
        println!("the settings are valid");
        return Ok(process::ExitCode::SUCCESS);
    }
    logs::start(settings.log_level, settings.log_json).into_diagnostic()?;
    node::run(settings)
}

fn environment() -> IndexMap<sync::Arc<str>, sync::Arc<str>> {
    let texts = env::vars_os().filter_map(|(name, value)| {
        Some((name.into_string().ok()?.into(), value.into_string().ok()?.into()))
    });
    texts.collect()
}
