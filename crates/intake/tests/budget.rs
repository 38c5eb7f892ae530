//! What is granted, who gives way, and what is returned.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::stream;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use notchwharf_intake::BodyLimits;
use notchwharf_intake::CONNECTION_BYTES;
use notchwharf_intake::Connection;
use notchwharf_intake::Intake;
use notchwharf_intake::error;
use notchwharf_intake::error::Shortage;
use notchwharf_intake::read_body;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use rstest::rstest;

const BODY_MAX: usize = 1 << 20;
const LIMITS: BodyLimits = BodyLimits {
    bytes_max: BODY_MAX,
    idle_timeout: Duration::from_secs(10),
};

/// Returns an intake with room for this many bytes besides those of some connections.
fn intake(connections: u64, bytes: u64) -> Intake {
    Intake::new(connections * CONNECTION_BYTES + bytes)
}

fn is_told_to_close(connection: &Connection) -> bool {
    connection.closed().now_or_never().is_some()
}

#[tokio::test(start_paused = true)]
async fn connection_that_waits_longest_gives_way_to_a_new_one() {
    let entrance = intake(8, 0).entrance(2);
    let running = entrance.admit().await.unwrap();
    let turn = running.begin_turn();
    let idle = entrance.admit().await.unwrap();
    let new = entrance.admit().await.unwrap();
    assert!(is_told_to_close(&idle));
    assert!(!is_told_to_close(&running) && !is_told_to_close(&new));
    drop((idle, turn));
    // The request has ended later than the new connection began.
    let newest = entrance.admit().await.unwrap();
    assert!(is_told_to_close(&new) && !is_told_to_close(&running));
    drop((new, newest));
}

