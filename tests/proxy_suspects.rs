//! Requests that may have crashed upstreams, before it is known whether these have crashed.

use std::time::Duration;

use frostdyke::fleet::fingerprint::Fingerprint;
use frostdyke::fleet::fingerprint::RequestContent;
use frostdyke::names::UpstreamName;
use frostdyke::proxy::suspects;
use frostdyke::proxy::suspects::BrokenRequest;
use frostdyke::proxy::suspects::Suspects;

const AT: Duration = Duration::from_secs(10);

fn fingerprint() -> Fingerprint {
    let body = b"body";
    RequestContent { method: "POST", host: "h", target: "/", workspace: None, body }.fingerprint()
}

/// Whether a request may be sent again after its connections to these upstreams have broken.
fn may_be_sent(upstreams: &[&str]) -> bool {
    let suspects = Suspects::default();
    for name in upstreams {
        let upstream = UpstreamName::from(*name);
        let instance = suspects::instance_id(&upstream, Some(1));
        let (fingerprint, parts) = (fingerprint(), Vec::new());
        let broken = BrokenRequest { upstream, instance, fingerprint, parts, at: AT };
        assert!(!suspects.add_broken(broken, false));
    }
    !suspects.would_reach_crash_limit(&fingerprint(), AT)
}

/// Guards against streams that aren't resumed since several callers sent the same request to one
/// upstream: it can have crashed once only.
#[test]
fn connections_of_one_upstream_are_one_crash_at_most() {
    assert!(may_be_sent(&["u1"; 40]));
    assert!(may_be_sent(&["u1", "u2", "u1", "u2"]));
    assert!(!may_be_sent(&["u1", "u2", "u3"]));
}
