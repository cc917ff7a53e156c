//! Parsing of `Retry-After`, in all forms in which upstreams write it.

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

fn parse(values: &[&str], date: Option<&str>) -> Option<Duration> {
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
fn seconds_and_fractions_are_parsed() {
    assert_eq!(parse(&["3"], None), seconds(3.0));
    assert_eq!(parse(&[" 3 "], None), seconds(3.0));
    assert_eq!(parse(&["0.25"], None), seconds(0.25));
    assert_eq!(parse(&["1e1"], None), seconds(10.0));
}

/// A backoff of zero or less, or one that can't be parsed, is none.
#[test]
fn values_without_a_positive_time_are_ignored() {
    let none = ["", "0", "-1", "-0.0", "nan", "soon", "3 s", "3,4", "-inf"];
    for value in none {
        assert_eq!(parse(&[value], None), None, "{value}");
    }
    assert_eq!(parse(&[], None), None);
}

/// A faulty upstream could otherwise keep itself out of use for years.
#[test]
fn times_are_capped_at_the_maximum() {
    for value in ["61", "31536000", "1e300", "inf", "Fri, 03 Dec 2027 10:00:00 GMT"] {
        assert_eq!(parse(&[value], None), Some(retry_after::MAX), "{value}");
    }
}

/// Proxies on the way may add a header of their own.
#[test]
fn the_longest_of_several_values_applies() {
    assert_eq!(parse(&["1", "3", "2"], None), seconds(3.0));
    assert_eq!(parse(&["soon", "2", "-4"], None), seconds(2.0));
}

/// Clocks may differ by minutes.
#[test]
fn a_date_is_relative_to_the_date_of_the_response() {
    let ahead = "Thu, 03 Dec 2026 10:00:05 GMT";
    assert_eq!(parse(&[ahead], None), seconds(5.0));
    assert_eq!(parse(&[ahead], Some("Thu, 03 Dec 2026 10:00:03 GMT")), seconds(2.0));
    assert_eq!(parse(&[ahead], Some("Thu, 03 Dec 2026 10:07:00 GMT")), None);
    assert_eq!(parse(&[ahead], Some("rubbish")), seconds(5.0));
    assert_eq!(parse(&["Thu, 03 Dec 2026 09:00:00 GMT"], None), None);
}

proptest! {
    /// Upstreams may send any bytes; they must neither panic nor yield a time out of range.
    #[test]
    fn any_value_is_handled(value in "[ -~]{0,40}", number: f64) {
        for value in [value, number.to_string()] {
            let parse = parse(&[&value], None);
            prop_assert!(parse.is_none_or(|time| !time.is_zero() && time <= retry_after::MAX));
        }
    }
}
