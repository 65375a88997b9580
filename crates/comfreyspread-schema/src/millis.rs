//! Serde encoding of durations as whole milliseconds.
//!
//! Used by generated types through `#[serde(with = "crate::millis")]`.

use serde::Deserialize as _;
use std::time;

/// Serializes a duration as whole milliseconds.
///
/// # Errors
///
/// Fails if the serializer fails.
pub fn serialize<Serializer>(
    value: &time::Duration,
    serializer: Serializer,
) -> Result<Serializer::Ok, Serializer::Error>
where
    Serializer: serde::Serializer,
{
    serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

/// Deserializes a duration from whole milliseconds.
///
/// # Errors
///
/// Fails if the value is not an unsigned integer.
pub fn deserialize<'de, Deserializer>(
    deserializer: Deserializer,
) -> Result<time::Duration, Deserializer::Error>
where
    Deserializer: serde::Deserializer<'de>,
{
    u64::deserialize(deserializer).map(time::Duration::from_millis)
}
