//! Generator of the types in `comfreyspread-schema`.
//!
//! The files under `schema/` are the one source of messages, declarations and settings. Without
//! arguments the generator rewrites the committed sources; with `--check` it only compares them
//! and fails if they differ, which is what CI runs.
//!
//! ```text
//! cargo run -p comfreyspread-codegen            # rewrite
//! cargo run -p comfreyspread-codegen -- --check # compare
//! ```
//!
//! The build itself never runs the generator, so a checkout builds without it.

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
        file.settle(&target, arguments.check)?;
    }
    let lab = root.join("crates/comfreyspread-lab/src/generated");
    let types = definitions::generate_lab_types(&schema)?;
    output::GeneratedFile::new("types.rs", types).settle(&lab, arguments.check)?;
    let node = root.join("crates/comfreyspread/src/generated");
    let answers = definitions::generate_answers(&schema)?;
    output::GeneratedFile::new("answers.rs", answers).settle(&node, arguments.check)?;
    let platform = root.join("platform/src/generated");
    let bodies = definitions::generate_wire_types(&schema)?;
    output::GeneratedFile::new("bodies.rs", bodies).settle(&platform, arguments.check)?;
    Ok(())
}
