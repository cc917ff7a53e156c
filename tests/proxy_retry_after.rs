//! For how long an upstream asks to be left alone, in all the ways in which that is written.

use std::time::Duration;
use std::time::SystemTime;

use frostdyke::retry_after;
use http::HeaderMap;
use http::HeaderValue;
use http::header::DATE;
use http::header::RETRY_AFTER;
use proptest::prelude::*;

/// 2026-12-03 10:00:00 UTC.
const NOW: Duration = Duration::from_secs(1_796_292_000);

fn read(values: &[&str], date: Option<&str>) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, HeaderValue::from_str(value).expect("a value"));
    }
    if let Some(date) = date {
        headers.insert(DATE, HeaderValue::from_str(date).expect("a value"));
    }
    retry_after::from_headers(&headers, SystemTime::UNIX_EPOCH + NOW)
}

fn seconds(seconds: f64) -> Option<Duration> {
    Some(Duration::from_secs_f64(seconds))
}

#[test]
fn seconds_and_fractions_are_read() {
    assert_eq!(read(&["3"], None), seconds(3.0));
    assert_eq!(read(&[" 3 "], None), seconds(3.0));
    assert_eq!(read(&["0.25"], None), seconds(0.25));
    assert_eq!(read(&["1e1"], None), seconds(10.0));
}

#[test]
fn what_names_no_time_ahead_asks_for_nothing() {
    let none = ["", "0", "-1", "-0.0", "nan", "soon", "3 s", "3,4", "-inf"];
    for value in none {
        assert_eq!(read(&[value], None), None, "{value}");
    }
    assert_eq!(read(&[], None), None);
}

#[test]
fn no_time_is_longer_than_the_longest_that_is_believed() {
    for value in ["61", "31536000", "1e300", "inf", "Fri, 03 Dec 2027 10:00:00 GMT"] {
        assert_eq!(read(&[value], None), Some(retry_after::MAX), "{value}");
    }
}

#[test]
fn the_longest_of_several_holds() {
    assert_eq!(read(&["1", "3", "2"], None), seconds(3.0));
    assert_eq!(read(&["soon", "2", "-4"], None), seconds(2.0));
}

/// Clocks may differ by minutes.
#[test]
fn a_date_is_taken_by_the_clock_of_the_answer() {
    let ahead = "Thu, 03 Dec 2026 10:00:05 GMT";
    assert_eq!(read(&[ahead], None), seconds(5.0));
    assert_eq!(read(&[ahead], Some("Thu, 03 Dec 2026 10:00:03 GMT")), seconds(2.0));
    assert_eq!(read(&[ahead], Some("Thu, 03 Dec 2026 10:07:00 GMT")), None);
    assert_eq!(read(&[ahead], Some("rubbish")), seconds(5.0));
    assert_eq!(read(&["Thu, 03 Dec 2026 09:00:00 GMT"], None), None);
}

proptest! {
    #[test]
    fn any_bytes_are_borne(value in "[ -~]{0,40}", number: f64) {
        for value in [value, number.to_string()] {
            let read = read(&[&value], None);
            prop_assert!(read.is_none_or(|time| !time.is_zero() && time <= retry_after::MAX));
        }
    }
}
