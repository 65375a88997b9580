//! Reads declarations from files.
//!
//! The extension of a file determines its format. Several files are read as one set: their lists
//! are concatenated, and validation refuses duplicate names.

use crate::operations::operator_error;
use comfreyspread_schema::{ids, types};
use std::{fs, path};

/// Format of a declaration file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileFormat {
    /// JSON.
    Json,
    /// TOML.
    Toml,
}

impl FileFormat {
    /// Returns the format for the extension of a path; `None` if it is unknown.
    pub fn of(file: &path::Path) -> Option<Self> {
        match file.extension()?.to_str()? {
            "json" => Some(Self::Json),
            "toml" => Some(Self::Toml),
            _ => None,
        }
    }

    /// Decodes declarations.
    ///
    /// # Errors
    ///
    /// Fails with the position and the reason if the text is not valid.
    pub fn decode(self, text: &str) -> Result<types::Declarations, ids::Text> {
        match self {
            Self::Json => serde_json::from_str(text).map_err(|error| error.to_string().into()),
            Self::Toml => toml::from_str(text).map_err(|error| error.to_string().into()),
        }
    }
}

/// Reads all files as one set of declarations.
///
/// # Errors
///
/// Fails if a file cannot be read or decoded.
pub fn read(files: &[ids::Text]) -> Result<types::Declarations, operator_error::OperatorError> {
    let mut all = types::Declarations::default();
    for file in files {
        let part = read_file(file).map_err(|detail| {
            let file = file.clone();
            operator_error::OperatorError::File { file, detail }
        })?;
        all = merge(all, part);
    }
    Ok(all)
}

/// Appends the lists of `part` to those of `all`.
pub fn merge(mut all: types::Declarations, part: types::Declarations) -> types::Declarations {
    all.zones.extend(part.zones);
    all.pools.extend(part.pools);
    all.endpoints.extend(part.endpoints);
    all.pipelines.extend(part.pipelines);
    all.services.extend(part.services);
    all.profiles.extend(part.profiles);
    all.workspaces.extend(part.workspaces);
    all
}

fn read_file(file: &ids::Text) -> Result<types::Declarations, ids::Text> {
    let file = path::Path::new(&**file);
    let format = FileFormat::of(file).ok_or_else(|| ids::Text::from("unknown file ending"))?;
    let text = fs::read_to_string(file).map_err(|error| ids::Text::from(error.to_string()))?;
    format.decode(&text)
}
