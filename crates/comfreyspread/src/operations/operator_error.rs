//! Errors of operators' commands: exit codes for scripts, reports for people.

use comfreyspread_schema::{ids, types};
use std::process;

/// Exit code of a command that succeeded.
pub const SUCCESS: u8 = 0;
/// Exit code of a command that was refused or whose input is not valid.
pub const REFUSED: u8 = 1;
/// Exit code of a command line that cannot be parsed.
pub const USAGE: u8 = 2;
/// Exit code of a change that was staged but not accepted in time.
pub const STAGED: u8 = 3;
/// Exit code of a change that conflicts with an earlier one.
pub const CONFLICT: u8 = 4;
/// Exit code of a command whose node or store did not answer.
pub const UNREACHABLE: u8 = 5;

/// Error of an operator's command.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum OperatorError {
    /// A file cannot be read.
    #[error("{file}: {detail}")]
    #[diagnostic(
        code(comfreyspread::file),
        help("declarations are files ending in .toml or .json")
    )]
    File {
        /// Path of the file.
        file: ids::Text,
        /// Human-readable reason.
        detail: ids::Text,
    },
    /// Declarations are not valid.
    #[error("the declarations are not valid:\n{}", format_findings(.0))]
    #[diagnostic(
        code(comfreyspread::invalid),
        help("nothing was changed; mend the fields named and try again")
    )]
    Invalid(Vec<types::ValidationFinding>),
    /// The node refused the request.
    #[error("refused: {0}")]
    #[diagnostic(code(comfreyspread::refused))]
    Refused(ids::Text),
    /// Another change was made to the same revision first.
    #[error(
        "conflict: change {} by {} made revision {} ({}) after revision {base_revision}, \
        against which yours was made; nothing was changed",
        head.change_id, head.author, head.revision, head.summary
    )]
    #[diagnostic(
        code(comfreyspread::conflict),
        help("look at it with `comfreyspread diff`, then apply again")
    )]
    Conflict {
        /// The earlier change.
        head: types::ChangeRecord,
        /// Revision the refused change was made against.
        base_revision: ids::RevisionNumber,
    },
    /// The change is staged, but some nodes have not confirmed it.
    #[error(
        "revision {revision} is staged and not accepted in time; missing:\n{}",
        format_missing(unconfirmed_nodes)
    )]
    #[diagnostic(
        code(comfreyspread::staged),
        help("the other nodes have it in force; `comfreyspread status` shows the nodes")
    )]
    Staged {
        /// Revision that is staged.
        revision: ids::RevisionNumber,
        /// Nodes that have not confirmed.
        unconfirmed_nodes: Vec<types::UnconfirmedNode>,
    },
    /// Whether the change took effect is unknown.
    #[error("it is not known whether change {change_id} took effect: {detail}")]
    #[diagnostic(
        code(comfreyspread::doubt),
        help("send it again with --change {change_id}: it takes effect at most once")
    )]
    InDoubt {
        /// Identifier of the change.
        change_id: ids::ChangeId,
        /// Human-readable reason.
        detail: ids::Text,
    },
    /// The node does not answer.
    #[error("the node at {address} does not answer: {detail}")]
    #[diagnostic(
        code(comfreyspread::unreachable),
        help("nothing was changed; give another node's caller address with --node")
    )]
    Unreachable {
        /// Caller address of the node.
        address: ids::Text,
        /// Human-readable reason.
        detail: ids::Text,
    },
}

impl OperatorError {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Invalid(_) | Self::Refused(_) => REFUSED,
            Self::Conflict { .. } => CONFLICT,
            Self::Staged { .. } => STAGED,
            Self::InDoubt { .. } | Self::Unreachable { .. } => UNREACHABLE,
        }
    }

    /// Prints the report for people and returns the exit code.
    pub fn report(self) -> process::ExitCode {
        let code = process::ExitCode::from(self.code());
        let options = || miette::MietteHandlerOpts::new().wrap_lines(false).break_words(false);
        miette::set_hook(Box::new(move |_| Box::new(options().build()))).ok();
        eprintln!("{:?}", miette::Report::new(self));
        code
    }
}

/// Formats one line for each finding.
pub fn format_findings(findings: &[types::ValidationFinding]) -> Box<str> {
    let line = |finding: &types::ValidationFinding| {
        format!(
            "  {}: {} {:?}: {} is {:?}; allowed: {}",
            finding.severity,
            finding.kind,
            finding.name,
            finding.field,
            finding.value,
            finding.allowed
        )
    };
    let lines: Vec<_> = findings.iter().map(line).collect();
    lines.join("\n").into()
}

fn format_missing(nodes: &[types::UnconfirmedNode]) -> Box<str> {
    let lines: Vec<_> =
        nodes.iter().map(|node| format!("  {}: {}", node.node, node.reason)).collect();
    lines.join("\n").into()
}
