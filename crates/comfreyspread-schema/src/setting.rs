//! Types of the generated table of settings.

/// A setting: its names, help text, default and allowed values.
#[derive(Clone, Copy, Debug)]
pub struct SettingRow {
    /// Name of the setting; its flag has dashes in place of underscores.
    pub name: &'static str,
    /// Name of its environment variable.
    pub variable: &'static str,
    /// Help text.
    pub help: &'static str,
    /// Value if neither the flag nor the variable is given; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Values it may take.
    pub allowed: AllowedValues,
}

/// Values that a setting may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowedValues {
    /// Any text.
    Text,
    /// One of these values.
    Choices(&'static [&'static str]),
    /// A whole number within these inclusive bounds.
    Range {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
}
