//! Writing and comparing generated files.

use miette::{Context as _, IntoDiagnostic as _};
use std::{fs, path};

/// One generated source file, formatted.
pub struct GeneratedFile {
    name: &'static str,
    text: Box<str>,
}

impl GeneratedFile {
    /// Creates a file from parsed source.
    pub fn new(name: &'static str, source: syn::File) -> Self {
        Self { name, text: prettyplease::unparse(&source).into() }
    }

    /// Compares the file with the committed one, or rewrites it.
    ///
    /// # Errors
    ///
    /// Fails if a comparison finds a difference or the file cannot be written.
    pub fn settle(&self, folder: &path::Path, check: bool) -> miette::Result<()> {
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
