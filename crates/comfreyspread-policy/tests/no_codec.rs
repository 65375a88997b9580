//! Neither the policy crate nor the schema types it uses may depend on a message encoding.

use std::{fs, path};

#[test]
fn no_codec_dependency() {
    let crates = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for name in ["comfreyspread-policy", "comfreyspread-schema"] {
        let manifest = crates.join(name).join("Cargo.toml");
        let text = fs::read_to_string(manifest).expect("a manifest");
        let dependencies = text.split("[dev-dependencies]").next().unwrap_or_default();
        for codec in ["serde_json", "rmp-serde", "toml", "hyper", "http", "async-"] {
            assert!(!dependencies.contains(&format!("\n{codec}")), "{name} depends on {codec}");
        }
    }
}
