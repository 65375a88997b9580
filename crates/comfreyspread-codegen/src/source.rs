//! Reads schema files.

use miette::{Context as _, IntoDiagnostic as _};
use std::{fs, path};

/// Reads the schema file `name` in `folder`.
///
/// # Errors
///
/// Fails if the file cannot be read or is not JSON; the error names it.
pub fn read(folder: &path::Path, name: &str) -> miette::Result<serde_json::Value> {
    let file = folder.join(name);
    let text = fs::read_to_string(&file)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} cannot be read", file.display()))?;
    serde_json::from_str(&text)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} is not valid", file.display()))
}
