//! Wire form of lengths of time: whole milliseconds.
//!
//! Used by generated types through `#[serde(with = "crate::millis")]`.

use serde::Deserialize as _;
use std::time;

/// Writes a length of time as whole milliseconds.
///
/// # Errors
///
/// Fails if the serializer fails.
pub fn serialize<Writer>(
    value: &time::Duration,
    writer: Writer,
) -> Result<Writer::Ok, Writer::Error>
where
    Writer: serde::Serializer,
{
    writer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a length of time from whole milliseconds.
///
/// # Errors
///
/// Fails if the value is not an unsigned integer.
pub fn deserialize<'de, Reader>(reader: Reader) -> Result<time::Duration, Reader::Error>
where
    Reader: serde::Deserializer<'de>,
{
    u64::deserialize(reader).map(time::Duration::from_millis)
}
