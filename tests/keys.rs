//! A caller is who its key says, and can't be anybody else.

mod util;

use std::time::Duration;

use frostdyke::config::CatalogRevision;
use frostdyke::config::Workspace;
use frostdyke::config::settings::Limits;
use frostdyke::config::settings::Secret;
use frostdyke::router::service_request;
use frostdyke::router::service_request::InvalidRequest;
use http::HeaderMap;
use http::HeaderValue;
use sha2::Digest;
use sha2::Sha256;
use util::catalog;

fn limits() -> Limits {
    Limits {
        trust_workspace_header: false,
        max_body_bytes: 1000,
        max_header_bytes: 1000,
        max_connections: 10,
        max_running: 10,
        default_deadline: Duration::from_secs(1),
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    }
}

/// Two workspaces, with the keys `key of a` and `key of b`.
fn configuration() -> CatalogRevision {
    let workspace = |name: &str| Workspace {
        key_digests: vec![hex::encode(Sha256::digest(format!("key of {name}")))],
        ..catalog::workspace(name, 1)
    };
    let cfg = catalog::catalog(vec![workspace("a"), workspace("b")], Vec::new());
    CatalogRevision::new(1, cfg).expect("it is valid")
}

fn asks(headers: &[(&'static str, &str)]) -> Result<String, InvalidRequest> {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(*name, HeaderValue::from_str(value).expect("plain text"));
    }
    let ask = service_request::parse(catalog::SERVICE, &map, &configuration(), &limits());
    ask.map(|ask| ask.workspace.to_string())
}

#[test]
fn the_key_names_the_workspace_and_nothing_else_does() {
    assert_eq!(asks(&[("authorization", "Bearer key of a")]), Ok("a".to_owned()));
    let other = [("authorization", "Bearer key of a"), ("frostdyke-workspace", "b")];
    assert_eq!(asks(&other), Ok("a".to_owned()), "the header counts only where it is trusted");
    assert_eq!(asks(&[("frostdyke-workspace", "b")]), Err(InvalidRequest::Unauthorized));
    for wrong in ["", "Bearer", "Bearer ", "Bearer key of c", "Basic key of a", "key of a"] {
        assert_eq!(
            asks(&[("authorization", wrong)]),
            Err(InvalidRequest::Unauthorized),
            "{wrong:?}"
        );
    }
    // A digest, which operators can read, is no key.
    let digest = format!("Bearer {}", hex::encode(Sha256::digest("key of a")));
    assert_eq!(asks(&[("authorization", &digest)]), Err(InvalidRequest::Unauthorized));
    let twice = [("authorization", "Bearer key of a"), ("authorization", "Bearer key of b")];
    assert!(asks(&twice).is_err());
}

#[test]
fn secrets_dont_show() {
    assert!(!format!("{:?}", Secret::from("hidden words")).contains("hidden"));
}
