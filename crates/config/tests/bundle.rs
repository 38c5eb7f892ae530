//! Validation of bundles.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_config::bundle;
use proptest::prelude::*;
use rstest::rstest;

const SERVING: &str = r#"{"name": "s", "model": "m", "version": "1", "replicas": 1}"#;

#[rstest]
#[case::not_json("{", ".")]
#[case::trailing_text("{} x", ".")]
#[case::unknown_field(r#"{"colors": []}"#, "colors")]
#[case::zero_replicas(
    r#"{"servings": [{"name": "s", "model": "m", "version": "1", "replicas": 0}]}"#,
    "servings[0].replicas"
)]
#[case::invalid_name(
    r#"{"servings": [{"name": "a b", "model": "m", "version": "1", "replicas": 1}]}"#,
    "servings[0].name"
)]
#[case::unknown_serving(
    r#"{"tenants": [{"name": "t", "servings": ["x"]}]}"#,
    "tenants[0].servings[0]"
)]
#[case::duplicate_tenant(r#"{"tenants": [{"name": "t"}, {"name": "t"}]}"#, "tenants[1].name")]
#[case::invalid_digest(
    r#"{"tenants": [{"name": "t", "key_sha256": ["ABC"]}]}"#,
    "tenants[0].key_sha256[0]"
)]
#[case::invalid_class(
    r#"{"tenants": [{"name": "t", "classes": ["slow"]}]}"#,
    "tenants[0].classes[0]"
)]
fn an_error_starts_with_the_path_of_its_field(#[case] text: &str, #[case] path: &str) {
    let err = bundle::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(err.starts_with(&format!("{path}:")), "{err}");
}

#[rstest]
fn a_duplicate_name_is_refused() {
    let text = format!(r#"{{"servings": [{SERVING}, {SERVING}]}}"#);
    let err = bundle::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(err.contains("is used twice"), "{err}");
}

proptest! {
    /// Arbitrary bytes are refused or parsed without a panic.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = bundle::parse(&bytes);
    }
}
