//! Timeouts of callers' connections.

use briarrail_dispatch::{CallerLimits, ConnectionTimeout, ConnectionTimer};
use briarrail_model::{MilliDuration, MilliTime};

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 0,
    body_bytes: 0,
    header_timeout: MilliDuration::from_millis(1_000),
    idle_timeout: MilliDuration::from_millis(500),
};

fn at(ms: u64) -> MilliTime {
    MilliTime::from_millis(ms)
}

fn expired(timer: &ConnectionTimer, ms: u64) -> Option<ConnectionTimeout> {
    timer.expired_timeout(&LIMITS, at(ms))
}

/// Returns the timer of a connection whose response was handed over, but not yet written.
fn unwritten_response() -> ConnectionTimer {
    let mut timer = ConnectionTimer::new(at(0));
    timer.record_read(at(10));
    timer.start_request();
    timer.finish_request(at(20));
    timer.record_blocked_write(at(20));
    timer
}

#[test]
fn a_connection_is_idle_once_its_response_was_written() {
    let mut timer = unwritten_response();
    assert_eq!(expired(&timer, 5_000), None);
    timer.record_write();
    timer.record_flush(at(5_000));
    assert_eq!(expired(&timer, 5_499), None);
    assert_eq!(expired(&timer, 5_500), Some(ConnectionTimeout::Idle));
}

#[test]
fn a_caller_that_takes_no_byte_is_given_up_in_the_end() {
    let mut timer = unwritten_response();
    assert_eq!(expired(&timer, 30_019), None);
    assert_eq!(expired(&timer, 30_020), Some(ConnectionTimeout::Write));
    timer.record_write();
    timer.record_blocked_write(at(30_100));
    assert_eq!(expired(&timer, 60_099), None);
    assert_eq!(expired(&timer, 60_100), Some(ConnectionTimeout::Write));
}

#[test]
fn a_caller_that_takes_nothing_of_a_stream_is_given_up_too() {
    let mut timer = ConnectionTimer::new(at(0));
    timer.start_request();
    timer.record_blocked_write(at(100));
    assert_eq!(expired(&timer, 30_099), None);
    assert_eq!(expired(&timer, 30_100), Some(ConnectionTimeout::Write));
}

#[test]
fn the_time_for_a_head_starts_after_the_earlier_response() {
    let mut timer = unwritten_response();
    timer.record_read(at(100));
    timer.record_write();
    timer.record_flush(at(4_000));
    assert_eq!(expired(&timer, 4_999), None);
    assert_eq!(expired(&timer, 5_000), Some(ConnectionTimeout::Head));
}

#[test]
fn a_request_in_progress_has_no_timeout() {
    let mut timer = ConnectionTimer::new(at(0));
    timer.start_request();
    timer.record_write();
    timer.record_flush(at(10));
    assert!(timer.is_busy());
    assert_eq!(expired(&timer, 100_000), None);
}
