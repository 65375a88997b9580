//! Description of one setting, as the generated table lists them.

/// One setting: names, help, default and allowed values.
#[derive(Clone, Copy, Debug)]
pub struct SettingRow {
    /// Name of the setting; its flag is the same with dashes.
    pub name: &'static str,
    /// Environment variable that holds it.
    pub variable: &'static str,
    /// What it sets.
    pub help: &'static str,
    /// Text that stands in when neither flag nor variable is given.
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
