//! The committed types are those that the schema gives.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

const FILES: [&str; 2] = ["mgs.settings.rs", "mgs.wire.rs"];

/// Messages whose serde is written by hand in `src/hot.rs`.
const HOT: [&str; 2] = ["TokenFrame", "LoadReport"];

/// Settings are kept as JSON; a field that an older record lacks takes its default.
const SERDE_DEFAULT: &str = "#[serde(default)]";

const SETTINGS_PACKAGE: &str = "mgs.settings";

const SERDE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";

fn generate(out: &Path) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = ["settings.proto", "wire.proto"].map(|name| root.join(name));
    let descriptors = protox::compile(files, [&root]).expect("the schema compiles");
    let mut config = prost_build::Config::new();
    config.out_dir(out);
    for file in &descriptors.file {
        let package = file.package();
        for message in &file.message_type {
            let name = message.name();
            if !HOT.contains(&name) {
                config.type_attribute(format!(".{package}.{name}"), SERDE);
            }
            if package == SETTINGS_PACKAGE {
                config.message_attribute(format!(".{package}.{name}"), SERDE_DEFAULT);
            }
        }
    }
    config
        .compile_fds(descriptors)
        .expect("types are generated");
}

fn committed() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated")
}

#[test]
fn regeneration_changes_nothing() {
    let out = std::env::temp_dir().join(format!("mgs-schema-{}", std::process::id()));
    fs::create_dir_all(&out).unwrap();
    generate(&out);
    for file in FILES {
        let fresh = fs::read_to_string(out.join(file)).unwrap();
        let kept = committed().join(file);
        if std::env::var_os("MGS_REGENERATE").is_some() {
            fs::create_dir_all(committed()).unwrap();
            fs::write(&kept, &fresh).unwrap();
        }
        let kept = fs::read_to_string(&kept).unwrap_or_default();
        assert!(
            fresh == kept,
            "{file} differs from the schema; set MGS_REGENERATE=1"
        );
    }
    fs::remove_dir_all(&out).unwrap();
}
