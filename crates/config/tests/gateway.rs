//! Settings of a host that serves through a platform adapter, and routes.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_config::gateway;
use notchwharf_config::routes::Route;
use notchwharf_config::routes::Share;
use notchwharf_config::routes::Table;
use rstest::rstest;

#[rstest]
#[case::not_json("{", ".: EOF while parsing")]
#[case::no_host("{}", ".: missing field `host`")]
#[case::unknown_field(
    r#"{"host": {"name": "a", "data_centre": "d", "x": 1}}"#,
    "host.x: unknown field"
)]
#[case::invalid_address(
    r#"{"host": {"name": "a", "data_centre": "d", "listen": "x"}}"#,
    "host.listen: "
)]
#[case::invalid_name(r#"{"host": {"name": "a b", "data_centre": "d"}}"#, "host.name: ")]
#[case::out_of_range(
    r#"{"host": {"name": "a", "data_centre": "d"}, "store": {"poll_ms": 1}}"#,
    "store.poll_ms: 1 is not between 10 and 60000"
)]
#[case::contradicting_fields(
    r#"{"host": {"name": "a", "data_centre": "d"}, "peers": {"beat_ms": 2000}}"#,
    "peers.beat_ms: 2000 must be below peers.down_ms, which is 1200"
)]
#[case::drain_time_too_short(
    r#"{"host": {"name": "a", "data_centre": "d"}, "targets": {"drain_ms": 100}}"#,
    "targets.drain_ms: 100 is not between 500 and 600000"
)]
#[case::drain_time_below_connect_timeout(
    r#"{"host": {"name": "a", "data_centre": "d"}, "online": {"connect_timeout_ms": 2000}}"#,
    "online.connect_timeout_ms: 2000 must be below targets.drain_ms, which is 2000"
)]
#[case::record_larger_than_a_call(
    r#"{"host": {"name": "a", "data_centre": "d"}, "store": {"call_bytes_max": 1024}}"#,
    "store.record_bytes_max: 262144 must be below"
)]
fn invalid_settings_are_refused_with_the_path_of_the_field(
    #[case] text: &str,
    #[case] expected: &str,
) {
    let err = gateway::parse(text.as_bytes()).unwrap_err().to_string();
    assert!(err.starts_with(expected), "{err}");
}

#[test]
fn all_fields_but_name_and_data_centre_have_defaults() {
    let text = br#"{"host": {"name": "a1", "data_centre": "d"}}"#;
    let settings = gateway::parse(text).unwrap();
    assert_eq!(settings.batch.reserve, 1);
    let encoded = serde_json::to_vec(&settings).unwrap();
    assert_eq!(gateway::parse(&encoded).unwrap(), settings);
}

#[rstest]
#[case::all_to_one(&[("s1", 1)], &[("s1", 100)])]
#[case::nine_to_one(&[("s1", 90), ("s2", 10)], &[("s1", 90), ("s2", 10)])]
#[case::one_without_weight(&[("s1", 0), ("s2", 1)], &[("s1", 0), ("s2", 100)])]
fn requests_are_split_by_weight(
    #[case] shares: &[(&str, u32)],
    #[case] expected: &[(&str, usize)],
) {
    let shares = shares.iter().map(|(service, weight)| Share {
        service: (*service).into(),
        weight: *weight,
    });
    let route = Route {
        shares: shares.collect(),
        ..Route::default()
    };
    for (service, count) in expected {
        let selected = (0..100).filter(|random| route.select_service(*random).unwrap() == service);
        assert_eq!(selected.count(), *count, "{service}");
    }
}

#[test]
fn a_route_without_weights_has_no_service() {
    assert_eq!(Route::default().select_service(7), None);
}

#[rstest]
#[case("a.example", "/x/y/z", Some("/x/y/"))]
#[case("a.example", "/x/z", Some("/x/"))]
#[case("A.Example:8080", "/x/", Some("/x/"))]
#[case("a.example", "/x", None)]
#[case("a.example", "/xy/", None)]
#[case("b.example", "/x/", None)]
fn the_longest_matching_prefix_of_the_host_name_is_selected(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let route = |prefix: &str| Route {
        host: "a.example".into(),
        prefix: prefix.into(),
        ..Route::default()
    };
    let table = Table::new(
        1,
        vec![route("/x/"), route("/x/y/")],
        vec![],
        Default::default(),
    );
    assert_eq!(table.find(host, path).map(|r| r.prefix.as_str()), expected);
}
