//! Decoding of declarations: no input panics, and valid declarations survive a round trip.

use comfreyspread::configuration::declaration_files;
use comfreyspread_policy::validation;
use comfreyspread_schema::types;
use declaration_files::FileFormat;
use std::path;

const SAMPLE: &str = include_str!("../../comfreyspread-lab/samples/quickstart.json");

fn sample() -> types::Declarations {
    FileFormat::Json.decode(SAMPLE).expect("the sample is valid")
}

#[test]
fn arbitrary_text() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        for format in [FileFormat::Json, FileFormat::Toml] {
            if let Ok(decoded) = format.decode(&text) {
                validation::validate(&decoded);
            }
        }
    });
}

#[test]
fn corrupted_sample() {
    bolero::check!().with_type::<Vec<(u16, u8)>>().for_each(|corruptions| {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        for (position, byte) in corruptions.iter().take(4) {
            let index = usize::from(*position) % bytes.len();
            bytes[index] = *byte;
        }
        let Ok(decoded) = FileFormat::Json.decode(&String::from_utf8_lossy(&bytes)) else { return };
        validation::validate(&decoded);
        let text = serde_json::to_string(&decoded).expect("JSON");
        assert_eq!(FileFormat::Json.decode(&text), Ok(decoded));
    });
}

#[test]
fn matching_formats() {
    let toml = "[[zones]]\nname = \"celje-a\"\nregion = \"celje\"\n\n\
        [[profiles]]\nname = \"jam\"\ndeadline_ms = 3000\npriority = \"high\"\n\
        cost_limit = 10\nidempotent = true\n";
    let json = r#"{"zones": [{"name": "celje-a", "region": "celje"}], "profiles":
        [{"name": "jam", "deadline_ms": 3000, "priority": "high", "cost_limit": 10,
        "idempotent": true}]}"#;
    assert_eq!(FileFormat::Toml.decode(toml), FileFormat::Json.decode(json));
    assert_eq!(FileFormat::of(path::Path::new("a.toml")), Some(FileFormat::Toml));
    assert_eq!(FileFormat::of(path::Path::new("a.yaml")), None);
    let misspelt =
        FileFormat::Toml.decode("[[zones]]\nnom = \"celje-a\"\n").expect_err("unknown field");
    assert!(misspelt.contains("nom"), "{misspelt}");
}

#[test]
fn valid_samples() {
    let samples = [
        SAMPLE,
        include_str!("../../comfreyspread-lab/samples/oro-vivo.json"),
        include_str!("../../comfreyspread-lab/samples/savinja.json"),
    ];
    for sample in samples {
        let declarations = FileFormat::Json.decode(sample).expect("a sample");
        assert_eq!(validation::validate(&declarations), []);
    }
}

#[test]
fn merged_files() {
    let merged = declaration_files::merge(sample(), sample());
    let findings = validation::validate(&merged);
    let duplicates = findings.iter().filter(|finding| &*finding.field == "name").count();
    let once = sample();
    let items = once.zones.len()
        + once.pools.len()
        + once.endpoints.len()
        + once.pipelines.len()
        + once.services.len()
        + once.profiles.len()
        + once.workspaces.len();
    assert_eq!(duplicates, items, "each duplicate name is a finding");
}
