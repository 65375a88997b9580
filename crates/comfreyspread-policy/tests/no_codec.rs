//! The decisions reach no encoding of messages: neither they nor the types they use depend on one.

use std::{fs, path};

#[test]
fn manifests_name_none() {
    let crates = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for name in ["comfreyspread-policy", "comfreyspread-schema"] {
        let manifest = crates.join(name).join("Cargo.toml");
        let text = fs::read_to_string(manifest).expect("a manifest");
        let built = text.split("[dev-dependencies]").next().unwrap_or_default();
        for codec in ["serde_json", "rmp-serde", "toml", "hyper", "http", "async-"] {
            assert!(!built.contains(&format!("\n{codec}")), "{name} depends on {codec}");
        }
    }
}
