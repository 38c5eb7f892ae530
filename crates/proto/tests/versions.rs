//! Versions of targets between hosts of this build and hosts that know none.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_proto::messages;
use notchwharf_proto::messages::PeerMessage;
use notchwharf_proto::records::Announcement;
use notchwharf_proto::records::ChangesResponse;
use notchwharf_proto::records::Target;
use notchwharf_proto::records::TargetChange;
use notchwharf_proto::records::Targets;
use notchwharf_proto::records::decode_changes;
use notchwharf_proto::records::encode_changes;

fn targets(versions: &[Option<&str>]) -> Targets {
    let changes = versions.iter().zip(0..).map(|(version, offset)| {
        let target = Target {
            service: "s".into(),
            data_centre: "d".into(),
            addr: ([127, 0, 0, 1], 80).into(),
            slots: 2,
            leaving: false,
            born_unix_ms: None,
            cold_left_ms: 0,
            version: version.map(str::to_owned),
        };
        TargetChange {
            id: format!("t{offset}"),
            offset,
            target: Some(target),
        }
    });
    let removed = TargetChange {
        id: "t9".into(),
        offset: 9,
        target: None,
    };
    Targets {
        changes: changes.chain([removed]).collect(),
        ..Targets::default()
    }
}

fn announcement(versions: &[Option<&str>]) -> PeerMessage {
    PeerMessage::Announcement(Announcement {
        targets: targets(versions),
        ..Announcement::default()
    })
}

fn response(versions: &[Option<&str>]) -> ChangesResponse {
    ChangesResponse {
        targets: targets(versions),
        ..ChangesResponse::default()
    }
}

#[test]
fn versions_arrive_with_announcements_and_responses() {
    let versions = [Some("v1"), None, Some("v1.1")];
    let bytes = messages::encode(&announcement(&versions));
    assert_eq!(messages::decode(&bytes), Some(announcement(&versions)));
    let bytes = encode_changes(&response(&versions));
    assert_eq!(decode_changes(&bytes), Some(response(&versions)));
}

#[test]
fn messages_of_hosts_that_know_no_versions_are_read_without_any() {
    let unknown = [None, None];
    // Such a host encodes only the message itself.
    let bytes = postcard::to_stdvec(&announcement(&[Some("v1"), Some("v2")])).unwrap();
    assert_eq!(messages::decode(&bytes), Some(announcement(&unknown)));
    let bytes = postcard::to_stdvec(&response(&[Some("v1"), Some("v2")])).unwrap();
    assert_eq!(decode_changes(&bytes), Some(response(&unknown)));
}

#[test]
fn hosts_that_know_no_versions_read_the_messages_of_those_that_do() {
    let bytes = messages::encode(&announcement(&[Some("v1"), Some("v2")]));
    let (message, _): (PeerMessage, _) = postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!(message, announcement(&[None, None]));
    let bytes = encode_changes(&response(&[Some("v1"), Some("v2")]));
    let read: ChangesResponse = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, response(&[None, None]));
}

#[test]
fn versions_that_do_not_match_the_changes_are_ignored() {
    let mut bytes = postcard::to_stdvec(&response(&[Some("v1"), Some("v2")])).unwrap();
    bytes.extend(postcard::to_stdvec(&vec![Some("v3")]).unwrap());
    assert_eq!(decode_changes(&bytes), Some(response(&[None, None])));
}
