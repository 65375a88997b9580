//! Writes generated files or compares them with the committed ones.

use miette::{Context as _, IntoDiagnostic as _};
use std::{fs, path};

/// A formatted, generated source file.
pub struct GeneratedFile {
    name: &'static str,
    text: Box<str>,
}

impl GeneratedFile {
    /// Formats `source` as the file `name`.
    pub fn new(name: &'static str, source: syn::File) -> Self {
        Self { name, text: prettyplease::unparse(&source).into() }
    }

    /// Compares the file with the committed one if `check` is set, or writes it.
    ///
    /// # Errors
    ///
    /// Fails if a comparison finds a difference or the file cannot be written.
    pub fn write_or_check(&self, folder: &path::Path, check: bool) -> miette::Result<()> {
        if check { self.check(folder) } else { self.write(folder) }
    }

    /// Writes the file into `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    fn write(&self, folder: &path::Path) -> miette::Result<()> {
        fs::create_dir_all(folder).into_diagnostic()?;
        fs::write(folder.join(self.name), &*self.text).into_diagnostic()
    }

    /// Compares the file with the committed one in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the committed file is missing or differs.
    fn check(&self, folder: &path::Path) -> miette::Result<()> {
        let committed = fs::read_to_string(folder.join(self.name))
            .into_diagnostic()
            .wrap_err_with(|| format!("{} is missing", self.name))?;
        if *committed == *self.text {
            return Ok(());
        }
        Err(miette::miette!(
            help = "run `cargo run -p comfreyspread-codegen` and commit the result",
            "{} differs from the schema",
            self.name
        ))
    }
}
