//! Generates Rust types and settings from the files under `schema/`.
//!
//! These files are the single source of messages, declarations and settings. Without arguments the
//! generator rewrites the committed sources; with `--check`, as in CI, it only compares them and
//! fails if they differ.
//!
//! ```text
//! cargo run -p comfreyspread-codegen            # rewrite
//! cargo run -p comfreyspread-codegen -- --check # compare
//! ```
//!
//! The generated sources are committed, so a build doesn't run the generator.

mod definitions;
mod output;
mod settings;
mod source;

use std::path;

/// Generate the types of the schema crate.
#[derive(argh::FromArgs)]
struct GeneratorArguments {
    /// only compare the committed sources and fail if they differ
    #[argh(switch)]
    check: bool,

    /// folder that holds `schema` and `crates` (default: the present folder)
    #[argh(option, default = "path::PathBuf::from(\".\")")]
    root: path::PathBuf,
}

fn main() -> miette::Result<()> {
    let arguments: GeneratorArguments = argh::from_env();
    let root = arguments.root;
    let schema = root.join("schema");
    let target = root.join("crates/comfreyspread-schema/src/generated");
    let files = [
        output::GeneratedFile::new("ids.rs", definitions::generate_ids(&schema)?),
        output::GeneratedFile::new("types.rs", definitions::generate_types(&schema)?),
        output::GeneratedFile::new("settings.rs", settings::generate(&schema)?),
    ];
    for file in &files {
        file.write_or_check(&target, arguments.check)?;
    }
    let lab = root.join("crates/comfreyspread-lab/src/generated");
    let types = definitions::generate_lab_types(&schema)?;
    output::GeneratedFile::new("types.rs", types).write_or_check(&lab, arguments.check)?;
    let node = root.join("crates/comfreyspread/src/generated");
    let answers = definitions::generate_answers(&schema)?;
    output::GeneratedFile::new("answers.rs", answers).write_or_check(&node, arguments.check)?;
    let platform = root.join("platform/src/generated");
    let bodies = definitions::generate_wire_types(&schema)?;
    output::GeneratedFile::new("bodies.rs", bodies).write_or_check(&platform, arguments.check)?;
    Ok(())
}
