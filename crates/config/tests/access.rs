//! Keys and workspaces: which request is whose, whatever a configuration says.
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

fn holder(all: &Workspaces, key: &str) -> Option<String> {
    all.by_key(key).map(|holder| holder.name.clone())
}

#[rstest]
#[case::as_written(&["Token k1"], Ok("k1"))]
#[case::other_case(&["tOKEN k1"], Ok("k1"))]
#[case::blanks(&["  Token   k1  "], Ok("k1"))]
#[case::none(&[], Err(KeyError::Missing))]
#[case::twice(&["Token k1", "Token k1"], Err(KeyError::Malformed))]
#[case::other_scheme(&["Bearer k1"], Err(KeyError::OtherScheme))]
#[case::no_scheme(&["k1"], Err(KeyError::OtherScheme))]
#[case::scheme_alone(&["Token"], Err(KeyError::OtherScheme))]
#[case::scheme_and_blanks(&["Token   "], Err(KeyError::OtherScheme))]
#[case::two_words(&["Token k1 k2"], Err(KeyError::Malformed))]
#[case::empty(&[""], Err(KeyError::OtherScheme))]
fn a_key_is_read_or_there_is_a_reason(
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
fn bytes_that_are_no_key_are_none(#[case] value: Vec<u8>) {
    assert_eq!(
        parse_key("Token", [value.as_slice()]),
        Err(KeyError::Malformed)
    );
}

#[test]
fn a_workspace_has_all_its_keys_and_nobody_else_s() {
    let (all, faults) = Workspaces::new(vec![
        workspace("choir", &["k1", "k2", "k2"]),
        workspace("strings", &["k3"]),
    ]);
    assert_eq!(faults, []);
    assert_eq!(holder(&all, "k1").as_deref(), Some("choir"));
    assert_eq!(holder(&all, "k2").as_deref(), Some("choir"));
    assert_eq!(holder(&all, "k3").as_deref(), Some("strings"));
    assert_eq!(holder(&all, "k4"), None);
    assert_eq!(holder(&all, ""), None);
}

#[test]
fn two_entries_of_one_name_are_one_workspace_under_the_stricter_terms() {
    let first = Workspace {
        priority: Some(1),
        ..limited("choir", 10.0, 4.0)
    };
    let second = Workspace {
        keys: vec!["k2".into()],
        priority: Some(3),
        ..limited("choir", 5.0, 8.0)
    };
    let (all, faults) = Workspaces::new(vec![first, second]);
    assert_eq!(faults, [EntryError::DuplicateName("choir".into())]);
    assert_eq!(all.len(), 1);
    let known = all.by_key("k2").unwrap();
    assert_eq!(Some(known), all.by_key("choir"));
    assert_eq!(known.priority, Some(3));
    let limit = RateLimit {
        per_s: 5.0,
        burst: 4.0,
    };
    assert_eq!(known.limit, Some(limit));
}

#[test]
fn a_key_of_two_workspaces_is_nobody_s_and_their_other_keys_hold() {
    let (all, faults) = Workspaces::new(vec![
        workspace("choir", &["shared", "k1"]),
        workspace("strings", &["shared", "k2"]),
    ]);
    assert!(
        matches!(faults[..], [EntryError::SharedKey(..)]),
        "{faults:?}"
    );
    assert_eq!(holder(&all, "shared"), None);
    assert_eq!(holder(&all, "k1").as_deref(), Some("choir"));
    assert_eq!(holder(&all, "k2").as_deref(), Some("strings"));
}

#[rstest]
#[case::no_name("", EntryError::InvalidName)]
#[case::name_of_two_lines("a\nb", EntryError::InvalidName)]
#[case::too_long(&"n".repeat(200), EntryError::InvalidName)]
fn a_workspace_that_cannot_be_named_is_left_out(#[case] name: &str, #[case] fault: EntryError) {
    let (all, faults) = Workspaces::new(vec![workspace(name, &["k1"]), workspace("b", &["k2"])]);
    assert_eq!(faults, [fault]);
    assert_eq!(holder(&all, "k1"), None);
    assert_eq!(holder(&all, "k2").as_deref(), Some("b"));
}

#[rstest]
#[case::empty("")]
#[case::with_a_blank("a b")]
#[case::too_long(&"k".repeat(600))]
fn a_key_that_cannot_be_presented_is_left_out(#[case] key: &str) {
    let (all, faults) = Workspaces::new(vec![workspace("choir", &[key, "k1"])]);
    assert_eq!(faults, [EntryError::InvalidKey("choir".into())]);
    assert_eq!(holder(&all, key), None);
    assert_eq!(holder(&all, "k1").as_deref(), Some("choir"));
}

#[rstest]
#[case::none(0.0, 9.0, None, 0)]
#[case::usual(2.0, 3.0, Some((2.0, 3.0)), 0)]
#[case::no_burst(2.0, 0.0, Some((2.0, 0.0)), 0)]
#[case::huge(1e300, 0.0, None, 0)]
#[case::negative_rate(-1.0, 3.0, Some((0.0, 3.0)), 1)]
#[case::negative_burst(2.0, -3.0, Some((2.0, 0.0)), 1)]
#[case::no_number(f64::NAN, 3.0, Some((0.0, 3.0)), 1)]
fn a_limit_is_sound_none_or_its_burst(
    #[case] per_s: f64,
    #[case] burst: f64,
    #[case] expected: Option<(f64, f64)>,
    #[case] faults_expected: usize,
) {
    let (all, faults) = Workspaces::new(vec![limited("choir", per_s, burst)]);
    let limit = all.by_name("choir").unwrap().limit;
    assert_eq!(limit.map(|l| (l.per_s, l.burst)), expected);
    assert_eq!(faults.len(), faults_expected, "{faults:?}");
}
