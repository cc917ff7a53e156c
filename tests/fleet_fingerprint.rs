//! Which parts of a request its fingerprint depends on.

use frostdyke::fleet::fingerprint::RequestContent;
use proptest::prelude::*;

const BASE: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "h.example",
    target: "/a/b?c=d",
    workspace: Some("w"),
    body: b"body",
};

#[test]
fn only_equal_requests_have_equal_fingerprints() {
    let fingerprint = BASE.fingerprint();
    assert_eq!(fingerprint, RequestContent { ..BASE }.fingerprint());
    let others = [
        RequestContent { method: "PUT", ..BASE },
        RequestContent { host: "i.example", ..BASE },
        RequestContent { target: "/a/b", ..BASE },
        RequestContent { workspace: Some("x"), ..BASE },
        RequestContent { workspace: None, ..BASE },
        RequestContent { body: b"bodz", ..BASE },
        RequestContent { body: b"", ..BASE },
    ];
    others.iter().for_each(|other| assert_ne!(fingerprint, other.fingerprint(), "{other:?}"));
}

proptest! {
    /// Moving bytes from one field to the next changes the fingerprint, so a workspace can't forge
    /// a request that is mistaken for another workspace's.
    #[test]
    fn fields_are_separated(
        target in "[a-z/]{0,6}", workspace in "[a-z/]{0,6}", body in "[a-z/]{0,6}", cut in 0usize..6,
    ) {
        let all = format!("{target}{workspace}{body}");
        let cut = cut.min(all.len());
        let (target, body) = (target.as_str(), body.as_bytes());
        let content = RequestContent { target, workspace: Some(&workspace), body, ..BASE };
        let moved = RequestContent { target: &all[..cut], workspace: Some(""), body: &all.as_bytes()[cut..], ..BASE };
        let is_same = (content.target, content.workspace, content.body)
            == (moved.target, moved.workspace, moved.body);
        prop_assert_eq!(is_same, content.fingerprint() == moved.fingerprint());
        prop_assert!(!is_same || content.quick_hash() == moved.quick_hash());
    }
}
