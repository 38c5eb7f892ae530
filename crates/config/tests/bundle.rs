//! Bundles are checked before anybody signs them off.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_config::bundle;
use proptest::prelude::*;
use rstest::rstest;

const SERVING: &str = r#"{"name": "s", "model": "m", "version": "1", "replicas": 1}"#;

#[rstest]
#[case::not_json("{", ".")]
#[case::trailing("{} x", ".")]
#[case::unknown_field(r#"{"colors": []}"#, "colors")]
#[case::no_replicas(
    r#"{"servings": [{"name": "s", "model": "m", "version": "1", "replicas": 0}]}"#,
    "servings[0].replicas"
)]
#[case::bad_name(
    r#"{"servings": [{"name": "a b", "model": "m", "version": "1", "replicas": 1}]}"#,
    "servings[0].name"
)]
#[case::unknown_serving(
    r#"{"tenants": [{"name": "t", "servings": ["x"]}]}"#,
    "tenants[0].servings[0]"
)]
#[case::tenant_twice(r#"{"tenants": [{"name": "t"}, {"name": "t"}]}"#, "tenants[1].name")]
#[case::bad_digest(
    r#"{"tenants": [{"name": "t", "key_sha256": ["ABC"]}]}"#,
    "tenants[0].key_sha256[0]"
)]
#[case::bad_class(
    r#"{"tenants": [{"name": "t", "classes": ["slow"]}]}"#,
    "tenants[0].classes[0]"
)]
fn a_fault_is_named_with_its_path(#[case] text: &str, #[case] path: &str) {
    let err = bundle::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(err.starts_with(&format!("{path}:")), "{err}");
}

#[rstest]
fn a_name_that_stands_twice_is_refused() {
    let text = format!(r#"{{"servings": [{SERVING}, {SERVING}]}}"#);
    let err = bundle::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(err.contains("stands twice"), "{err}");
}

proptest! {
    /// Arbitrary bytes are refused or parsed, and never end the process.
    #[test]
    fn arbitrary_bytes_do_no_harm(junk in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = bundle::parse(&junk);
    }
}
