//! Operators' commands, run as separate processes.
#![allow(dead_code, reason = "each test file uses a part")]

use comfreyspread_lab::deployment;
use comfreyspread_schema::types as wire;
use std::{env, fs, path, process};

/// A temporary file of declarations that is removed when dropped.
#[derive(Debug)]
pub struct DeclarationFile {
    path: path::PathBuf,
}

impl DeclarationFile {
    /// Writes declarations to a temporary file whose name contains `name`.
    pub fn new(name: &str, declarations: &wire::Declarations) -> Self {
        let path = env::temp_dir().join(format!("comfreyspread-{}-{name}.json", process::id()));
        let text = serde_json::to_string(declarations).expect("JSON");
        fs::write(&path, text).expect("the file is written");
        Self { path }
    }

    /// Returns the path as text.
    pub fn path(&self) -> &str {
        self.path.to_str().expect("a UTF-8 path")
    }
}

impl Drop for DeclarationFile {
    fn drop(&mut self) {
        fs::remove_file(&self.path).ok();
    }
}

/// Starts an operator's command against one node.
pub fn start_command(
    deployment: &deployment::TestDeployment,
    node: usize,
    arguments: &[&str],
) -> process::Child {
    let address = deployment.nodes[node].caller_address.to_string();
    process::Command::new(env!("CARGO_BIN_EXE_comfreyspread-lab"))
        .arg("product")
        .args(arguments)
        .args(["--node", &address])
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .expect("the command starts")
}

/// Waits for a command to exit and returns its exit code and its combined output.
pub fn wait_for_exit(command: process::Child) -> (i32, String) {
    let output = command.wait_with_output().expect("the command ends");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code().unwrap_or(-1), text)
}

/// Runs an operator's command against one node; returns its exit code and its combined output.
pub fn run_command(
    deployment: &deployment::TestDeployment,
    node: usize,
    arguments: &[&str],
) -> (i32, String) {
    wait_for_exit(start_command(deployment, node, arguments))
}
