//! Cost of recognizing a request: the quick hash by which each request is looked up while any is
//! suspect, and the fingerprint of those whose quick hash is known.
//! `cargo bench --bench fingerprint`.

use frostdyke::fleet::fingerprint::RequestContent;
use frostdyke::fleet::quarantine::Quarantine;

const LENGTHS: [usize; 3] = [1_000, 60_000, 1_000_000];

fn main() {
    divan::main();
}

fn content(body: &[u8]) -> RequestContent<'_> {
    let (method, host, target, workspace) = ("POST", "h.example", "/route/2f", Some("workspace"));
    RequestContent { method, host, target, workspace, body }
}

#[divan::bench(args = LENGTHS)]
fn hint_that_is_unknown(bencher: divan::Bencher, len: usize) {
    let body = vec![1; len];
    let mut known = Quarantine::default();
    for n in 0..8000u32 {
        known.record_crash(content(&n.to_le_bytes()).fingerprint(), 1, std::time::Duration::ZERO);
    }
    bencher.bench(|| known.may_contain(content(&body).quick_hash()));
}

#[divan::bench(args = LENGTHS)]
fn fingerprint(bencher: divan::Bencher, len: usize) {
    let body = vec![1; len];
    bencher.bench(|| content(&body).fingerprint());
}
