//! Parsing of API keys and identification of workspaces, with valid and invalid entries.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_config::access::EntryError;
use notchwharf_config::access::KeyError;
use notchwharf_config::access::RateLimit;
use notchwharf_config::access::Workspace;
use notchwharf_config::access::Workspaces;
use notchwharf_config::access::parse_key;
use rstest::rstest;

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        ..Workspace::default()
    }
}

fn limited(name: &str, per_s: f64, burst: f64) -> Workspace {
    Workspace {
        limit: Some(RateLimit { per_s, burst }),
        ..workspace(name, &[name])
    }
}

fn name_by_key(workspaces: &Workspaces, key: &str) -> Option<String> {
    workspaces.by_key(key).map(|policy| policy.name.clone())
}

#[rstest]
#[case::as_written(&["Token k1"], Ok("k1"))]
#[case::other_case(&["tOKEN k1"], Ok("k1"))]
#[case::spaces(&["  Token   k1  "], Ok("k1"))]
#[case::none(&[], Err(KeyError::Missing))]
#[case::twice(&["Token k1", "Token k1"], Err(KeyError::Malformed))]
#[case::other_scheme(&["Bearer k1"], Err(KeyError::OtherScheme))]
#[case::no_scheme(&["k1"], Err(KeyError::OtherScheme))]
#[case::scheme_alone(&["Token"], Err(KeyError::OtherScheme))]
#[case::scheme_and_spaces(&["Token   "], Err(KeyError::OtherScheme))]
#[case::two_words(&["Token k1 k2"], Err(KeyError::Malformed))]
#[case::empty(&[""], Err(KeyError::OtherScheme))]
fn a_key_is_parsed_or_refused_with_a_reason(
    #[case] values: &[&str],
    #[case] expected: Result<&str, KeyError>,
) {
    assert_eq!(
        parse_key("Token", values.iter().map(|v| v.as_bytes())),
        expected
    );
}

#[rstest]
#[case::not_text(vec![b'T', b'o', b'k', b'e', b'n', b' ', 0xff])]
#[case::eight_kilobytes([b"Token ".to_vec(), vec![b'k'; 8 << 10]].concat())]
fn a_malformed_value_is_refused(#[case] value: Vec<u8>) {
    assert_eq!(
        parse_key("Token", [value.as_slice()]),
        Err(KeyError::Malformed)
    );
}

#[test]
fn a_workspace_is_identified_by_each_of_its_keys_only() {
    let (workspaces, errors) = Workspaces::new(vec![
        workspace("choir", &["k1", "k2", "k2"]),
        workspace("strings", &["k3"]),
    ]);
    assert_eq!(errors, []);
    assert_eq!(name_by_key(&workspaces, "k1").as_deref(), Some("choir"));
    assert_eq!(name_by_key(&workspaces, "k2").as_deref(), Some("choir"));
    assert_eq!(name_by_key(&workspaces, "k3").as_deref(), Some("strings"));
    assert_eq!(name_by_key(&workspaces, "k4"), None);
    assert_eq!(name_by_key(&workspaces, ""), None);
}

#[test]
fn entries_with_the_same_name_are_merged_with_the_stricter_policy() {
    let first = Workspace {
        priority: Some(1),
        ..limited("choir", 10.0, 4.0)
    };
    let second = Workspace {
        keys: vec!["k2".into()],
        priority: Some(3),
        ..limited("choir", 5.0, 8.0)
    };
    let (workspaces, errors) = Workspaces::new(vec![first, second]);
    assert_eq!(errors, [EntryError::DuplicateName("choir".into())]);
    assert_eq!(workspaces.len(), 1);
    let policy = workspaces.by_key("k2").unwrap();
    assert_eq!(Some(policy), workspaces.by_key("choir"));
    assert_eq!(policy.priority, Some(3));
    let limit = RateLimit {
        per_s: 5.0,
        burst: 4.0,
    };
    assert_eq!(policy.limit, Some(limit));
}

#[test]
fn a_key_of_two_workspaces_is_ignored_and_their_other_keys_are_valid() {
    let (workspaces, errors) = Workspaces::new(vec![
        workspace("choir", &["shared", "k1"]),
        workspace("strings", &["shared", "k2"]),
    ]);
    assert!(
        matches!(errors[..], [EntryError::SharedKey(..)]),
        "{errors:?}"
    );
    assert_eq!(name_by_key(&workspaces, "shared"), None);
    assert_eq!(name_by_key(&workspaces, "k1").as_deref(), Some("choir"));
    assert_eq!(name_by_key(&workspaces, "k2").as_deref(), Some("strings"));
}

#[rstest]
#[case::no_name("", EntryError::InvalidName)]
#[case::line_break_in_name("a\nb", EntryError::InvalidName)]
#[case::too_long(&"n".repeat(200), EntryError::InvalidName)]
fn a_workspace_with_an_invalid_name_is_ignored(#[case] name: &str, #[case] error: EntryError) {
    let (workspaces, errors) =
        Workspaces::new(vec![workspace(name, &["k1"]), workspace("b", &["k2"])]);
    assert_eq!(errors, [error]);
    assert_eq!(name_by_key(&workspaces, "k1"), None);
    assert_eq!(name_by_key(&workspaces, "k2").as_deref(), Some("b"));
}

#[rstest]
#[case::empty("")]
#[case::with_a_space("a b")]
#[case::too_long(&"k".repeat(600))]
fn an_invalid_key_is_ignored(#[case] key: &str) {
    let (workspaces, errors) = Workspaces::new(vec![workspace("choir", &[key, "k1"])]);
    assert_eq!(errors, [EntryError::InvalidKey("choir".into())]);
    assert_eq!(name_by_key(&workspaces, key), None);
    assert_eq!(name_by_key(&workspaces, "k1").as_deref(), Some("choir"));
}

#[rstest]
#[case::none(0.0, 9.0, None, 0)]
#[case::usual(2.0, 3.0, Some((2.0, 3.0)), 0)]
#[case::no_burst(2.0, 0.0, Some((2.0, 0.0)), 0)]
#[case::huge(1e300, 0.0, None, 0)]
#[case::negative_rate(-1.0, 3.0, Some((0.0, 3.0)), 1)]
#[case::negative_burst(2.0, -3.0, Some((2.0, 0.0)), 1)]
#[case::not_a_number(f64::NAN, 3.0, Some((0.0, 3.0)), 1)]
fn an_invalid_limit_is_normalized(
    #[case] per_s: f64,
    #[case] burst: f64,
    #[case] expected: Option<(f64, f64)>,
    #[case] error_count: usize,
) {
    let (workspaces, errors) = Workspaces::new(vec![limited("choir", per_s, burst)]);
    let limit = workspaces.by_name("choir").unwrap().limit;
    assert_eq!(limit.map(|l| (l.per_s, l.burst)), expected);
    assert_eq!(errors.len(), error_count, "{errors:?}");
}
