//! The `comfreyspread` program.

use std::process;

fn main() -> miette::Result<process::ExitCode> {
    let arguments: comfreyspread::command::TopArguments = argh::from_env();
    arguments.run()
}
