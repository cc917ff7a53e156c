//! What makes a request the same one when it comes again.

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
fn what_comes_again_is_known_and_nothing_else_is() {
    let known = BASE.fingerprint();
    assert_eq!(known, RequestContent { ..BASE }.fingerprint());
    let others = [
        RequestContent { method: "PUT", ..BASE },
        RequestContent { host: "i.example", ..BASE },
        RequestContent { target: "/a/b", ..BASE },
        RequestContent { workspace: Some("x"), ..BASE },
        RequestContent { workspace: None, ..BASE },
        RequestContent { body: b"bodz", ..BASE },
        RequestContent { body: b"", ..BASE },
    ];
    others.iter().for_each(|other| assert_ne!(known, other.fingerprint(), "{other:?}"));
}

proptest! {
    /// A workspace can't have its request taken for another's by moving bytes from one field to the next.
    #[test]
    fn fields_don_t_run_into_each_other(
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
