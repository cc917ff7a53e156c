//! The time after which an upstream wants requests again, as RFC 9110 has it in section 10.2.3, with fractions.

use std::time::Duration;
use std::time::SystemTime;

use http::HeaderMap;
use http::HeaderValue;
use http::header::DATE;
use http::header::RETRY_AFTER;

/// Longest time that is believed: a faulty upstream may name any.
pub const MAX: Duration = Duration::from_secs(60);

/// Reads the longest time that an answer names, in seconds or as a date; nothing if it names none that lies ahead. A
/// date is relative to the answer's own `Date` where it has one, else to `now`.
pub fn from_headers(headers: &HeaderMap, now: SystemTime) -> Option<Duration> {
    let now = headers.get(DATE).and_then(date).unwrap_or(now);
    let times = headers.get_all(RETRY_AFTER).iter().filter_map(|value| time(value, now));
    times.max().filter(|time| !time.is_zero())
}

fn time(value: &HeaderValue, now: SystemTime) -> Option<Duration> {
    let Ok(seconds) = value.to_str().ok()?.trim().parse::<f64>() else {
        let ahead = date(value)?.duration_since(now).unwrap_or_default();
        return Some(ahead.min(MAX));
    };
    // What is no number at all names no time.
    let is_number = !seconds.is_nan();
    is_number.then(|| Duration::from_secs_f64(seconds.clamp(0.0, MAX.as_secs_f64())))
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?.trim()).ok()
}
