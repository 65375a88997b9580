//! The `comfreyspread` program.

use std::{env, process};

fn main() -> process::ExitCode {
    let arguments: Vec<_> = env::args().skip(1).collect();
    let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
    comfreyspread::operations::command::run(&arguments)
}