#[tokio::test(start_paused = true)]
async fn connection_is_refused_while_all_requests_run() {
    let intake = intake(8, 0);
    let entrance = intake.entrance(1);
    let running = entrance.admit().await.unwrap();
    let turn = running.begin_turn();
    assert_eq!(entrance.admit().await.unwrap_err(), Shortage::Occupied);
    assert_eq!(intake.report().refused_connections, 1);
    drop(turn);
    entrance.admit().await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn connections_of_one_entrance_do_not_take_those_of_another() {
    let intake = intake(8, 0);
    let (callers, checks) = (intake.entrance(1), intake.entrance(1));
    let caller = callers.admit().await.unwrap();
    let check = checks.admit().await.unwrap();
    callers.admit().await.unwrap();
    assert!(is_told_to_close(&caller) && !is_told_to_close(&check));
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waits {
    ForRequest,
    ForBody,
    UntilTheCallerReads,
    Not,
}

#[rstest]
#[case::for_request(Waits::ForRequest)]
#[case::for_body(Waits::ForBody)]
#[case::until_the_caller_reads(Waits::UntilTheCallerReads)]
#[case::not(Waits::Not)]
#[tokio::test(start_paused = true)]
async fn bytes_are_taken_from_callers_for_whom_the_host_waits(#[case] waits: Waits) {
    let entrance = intake(2, 100).entrance(8);
    let holder = entrance.admit().await.unwrap();
    let held = holder.reserve(100).await.unwrap();
    let turn = (waits != Waits::ForRequest).then(|| holder.begin_turn());
    let body_wait = (waits == Waits::ForBody).then(|| holder.await_body());
    holder.set_blocked(waits == Waits::UntilTheCallerReads);
    let asking = entrance.admit().await.unwrap();
    let asking_turn = asking.begin_turn();
    let reserved = tokio::spawn(async move {
        let _turn = asking_turn;
        asking.reserve(50).await.map(drop)
    });
    tokio::task::yield_now().await;
    assert_eq!(is_told_to_close(&holder), waits != Waits::Not);
    drop((body_wait, turn, held));
    drop(holder);
    let expected = match waits {
        Waits::Not => Err(Shortage::Occupied),
        _ => Ok(()),
    };
    assert_eq!(reserved.await.unwrap(), expected);
}

#[tokio::test(start_paused = true)]
async fn body_does_not_take_bytes_from_callers_that_came_later() {
    let entrance = intake(2, 100).entrance(8);
    let early = entrance.admit().await.unwrap();
    let _early_turn = early.begin_turn();
    let late = entrance.admit().await.unwrap();
    let _late_turn = late.begin_turn();
    let _late_wait = late.await_body();
    let _held = late.reserve(100).await.unwrap();
    let _early_wait = early.await_body();
    assert_eq!(early.reserve(1).await.unwrap_err(), Shortage::Occupied);
    assert!(!is_told_to_close(&late));
}

#[tokio::test(start_paused = true)]
async fn caller_that_reads_now_and_then_stays_as_old_as_its_response() {
    let entrance = intake(8, 0).entrance(2);
    let slow = entrance.admit().await.unwrap();
    let _turn = slow.begin_turn();
    slow.set_blocked(true);
    let other = entrance.admit().await.unwrap();
    slow.set_blocked(false);
    slow.set_blocked(true);
    let _new = entrance.admit().await.unwrap();
    assert!(is_told_to_close(&slow) && !is_told_to_close(&other));
}

#[tokio::test(start_paused = true)]
async fn reservation_over_the_budget_closes_nobody() {
    let entrance = intake(1, 100).entrance(8);
    let connection = entrance.admit().await.unwrap();
    let over = CONNECTION_BYTES + 101;
    let refused = connection.reserve(over).await.unwrap_err();
    assert_eq!(refused, Shortage::OverBudget);
    assert!(!is_told_to_close(&connection));
}

#[tokio::test(start_paused = true)]
async fn reservation_outlives_its_connection() {
    let intake = intake(1, 100);
    let connection = intake.entrance(8).admit().await.unwrap();
    let mut reserved = connection.reserve(100).await.unwrap();
    drop(connection);
    assert_eq!(intake.report().bytes, 100);
    reserved.shrink(40);
    assert_eq!(intake.report().bytes, 40);
    drop(reserved);
    assert_eq!(intake.report().bytes, 0);
}

#[tokio::test(start_paused = true)]
async fn connection_that_does_not_close_in_time_is_not_waited_for() {
    let intake = intake(1, 0);
    let _never_closes = intake.entrance(8).admit().await.unwrap();
    assert_eq!(intake.reserve(1).await.unwrap_err(), Shortage::Occupied);
}

/// Returns a body of pieces whose length is not announced.
fn chunked(pieces: Vec<Vec<u8>>) -> impl hyper::body::Body<Data = Bytes, Error = std::io::Error> {
    let frames = pieces.into_iter().map(|p| Ok(Frame::data(Bytes::from(p))));
    StreamBody::new(stream::iter(frames))
}

#[rstest]
#[case::empty(0, 1)]
#[case::one_byte(1, 1)]
#[case::small(2_000, 2_000)]
#[case::pieces(300_000, 7)]
#[case::largest(BODY_MAX, 16_384)]
#[tokio::test(start_paused = true)]
async fn body_is_read_and_reserved_until_it_is_dropped(#[case] len: usize, #[case] piece: usize) {
    let intake = intake(1, 2 * BODY_MAX as u64);
    let connection = intake.entrance(1).admit().await.unwrap();
    let content: Vec<u8> = (0..len).map(|at| at as u8).collect();
    let pieces = content.chunks(piece).map(<[u8]>::to_vec).collect();
    let unannounced = read_body(&connection, chunked(pieces), LIMITS);
    let unannounced = unannounced.await.unwrap();
    assert_eq!(unannounced, content);
    let copy = unannounced.clone();
    drop(unannounced);
    assert!(intake.report().bytes >= CONNECTION_BYTES + len as u64);
    drop(copy);
    assert_eq!(intake.report().bytes, CONNECTION_BYTES);
    let announced = Full::new(Bytes::from(content.clone()));
    let announced = read_body(&connection, announced, LIMITS).await.unwrap();
    assert_eq!(announced, content);
    assert_eq!(intake.report().bytes, CONNECTION_BYTES + len as u64);
}

#[tokio::test(start_paused = true)]
async fn announced_body_over_the_limit_reserves_nothing() {
    let intake = intake(1, BODY_MAX as u64);
    let connection = intake.entrance(1).admit().await.unwrap();
    let body = Full::new(Bytes::from(vec![0; BODY_MAX + 1]));
    let refused = read_body(&connection, body, LIMITS).await;
    assert_eq!(refused.unwrap_err(), error::Body::TooLarge);
    assert_eq!(intake.report().bytes, CONNECTION_BYTES);
}

#[rstest]
#[case::too_large(vec![vec![0; BODY_MAX], vec![0]], error::Body::TooLarge)]
#[case::no_room(vec![vec![0; 600_000]], error::Body::Shortage(Shortage::Occupied))]
#[tokio::test(start_paused = true)]
async fn body_that_is_refused_returns_what_it_reserved(
    #[case] pieces: Vec<Vec<u8>>,
    #[case] expected: error::Body,
) {
    let bytes = match expected {
        error::Body::TooLarge => 4 * BODY_MAX as u64,
        _ => 500_000 + 2 * CONNECTION_BYTES,
    };
    let intake = intake(1, bytes);
    let entrance = intake.entrance(8);
    let connection = entrance.admit().await.unwrap();
    let other = entrance.admit().await.unwrap();
    let _turn = other.begin_turn();
    let _held = match expected {
        error::Body::TooLarge => None,
        _ => Some(other.reserve(CONNECTION_BYTES).await.unwrap()),
    };
    let before = intake.report().bytes;
    let refused = read_body(&connection, chunked(pieces), LIMITS).await;
    assert_eq!(refused.unwrap_err(), expected);
    assert_eq!(intake.report().bytes, before);
}

#[tokio::test(start_paused = true)]
async fn body_without_data_times_out() {
    let intake = intake(1, BODY_MAX as u64);
    let connection = intake.entrance(1).admit().await.unwrap();
    let never = stream::pending::<Result<Frame<Bytes>, std::io::Error>>();
    let body = StreamBody::new(never).boxed_unsync();
    let refused = read_body(&connection, body, LIMITS).await;
    assert_eq!(refused.unwrap_err(), error::Body::TimedOut);
}

/// What a random caller does.
#[derive(Clone, Copy, Debug)]
enum Act {
    Connect,
    Reserve(usize, u64),
    Turn(usize),
    Block(usize, bool),
    Disconnect(usize),
}

fn act() -> impl Strategy<Value = Act> {
    proptest::prop_oneof![
        proptest::strategy::Just(Act::Connect),
        (0usize..8, 1u64..400_000).prop_map(|(at, bytes)| Act::Reserve(at, bytes)),
        (0usize..8).prop_map(Act::Turn),
        (0usize..8, proptest::bool::ANY).prop_map(|(at, blocks)| Act::Block(at, blocks)),
        (0usize..8).prop_map(Act::Disconnect),
    ]
}

proptest::proptest! {
    /// Whatever callers do, no more is reserved than the budget and the overlap of connections that close,
    /// and everything is returned.
    #[test]
    fn budget_holds_and_everything_is_returned(acts in proptest::collection::vec(act(), 1..200)) {
        const BUDGET: u64 = 1 << 20;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let intake = Intake::new(BUDGET);
            let entrance = intake.entrance(6);
            let mut open = Vec::new();
            for act in acts {
                match act {
                    Act::Connect => open.extend(
                        entrance.admit().await.ok().map(|c| (c, Vec::new(), None)),
                    ),
                    Act::Reserve(at, bytes) => if let Some((c, held, _)) = open.get_mut(at) {
                        held.extend(c.reserve(bytes).await);
                    },
                    Act::Turn(at) => if let Some((c, _, turn)) = open.get_mut(at) {
                        *turn = turn.take().map_or_else(|| Some(c.begin_turn()), |t| { drop(t); None });
                    },
                    Act::Block(at, blocks) => if let Some((c, _, _)) = open.get(at) {
                        c.set_blocked(blocks);
                    },
                    Act::Disconnect(at) => if at < open.len() {
                        open.remove(at);
                    },
                }
                prop_assert!(intake.report().bytes <= BUDGET + 33 * CONNECTION_BYTES);
                open.retain(|(c, _, _)| !is_told_to_close(c));
            }
            drop(open);
            prop_assert_eq!(intake.report().bytes, 0);
            prop_assert_eq!(intake.report().connections, 0);
            Ok(())
        })?;
    }
}

