//! Valid files are accepted, and all findings in invalid ones are reported together.

use expect_test::expect;
use proptest::prelude::*;
use ravenspoke_config::bundle_file::read_bundle;
use ravenspoke_config::settings::read_settings;

fn findings(text: &str) -> String {
    match read_bundle("bundle.toml", text) {
        Ok(_) => "valid".to_owned(),
        Err(findings) => findings.lines().join("\n"),
    }
}

#[test]
fn example_files_are_valid() {
    for name in ["coteau", "agency"] {
        let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).expect("the example is there");
        assert_eq!(findings(&text), "valid", "{name}");
    }
    let path = format!("{}/../../examples/box.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).expect("the example is there");
    let read = read_settings("box.toml", &text);
    assert!(read.is_ok(), "{:?}", read.err().map(|findings| findings.lines()));
}

#[test]
fn all_findings_of_a_bundle_are_reported_together() {
    let text = r#"
[models.small]
cost_per_1k = "cheap"
version = "small-1"
colour = "red"

[versions.small-1]
model = "small"

[cascade.assist]
rungs = ["small"]
"#;

    let report = findings(text);

    expect![[r#"
        bundle.toml:3: models.small: `cost_per_1k` is not a number, not negative (write a number, not negative)
        bundle.toml:5: models.small has no field `colour` (remove it, or use one of: cost_per_1k, version)
        bundle.toml:7: versions.small-1 lacks `state` (add `state = …`, a string)
        bundle.toml:10: a bundle has no table `cascade` (use one of: models, versions, rollouts, cascades, accounts, pools, services)"#]]
    .assert_eq(&report);
}

#[test]
fn broken_references_and_invalid_values_of_a_bundle_are_reported() {
    let text = r#"
[models.small]
cost_per_1k = 1
version = "small-2"

[versions.small-1]
model = "large"
state = "serving"

[rollouts.small-9]
from = "small-1"
steps = [50, 5]
exposure_budget = 0

[cascades.assist]
rungs = ["huge"]
target = 1.5

[accounts.a]
key_hashes = ["abc"]
allow = ["nothing"]
services = ["none"]

[services.broker]
not_repeatable = ["POST"]
"#;

    let report = findings(text);

    expect![[r#"
        bundle.toml:2: models.small: its version `small-2` is not in [versions] (add the version, or name another)
        bundle.toml:6: versions.small-1: its model `large` is not in [models] (add the model, or name another)
        bundle.toml:10: rollouts.small-9: `small-1` is not a version of the same model (name the version that it replaces)
        bundle.toml:10: rollouts.small-9: an exposure budget of 0 never lets it start (write the requests that a step may expose)
        bundle.toml:10: rollouts.small-9: steps are not rising percentages (write for example [5, 25, 100])
        bundle.toml:10: rollouts.small-9: the version is not a serving one of [versions] (add it with state = "serving")
        bundle.toml:15: cascades.assist: its rung `huge` is not in [models] (add the model, or name another)
        bundle.toml:15: cascades.assist: its target is not a share (write a number from 0 to 1)
        bundle.toml:19: accounts.a: a key hash is not 64 hexadecimal digits (write the SHA-256 of the caller key)
        bundle.toml:19: accounts.a: it allows `nothing`, which is not in the bundle (name a model, version or cascade)
        bundle.toml:19: accounts.a: its service `none` is not in [services] (add the service, or name another)
        bundle.toml:24: services.broker: `POST` is not an operation (write for example "POST /filings")"#]]
    .assert_eq(&report);
}

#[test]
fn findings_on_settings_never_show_a_key() {
    let secret = "00112233445566778899aabbccddeeff0";
    let text = format!(
        "name = \"b\"\nzone = \"z\"\nspeed = 1\n[listen]\nentry = \"127.0.0.1:1\"\n[keys]\npeer = \"{secret}\"\n"
    );

    let findings = read_settings("box.toml", &text).expect_err("there are findings");
    let report = findings.lines().join("\n");

    assert!(
        report.contains("has no field `speed`") && report.contains("lacks `operator`"),
        "{report}"
    );
    assert!(!report.contains(secret));
}

proptest! {
    #[test]
    fn any_text_parses_without_panic(text in "\\PC{0,300}") {
        let _ = read_bundle("any.toml", &text);
        let _ = read_settings("any.toml", &text);
    }

    #[test]
    fn any_bytes_parse_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read_bundle("any.toml", &String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn corrupted_bundle_parses_without_panic(place in 0usize..400, byte in any::<u8>()) {
        let path = format!("{}/../../examples/coteau.toml", env!("CARGO_MANIFEST_DIR"));
        let mut bytes = std::fs::read(path).expect("the example is there");
        let place = place * bytes.len() / 400;
        bytes[place] = byte;
        let _ = read_bundle("any.toml", &String::from_utf8_lossy(&bytes));
    }
}
