//! Compression of large row values, so that one node can hand a large route document on to all nodes
//! of its zone over a slow link.

use comfreyspread_schema::{ids, types};
use flate2::{Compression, read};
use std::{io, io::Read as _};

/// Minimum size of a value that is compressed, in bytes.
const MIN_COMPRESSED_BYTES: usize = 8 * 1024;
/// Maximum size of a value, and of all values of a message, once decompressed, in bytes.
const MAX_VALUE_BYTES: u64 = 32 * 1024 * 1024;

/// Returns the rows with large values compressed.
pub fn compress_rows(rows: Vec<types::StoreRow>) -> Vec<types::StoreRow> {
    rows.into_iter().map(compress).collect()
}

/// Checks the rows of a message before they are kept. A row that is kept but cannot be applied would
/// hide the change from this node and from those that take rows from it.
///
/// # Errors
///
/// Fails if a value cannot be decompressed or the values are too long together.
pub fn check_rows(rows: &[types::StoreRow]) -> io::Result<()> {
    let mut bytes = 0;
    for row in rows {
        let Some(value) = row.value.as_ref().filter(|_| row.compressed) else { continue };
        let mut decoder =
            read::DeflateDecoder::new(value.as_ref()).take(MAX_VALUE_BYTES + 1 - bytes);
        bytes += io::copy(&mut decoder, &mut io::sink())?;
        check_size(bytes)?;
    }
    Ok(())
}

/// Returns the rows with plain values. A row whose value cannot be decompressed is left out and
/// logged.
pub fn decompress_rows(rows: Vec<types::StoreRow>) -> Vec<types::StoreRow> {
    let plain = rows.into_iter().filter_map(|row| {
        let key = row.key.clone();
        let decompressed = decompress(row);
        decompressed
            .inspect_err(|error| {
                log::error!(key = key.as_ref(); "store: row not decompressed. error={error}");
            })
            .ok()
    });
    plain.collect()
}

fn compress(row: types::StoreRow) -> types::StoreRow {
    let Some(value) = row.value.as_ref().filter(|value| value.len() >= MIN_COMPRESSED_BYTES) else {
        return row;
    };
    if row.compressed {
        return row;
    }
    let mut compressed = Vec::new();
    let mut encoder = read::DeflateEncoder::new(value.as_ref(), Compression::fast());
    match encoder.read_to_end(&mut compressed) {
        Ok(_) => {
            types::StoreRow { compressed: true, value: Some(ids::Payload::from(compressed)), ..row }
        }
        Err(error) => {
            log::warn!(key = row.key.as_ref(); "store: row not compressed. error={error}");
            row
        }
    }
}

fn decompress(row: types::StoreRow) -> io::Result<types::StoreRow> {
    let Some(value) = row.value.as_ref().filter(|_| row.compressed) else { return Ok(row) };
    let mut plain = Vec::new();
    let mut decoder = read::DeflateDecoder::new(value.as_ref()).take(MAX_VALUE_BYTES + 1);
    decoder.read_to_end(&mut plain)?;
    check_size(u64::try_from(plain.len()).unwrap_or(u64::MAX))?;
    Ok(types::StoreRow { compressed: false, value: Some(ids::Payload::from(plain)), ..row })
}

fn check_size(bytes: u64) -> io::Result<()> {
    if bytes > MAX_VALUE_BYTES {
        return Err(io::Error::other("the value is too long"));
    }
    Ok(())
}