/// A part of a response that has begun waits for its room.
#[tokio::test(start_paused = true)]
async fn a_response_waits_until_others_return_their_bytes() {
    let entrance = intake(2, 100).entrance(8);
    let (first, second) = (
        entrance.admit().await.unwrap(),
        entrance.admit().await.unwrap(),
    );
    let (_first_turn, _second_turn) = (first.begin_turn(), second.begin_turn());
    let held = first.reserve(100).await.unwrap();
    let timeout = Duration::from_secs(10);
    let mut waiting = std::pin::pin!(second.reserve_within(timeout, 100));
    assert!(waiting.as_mut().now_or_never().is_none());
    drop(held);
    drop(waiting.await.unwrap());
    let _held = first.reserve(100).await.unwrap();
    let late = second.reserve_within(timeout, 100).await;
    assert_eq!(late.map(drop), Err(Shortage::Occupied));
    let too_much = second.reserve_within(timeout, 1 << 40).await;
    assert_eq!(too_much.map(drop), Err(Shortage::OverBudget));
}

/// A caller that stops reading while others wait gives way to them.
#[tokio::test(start_paused = true)]
async fn a_waiting_response_takes_the_bytes_of_a_caller_that_stops_reading() {
    let entrance = intake(2, 100).entrance(8);
    let (first, second) = (
        entrance.admit().await.unwrap(),
        entrance.admit().await.unwrap(),
    );
    let (_first_turn, _second_turn) = (first.begin_turn(), second.begin_turn());
    let held = first.reserve(100).await.unwrap();
    let waiting = second.reserve_within(Duration::from_secs(10), 100);
    let mut waiting = std::pin::pin!(waiting);
    assert!(waiting.as_mut().now_or_never().is_none());
    first.set_blocked(true);
    assert!(waiting.as_mut().now_or_never().is_none());
    assert!(is_told_to_close(&first));
    drop(held);
    assert!(waiting.await.is_ok());
}
