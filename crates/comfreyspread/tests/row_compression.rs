//! Compression of large rows between nodes.

use comfreyspread::gateway::row_compression;
use comfreyspread_schema::{ids, types};

fn row(value: Vec<u8>) -> types::StoreRow {
    types::StoreRow {
        compressed: false,
        era: 0,
        key: "k".into(),
        value: Some(ids::Payload::from(value)),
        version: 7,
    }
}

/// Guards against large documents that are handed on in full: similar routes take a fraction.
#[test]
fn large_values() {
    let text: String =
        (0..1400).map(|number| format!("{{\"name\":\"route-{number}\"}},")).collect();
    let plain = vec![row(text.clone().into_bytes())];
    let compressed = row_compression::compress_rows(plain.clone());
    let size = compressed[0].value.as_ref().expect("a value").len();
    assert!(compressed[0].compressed && size * 2 < text.len(), "{size} of {} bytes", text.len());
    assert_eq!(row_compression::compress_rows(compressed.clone()), compressed);
    assert_eq!(row_compression::decompress_rows(compressed), plain);
}

#[test]
fn small_values() {
    let removed = types::StoreRow { value: None, ..row(Vec::new()) };
    let rows = vec![row(b"{}".to_vec()), removed];
    assert_eq!(row_compression::compress_rows(rows.clone()), rows);
    assert_eq!(row_compression::decompress_rows(rows.clone()), rows);
}

/// Guards against a damaged or oversized value from another node: its row is left out, not applied.
#[test]
fn damaged_values() {
    let damaged = types::StoreRow { compressed: true, ..row(vec![0xff; 64]) };
    let zeros = row_compression::compress_rows(vec![row(vec![0; 33 * 1024 * 1024])]);
    let rows = vec![damaged, row(b"{}".to_vec()), zeros[0].clone()];
    assert_eq!(row_compression::decompress_rows(rows), vec![row(b"{}".to_vec())]);
}
