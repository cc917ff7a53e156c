//! Parsing of `Retry-After` (RFC 9110, section 10.2.3). Fractions of seconds are accepted too.

use std::time::Duration;
use std::time::SystemTime;

use http::HeaderMap;
use http::HeaderValue;
use http::header::DATE;
use http::header::RETRY_AFTER;

/// Longest delay accepted, since a faulty upstream may send any value. Longer ones are cut to it.
pub const MAX: Duration = Duration::from_secs(60);

/// Returns the longest delay of a response's `Retry-After` headers, in seconds or as a date; `None`
/// if there is none above zero. A date is relative to the response's `Date` header if it has one,
/// else to `now`.
pub fn from_headers(headers: &HeaderMap, now: SystemTime) -> Option<Duration> {
    let now = headers.get(DATE).and_then(parse_date).unwrap_or(now);
    let delays = headers.get_all(RETRY_AFTER).iter().filter_map(|value| parse_delay(value, now));
    delays.max().filter(|delay| !delay.is_zero())
}

fn parse_delay(value: &HeaderValue, now: SystemTime) -> Option<Duration> {
    let Ok(seconds) = value.to_str().ok()?.trim().parse::<f64>() else {
        let delay = parse_date(value)?.duration_since(now).unwrap_or_default();
        return Some(delay.min(MAX));
    };
    // NaN parses as a number but is no delay.
    let is_number = !seconds.is_nan();
    is_number.then(|| Duration::from_secs_f64(seconds.clamp(0.0, MAX.as_secs_f64())))
}

fn parse_date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?.trim()).ok()
}
